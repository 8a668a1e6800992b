"""The accepted routes and pools tables as frozen data."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

import xxhash

__all__ = [
    "BelowCoverage",
    "Canary",
    "Coverage",
    "Pool",
    "Route",
    "Server",
    "Snapshot",
    "Standing",
    "Tables",
    "UrgencyClass",
]


class Standing(StrEnum):
    """Whether a server or an availability zone takes new work."""

    IN = "in"
    LEAVING = "leaving"
    OUT = "out"


class BelowCoverage(StrEnum):
    """What happens when the deadline comes and coverage is below what the class wants."""

    ANSWER = "answer"
    REFUSE = "refuse"


class Canary(StrEnum):
    """Which requests go to one shard first and to the others only after it answered."""

    SUSPECT = "suspect"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Coverage:
    """What share of the shards an answer needs.

    Attributes:
        wanted: Share from 0 to 1.
        settle_ms: How long to wait for the remaining shards once ``wanted`` is reached.
        below: What happens at the deadline below ``wanted``.
    """

    wanted: float
    settle_ms: int
    below: BelowCoverage


@dataclass(frozen=True)
class UrgencyClass:
    """What a team means by one of its words for urgency.

    Attributes:
        name: The team's word.
        deadline_ms: Longest time from arrival to answer.
        patience_ms: Added to the arrival time to give the place in every queue.
        hedging: Whether stragglers are asked again at another replica.
        repeatable: Whether a request may run more than once.
        coverage: What share of the shards an answer needs.
        canary: Which requests go to one shard first.
    """

    name: str
    deadline_ms: int
    patience_ms: int
    hedging: bool
    repeatable: bool
    coverage: Coverage
    canary: Canary


@dataclass(frozen=True)
class Route:
    """Which requests go where and how urgent they are."""

    name: str
    method: str
    path: str
    urgency: UrgencyClass
    pool: str


@dataclass(frozen=True)
class Server:
    """A backend server of a pool.

    Attributes:
        name: Unique within its pool.
        address: ``ip:port``.
        zone: Availability zone.
        standing: What the table says of this server; its zone's standing comes on top.
    """

    name: str
    address: str
    zone: str
    standing: Standing


@dataclass(frozen=True)
class Snapshot:
    """A version of an index with its shard map.

    Attributes:
        name: Name of the version; empty for a pool that keeps no index.
        servers_by_shard: Names of the servers that hold each shard, by shard number.
    """

    name: str
    servers_by_shard: tuple[tuple[str, ...], ...]


@dataclass(frozen=True)
class Pool:
    """Backend servers that serve one service.

    Attributes:
        name: Name that routes use.
        slots: Requests that one server runs at a time.
        connections: Connections that one server accepts.
        cold_slots: Requests that one server bears at a time in cold start.
        warm_after: Answers in a row after which a server counts as warm.
        owner_groups: Groups into which the servers of one zone are split for ownership.
        server_by_name: All servers.
        snapshots: Versions of the index, the preferred one first.
    """

    name: str
    slots: int
    connections: int
    cold_slots: int
    warm_after: int
    owner_groups: int
    server_by_name: dict[str, Server]
    snapshots: tuple[Snapshot, ...]

    @cached_property
    def group_by_server(self) -> dict[str, int]:
        """Number of the ownership group of each server, the same in every revision."""
        return {
            name: xxhash.xxh32_intdigest(name.encode()) % self.owner_groups
            for name in self.server_by_name
        }


@dataclass(frozen=True)
class Tables:
    """One accepted pair of tables.

    Attributes:
        revision: Revision that the platform gave it.
        digest: Hash of the canonical text.
        canonical: Both tables as one JSON text without comments, with sorted names.
        route_by_name: All routes.
        pool_by_name: All pools.
        zone_standing: Standing of the availability zones that the table names.
    """

    revision: int
    digest: str
    canonical: str
    route_by_name: dict[str, Route]
    pool_by_name: dict[str, Pool]
    zone_standing: dict[str, Standing]

    @cached_property
    def route_by_match(self) -> dict[tuple[str, str], Route]:
        """Routes by method and path."""
        return {(route.method, route.path): route for route in self.route_by_name.values()}

    @cached_property
    def longest_deadline_ms_by_pool(self) -> dict[str, int]:
        """Longest deadline of the routes to each pool."""
        longest: dict[str, int] = {}
        for route in self.route_by_name.values():
            deadline_ms = route.urgency.deadline_ms
            longest[route.pool] = max(deadline_ms, longest.get(route.pool, 0))
        return longest

    def zone_is_in(self, zone: str) -> bool:
        """Whether an availability zone takes new work."""
        return self.zone_standing.get(zone, Standing.IN) is Standing.IN

    def takes_work(self, server: Server) -> bool:
        """Whether a server takes new work, by its own standing and its zone's."""
        return server.standing is Standing.IN and self.zone_is_in(server.zone)
