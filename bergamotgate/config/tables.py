"""Immutable data model of the accepted routes and pools tables."""

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
    """Administrative state of a server or an availability zone; only ``IN`` takes new work."""

    IN = "in"
    LEAVING = "leaving"
    OUT = "out"


class BelowCoverage(StrEnum):
    """Action at the deadline if coverage is below the wanted share."""

    ANSWER = "answer"
    REFUSE = "refuse"


class Canary(StrEnum):
    """Selects the requests that are sent to one shard first and to the others after it answered."""

    SUSPECT = "suspect"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Coverage:
    """Share of the shards that an answer needs.

    Attributes:
        wanted: Share from 0 to 1.
        settle_ms: Time to wait for the remaining shards once ``wanted`` is reached.
        below: Action at the deadline if ``wanted`` is not reached.
    """

    wanted: float
    settle_ms: int
    below: BelowCoverage


@dataclass(frozen=True)
class UrgencyClass:
    """An urgency class as defined by a team.

    Attributes:
        name: The team's name for the class.
        deadline_ms: Maximum time from arrival to answer.
        patience_ms: Added to the arrival time; queues are ordered by the sum.
        hedging: Whether slow sub-requests are sent again to another replica.
        repeatable: Whether a request may run more than once.
        coverage: Share of the shards that an answer needs.
        canary: Which requests are sent to one shard first.
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
    """Maps requests by method and path to a pool and an urgency class."""

    name: str
    method: str
    path: str
    urgency: UrgencyClass
    pool: str


@dataclass(frozen=True)
class Server:
    """A backend server of a pool.

    Attributes:
        name: Name, unique within the pool.
        address: ``ip:port``.
        zone: Availability zone.
        standing: Standing of this server by the table; the standing of its zone applies as well.
    """

    name: str
    address: str
    zone: str
    standing: Standing


@dataclass(frozen=True)
class Snapshot:
    """A version of an index with its shard map.

    Attributes:
        name: Name of the version; empty for a pool without an index.
        servers_by_shard: Names of the servers that hold each shard, by shard number.
    """

    name: str
    servers_by_shard: tuple[tuple[str, ...], ...]


@dataclass(frozen=True)
class Pool:
    """The backend servers of one service.

    Attributes:
        name: Name that routes use.
        slots: Maximum number of concurrent requests of one server.
        connections: Maximum number of connections that one server accepts.
        cold_slots: Maximum number of concurrent requests of one server during its cold start.
        warm_after: Consecutive answers after which a server counts as warm.
        owner_groups: Number of groups into which the servers of a zone are split for ownership.
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
        """Ownership group of each server, by a hash of its name; the same in every revision."""
        return {
            name: xxhash.xxh32_intdigest(name.encode()) % self.owner_groups
            for name in self.server_by_name
        }


@dataclass(frozen=True)
class Tables:
    """One accepted pair of tables.

    Attributes:
        revision: Revision number assigned by the platform.
        digest: Hash of the canonical text.
        canonical: Both tables as one JSON text without comments, with sorted keys.
        route_by_name: All routes.
        pool_by_name: All pools.
        zone_standing: Standing of the availability zones that are listed in the table.
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
        """Return whether an availability zone takes new work."""
        return self.zone_standing.get(zone, Standing.IN) is Standing.IN

    def takes_work(self, server: Server) -> bool:
        """Return whether a server takes new work, by its own standing and that of its zone."""
        return server.standing is Standing.IN and self.zone_is_in(server.zone)
