"""Decodes the items that operators and backend servers publish in the platform's store."""

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
from bergamotgate.gateway.localview import Decoded, ServerGone, Unreadable, ZoneOut
from bergamotgate.jsontext import read_json
from bergamotgate.publication.items import PublishedItem

__all__ = ["CATALOGUE_KEY", "PlatformItemDecoder", "SERVER_PREFIX", "ZONE_OUT_PREFIX"]

OPERATOR_PREFIX = "op/"
CATALOGUE_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

# Largest whole number that every JSON reader holds exactly.
MAX_INTEGER = 2**53 - 1
MAX_SLOTS = 100_000

STANDING_BY_STATE = {"ready": ServerStanding.READY, "draining": ServerStanding.DRAINING}
REPEATABILITY_BY_ROUTE_TYPE = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.AT_MOST_ONCE,
}


class _FieldError(ValueError):
    """A field is missing or has an invalid type or value."""


class PlatformItemDecoder:
    """Decodes the items of the platform's store."""

    def decode(self, item: PublishedItem) -> Decoded:
        """Decode an item; None for one that a gateway does not use."""
        if item.key.startswith(SERVER_PREFIX):
            return _decode_server(item)
        if item.key.startswith(ZONE_OUT_PREFIX):
            return ZoneOut(item.key.removeprefix(ZONE_OUT_PREFIX), item.value is not None)
        if item.key == CATALOGUE_KEY and item.value is not None:
            return _decode_catalogue(item)
        return None

    def is_operator_item(self, key: str) -> bool:
        """Whether an item is the operator's: the configuration, or a zone out of service."""
        return key.startswith(OPERATOR_PREFIX)


def _decode_server(item: PublishedItem) -> Decoded:
    server = item.key.removeprefix(SERVER_PREFIX)
    if item.value is None:
        return ServerGone(server)
    try:
        _check_identifier(server)
        return _read_server(server, _object(item.value))
    except ValueError as error:
        return Unreadable(item.key, str(error), server)


def _check_identifier(server: str) -> None:
    """Check the identifier of a server, which becomes a header of each request to it.

    Raises:
        _FieldError: It contains characters other than printable ASCII.
    """
    if not server or not server.isascii() or not server.isprintable():
        raise _FieldError(f"the identifier {server!r} is not printable ASCII text")


def _read_server(server: str, entry: dict[str, Any]) -> DiscoveredServer:
    state = _text(entry, "state")
    if state not in STANDING_BY_STATE:
        raise _FieldError(f"unknown state {state!r}")
    address = _text(entry, "address")
    if not is_address(address):
        raise _FieldError(f"address {address!r} is not of the form ip:port")
    slots = _integer(entry, "slots")
    if not 1 <= slots <= MAX_SLOTS:
        raise _FieldError(f"slots must be 1 to {MAX_SLOTS}, not {slots}")
    return DiscoveredServer(
        server=server,
        pool=_name(entry, "service"),
        address=address,
        zone=_name(entry, "zone"),
        slots=slots,
        standing=STANDING_BY_STATE[state],
        cold_ms=_integer(entry, "coldRemainingMs"),
        started_ms=_integer(entry, "born", 0),
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
        version=_integer(entry, "version"),
        routes=routes,
        rules_by_pool={rule.name: rule for rule in rules},
        limits=_read_limits(entry.get("limits") or {}),
    )


def _read_route(entry: Any) -> Route:
    route_type = _text(entry, "routeType")
    if route_type not in REPEATABILITY_BY_ROUTE_TYPE:
        raise _FieldError(f"unknown routeType {route_type!r}")
    timeout_s = _number(entry, "timeoutMs") / 1000
    latency_objective_s = _number(entry, "targetLatencyMs", entry.get("timeoutMs")) / 1000
    return Route(
        name=_text(entry, "name"),
        host=_text(entry, "hostname").lower(),
        prefix=_text(entry, "prefix"),
        repeatability=REPEATABILITY_BY_ROUTE_TYPE[route_type],
        timeout_s=timeout_s,
        latency_objective_s=min(latency_objective_s, timeout_s),
        max_servers=max(1, _integer(entry, "maxAttempts", 1)),
        priority=_integer(entry, "priority", 0),
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
    if not isinstance(pools, list) or not all(isinstance(pool, str) for pool in pools):
        raise _FieldError("gather must be a list of names")
    return ShardSet(tuple(pools), _integer(entry, "topK"), _number(entry, "minShardShare", 0))


def _read_rules(entry: Any) -> PoolRules:
    return PoolRules(
        name=_text(entry, "name"),
        health_path=_text(entry, "healthPath"),
        max_connections=max(1, _integer(entry, "maxConnections")),
        cold_start_s=_number(entry, "coldStartS", 0),
        cold_requests_per_s=_number(entry, "coldPerS", 0),
    )


def _read_limits(entry: dict[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=_integer(entry, "maxHeaderBytes", default.header_bytes),
        body_bytes=_integer(entry, "maxBodyBytes", default.body_bytes),
        header_timeout_s=_number(entry, "headerTimeoutMs", default.header_timeout_s * 1000) / 1000,
        idle_timeout_s=_number(entry, "idleTimeoutMs", default.idle_timeout_s * 1000) / 1000,
    )


def _object(value: bytes) -> dict[str, Any]:
    entry = read_json(value)
    if not isinstance(entry, dict):
        raise _FieldError("the value is not a JSON object")
    return entry


def _get(entry: Any, name: str, default: Any, types: Any, expected: str) -> Any:
    if not isinstance(entry, dict):
        raise _FieldError("an entry is not a JSON object")
    value = entry.get(name, default)
    if not isinstance(value, types) or isinstance(value, bool):
        raise _FieldError(f"{name} is not of type {expected}")
    return value


def _text(entry: Any, name: str) -> str:
    text = _get(entry, name, None, str, "string")
    try:
        text.encode()
    except UnicodeEncodeError as error:
        # JSON allows unpaired surrogates; peers and metrics do not.
        raise _FieldError(f"{name} cannot be encoded") from error
    return text


def _name(entry: Any, name: str) -> str:
    text = _text(entry, name)
    if not text.isprintable():
        raise _FieldError(f"{name} contains characters that cannot be printed")
    return text


def _integer(entry: Any, name: str, default: int | None = None) -> int:
    value = _get(entry, name, default, int, "integer")
    if abs(value) > MAX_INTEGER:
        raise _FieldError(f"{name} is out of range")
    return value


def _number(entry: Any, name: str, default: float | None = None) -> float:
    value = _get(entry, name, default, (int, float), "number")
    if not abs(value) <= MAX_INTEGER:  # neither is NaN
        raise _FieldError(f"{name} is out of range")
    return float(value)


def _list(entry: Any, name: str) -> list[Any]:
    return _get(entry, name, None, list, "list")
