"""Serves the sub-requests of one gateway process, across its connections.

A gateway numbers its sub-requests in ascending order and delivers them again after a connection is
lost. A number that is not higher than all earlier ones is a duplicate and is never run again.
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

MAX_RECENT_REPLIES = 512

OnReplies = Callable[[list[SubReply]], None]


class BatchService:
    """Turns batches into jobs and results into replies, with several replies per frame.

    Attributes:
        on_replies: Called with each list of replies; replaced when the gateway reconnects.
    """

    def __init__(self, owner: Owner, clock: Clock, sender: str, on_replies: OnReplies):
        self.on_replies = on_replies
        self._owner = owner
        self._clock = clock
        self._sender = sender
        self._highest_seen = 0
        self._replies: list[SubReply] = []
        self._flush_due = False
        self._job_by_attempt: dict[int, tuple[Job, OwnedServer | None]] = {}
        self._recent_reply_by_attempt: OrderedDict[int, SubReply] = OrderedDict()

    def submit(self, batch: Batch) -> None:
        """Submit the jobs of a batch; answer duplicates without running them again."""
        now = self._clock.now()
        for item in batch.items:
            if item.attempt <= self._highest_seen:
                self._resend_reply(item.attempt)
                continue
            self._highest_seen = item.attempt
            job = self._make_job(batch, item, now)
            self._job_by_attempt[item.attempt] = (job, None)
            owned = self._owner.submit(batch, item, job)
            if item.attempt in self._job_by_attempt:
                self._job_by_attempt[item.attempt] = (job, owned)

    def cancel(self, attempts: list[int]) -> None:
        """Cancel jobs whose results are no longer needed."""
        for attempt in attempts:
            job, owned = self._job_by_attempt.pop(attempt, (None, None))
            if owned is not None:
                owned.cancel(job)

    def cancel_repeatable(self) -> None:
        """Cancel all repeatable jobs, as their answers can no longer be delivered."""
        pending = list(self._job_by_attempt.items())
        self.cancel([attempt for attempt, (job, _) in pending if job.repeatable])

    def _resend_reply(self, attempt: int) -> None:
        """Answer a duplicate, unless its job is pending and will reply by itself."""
        if attempt in self._job_by_attempt:
            return
        reply = self._recent_reply_by_attempt.get(attempt)
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
            on_done=lambda result: self._on_job_done(item.attempt, result),
        )

    def _on_job_done(self, attempt: int, result: JobResult) -> None:
        job, _ = self._job_by_attempt.pop(attempt, (None, None))
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
        self._recent_reply_by_attempt[attempt] = reply
        if len(self._recent_reply_by_attempt) > MAX_RECENT_REPLIES:
            self._recent_reply_by_attempt.popitem(last=False)
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
