"""Bounds the queries that a gateway has in progress on a pool, so that overload is refused at once.

The limit grows while answers come without queueing and shrinks when queues build up at the owners.
Queries beyond it wait here in the order of their class, and are refused once their wait would leave
too little of their deadline; nothing of them has been sent then.
"""

import asyncio
import heapq
import itertools
from dataclasses import dataclass

from bergamotgate.clock import Clock

__all__ = ["QueryLimiter"]

FIRST_LIMIT = 8.0
LEAST_LIMIT = 1.0
MOST_LIMIT = 512.0
DECREASE = 0.8
DECREASE_EVERY_S = 0.1
MAX_WAITING = 512
WAIT_SHARE = 0.5


@dataclass(eq=False)
class _Waiting:
    """A query that waits for its turn."""

    latest_start: float
    admitted: asyncio.Future


class QueryLimiter:
    """Admits queries to one pool.

    Attributes:
        running: Queries in progress.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limit = FIRST_LIMIT
        self._decreased_at = float("-inf")
        self._heap: list[tuple[float, int, _Waiting]] = []
        self._count = itertools.count()
        self.running = 0

    @property
    def limit(self) -> int:
        """Queries that may be in progress now."""
        return int(self._limit)

    async def admit(self, order: float, deadline: float) -> bool:
        """Wait for a turn; return False when it does not come in time.

        Args:
            order: Place in the queue; smaller goes first.
            deadline: When the answer is worthless, in seconds.
        """
        if self.running < self.limit and not self._heap:
            self.running += 1
            return True
        now = self._clock.now()
        waiting = _Waiting(
            now + WAIT_SHARE * (deadline - now), asyncio.get_running_loop().create_future()
        )
        heapq.heappush(self._heap, (order, next(self._count), waiting))
        self._shorten()
        self._admit_next()
        return await self._turn(waiting)

    def leave(self, congested: bool) -> None:
        """End a query and learn whether it met queues at the owners."""
        if congested:
            self._decrease()
        elif self.running >= self.limit:
            self._limit = min(MOST_LIMIT, self._limit + 1 / self._limit)
        self.running -= 1
        self._admit_next()

    async def _turn(self, waiting: _Waiting) -> bool:
        try:
            async with self._clock.timeout(waiting.latest_start - self._clock.now()):
                return await waiting.admitted
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if waiting.admitted.done() and not waiting.admitted.cancelled():
                self.running -= 1
                self._admit_next()
            raise

    def _decrease(self) -> None:
        now = self._clock.now()
        if now - self._decreased_at >= DECREASE_EVERY_S:
            self._decreased_at = now
            self._limit = max(LEAST_LIMIT, self._limit * DECREASE)

    def _admit_next(self) -> None:
        while self._heap and self.running < self.limit:
            waiting = heapq.heappop(self._heap)[2]
            if not waiting.admitted.done():
                waiting.admitted.set_result(True)
                self.running += 1

    def _shorten(self) -> None:
        """Refuse the last in order when too many wait."""
        if len(self._heap) <= MAX_WAITING:
            return
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        if not last[2].admitted.done():
            last[2].admitted.set_result(False)
