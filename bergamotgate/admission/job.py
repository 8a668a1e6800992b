"""A sub-request at its owner, from arrival to its single result."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from bergamotgate.backend.connection import BackendConnection
from bergamotgate.wire.generated.ttypes import Outcome, Reason

__all__ = ["Job", "JobResult", "JobStage", "QueuePriority"]


class JobStage(Enum):
    """Stage in the life cycle of a job."""

    QUEUED = auto()
    RUNNING = auto()
    DONE = auto()


@dataclass(frozen=True)
class JobResult:
    """The result of a job.

    Attributes:
        outcome: Whether the job was answered, did not run, or may have run.
        reason: Why there is no answer.
        body: The answer.
        wait_s: Time in the queue, in seconds.
        service_s: Time at the backend server, in seconds.
        depth: Number of jobs queued or running at the server.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    body: bytes = b""
    wait_s: float = 0.0
    service_s: float = 0.0
    depth: int = 0


@dataclass(frozen=True, order=True)
class QueuePriority:
    """Sort key of a queue: smaller patience first, then the earlier query.

    Attributes:
        patience_ms: Patience of the urgency class; 0 for a promoted query.
        query_arrived_at: Time when the query arrived at its gateway, in seconds.
    """

    patience_ms: int
    query_arrived_at: float


@dataclass(eq=False)
class Job:
    """A sub-request that is queued or running at its owner.

    Attributes:
        identifier: Unique to this attempt.
        snapshot: Version of the index to answer from.
        shard: Number of the shard.
        body: The caller's body.
        arrived_at: Time of arrival at the owner, in seconds.
        deadline: Time after which the answer is useless, in seconds.
        priority: Sort key in the queue; the smallest goes first.
        only_if_free: Whether the job is declined if no slot is free on arrival.
        repeatable: Whether the request may reach the server more than once.
        key: The caller's idempotency key; empty for none.
        on_done: Called with the result, at most once.
        stage: Stage in the life cycle.
        started_at: Time when it was sent to the server, in seconds.
        connection: Connection that it runs on, or None.
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
        """Deliver the result; later results are ignored."""
        if self.stage is not JobStage.DONE:
            self.stage = JobStage.DONE
            self.on_done(result)

    def decline(self, reason: Reason, depth: int = 0) -> None:
        """Finish a job that was never sent to the server."""
        self.finish(JobResult(Outcome.NOT_RUN, reason, depth=depth))
