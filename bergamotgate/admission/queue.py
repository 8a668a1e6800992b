"""Priority queue of the jobs that wait for one backend server.

The more urgent class goes first, then the earlier query. Gateways promote some of the patient
queries to the highest priority, the same ones at every owner, so that patient classes do not
starve.
"""

import heapq
import itertools

from bergamotgate.admission.job import Job, JobStage, QueuePriority
from bergamotgate.wire.generated.ttypes import Reason

__all__ = ["JobQueue", "MAX_QUEUED_JOBS"]

MAX_QUEUED_JOBS = 256


class JobQueue:
    """Bounded priority queue of one backend server's waiting jobs."""

    def __init__(self, limit: int = MAX_QUEUED_JOBS):
        self._limit = limit
        self._heap: list[tuple[QueuePriority, int, Job]] = []
        self._sequence = itertools.count()
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, job: Job) -> None:
        """Add a job; if the queue is full, the last job in priority order is declined."""
        heapq.heappush(self._heap, (job.priority, next(self._sequence), job))
        self._waiting += 1
        if self._waiting > self._limit:
            last = max(entry for entry in self._heap if entry[2].stage is JobStage.QUEUED)
            self._drop(last[2], Reason.QUEUE_FULL)

    def pop(self, now: float, min_service_s: float = 0.0) -> Job | None:
        """Return the next job that can be answered in time; decline those that cannot.

        Args:
            now: The current time, in seconds.
            min_service_s: Minimum service time to expect, in seconds.
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
        """Decline a waiting job that was cancelled."""
        self._drop(job, Reason.CANCELLED_IN_QUEUE)

    def decline_all(self, reason: Reason) -> None:
        """Decline every waiting job."""
        for _, _, job in self._heap:
            if job.stage is JobStage.QUEUED:
                self._drop(job, reason)
        self._heap.clear()

    def next_deadline(self) -> float:
        """Earliest deadline of the waiting jobs, in seconds; infinity if none waits."""
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
