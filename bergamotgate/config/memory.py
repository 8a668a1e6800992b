"""The platform's services in memory, with their outages; they count every call."""

import asyncio
from typing import Generic, TypeVar

from bergamotgate.clock import Clock, LoopClock
from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.errors import PlatformUnavailable

__all__ = ["MemoryConfigurationService", "MemoryVmListService"]

Published = TypeVar("Published", PublishedTables, PublishedVmList)


class _MemoryService(Generic[Published]):
    """Holds published values; can be down or stale.

    Attributes:
        calls: Number of calls so far, a waiting watch counted as one.
        down: Whether calls fail.
        stale: Whether new publications stay hidden.
    """

    name = "service"

    def __init__(self, first: Published, clock: Clock | None = None):
        self._clock = clock or LoopClock()
        self._newest = first
        self._shown = first
        self._changed = asyncio.Event()
        self.calls = 0
        self.down = False
        self.stale = False

    def publish(self, value: Published) -> None:
        """Make a value the newest one."""
        self._newest = value
        if not self.stale:
            self.refresh()

    def refresh(self) -> None:
        """Show the newest value, as when staleness ends."""
        self.stale = False
        self._shown = self._newest
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self) -> Published:
        """The value that is shown."""
        self.calls += 1
        self._check()
        return self._shown

    async def watch(self, after: int, wait_s: float) -> Published | None:
        """Wait for a higher revision."""
        self.calls += 1
        self._check()
        try:
            async with self._clock.timeout(wait_s):
                while self._shown.revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            self._check()
            return None
        self._check()
        return self._shown

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailable(self.name, "it is down")


class MemoryConfigurationService(_MemoryService[PublishedTables]):
    """The configuration service in memory."""

    name = "configuration service"


class MemoryVmListService(_MemoryService[PublishedVmList]):
    """The VM list in memory."""

    name = "VM list"
