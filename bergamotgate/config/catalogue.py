"""Published routes and services of a fleet whose backend servers are discovered, not listed.

A catalogue is one version of the operators' configuration. A query pins the catalogue that is in
force when it arrives, so that all its parts come from the shards of one version.
"""

import random
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import cached_property

__all__ = [
    "Catalogue",
    "ClientLimits",
    "PoolRules",
    "Repeatability",
    "Route",
    "ShardSet",
    "WeightedPool",
]


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = auto()
    AT_MOST_ONCE = auto()


@dataclass(frozen=True)
class WeightedPool:
    """A pool and its share of a route's requests.

    Attributes:
        pool: Name of the pool.
        weight: Share in proportion to the other weights of the route.
    """

    pool: str
    weight: float


@dataclass(frozen=True)
class ShardSet:
    """The pools that each hold one shard of an index.

    Attributes:
        pools: One pool name for each shard.
        top_records: Number of greatest records in an answer.
        min_share: Least share of shards, 0 to 1, that makes an answer a success.
    """

    pools: tuple[str, ...]
    top_records: int
    min_share: float

    @property
    def min_parts(self) -> int:
        """Least number of shards in an answer."""
        total = len(self.pools)
        return max(1, next(n for n in range(total + 1) if n >= self.min_share * total - 1e-9))


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name of the requests, lower case.
        prefix: Beginning of the path, with a slash at both ends.
        repeatability: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting.
        latency_objective_s: Time within which an answer is worth most to its caller.
        max_servers: Most servers that one request may be sent to, for each shard.
        priority: Rank; 0 is the most urgent.
        weighted_pools: Pools that share the requests; empty for a sharded route.
        shards: The shards that each request needs; None for a route without shards.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    latency_objective_s: float
    max_servers: int
    priority: int
    weighted_pools: tuple[WeightedPool, ...] = ()
    shards: ShardSet | None = None

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT

    def choose_pool(self, rng: random.Random) -> str:
        """One of the weighted pools, by its weight."""
        if len(self.weighted_pools) == 1:
            return self.weighted_pools[0].pool
        weights = [part.weight for part in self.weighted_pools]
        return rng.choices(self.weighted_pools, weights)[0].pool


@dataclass(frozen=True)
class PoolRules:
    """What the operators say of the servers of a pool.

    Attributes:
        name: Name of the pool.
        health_path: Path of the health check.
        max_connections: Most connections to one server, of all callers together.
        cold_start_s: Time for which a server is cold after its start.
        cold_requests_per_s: Requests a second that a cold server bears; 0 for no stated limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send.

    Attributes:
        header_bytes: Longest request head.
        body_bytes: Longest body.
        header_timeout_s: Longest time for a request head to arrive.
        idle_timeout_s: Longest time that a connection stays open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration.

    Attributes:
        version: Grows with each configuration.
        routes: All routes.
        rules_by_pool: Rules of each pool.
        limits: What clients may send.
    """

    version: int
    routes: tuple[Route, ...]
    rules_by_pool: dict[str, PoolRules]
    limits: ClientLimits = field(default_factory=ClientLimits)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
