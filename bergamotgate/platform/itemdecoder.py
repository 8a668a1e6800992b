"""Decodes what the operator and the backend servers publish in the platform's store."""

import json
from typing import Any

from bergamotgate.config.catalogue import (
    Catalogue,
    ClientLimits,
    PoolRules,
    Repeatability,
    Route,
    ShardSet,
    WeightedPool,
)
from bergamotgate.config.fields import is_address
from bergamotgate.discovery.servers import DiscoveredServer, ServerStanding
from bergamotgate.gateway.beliefs import Decoded, ServerGone, Unreadable, ZoneOut
from bergamotgate.publication.items import PublishedItem

__all__ = ["CATALOGUE_KEY", "PlatformItemDecoder", "SERVER_PREFIX", "ZONE_OUT_PREFIX"]

CATALOGUE_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

STANDING_BY_STATE = {"ready": ServerStanding.READY, "draining": ServerStanding.DRAINING}
REPEATABILITY_BY_KIND = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.AT_MOST_ONCE,
}


class _Field(ValueError):
    """A field is missing or of another type."""


class PlatformItemDecoder:
    """Reads the items of the platform."""

    def decode(self, item: PublishedItem) -> Decoded:
        """What an item says; None for one that concerns nobody here."""
        if item.key.startswith(SERVER_PREFIX):
            return _decode_server(item)
        if item.key.startswith(ZONE_OUT_PREFIX):
            return ZoneOut(item.key.removeprefix(ZONE_OUT_PREFIX), item.value is not None)
        if item.key == CATALOGUE_KEY and item.value is not None:
            return _decode_catalogue(item)
        return None


def _decode_server(item: PublishedItem) -> Decoded:
    server = item.key.removeprefix(SERVER_PREFIX)
    if item.value is None:
        return ServerGone(server)
    try:
        return _read_server(server, _object(item.value))
    except ValueError as error:
        return Unreadable(item.key, str(error), server)


def _read_server(server: str, entry: dict[str, Any]) -> DiscoveredServer:
    state = _text(entry, "state")
    if state not in STANDING_BY_STATE:
        raise _Field(f"state {state!r} is not known")
    address = _text(entry, "address")
    if not is_address(address):
        raise _Field(f"address {address!r} is no ip:port")
    slots = _whole(entry, "slots")
    if slots < 1:
        raise _Field(f"slots {slots} is no count")
    return DiscoveredServer(
        server=server,
        pool=_text(entry, "service"),
        address=address,
        zone=_text(entry, "zone"),
        slots=slots,
        standing=STANDING_BY_STATE[state],
        cold_ms=_whole(entry, "coldRemainingMs"),
        started_ms=_whole(entry, "born", 0),
    )


def _decode_catalogue(item: PublishedItem) -> Decoded:
    try:
        return _read_catalogue(_object(item.value))
    except ValueError as error:
        return Unreadable(item.key, str(error))


def _read_catalogue(entry: dict[str, Any]) -> Catalogue:
    routes = tuple(_read_route(route) for route in _list(entry, "routes"))
    rules = [_read_rules(service) for service in _list(entry, "services")]
    return Catalogue(
        version=_whole(entry, "version"),
        routes=routes,
        rules_by_pool={rule.name: rule for rule in rules},
        limits=_read_limits(entry.get("limits") or {}),
    )


def _read_route(entry: Any) -> Route:
    kind = _text(entry, "routeType")
    if kind not in REPEATABILITY_BY_KIND:
        raise _Field(f"routeType {kind!r} is not known")
    timeout_s = _number(entry, "timeoutMs") / 1000
    objective_s = _number(entry, "targetLatencyMs", entry.get("timeoutMs")) / 1000
    return Route(
        name=_text(entry, "name"),
        host=_text(entry, "hostname").lower(),
        prefix=_text(entry, "prefix"),
        repeatability=REPEATABILITY_BY_KIND[kind],
        timeout_s=timeout_s,
        latency_objective_s=min(objective_s, timeout_s),
        max_servers=max(1, _whole(entry, "maxAttempts", 1)),
        priority=_whole(entry, "priority", 0),
        weighted_pools=_read_pools(entry),
        shards=_read_shards(entry),
    )


def _read_pools(entry: dict[str, Any]) -> tuple[WeightedPool, ...]:
    if entry.get("trafficSplit"):
        parts = _list(entry, "trafficSplit")
        return tuple(WeightedPool(_text(p, "service"), _number(p, "weight")) for p in parts)
    if entry.get("gather"):
        return ()
    return (WeightedPool(_text(entry, "service"), 1.0),)


def _read_shards(entry: dict[str, Any]) -> ShardSet | None:
    pools = entry.get("gather")
    if not pools:
        return None
    if not all(isinstance(pool, str) for pool in pools):
        raise _Field("gather holds something else than names")
    return ShardSet(tuple(pools), _whole(entry, "topK"), _number(entry, "minShardShare", 0))


def _read_rules(entry: Any) -> PoolRules:
    return PoolRules(
        name=_text(entry, "name"),
        health_path=_text(entry, "healthPath"),
        max_connections=max(1, _whole(entry, "maxConnections")),
        cold_start_s=_number(entry, "coldStartS", 0),
        cold_requests_per_s=_number(entry, "coldPerS", 0),
    )


def _read_limits(entry: dict[str, Any]) -> ClientLimits:
    usual = ClientLimits()
    return ClientLimits(
        header_bytes=_whole(entry, "maxHeaderBytes", usual.header_bytes),
        body_bytes=_whole(entry, "maxBodyBytes", usual.body_bytes),
        header_timeout_s=_number(entry, "headerTimeoutMs", usual.header_timeout_s * 1000) / 1000,
        idle_timeout_s=_number(entry, "idleTimeoutMs", usual.idle_timeout_s * 1000) / 1000,
    )


def _object(value: bytes) -> dict[str, Any]:
    entry = json.loads(value)
    if not isinstance(entry, dict):
        raise _Field("it is no object")
    return entry


def _get(entry: Any, name: str, usual: Any, kinds: Any, expected: str) -> Any:
    if not isinstance(entry, dict):
        raise _Field("an entry is no object")
    value = entry.get(name, usual)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise _Field(f"{name} is no {expected}")
    return value


def _text(entry: Any, name: str) -> str:
    return _get(entry, name, None, str, "text")


def _whole(entry: Any, name: str, usual: int | None = None) -> int:
    return _get(entry, name, usual, int, "whole number")


def _number(entry: Any, name: str, usual: float | None = None) -> float:
    return float(_get(entry, name, usual, (int, float), "number"))


def _list(entry: Any, name: str) -> list[Any]:
    return _get(entry, name, None, list, "list")
