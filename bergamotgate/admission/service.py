"""Serves the sub-requests of one gateway process, whatever connections they come on.

A gateway numbers its sub-requests in rising order and delivers them again after a connection was
lost. A number that is not higher than all seen before was seen already: it is never run again.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from bergamotgate.admission.job import Job, JobResult, QueuePriority
from bergamotgate.admission.owner import Owner
from bergamotgate.admission.server import OwnedServer
from bergamotgate.clock import Clock, milliseconds
from bergamotgate.wire.generated.ttypes import Batch, Outcome, Reason, SubReply, SubRequest

__all__ = ["BatchService"]

REMEMBERED_REPLIES = 512

OnReplies = Callable[[list[SubReply]], None]


class BatchService:
    """Turns batches into jobs and results into replies, several replies to a frame.

    Attributes:
        on_replies: Takes the replies; changed when the gateway connects anew.
    """

    def __init__(self, owner: Owner, clock: Clock, sender: str, on_replies: OnReplies):
        self.on_replies = on_replies
        self._owner = owner
        self._clock = clock
        self._sender = sender
        self._highest_seen = 0
        self._replies: list[SubReply] = []
        self._flush_due = False
        self._placed_by_attempt: dict[int, tuple[Job, OwnedServer | None]] = {}
        self._recent_by_attempt: OrderedDict[int, SubReply] = OrderedDict()

    def submit(self, batch: Batch) -> None:
        """Start the jobs of a batch, but for those that were seen before."""
        now = self._clock.now()
        for item in batch.items:
            if item.attempt <= self._highest_seen:
                self._answer_again(item.attempt)
                continue
            self._highest_seen = item.attempt
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

    def _answer_again(self, attempt: int) -> None:
        """Answer a second delivery; one that still runs answers by itself."""
        if attempt in self._placed_by_attempt:
            return
        reply = self._recent_by_attempt.get(attempt)
        if reply is None:
            reply = SubReply(attempt, Outcome.UNKNOWN, Reason.LINK_LOST, 0, 0)
        self._reply(reply)

    def _make_job(self, batch: Batch, item: SubRequest, now: float) -> Job:
        return Job(
            identifier=f"{self._sender}-{item.attempt}",
            snapshot=batch.snapshot,
            shard=item.shard,
            body=batch.body,
            arrived_at=now,
            deadline=now + batch.budget_ms / 1000,
            priority=QueuePriority(batch.patience_ms, now - batch.age_ms / 1000),
            only_if_free=item.only_if_free,
            repeatable=batch.repeatable,
            key=batch.key or "",
            on_done=lambda result: self._finished(item.attempt, result),
        )

    def _finished(self, attempt: int, result: JobResult) -> None:
        job, _ = self._placed_by_attempt.pop(attempt, (None, None))
        if job is None:
            return
        reply = SubReply(
            attempt,
            result.outcome,
            result.reason,
            milliseconds(result.wait_s),
            milliseconds(result.service_s),
            result.body or None,
            result.depth,
        )
        self._recent_by_attempt[attempt] = reply
        if len(self._recent_by_attempt) > REMEMBERED_REPLIES:
            self._recent_by_attempt.popitem(last=False)
        self._reply(reply)

    def _reply(self, reply: SubReply) -> None:
        self._replies.append(reply)
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        replies, self._replies = self._replies, []
        self.on_replies(replies)
