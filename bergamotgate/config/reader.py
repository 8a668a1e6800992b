"""Parses and validates the routes and pools tables; a pure function of both texts."""

from typing import Any

from bergamotgate.config.delta import canonical, digest_of
from bergamotgate.config.fields import Fields, Problems, nearest, parse_json
from bergamotgate.config.tables import (
    BelowCoverage,
    Canary,
    Coverage,
    Pool,
    Route,
    Server,
    Snapshot,
    Standing,
    Tables,
    UrgencyClass,
)
from bergamotgate.errors import TablesRejected

__all__ = ["MAX_TABLE_BYTES", "read_tables"]

MAX_TABLE_BYTES = 1024 * 1024
MAX_DEADLINE_MS = 600_000
MAX_SHARDS = 4096
DEFAULT_OWNER_GROUPS = 4
MAX_OWNER_GROUPS = 256
METHODS = ("GET", "POST", "PUT", "DELETE")


def read_tables(revision: int, routes_text: str, pools_text: str) -> Tables:
    """Parse and validate both tables, and resolve the names that link them.

    Args:
        revision: Revision of the pair.
        routes_text: Routes table, JSON with comments.
        pools_text: Pools table, JSON with comments.

    Returns:
        The accepted tables.

    Raises:
        TablesRejected: The tables have errors; it lists all of them.
    """
    problems = Problems()
    for name, text in (("routes", routes_text), ("pools", pools_text)):
        if len(text.encode()) > MAX_TABLE_BYTES:
            problems.add(name, f"at most {MAX_TABLE_BYTES} bytes", f"{len(text.encode())} bytes")
    routes_value = parse_json(routes_text, problems) if not problems.found else None
    pools_value = parse_json(pools_text, problems) if not problems.found else None
    if problems.found:
        raise TablesRejected("tables", tuple(problems.found))
    pools = Fields(pools_value, "", problems)
    zone_standing = _read_zones(pools.child("zones", required=False))
    pool_by_name = {
        name: _read_pool(name, fields) for name, fields in pools.child("pools").children()
    }
    pools.finish()
    route_by_name = _read_routes(Fields(routes_value, "", problems), pool_by_name)
    if problems.found:
        raise TablesRejected("tables", tuple(problems.found))
    text = canonical(routes_value, pools_value)
    return Tables(revision, digest_of(text), text, route_by_name, pool_by_name, zone_standing)


def _read_zones(zones: Fields) -> dict[str, Standing]:
    return {name: zones.choice(name, Standing) for name in zones.field_names()}


def _read_routes(routes: Fields, pool_by_name: dict[str, Pool]) -> dict[str, Route]:
    class_by_name = {
        name: _read_class(name, fields) for name, fields in routes.child("classes").children()
    }
    route_by_name = {}
    for name, fields in routes.child("routes").children():
        route_by_name[name] = _read_route(name, fields, class_by_name, pool_by_name)
    routes.finish()
    _check_unique_matches(route_by_name, routes.problems)
    return route_by_name


def _check_unique_matches(route_by_name: dict[str, Route], problems: Problems) -> None:
    seen: dict[tuple[str, str], str] = {}
    for route in route_by_name.values():
        match = (route.method, route.path)
        if match in seen:
            problems.add(f"routes.{route.name}.match", "a unique method and path", seen[match])
        seen.setdefault(match, route.name)


def _read_class(name: str, fields: Fields) -> UrgencyClass:
    urgency = UrgencyClass(
        name=name,
        deadline_ms=fields.whole("deadline_ms", 1, MAX_DEADLINE_MS),
        patience_ms=fields.whole("patience_ms", 0, MAX_DEADLINE_MS, 0),
        hedging=fields.flag("hedging", False),
        repeatable=fields.flag("repeatable"),
        coverage=_read_coverage(fields.child("coverage", required=False)),
        canary=fields.choice("canary", Canary, Canary.SUSPECT),
    )
    if urgency.hedging and not urgency.repeatable:
        fields.problems.add(
            f"{fields.place}.hedging", "false, as the class is not repeatable", True
        )
    fields.finish()
    return urgency


def _read_coverage(fields: Fields) -> Coverage:
    coverage = Coverage(
        wanted=fields.share("wanted", 1.0),
        settle_ms=fields.whole("settle_ms", 0, MAX_DEADLINE_MS, 0),
        below=fields.choice("below", BelowCoverage, BelowCoverage.ANSWER),
    )
    fields.finish()
    return coverage


