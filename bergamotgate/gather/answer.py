"""Types for a query to a pool and for the answer gathered from its shards."""

from dataclasses import dataclass

from bergamotgate.config.tables import Route

__all__ = ["MissingShard", "QueryAnswer", "QueryRequest"]


@dataclass(frozen=True)
class QueryRequest:
    """A caller's request, routed to a pool.

    Attributes:
        route: The route that matched.
        body: The caller's body.
        arrived_at: Arrival time, in seconds.
        deadline: Time after which the answer is useless, in seconds.
        fingerprint: Hash of route and body.
        key: The caller's idempotency key; empty for none.
        promoted: Whether it has the highest priority in queues, regardless of its class.
    """

    route: Route
    body: bytes
    arrived_at: float
    deadline: float
    fingerprint: str
    key: str = ""
    promoted: bool = False


@dataclass(frozen=True)
class MissingShard:
    """A shard that returned no answer, and why."""

    shard: int
    reason: str


@dataclass(frozen=True)
class QueryAnswer:
    """The answers of the shards of one snapshot.

    Attributes:
        snapshot: Version of the index.
        total: Number of shards in the snapshot.
        body_by_shard: Answers by shard number.
        missing: Shards that returned no answer.
    """

    snapshot: str
    total: int
    body_by_shard: dict[int, bytes]
    missing: tuple[MissingShard, ...]

    @property
    def coverage(self) -> float:
        """Fraction of shards that answered."""
        return len(self.body_by_shard) / self.total
