"""Tables of the two teams' deployments, as texts to publish."""

import json
from dataclasses import dataclass, field

import jsonc

__all__ = ["Deployment", "PoolSpec", "build_deployment", "load_deployment"]

ZONES = ("a", "b", "c")
FIRST_BACKEND_PORT = 20000
SHARDED_CONNECT_S = 0.006
UNSHARDED_CONNECT_S = 0.001


@dataclass(frozen=True)
class PoolSpec:
    """Size of one pool.

    Attributes:
        name: Name of the pool.
        shards: Number of shards; 0 for a service without shards.
        replicas: Servers for each shard, or for the service.
        slots: Requests that one server runs at a time.
        connections: Connections that one server accepts.
        connect_s: Time to open a connection.
        snapshots: Names of the index versions, the preferred one first.
    """

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_s: float
    snapshots: tuple[str, ...] = ("s1",)


@dataclass
class Deployment:
    """Both tables as values that scenarios change before they publish them."""

    routes: dict
    pools: dict
    specs: tuple[PoolSpec, ...]
    zones: tuple[str, ...] = ZONES
    address_by_server: dict[tuple[str, str], str] = field(default_factory=dict)

    def routes_text(self) -> str:
        """The routes table."""
        return json.dumps(self.routes, indent=1)

    def pools_text(self) -> str:
        """The pools table."""
        return json.dumps(self.pools, indent=1)

    def spec(self, pool: str) -> PoolSpec:
        """Size of a pool."""
        return next(spec for spec in self.specs if spec.name == pool)


def build_deployment(
    routes: dict,
    specs: tuple[PoolSpec, ...],
    zones: tuple[str, ...] = ZONES,
    host: str = "127.0.0.1",
    first_port: int = FIRST_BACKEND_PORT,
) -> Deployment:
    """Make the pools table for some sizes; the copies of a shard are in different zones."""
    deployment = Deployment(routes, {"zones": {}, "pools": {}}, specs, zones)
    port = first_port
    for spec in specs:
        servers: dict[str, dict] = {}
        rows: list[list[str]] = []
        for shard in range(max(1, spec.shards)):
            row = []
            for copy in range(spec.replicas):
                name = f"{spec.name}-{shard:02d}{'abcdefgh'[copy]}"
                address = f"{host}:{port}"
                servers[name] = {"address": address, "zone": zones[(shard + copy) % len(zones)]}
                deployment.address_by_server[(spec.name, name)] = address
                row.append(name)
                port += 1
            rows.append(row)
        deployment.pools["pools"][spec.name] = _pool(spec, servers, rows)
    return deployment


def _pool(spec: PoolSpec, servers: dict[str, dict], rows: list[list[str]]) -> dict:
    pool = {
        "slots": spec.slots,
        "connections": spec.connections,
        "cold_slots": 1,
        "warm_after": 5,
        "servers": servers,
    }
    if spec.shards:
        pool["snapshots"] = [{"name": name, "shards": rows} for name in spec.snapshots]
    return pool


def load_deployment(routes_text: str, pools_text: str) -> Deployment:
    """A deployment from the texts of both tables, without comments."""
    pools = jsonc.loads(pools_text)
    deployment = Deployment(jsonc.loads(routes_text), pools, _specs(pools))
    for pool_name, pool in pools["pools"].items():
        for server_name, server in pool["servers"].items():
            deployment.address_by_server[(pool_name, server_name)] = server["address"]
    return deployment


def _specs(pools: dict) -> tuple[PoolSpec, ...]:
    return tuple(
        PoolSpec(
            name=name,
            shards=len(pool["snapshots"][0]["shards"]) if "snapshots" in pool else 0,
            replicas=2,
            slots=pool["slots"],
            connections=pool["connections"],
            connect_s=SHARDED_CONNECT_S if "snapshots" in pool else UNSHARDED_CONNECT_S,
            snapshots=tuple(entry["name"] for entry in pool.get("snapshots", ())),
        )
        for name, pool in pools["pools"].items()
    )
