"""How far each shard of a query has come."""

from dataclasses import dataclass, field

from bergamotgate.gather.replicas import Candidate
from bergamotgate.wire.generated.ttypes import Reason

__all__ = ["Attempt", "ShardState"]


@dataclass
class Attempt:
    """A sub-request on its way.

    Attributes:
        number: Number of the sub-request, unique in this process.
        shard: Number of the shard.
        candidate: Where it went.
        sent_at: When it was sent, in seconds.
        extra: Whether it counts against the budget.
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
        reason: Why the last attempt failed.
        tries: First sendings and retries so far.
        hedges: Hedges so far, declined ones included.
        ran: Whether some attempt may have run.
        tried: Servers that need not be tried again now.
        attempts: Sub-requests on their way, by number.
        retry_at: When to ask again, in seconds; None for never.
        given_up: Whether no further attempt can help.
    """

    body: bytes | None = None
    reason: Reason = Reason.NONE
    tries: int = 0
    hedges: int = 0
    ran: bool = False
    tried: set[str] = field(default_factory=set)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    retry_at: float | None = None
    given_up: bool = False
