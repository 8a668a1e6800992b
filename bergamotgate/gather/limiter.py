"""Limits the queries of one urgency class that a gateway has in progress on a pool.

Overload is thus shed at the gateway, before anything is sent. The limit grows while answers come
back without queueing and shrinks when queues build up at the owners. Each class has its own
limiter: owners serve the more urgent class first, so patient queries in progress take no capacity
from urgent ones. A query beyond the limit waits here and is refused once the time left to its
deadline is too short for an average run. Every eighth query that waited is promoted to the highest
priority at the owners, so that no class starves.
"""

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from bergamotgate.clock import Clock

__all__ = ["Admitted", "Congestion", "QueryLimiter"]

MIN_LIMIT = 1.0
MIN_INITIAL_LIMIT = 2.0
MIN_MAX_LIMIT = 4.0
MAX_LIMIT_PER_CAPACITY = 2.0
DECREASE_INTERVAL_S = 0.1
MAX_WAITING = 512
PROMOTION_INTERVAL = 8
RUN_TIME_FACTOR = 2.2
RUN_TIME_SMOOTHING = 0.1


class Congestion(IntEnum):
    """Level of congestion that a query met at the owners."""

    NONE = 0
    QUEUEING = 1
    EXPIRY = 2


DECREASE_FACTOR_BY_CONGESTION = {Congestion.QUEUEING: 0.93, Congestion.EXPIRY: 0.7}


@dataclass(frozen=True)
class Admitted:
    """Permission to run a query.

    Attributes:
        promoted: Whether the query has the highest priority at the owners.
    """

    promoted: bool


@dataclass(eq=False)
class _Waiter:
    """A query that waits for admission; ``admission`` resolves to None when it is refused."""

    deadline: float
    admission: asyncio.Future


class QueryLimiter:
    """Admits the queries of one class to one pool.

    Attributes:
        running: Queries in progress.
    """

    def __init__(self, clock: Clock, capacity: int, gateways: int):
        """Start with this gateway's part of the pool's concurrency.

        Args:
            clock: Time source.
            capacity: Queries that the pool's slots can run concurrently.
            gateways: Number of gateways that share the pool.
        """
        self._clock = clock
        self._max_limit = max(MIN_MAX_LIMIT, MAX_LIMIT_PER_CAPACITY * capacity)
        self._limit = max(MIN_INITIAL_LIMIT, self._max_limit / max(1, gateways))
        self._decreased_at = float("-inf")
        self._mean_run_s = 0.0
        self._waiters: deque[_Waiter] = deque()
        self._queued_admissions = itertools.count(1)
        self.running = 0

    @property
    def limit(self) -> int:
        """Maximum number of queries in progress."""
        return int(self._limit)

    @property
    def waiting(self) -> int:
        """Number of queries that wait for admission."""
        return sum(1 for waiter in self._waiters if not waiter.admission.done())

    async def admit(self, deadline: float) -> Admitted | None:
        """Wait for admission; None when it is refused or does not come in time.

        Args:
            deadline: Time after which the answer is useless, in seconds.
        """
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return Admitted(promoted=False)
        if self.waiting >= MAX_WAITING:
            return None
        waiter = _Waiter(deadline, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        return await self._await_admission(waiter)

    def release(self, congestion: Congestion, complete_run_s: float | None) -> None:
        """End a query, adjust the limit and admit the next one.

        Args:
            congestion: Congestion that the query met at the owners.
            complete_run_s: Run time until the complete answer; None if it is partial or missing.
        """
        if complete_run_s is not None:
            self._mean_run_s += RUN_TIME_SMOOTHING * (complete_run_s - self._mean_run_s)
        if congestion is not Congestion.NONE:
            self._decrease(DECREASE_FACTOR_BY_CONGESTION[congestion])
        elif self.running >= self.limit:
            self._limit = min(self._max_limit, self._limit + 1 / self._limit)
        self.running -= 1
        self._admit_next()

    async def _await_admission(self, waiter: _Waiter) -> Admitted | None:
        timeout_s = self._latest_start(waiter) - self._clock.now()
        try:
            async with self._clock.timeout(timeout_s):
                return await waiter.admission
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise

    def _return_slot(self, waiter: _Waiter) -> None:
        """Release the slot of a query that was cancelled just as it was admitted."""
        admission = waiter.admission
        if admission.done() and not admission.cancelled() and admission.result() is not None:
            self.running -= 1
            self._admit_next()

    def _latest_start(self, waiter: _Waiter) -> float:
        return waiter.deadline - RUN_TIME_FACTOR * self._mean_run_s

    def _decrease(self, factor: float) -> None:
        now = self._clock.now()
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(MIN_LIMIT, self._limit * factor)

    def _admit_next(self) -> None:
        while self._waiters and self.running < self.limit:
            waiter = self._waiters.popleft()
            if waiter.admission.done():
                continue
            if self._clock.now() > self._latest_start(waiter):
                waiter.admission.set_result(None)
                continue
            self.running += 1
            waiter.admission.set_result(
                Admitted(next(self._queued_admissions) % PROMOTION_INTERVAL == 0)
            )
