"""Reads published items from the platform's store, or from memory in tests."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Protocol

from bergamotgate.errors import BergamotgateError, PlatformUnavailable
from bergamotgate.publication.items import PublishedItem

__all__ = ["HistoryLost", "ItemChanges", "ItemSource", "MemoryItemSource"]


class HistoryLost(BergamotgateError):
    """The store no longer has the changes after a revision; a complete read is needed.

    Attributes:
        after: The requested revision.
        era: Era that the store stated with the answer; None when it stated none.
    """

    def __init__(self, after: int, era: int | None = None):
        super().__init__(f"the changes after revision {after} are no longer available")
        self.after = after
        self.era = era


@dataclass(frozen=True)
class ItemChanges:
    """Result of a read.

    Attributes:
        as_of: Revision up to which it is complete.
        items: The items that changed, or all of them for a complete read.
        era: Era that the store stated with the answer; None when it stated none.
    """

    as_of: int
    items: tuple[PublishedItem, ...]
    era: int | None = None


class ItemSource(Protocol):
    """Reads the store; the platform counts each call."""

    async def read_all(self, newest: bool) -> ItemChanges:
        """Read every item.

        Args:
            newest: Whether the read must be current; one that may be some seconds old is cheaper
                for the store.

        Raises:
            PlatformUnavailable: The store gave no usable answer.
        """

    async def changes(self, after: int, wait_s: float) -> ItemChanges:
        """Wait for changes after a revision; no items when none came in time.

        Raises:
            PlatformUnavailable: The store gave no usable answer.
            HistoryLost: The changes are no longer available.
        """


class MemoryItemSource:
    """A store in memory.

    Attributes:
        down: Whether calls fail.
        calls: Number of calls so far.
        hold_watches: Whether a watch returns no changes.
        stale_by: Revisions by which a read that need not be current lags.
        era: Era stated with each answer, which rises by one with each restore; None to state none.
    """

    def __init__(self) -> None:
        self._log: list[PublishedItem] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self.revision = 1
        self.down = False
        self.calls = 0
        self.hold_watches = False
        self.stale_by = 0
        self.era: int | None = None
        self._was_restored = False

    def publish(self, key: str, value: bytes | None) -> int:
        """Write or withdraw an item; return its revision."""
        self.revision += 1
        self._log.append(PublishedItem(key, self.revision, value))
        self._wake_watches()
        return self.revision

    def forget_history(self) -> None:
        """Make changes up to now unavailable."""
        self._oldest = self.revision

    def restore(self, revision: int) -> tuple[PublishedItem, ...]:
        """Come back as of an earlier revision; later ones are given out again.

        Returns:
            The changes that were lost.
        """
        if not 1 <= revision <= self.revision:
            raise ValueError(f"there is no copy of revision {revision}, only up to {self.revision}")
        lost = tuple(item for item in self._log if item.revision > revision)
        self._log = [item for item in self._log if item.revision <= revision]
        self._oldest = min(self._oldest, revision)
        self.revision = revision
        self._was_restored = True
        if self.era is not None:
            self.era += 1
        self._wake_watches()
        return lost

    async def read_all(self, newest: bool) -> ItemChanges:
        """Read every item."""
        self._count_call()
        as_of = self.revision if newest else max(1, self.revision - self.stale_by)
        item_by_key = {item.key: item for item in self._log if item.revision <= as_of}
        present = tuple(item for item in item_by_key.values() if item.value is not None)
        return ItemChanges(as_of, present, self.era)

    async def changes(self, after: int, wait_s: float) -> ItemChanges:
        """Wait for changes after a revision."""
        self._count_call()
        self._check_history(after)
        if after >= self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        if self.hold_watches:
            await asyncio.sleep(wait_s)
            self._check_known(after)
            return ItemChanges(after, (), self.era)
        self._check_history(after)
        found = tuple(item for item in self._log if item.revision > after)
        return ItemChanges(self.revision, found, self.era)

    def _check_history(self, after: int) -> None:
        if after < self._oldest:
            raise HistoryLost(after, self.era)
        self._check_known(after)

    def _check_known(self, after: int) -> None:
        if self._was_restored and after > self.revision:
            raise HistoryLost(after, self.era)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("store", "it is down")
