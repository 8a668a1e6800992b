"""Watches or polls a service of the platform for newly published values.

A few VMs of each zone watch a service; the others receive its updates from their peers. The
platform counts every call, and a waiting watch as one call. Watchers are chosen per zone by
rendezvous hashing, so their number does not grow with the fleet. The other VMs poll rarely, at an
interval that grows with the fleet.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.metrics import Metrics
from bergamotgate.revision import Position

__all__ = ["Follower", "WATCHERS_PER_ZONE"]

WATCHERS_PER_ZONE = 2
WATCH_TIMEOUT_S = 20.0
MIN_POLL_INTERVAL_S = 30.0
POLL_INTERVAL_PER_VM_S = 2.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
ROLE_CHECK_INTERVAL_S = 1.0


class Positioned(Protocol):
    """A published value."""

    @property
    def position(self) -> Position:
        """The revision in its era."""


Published = TypeVar("Published", bound=Positioned)


class Service(Protocol[Published]):
    """A service of the platform that can be read and watched."""

    async def read(self) -> Published:
        """Return the newest value."""

    async def watch(self, after: int, wait_s: float, era: int = 0) -> Published | None:
        """Wait for a newer value."""


class KnownPositions(Protocol):
    """What this process knows of the published values.

    Attributes:
        seen: The position in force, or the last rejected one above it.
        awaits_correction: Whether the newest revision offered was rejected, or a peer holds other
            content of the one in force.
    """

    @property
    def seen(self) -> Position: ...

    @property
    def awaits_correction(self) -> bool: ...


class Follower(Generic[Published]):
    """Watches one service if this process is a watcher, else polls it.

    Attributes:
        available: Whether the last call succeeded.
    """

    def __init__(
        self,
        name: str,
        service: Service[Published],
        known: KnownPositions,
        is_watcher: Callable[[], bool],
        fleet_size: Callable[[], int],
        on_value: Callable[[Published], None],
        confirm: Callable[[float], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._name = name
        self._service = service
        self._known = known
        self._is_watcher = is_watcher
        self._fleet_size = fleet_size
        self._on_value = on_value
        self._confirm = confirm
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tasks = TaskGroup("platform:", metrics.task_failures.labels("platform").inc)
        self.available = False

    def start(self) -> None:
        """Start watching or polling in the background."""
        self._tasks.keep_running(self._run, self._clock)

    async def close(self) -> None:
        """Stop watching or polling."""
        await self._tasks.close()

    async def read_once(self) -> bool:
        """Read now; return whether the call succeeded."""
        requested_at = self._clock.now()
        succeeded, value = await self._call(self._service.read())
        if not succeeded or not self._apply(value):
            return False
        self._confirm(requested_at)
        return True

    def _apply(self, value: Published) -> bool:
        """Pass a value on; return whether it could be processed."""
        try:
            self._on_value(value)
        except Exception:
            logger.exception("platform: Could not process the published value of {}.", self._name)
            self._metrics.service_calls.labels(self._name, "not_applied").inc()
            return False
        return True

    async def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            succeeded = await (self._watch() if self._is_watcher() else self._poll())
            if succeeded:
                backoff_s = INITIAL_BACKOFF_S
                continue
            await self._clock.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _watch(self) -> bool:
        seen = self._known.seen
        call = self._service.watch(seen.revision, WATCH_TIMEOUT_S, seen.history.era)
        succeeded, value = await self._call(call)
        if value is None and succeeded and self._known.awaits_correction:
            # What corrects it may have the revision in force, or a lower one than was rejected.
            return await self.read_once()
        if value is None:
            return succeeded
        if not self._apply(value):
            return False
        if self._is_stale(value):
            # A stale answer must not turn the watch into a busy loop.
            await self._clock.sleep(ROLE_CHECK_INTERVAL_S)
        return True

    def _is_stale(self, value: Published) -> bool:
        """Whether the revision in force is not the received one: an older or a rejected one."""
        return value.position != self._known.seen

    async def _poll(self) -> bool:
        """Read after the poll interval, or return early once this process becomes a watcher."""
        interval_s = max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_PER_VM_S * self._fleet_size())
        due_at = self._clock.now() + interval_s * self._rng.uniform(0.5, 1.5)
        while self._clock.now() < due_at:
            await self._clock.sleep(ROLE_CHECK_INTERVAL_S)
            if self._is_watcher():
                return True
        return await self.read_once()

    async def _call(self, call: Awaitable[Published | None]) -> tuple[bool, Published | None]:
        try:
            value = await call
        except PlatformUnavailable as error:
            if self.available:
                logger.warning("platform: {}", error)
            self.available = False
            self._metrics.service_calls.labels(self._name, "failed").inc()
            return False, None
        self.available = True
        self._metrics.service_calls.labels(self._name, "answered").inc()
        return True, value