def _read_route(
    name: str,
    fields: Fields,
    class_by_name: dict[str, UrgencyClass],
    pool_by_name: dict[str, Pool],
) -> Route:
    match = fields.child("match")
    method = match.text("method", "POST")
    if method not in METHODS:
        match.problems.add(f"{match.place}.method", "one of " + ", ".join(METHODS), method)
    path = match.path("path")
    match.finish()
    class_name = fields.text("class")
    pool_name = fields.text("pool")
    fields.finish()
    urgency = class_by_name.get(class_name)
    if class_name and urgency is None:
        found = nearest(class_name, list(class_by_name))
        fields.problems.add(f"{fields.place}.class", "the name of a class", found)
    pool = pool_by_name.get(pool_name)
    if pool_name and pool is None:
        found = nearest(pool_name, list(pool_by_name))
        fields.problems.add(f"{fields.place}.pool", "the name of a pool", found)
    if urgency and pool and not urgency.repeatable and _is_sharded(pool):
        expected = "a pool without shards, as the class is not repeatable"
        fields.problems.add(f"{fields.place}.pool", expected, pool_name)
    return Route(name, method, path, urgency, pool_name)


def _is_sharded(pool: Pool) -> bool:
    return any(len(snapshot.servers_by_shard) > 1 for snapshot in pool.snapshots)


def _read_pool(name: str, fields: Fields) -> Pool:
    slots = fields.whole("slots", 1, 10_000)
    connections = fields.whole("connections", 1, 100_000)
    if connections < 2 * slots:
        expected = "at least twice the slots, as two owners may overlap"
        fields.problems.add(f"{fields.place}.connections", expected, connections)
    server_by_name = {
        server: _read_server(server, child) for server, child in fields.child("servers").children()
    }
    if not server_by_name:
        fields.problems.add(f"{fields.place}.servers", "at least one server", "none")
    _check_unique_addresses(fields, server_by_name)
    pool = Pool(
        name=name,
        slots=slots,
        connections=connections,
        cold_slots=fields.whole("cold_slots", 1, max(slots, 1), 1),
        warm_after=fields.whole("warm_after", 1, 10_000, 20),
        owner_groups=fields.whole("owner_groups", 1, MAX_OWNER_GROUPS, DEFAULT_OWNER_GROUPS),
        server_by_name=server_by_name,
        snapshots=_read_snapshots(fields, server_by_name),
    )
    fields.finish()
    return pool


def _check_unique_addresses(fields: Fields, server_by_name: dict[str, Server]) -> None:
    name_by_address: dict[str, str] = {}
    for server in server_by_name.values():
        other = name_by_address.setdefault(server.address, server.name)
        if other != server.name and server.address:
            place = f"{fields.place}.servers.{server.name}.address"
            fields.problems.add(place, "a unique address", f"{server.address} of {other}")


def _read_server(name: str, fields: Fields) -> Server:
    server = Server(
        name=name,
        address=fields.address("address"),
        zone=fields.text("zone"),
        standing=fields.choice("standing", Standing, Standing.IN),
    )
    fields.finish()
    return server


def _read_snapshots(fields: Fields, server_by_name: dict[str, Server]) -> tuple[Snapshot, ...]:
    listed = fields.raw("snapshots")
    if listed is None:
        return (Snapshot("", (tuple(server_by_name),)),)
    place = f"{fields.place}.snapshots"
    if not isinstance(listed, list) or not listed:
        fields.problems.add(place, "a list of snapshots, the preferred one first", listed)
        return ()
    snapshots = tuple(
        _read_snapshot(Fields(item, f"{place}[{number}]", fields.problems), server_by_name)
        for number, item in enumerate(listed)
    )
    names = [snapshot.name for snapshot in snapshots]
    if len(set(names)) != len(names):
        fields.problems.add(place, "unique names", names)
    return snapshots


def _read_snapshot(fields: Fields, server_by_name: dict[str, Server]) -> Snapshot:
    name = fields.text("name")
    rows = fields.raw("shards")
    place = f"{fields.place}.shards"
    valid = isinstance(rows, list) and 0 < len(rows) <= MAX_SHARDS
    if not valid or not all(_is_server_list(row) for row in rows):
        fields.problems.add(place, f"1 to {MAX_SHARDS} lists of server names", rows)
        rows = []
    for shard, row in enumerate(rows):
        for server in row:
            if server not in server_by_name:
                found = nearest(server, list(server_by_name))
                fields.problems.add(f"{place}[{shard}]", "the name of a server", found)
        if len(set(row)) != len(row):
            fields.problems.add(f"{place}[{shard}]", "each server once", row)
    fields.finish()
    return Snapshot(name, tuple(tuple(row) for row in rows))


def _is_server_list(row: Any) -> bool:
    return isinstance(row, list) and bool(row) and all(isinstance(name, str) for name in row)
