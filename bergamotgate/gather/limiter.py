"""Bounds the queries of one class that a gateway has in progress on a pool.

Overload is thus refused at once, before anything is sent. The limit grows while answers come
without queueing and shrinks when queues build up at the owners. Each urgency has a limiter of its
own: at the owners the more urgent class goes first, so patient queries in progress take nothing
from it. A query beyond the limit waits here and is refused once too little of its deadline is left
for a usual run. Every eighth one that had to wait is promoted to the most urgent place at the
owners, so that no class starves.
"""

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from bergamotgate.clock import Clock

__all__ = ["Admitted", "Congestion", "QueryLimiter"]

LEAST_LIMIT = 1.0
LEAST_FIRST_LIMIT = 2.0
LEAST_MOST_LIMIT = 4.0
MOST_PER_CAPACITY = 2.0
DECREASE_EVERY_S = 0.1
MAX_WAITING = 512
PROMOTED_EVERY = 8
NEEDED_RUNS = 2.2
SMOOTHING = 0.1


class Congestion(IntEnum):
    """What a query met at the owners."""

    NONE = 0
    QUEUES = 1
    EXPIRY = 2


DECREASE = {Congestion.QUEUES: 0.93, Congestion.EXPIRY: 0.7}


@dataclass(frozen=True)
class Admitted:
    """Leave to run a query.

    Attributes:
        promoted: Whether it takes the most urgent place at the owners.
    """

    promoted: bool


@dataclass(eq=False)
class _Waiting:
    """A query that waits for its turn."""

    deadline: float
    turn: asyncio.Future


class QueryLimiter:
    """Admits the queries of one class to one pool.

    Attributes:
        running: Queries in progress.
    """

    def __init__(self, clock: Clock, capacity: int, gateways: int):
        """Start with this gateway's part of what the pool can run at a time.

        Args:
            clock: Time.
            capacity: Queries that the pool's slots can run at a time.
            gateways: Number of gateways that share the pool.
        """
        self._clock = clock
        self._most = max(LEAST_MOST_LIMIT, MOST_PER_CAPACITY * capacity)
        self._limit = max(LEAST_FIRST_LIMIT, self._most / max(1, gateways))
        self._decreased_at = float("-inf")
        self._usual_s = 0.0
        self._waiting: deque[_Waiting] = deque()
        self._turns = itertools.count(1)
        self.running = 0

    @property
    def limit(self) -> int:
        """Queries that may be in progress now."""
        return int(self._limit)

    @property
    def waiting(self) -> int:
        """Queries that wait for their turn."""
        return sum(1 for waiting in self._waiting if not waiting.turn.done())

    async def admit(self, deadline: float) -> Admitted | None:
        """Wait for a turn; None when it does not come in time.

        Args:
            deadline: When the answer is worthless, in seconds.
        """
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return Admitted(promoted=False)
        if self.waiting >= MAX_WAITING:
            return None
        waiting = _Waiting(deadline, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        return await self._wait(waiting)

    def release(self, congestion: Congestion, whole_in_s: float | None) -> None:
        """End a query.

        Args:
            congestion: What it met at the owners.
            whole_in_s: Time that it ran until its whole answer; None without one.
        """
        if whole_in_s is not None:
            self._usual_s += SMOOTHING * (whole_in_s - self._usual_s)
        if congestion is not Congestion.NONE:
            self._decrease(DECREASE[congestion])
        elif self.running >= self.limit:
            self._limit = min(self._most, self._limit + 1 / self._limit)
        self.running -= 1
        self._admit_next()

    async def _wait(self, waiting: _Waiting) -> Admitted | None:
        latest_s = self._latest_start(waiting) - self._clock.now()
        try:
            async with self._clock.timeout(latest_s):
                return await waiting.turn
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            self._give_back(waiting)
            raise

    def _give_back(self, waiting: _Waiting) -> None:
        """Return the turn of a query that was cancelled as it came."""
        turn = waiting.turn
        if turn.done() and not turn.cancelled() and turn.result() is not None:
            self.running -= 1
            self._admit_next()

    def _latest_start(self, waiting: _Waiting) -> float:
        return waiting.deadline - NEEDED_RUNS * self._usual_s

    def _decrease(self, factor: float) -> None:
        now = self._clock.now()
        if now - self._decreased_at >= DECREASE_EVERY_S:
            self._decreased_at = now
            self._limit = max(LEAST_LIMIT, self._limit * factor)

    def _admit_next(self) -> None:
        while self._waiting and self.running < self.limit:
            waiting = self._waiting.popleft()
            if waiting.turn.done():
                continue
            if self._clock.now() > self._latest_start(waiting):
                waiting.turn.set_result(None)
                continue
            self.running += 1
            waiting.turn.set_result(Admitted(next(self._turns) % PROMOTED_EVERY == 0))
