"""Jobs in the order in which they go to a backend server.

The more urgent class goes first, then the earlier query. Gateways promote a part of the patient
queries to the most urgent place, the same at every owner, so that patience is no starvation.
"""

import heapq
import itertools

from bergamotgate.admission.job import Job, JobStage, QueuePriority
from bergamotgate.wire.generated.ttypes import Reason

__all__ = ["JobQueue", "MAX_QUEUED_JOBS"]

MAX_QUEUED_JOBS = 256


class JobQueue:
    """Waiting jobs of one backend server."""

    def __init__(self, limit: int = MAX_QUEUED_JOBS):
        self._limit = limit
        self._heap: list[tuple[QueuePriority, int, Job]] = []
        self._count = itertools.count()
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, job: Job) -> None:
        """Take in a job; when the queue is full, the last one in order is declined."""
        heapq.heappush(self._heap, (job.priority, next(self._count), job))
        self._waiting += 1
        if self._waiting > self._limit:
            last = max(entry for entry in self._heap if entry[2].stage is JobStage.QUEUED)
            self._drop(last[2], Reason.QUEUE_FULL)

    def pop(self, now: float, min_service_s: float = 0.0) -> Job | None:
        """The next job that can be answered in time; those that cannot are declined.

        Args:
            now: The time in seconds.
            min_service_s: Least time that an answer takes.
        """
        while self._heap:
            job = heapq.heappop(self._heap)[2]
            if job.stage is not JobStage.QUEUED:
                continue
            if job.deadline <= now + min_service_s:
                self._drop(job, Reason.EXPIRED_IN_QUEUE)
                continue
            self._waiting -= 1
            return job
        return None

    def cancel(self, job: Job) -> None:
        """Decline a waiting job that nobody wants any more."""
        self._drop(job, Reason.CANCELLED_IN_QUEUE)

    def decline_all(self, reason: Reason) -> None:
        """Decline every waiting job."""
        for _, _, job in self._heap:
            if job.stage is JobStage.QUEUED:
                self._drop(job, reason)
        self._heap.clear()

    def next_deadline(self) -> float:
        """When the first waiting job expires, in seconds; infinity when none waits."""
        waiting = (job.deadline for _, _, job in self._heap if job.stage is JobStage.QUEUED)
        return min(waiting, default=float("inf"))

    def expire(self, now: float) -> None:
        """Decline jobs whose deadline has passed."""
        for _, _, job in list(self._heap):
            if job.stage is JobStage.QUEUED and job.deadline <= now:
                self._drop(job, Reason.EXPIRED_IN_QUEUE)

    def _drop(self, job: Job, reason: Reason) -> None:
        self._waiting -= 1
        job.decline(reason)
