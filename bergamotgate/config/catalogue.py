"""Published routes and services of a fleet whose backend servers are discovered, not configured.

A catalogue is one version of the operators' configuration. A query uses the catalogue that is in
force when it arrives, so that all parts of its answer come from shards of one version.
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
    """A pool and its weight in the traffic split of a route.

    Attributes:
        pool: Name of the pool.
        weight: Share of the requests, relative to the other weights of the route.
    """

    pool: str
    weight: float


@dataclass(frozen=True)
class ShardSet:
    """The pools that each hold one shard of an index.

    Attributes:
        pools: One pool name for each shard.
        top_records: Maximum number of records in an answer; the greatest are kept.
        min_share: Minimum share of shards, 0 to 1, for an answer to count as a success.
    """

    pools: tuple[str, ...]
    top_records: int
    min_share: float

    @property
    def min_shards(self) -> int:
        """Minimum number of shards in a successful answer."""
        total = len(self.pools)
        return max(1, next(n for n in range(total + 1) if n >= self.min_share * total - 1e-9))


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name of the requests, lower case.
        prefix: Path prefix, with a slash at both ends.
        repeatability: Whether a request may run more than once.
        timeout_s: Maximum time that a caller waits for an answer.
        latency_objective_s: Latency objective; answers within it have the highest value to the
            caller.
        max_servers: Maximum number of servers that one request is sent to, for each shard.
        priority: Priority level; 0 is the most urgent.
        weighted_pools: Pools among which requests are split; empty for a sharded route.
        shards: Shards that each request is sent to; None for a route without shards.
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
        """Choose one of the pools at random by weight."""
        if len(self.weighted_pools) == 1:
            return self.weighted_pools[0].pool
        weights = [part.weight for part in self.weighted_pools]
        return rng.choices(self.weighted_pools, weights)[0].pool


@dataclass(frozen=True)
class PoolRules:
    """Operator settings for the servers of a pool.

    Attributes:
        name: Name of the pool.
        health_path: Path of the health check.
        max_connections: Maximum number of connections to one server, from all callers together.
        cold_start_s: Duration of the cold start of a server.
        cold_requests_per_s: Maximum request rate of a cold server; 0 if no limit is given.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@dataclass(frozen=True)
class ClientLimits:
    """Limits on what a client may send.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum time for a request head to arrive.
        idle_timeout_s: Maximum time that a connection stays open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration.

    Attributes:
        version: Increases with each configuration.
        routes: All routes.
        rules_by_pool: Rules of each pool.
        limits: Limits on client requests.
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
        """Return the route with the longest prefix of the path, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
