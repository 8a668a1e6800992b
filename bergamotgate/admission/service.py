"""Serves the sub-requests that a peer sends on one stream."""

import asyncio
from collections.abc import Callable

from bergamotgate.admission.job import Job, JobResult
from bergamotgate.admission.owner import Owner
from bergamotgate.admission.server import OwnedServer
from bergamotgate.clock import Clock, milliseconds
from bergamotgate.wire.generated.ttypes import Batch, SubReply, SubRequest

__all__ = ["BatchService"]

OnReplies = Callable[[list[SubReply]], None]


class BatchService:
    """Turns batches into jobs and results into replies, several replies to a frame.

    Attributes:
        in_progress: Jobs of this stream that have no result yet.
    """

    def __init__(self, owner: Owner, clock: Clock, sender: str, on_replies: OnReplies):
        self._owner = owner
        self._clock = clock
        self._sender = sender
        self._on_replies = on_replies
        self._replies: list[SubReply] = []
        self._flush_due = False
        self._placed_by_attempt: dict[int, tuple[Job, OwnedServer | None]] = {}

    @property
    def in_progress(self) -> int:
        """Jobs without result."""
        return len(self._placed_by_attempt)

    def submit(self, batch: Batch) -> None:
        """Start the jobs of a batch."""
        now = self._clock.now()
        for item in batch.items:
            job = self._make_job(batch, item, now)
            self._placed_by_attempt[item.attempt] = (job, None)
            owned = self._owner.submit(batch, item, job)
            if item.attempt in self._placed_by_attempt:
                self._placed_by_attempt[item.attempt] = (job, owned)

    def cancel(self, attempts: list[int]) -> None:
        """Give up jobs that nobody waits for."""
        for attempt in attempts:
            job, owned = self._placed_by_attempt.pop(attempt, (None, None))
            if owned is not None:
                owned.cancel(job)

    def cancel_repeatable(self) -> None:
        """Give up all jobs whose answers have nowhere to go and that may run again."""
        placed = list(self._placed_by_attempt.items())
        self.cancel([attempt for attempt, (job, _) in placed if job.repeatable])

    def _make_job(self, batch: Batch, item: SubRequest, now: float) -> Job:
        return Job(
            identifier=f"{self._sender}-{item.attempt}",
            snapshot=batch.snapshot,
            shard=item.shard,
            body=batch.body,
            arrived_at=now,
            deadline=now + batch.budget_ms / 1000,
            order=now + batch.patience_ms / 1000,
            hedge=item.hedge,
            repeatable=batch.repeatable,
            key=batch.key or "",
            on_done=lambda result: self._finished(item.attempt, result),
        )

    def _finished(self, attempt: int, result: JobResult) -> None:
        job, owned = self._placed_by_attempt.pop(attempt, (None, None))
        if job is None:
            return
        self._replies.append(
            SubReply(
                attempt,
                result.outcome,
                result.reason,
                milliseconds(result.wait_s),
                milliseconds(result.service_s),
                result.body or None,
                len(owned.queue) if owned is not None else 0,
            )
        )
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        replies, self._replies = self._replies, []
        self._on_replies(replies)
