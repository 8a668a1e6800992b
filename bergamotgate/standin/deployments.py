"""Builds the routes and pools tables of deployments, which simulated fleets publish."""

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
    """Size and limits of a pool.

    Attributes:
        name: Name of the pool.
        shards: Number of shards; 0 for a service without shards.
        replicas: Servers per shard, or per service without shards.
        slots: Concurrent requests per server.
        connections: Open connections per server.
        connect_s: Time to open a connection, in seconds.
        snapshots: Names of the index snapshots, the preferred one first.
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
    """The routes and pools tables, which scenarios modify and publish again.

    Attributes:
        routes: The routes table.
        pools: The pools table.
        specs: Sizes and limits of the pools.
        zones: Availability zones.
        address_by_server: ``ip:port`` by pool name and server name.
    """

    routes: dict
    pools: dict
    specs: tuple[PoolSpec, ...]
    zones: tuple[str, ...] = ZONES
    address_by_server: dict[tuple[str, str], str] = field(default_factory=dict)

    def routes_text(self) -> str:
        """The routes table as JSON text."""
        return json.dumps(self.routes, indent=1)

    def pools_text(self) -> str:
        """The pools table as JSON text."""
        return json.dumps(self.pools, indent=1)

    def spec(self, pool: str) -> PoolSpec:
        """Size and limits of a pool."""
        return next(spec for spec in self.specs if spec.name == pool)


def build_deployment(
    routes: dict,
    specs: tuple[PoolSpec, ...],
    zones: tuple[str, ...] = ZONES,
    host: str = "127.0.0.1",
    first_port: int = FIRST_BACKEND_PORT,
) -> Deployment:
    """Build a deployment from pool sizes, with the replicas of a shard in different zones."""
    deployment = Deployment(routes, {"zones": {}, "pools": {}}, specs, zones)
    port = first_port
    for spec in specs:
        servers: dict[str, dict] = {}
        servers_by_shard: list[list[str]] = []
        for shard in range(max(1, spec.shards)):
            shard_servers = []
            for replica in range(spec.replicas):
                name = f"{spec.name}-{shard:02d}{'abcdefgh'[replica]}"
                address = f"{host}:{port}"
                servers[name] = {"address": address, "zone": zones[(shard + replica) % len(zones)]}
                deployment.address_by_server[(spec.name, name)] = address
                shard_servers.append(name)
                port += 1
            servers_by_shard.append(shard_servers)
        deployment.pools["pools"][spec.name] = _pool(spec, servers, servers_by_shard)
    return deployment


def _pool(spec: PoolSpec, servers: dict[str, dict], servers_by_shard: list[list[str]]) -> dict:
    pool = {
        "slots": spec.slots,
        "connections": spec.connections,
        "cold_slots": 1,
        "warm_after": 5,
        "servers": servers,
    }
    if spec.shards:
        pool["snapshots"] = [{"name": name, "shards": servers_by_shard} for name in spec.snapshots]
    return pool


def load_deployment(routes_text: str, pools_text: str) -> Deployment:
    """Read a deployment from the texts of both tables; their comments are dropped."""
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
