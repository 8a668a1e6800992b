"""In-memory services of the platform that simulate outages and count calls."""

import asyncio
from typing import Generic, TypeVar

from bergamotgate.clock import Clock, LoopClock
from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.revision import History, Position

__all__ = ["MemoryConfigurationService", "MemoryVmListService"]

Published = TypeVar("Published", PublishedTables, PublishedVmList)


class _MemoryService(Generic[Published]):
    """Holds a published value; can be set down or stale.

    Attributes:
        calls: Number of calls so far; a waiting watch counts as one.
        down: Whether calls fail.
        stale: Whether readers keep getting the old value after a publication.
    """

    name = "service"

    def __init__(self, first: Published, clock: Clock | None = None):
        self._clock = clock or LoopClock()
        self._newest = first
        self._visible = first
        self._changed = asyncio.Event()
        self.calls = 0
        self.down = False
        self.stale = False

    def publish(self, value: Published) -> None:
        """Publish a value; it becomes visible at once unless the service is stale."""
        self._newest = value
        if not self.stale:
            self.refresh()

    def refresh(self) -> None:
        """Make the newest value visible and end staleness."""
        self.stale = False
        self._visible = self._newest
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self) -> Published:
        """Return the visible value."""
        self.calls += 1
        self._raise_if_down()
        return self._visible

    async def watch(self, after: int, wait_s: float, era: int = 0) -> Published | None:
        """Wait for a higher revision or era; return None on timeout."""
        self.calls += 1
        self._raise_if_down()
        try:
            async with self._clock.timeout(wait_s):
                while self._visible.position <= Position(History(era=era), after):
                    await self._changed.wait()
        except TimeoutError:
            self._raise_if_down()
            return None
        self._raise_if_down()
        return self._visible

    def _raise_if_down(self) -> None:
        if self.down:
            raise PlatformUnavailable(self.name, "it is down")


class MemoryConfigurationService(_MemoryService[PublishedTables]):
    """In-memory configuration service."""

    name = "configuration service"


class MemoryVmListService(_MemoryService[PublishedVmList]):
    """In-memory VM list service."""

    name = "VM list"
