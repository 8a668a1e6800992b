"""A sub-request at its owner, from arrival to its one result."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from bergamotgate.backend.connection import BackendConnection
from bergamotgate.wire.generated.ttypes import Outcome, Reason

__all__ = ["Job", "JobResult", "JobStage", "QueuePriority"]


class JobStage(Enum):
    """How far a job has come."""

    QUEUED = auto()
    RUNNING = auto()
    DONE = auto()


@dataclass(frozen=True)
class JobResult:
    """What became of a job.

    Attributes:
        outcome: Whether it was answered, did not run, or nobody knows.
        reason: Why there is no answer.
        body: The answer.
        wait_s: Time in the queue.
        service_s: Time at the backend server.
        depth: Jobs that wait or run at the server.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    body: bytes = b""
    wait_s: float = 0.0
    service_s: float = 0.0
    depth: int = 0


@dataclass(frozen=True, order=True)
class QueuePriority:
    """Place in a queue: the smaller patience first, then the earlier query.

    Attributes:
        patience_ms: Patience of the class.
        query_arrived_at: When the query came to its gateway, in seconds.
    """

    patience_ms: int
    query_arrived_at: float


@dataclass(eq=False)
class Job:
    """A sub-request that waits or runs.

    Attributes:
        identifier: Unique to this attempt.
        snapshot: Version of the index to answer from.
        shard: Number of the shard.
        body: The caller's body.
        arrived_at: When it came, in seconds.
        deadline: When its answer is worthless, in seconds.
        priority: Place in the queue; smaller goes first.
        only_if_free: Whether it is declined when no slot is free at once.
        repeatable: Whether it may reach the server more than once.
        key: The caller's idempotency key.
        on_done: Called once with the result.
    """

    identifier: str
    snapshot: str
    shard: int
    body: bytes
    arrived_at: float
    deadline: float
    priority: QueuePriority
    only_if_free: bool
    repeatable: bool
    key: str
    on_done: Callable[[JobResult], None]
    stage: JobStage = JobStage.QUEUED
    started_at: float = 0.0
    connection: BackendConnection | None = field(default=None, repr=False)

    def finish(self, result: JobResult) -> None:
        """Hand over the result, once."""
        if self.stage is not JobStage.DONE:
            self.stage = JobStage.DONE
            self.on_done(result)

    def decline(self, reason: Reason, depth: int = 0) -> None:
        """End a job that was never sent."""
        self.finish(JobResult(Outcome.NOT_RUN, reason, depth=depth))
