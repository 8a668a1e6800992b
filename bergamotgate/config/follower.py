"""Follows the platform's services: a few VMs of a zone watch, the others hear it from them.

Every call counts at the platform, a waiting watch as one. Watchers are chosen per zone by
rendezvous hashing, so their number does not grow with the fleet; the others read rarely, the more
rarely the larger the fleet.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.metrics import Metrics

__all__ = ["Follower", "WATCHERS_PER_ZONE"]

WATCHERS_PER_ZONE = 2
WATCH_WAIT_S = 20.0
LEAST_READ_EVERY_S = 30.0
READ_EVERY_PER_VM_S = 2.0
RETRY_FIRST_S = 0.5
RETRY_MOST_S = 10.0
ROLE_CHECK_S = 1.0

Published = TypeVar("Published")


class Service(Protocol[Published]):
    """A service of the platform that can be read and watched."""

    async def read(self) -> Published:
        """Read the newest value."""

    async def watch(self, after: int, wait_s: float) -> Published | None:
        """Wait for a newer value."""


class Follower(Generic[Published]):
    """Reads or watches one service as this process's role asks.

    Attributes:
        available: Whether the last call succeeded.
    """

    def __init__(
        self,
        name: str,
        service: Service[Published],
        known_revision: Callable[[], int],
        is_watcher: Callable[[], bool],
        fleet_size: Callable[[], int],
        take: Callable[[Published], None],
        confirm: Callable[[float], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._name = name
        self._service = service
        self._known_revision = known_revision
        self._is_watcher = is_watcher
        self._fleet_size = fleet_size
        self._take = take
        self._confirm = confirm
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tasks = TaskGroup("platform:")
        self.available = False

    def start(self) -> None:
        """Start to follow."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop to follow."""
        await self._tasks.close()

    async def read_once(self) -> bool:
        """Read now; return whether the service answered."""
        asked_at = self._clock.now()
        answered, value = await self._call(self._service.read())
        if answered:
            self._take(value)
            self._confirm(asked_at)
        return answered

    async def _run(self) -> None:
        pause_s = RETRY_FIRST_S
        while True:
            answered = await (self._watch() if self._is_watcher() else self._read_later())
            if answered:
                pause_s = RETRY_FIRST_S
                continue
            await self._clock.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            pause_s = min(RETRY_MOST_S, 2 * pause_s)

    async def _watch(self) -> bool:
        watching = self._service.watch(self._known_revision(), WATCH_WAIT_S)
        answered, value = await self._call(watching)
        if value is not None:
            self._take(value)
            if self._is_stale(value):
                # An older answer must not turn the watch into a busy loop.
                await self._clock.sleep(ROLE_CHECK_S)
        return answered

    def _is_stale(self, value: Published) -> bool:
        return getattr(value, "revision", 0) > self._known_revision()

    async def _read_later(self) -> bool:
        """Wait until the next rare read, or until this process becomes a watcher."""
        every_s = max(LEAST_READ_EVERY_S, READ_EVERY_PER_VM_S * self._fleet_size())
        due = self._clock.now() + every_s * self._rng.uniform(0.5, 1.5)
        while self._clock.now() < due:
            await self._clock.sleep(ROLE_CHECK_S)
            if self._is_watcher():
                return True
        return await self.read_once()

    async def _call(self, answer: Awaitable[Published | None]) -> tuple[bool, Published | None]:
        try:
            value = await answer
        except PlatformUnavailable as error:
            if self.available:
                logger.warning("platform: {}", error)
            self.available = False
            self._metrics.service_calls.labels(self._name, "failed").inc()
            return False, None
        self.available = True
        self._metrics.service_calls.labels(self._name, "answered").inc()
        return True, value
