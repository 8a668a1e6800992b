"""What a gateway is asked and what it answers."""

from dataclasses import dataclass

from bergamotgate.config.tables import Route

__all__ = ["MissingShard", "QueryAnswer", "QueryRequest"]


@dataclass(frozen=True)
class QueryRequest:
    """A caller's request on its way to a pool.

    Attributes:
        route: The route that matched.
        body: The caller's body.
        arrived_at: When it came, in seconds.
        deadline: When its answer is worthless, in seconds.
        fingerprint: Hash of route and body.
        key: The caller's idempotency key; empty for none.
        promoted: Whether it takes the most urgent place in queues whatever its class.
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
    """A shard without answer."""

    shard: int
    reason: str


@dataclass(frozen=True)
class QueryAnswer:
    """An answer from one snapshot.

    Attributes:
        snapshot: Version of the index.
        total: Number of shards of that version.
        body_by_shard: Answers by shard number.
        missing: Shards without answer, and why.
    """

    snapshot: str
    total: int
    body_by_shard: dict[int, bytes]
    missing: tuple[MissingShard, ...]

    @property
    def coverage(self) -> float:
        """Share of shards that answered."""
        return len(self.body_by_shard) / self.total
