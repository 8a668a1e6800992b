"""Local copy of the published items on each VM, ordered by the store's revision."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamotgate.clock import Clock

__all__ = ["ItemTable", "PublishedItem", "UNREAD"]

UNREAD = -1
MAX_TOMBSTONES = 2000


@dataclass(frozen=True)
class PublishedItem:
    """One item of the store.

    Attributes:
        key: Key of the item.
        revision: The store's revision at the item's last change.
        value: The published bytes; None when the item was withdrawn.
    """

    key: str
    revision: int
    value: bytes | None


OnItems = Callable[[list[PublishedItem]], None]


class ItemTable:
    """All items as of one revision, with tombstones of withdrawn ones for peers that lag.

    Attributes:
        as_of: Revision up to which the table is complete; ``UNREAD`` before the first read.
        confirmed_at: Time on the local clock at which the table was known to be current.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._item_by_key: dict[str, PublishedItem] = {}
        self._complete_after = 0
        self._listeners: list[OnItems] = []
        self.as_of = UNREAD
        self.confirmed_at = float("-inf")

    def on_change(self, listener: OnItems) -> None:
        """Call a listener with the items that each update changed."""
        self._listeners.append(listener)

    def age_s(self) -> float:
        """Seconds since the table was known to be current."""
        return self._clock.now() - self.confirmed_at

    def confirm(self, at: float) -> None:
        """Record that the table was current at that time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def merge(
        self, since: int, as_of: int, items: Iterable[PublishedItem]
    ) -> list[PublishedItem] | None:
        """Apply all changes after one revision up to another.

        Changes up to ``as_of`` are known already. One that the table lacks concerns an item that
        was withdrawn later, and must not bring it back.

        Returns:
            The items that changed in this table; None when changes before ``since`` are missing.
        """
        if since > self.as_of:
            return None
        changed = [item for item in items if item.revision > self.as_of and self._store(item)]
        self.as_of = max(self.as_of, as_of)
        self._notify(changed)
        return changed

    def replace_all(self, as_of: int, items: Iterable[PublishedItem]) -> list[PublishedItem]:
        """Apply a complete read of the store; items that it does not list were withdrawn."""
        if as_of < self.as_of:
            return []
        items = list(items)
        listed_keys = {item.key for item in items}
        withdrawn = [
            PublishedItem(item.key, as_of, None)
            for item in self._item_by_key.values()
            if item.key not in listed_keys and item.value is not None and item.revision <= as_of
        ]
        changed = [item for item in [*items, *withdrawn] if self._store(item)]
        self.as_of = as_of
        # Items published and withdrawn between two complete reads are not known.
        self._complete_after = max(self._complete_after, as_of)
        self._notify(changed)
        return changed

    def changes_after(self, revision: int) -> list[PublishedItem] | None:
        """All changes after a revision; None when the table no longer has all of them."""
        if revision < self._complete_after:
            return None
        return [item for item in self._item_by_key.values() if item.revision > revision]

    def present(self) -> list[PublishedItem]:
        """All items that are published now."""
        return [item for item in self._item_by_key.values() if item.value is not None]

    def _store(self, item: PublishedItem) -> bool:
        """Store an item unless a newer one is known; return whether what is published changed."""
        known = self._item_by_key.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        # The withdrawal of an unknown item is kept too: a peer that lags may know the item.
        self._item_by_key[item.key] = item
        if item.value is None:
            self._drop_oldest_tombstones()
        return known is not None or item.value is not None

    def _drop_oldest_tombstones(self) -> None:
        tombstones = [item for item in self._item_by_key.values() if item.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.revision)
        for item in tombstones[: MAX_TOMBSTONES // 2]:
            del self._item_by_key[item.key]
            self._complete_after = max(self._complete_after, item.revision)

    def _notify(self, changed: list[PublishedItem]) -> None:
        if changed:
            for listener in self._listeners:
                listener(changed)
