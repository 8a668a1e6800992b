"""Progress of a query on each of its shards."""

from dataclasses import dataclass, field

from bergamotgate.gather.replicas import Candidate
from bergamotgate.wire.generated.ttypes import Reason

__all__ = ["Attempt", "ShardState"]


@dataclass
class Attempt:
    """A sub-request in flight.

    Attributes:
        number: Number of the sub-request, unique in this process.
        shard: Number of the shard.
        candidate: The replica and owner that it was sent to.
        sent_at: When it was sent, in seconds.
        extra: Whether it counts against the budget for hedges and retries.
    """

    number: int
    shard: int
    candidate: Candidate
    sent_at: float
    extra: bool


@dataclass
class ShardState:
    """State of one shard in a query.

    Attributes:
        body: The answer, or None.
        reason: Reason of the last failure.
        attempt_count: First attempts and retries so far, without hedges and rerouted attempts.
        hedges: Number of hedges so far, including declined ones.
        may_have_run: Whether some attempt may have run.
        tried_servers: Servers to skip for now.
        in_flight_by_number: Sub-requests in flight, by attempt number.
        retry_at: Time of the next retry, in seconds; None if none is scheduled.
        given_up: Whether the shard will not be attempted again.
    """

    body: bytes | None = None
    reason: Reason = Reason.NONE
    attempt_count: int = 0
    hedges: int = 0
    may_have_run: bool = False
    tried_servers: set[str] = field(default_factory=set)
    in_flight_by_number: dict[int, Attempt] = field(default_factory=dict)
    retry_at: float | None = None
    given_up: bool = False
