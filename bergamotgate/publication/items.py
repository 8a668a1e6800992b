"""Local copy of the published items on each VM, ordered by the store's revisions.

The store may come back from a copy that is some seconds old. Its revisions then go back and are
given out again in a new history. A complete read of a newer history replaces the table, except for
what is known to be newer than the copy.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.revision import History, Position

__all__ = ["UNREAD", "ItemTable", "PublishedItem", "SupersededState", "TableUpdate"]

UNREAD = Position(History(), -1)
MAX_TOMBSTONES = 2000
# Earlier states of items, by which the content of a store's older copy is recognized.
MAX_SUPERSEDED = 4000
DIGEST_BYTES = 8
# What is known to be newer than the store's older copy holds for this time after the store's return
# unless it is written again sooner; then the store's word stands. A registration that nobody renews
# has lapsed much earlier.
OPERATOR_HOLD_S = 30.0
SERVER_HOLD_S = 15.0


@dataclass(frozen=True)
class PublishedItem:
    """One item of the store.

    Attributes:
        key: Key of the item.
        revision: The store's revision at the item's last change.
        value: The published bytes; None when the item was withdrawn.
        history: The history to which the revision belongs.
    """

    key: str
    revision: int
    value: bytes | None
    history: History = History()

    @property
    def position(self) -> Position:
        """Position of the item's last change."""
        return Position(self.history, self.revision)


@dataclass(frozen=True)
class TableUpdate:
    """Changes of the items between two positions of one history.

    Attributes:
        since: Position after which the changes begin.
        as_of: Position up to which they are complete.
        items: The items that changed.
    """

    since: Position
    as_of: Position
    items: tuple[PublishedItem, ...] = ()


@dataclass(frozen=True)
class SupersededState:
    """A published state of an item that a newer one has replaced.

    Attributes:
        key: Key of the item.
        revision: The store's revision at which the state was written.
        digest: Digest of its value.
    """

    key: str
    revision: int
    digest: bytes


OnItems = Callable[[list[PublishedItem]], None]


class ItemTable:
    """All items as of one position, with tombstones of withdrawn ones for peers that lag.

    Attributes:
        as_of: Position up to which the table is complete; ``UNREAD`` before the first read.
        confirmed_at: Time on the local clock at which the table was known to be current.
    """

    def __init__(self, clock: Clock, is_kept: Callable[[str], bool] = lambda key: False):
        """Create an empty table.

        Args:
            clock: Source of the current time.
            is_kept: Whether the item of a key is an operator's: it stays published when the store's
                older copy lacks it, until it is written again or ``OPERATOR_HOLD_S`` have passed.
        """
        self._clock = clock
        self._is_kept = is_kept
        self._item_by_key: dict[str, PublishedItem] = {}
        # In the order in which they were superseded; only the keys are used.
        self._superseded: dict[SupersededState, None] = {}
        # Entries of the store's copy that are not applied, as this table knows newer states.
        self._held_back: dict[str, PublishedItem] = {}
        self._complete_after = UNREAD
        self._history_began_at = clock.now()
        self._settled = False
        self._listeners: list[OnItems] = []
        self._history_listeners: list[Callable[[], None]] = []
        self.as_of = UNREAD
        self.confirmed_at = float("-inf")

    @property
    def history(self) -> History:
        """The history of the store that this table follows."""
        return self.as_of.history

    def on_change(self, listener: OnItems) -> None:
        """Call a listener with the items that each update changed."""
        self._listeners.append(listener)

    def on_history(self, listener: Callable[[], None]) -> None:
        """Call a listener when another history replaces the known one, before its changes."""
        self._history_listeners.append(listener)

    def age_s(self) -> float:
        """Seconds since the table was known to be current."""
        return self._clock.now() - self.confirmed_at

    def confirm(self, at: float) -> None:
        """Record that the table was current at that time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def merge(self, update: TableUpdate) -> list[PublishedItem] | None:
        """Apply all changes after one position up to another.

        Changes up to the table's position are known already. One that the table lacks concerns an
        item that was withdrawn later, and must not bring it back.

        Returns:
            The items that changed in this table; None when changes before ``since`` are missing, or
            the update is of another history.
        """
        another = self.as_of != UNREAD and update.as_of.history != self.history
        if another or update.since > self.as_of:
            return None
        known = self.as_of
        changed = [
            item
            for item in update.items
            if known < item.position <= update.as_of and self._store(item)
        ]
        self.as_of = max(self.as_of, update.as_of)
        self._notify(changed)
        return changed

    def replace_all(self, as_of: Position, items: Iterable[PublishedItem]) -> list[PublishedItem]:
        """Apply a complete read of the store; items that it does not list were withdrawn.

        In a newer history the read may be of an older copy. An entry that this table has seen
        superseded is then held back, and what ``is_kept`` names stays published, for a time.

        Returns:
            The items that changed in this table; none if the read is older than the table.
        """
        if as_of < self.as_of:
            return []
        known = self.as_of
        begins = as_of.history != known.history and known != UNREAD
        if begins:
            self._history_began_at = self._clock.now()
            self._settled = False
            self._held_back.clear()
        items = list(items)
        listed_keys = {item.key for item in items}
        held_back = {item.key: item for item in items if self._is_outdated(item, as_of.history)}
        items = [item for item in items if held_back.get(item.key) is not item]
        withdrawn = self._withdrawn(as_of, listed_keys)
        changed = [item for item in [*items, *withdrawn] if self._store(item)]
        self._held_back |= held_back
        self.as_of = as_of
        # Items published and withdrawn between two complete reads are not known.
        self._complete_after = max(self._complete_after, as_of)
        if begins:
            self._begin_history(known, len(withdrawn))
        self._notify(changed)
        return changed

    def settle(self) -> None:
        """Let the store's word stand on what was held against its copy for long enough."""
        age_s = self._clock.now() - self._history_began_at
        if self._settled or age_s < SERVER_HOLD_S:
            return
        self._settled = age_s >= OPERATOR_HOLD_S
        due = [item for item in self._held_back.values() if not self._holds(item.key)]
        for item in due:
            del self._held_back[item.key]
        changed = [item for item in due if self._store(item)]
        lacking = [item for item in self._kept() if not self._holds(item.key)]
        withdrawn = [_tombstone(item.key, self.as_of) for item in lacking]
        changed += [item for item in withdrawn if self._store(item)]
        for item in changed:
            logger.bind(key=item.key, withdrawn=item.value is None).info(
                "publication: An item was not written again; the store's copy stands."
            )
        self._notify(changed)

    def _holds(self, key: str) -> bool:
        hold_s = OPERATOR_HOLD_S if self._is_kept(key) else SERVER_HOLD_S
        return self._clock.now() < self._history_began_at + hold_s

    def _kept(self) -> list[PublishedItem]:
        """Operators' items that the copy lacks and nobody has written again."""
        return [
            item
            for item in self.present()
            if item.history != self.history and self._is_kept(item.key)
        ]

    def _withdrawn(self, as_of: Position, listed_keys: set[str]) -> list[PublishedItem]:
        return [
            _tombstone(item.key, as_of)
            for item in self.present()
            if item.key not in listed_keys
            and item.position <= as_of
            and not (
                item.history != as_of.history and self._is_kept(item.key) and self._holds(item.key)
            )
        ]

    def _is_outdated(self, item: PublishedItem, history: History) -> bool:
        """Whether a listed entry is a state of the copy that is known to be superseded."""
        known = self._item_by_key.get(item.key)
        return (
            item.value is not None
            and item.history == history
            and (known is None or known.history != history)
            and _state(item) in self._superseded
            and self._holds(item.key)
        )

    def _begin_history(self, known: Position, lacking: int) -> None:
        logger.bind(
            era=self.history.era,
            resets=self.history.resets,
            revision=self.as_of.revision,
            known_era=known.history.era,
            known_revision=known.revision,
            held_back=len(self._held_back),
            kept=len(self._kept()),
            lacking=lacking,
        ).warning("publication: The store began a new history; its items are taken from a copy.")
        for listener in self._history_listeners:
            listener()

    def changes_after(self, position: Position) -> list[PublishedItem] | None:
        """All changes after a position; None when the table no longer has all of them."""
        if position.history != self.history or position < self._complete_after:
            return None
        return [item for item in self._item_by_key.values() if item.position > position]

    def complete(self) -> list[PublishedItem]:
        """All items for a peer: published, withdrawn in this history, or held back."""
        items = self._item_by_key.values()
        known = [i for i in items if i.value is not None or i.history == self.history]
        return [*known, *self._held_back.values()]

    def superseded(self, count: int) -> list[SupersededState]:
        """The states of items that were superseded last, and of those held back; oldest first."""
        held_back = map(_state, self._held_back.values())
        return list(dict.fromkeys([*list(self._superseded)[-count:], *held_back]))

    def forget_superseded(self, key: str) -> None:
        """Forget the earlier states of an item whose withdrawal may have been a mistake."""
        for state in [state for state in self._superseded if state.key == key]:
            del self._superseded[state]

    def remember_superseded(self, states: Iterable[SupersededState]) -> None:
        """Record states of items that a copy of the store must not bring back, oldest first."""
        for state in states:
            self._superseded.pop(state, None)
            self._superseded[state] = None
        while len(self._superseded) > MAX_SUPERSEDED:
            oldest = next(iter(self._superseded))
            # Operators' items change rarely, servers often.
            del self._superseded[
                next((s for s in self._superseded if not self._is_kept(s.key)), oldest)
            ]

    def present(self) -> list[PublishedItem]:
        """All items that are published now."""
        return [item for item in self._item_by_key.values() if item.value is not None]

    def _store(self, item: PublishedItem) -> bool:
        """Store an item unless a newer one is known; return whether what is published changed."""
        known = self._item_by_key.get(item.key)
        if known is not None and item.position <= known.position:
            return False
        self._held_back.pop(item.key, None)
        if known is not None and known.history != item.history and known.value == item.value:
            self._item_by_key[item.key] = item
            return False
        if known is not None and known.value is not None:
            self.remember_superseded([_state(known)])
        self._superseded.pop(_state(item), None)
        # The withdrawal of an unknown item is kept too: a peer that lags may know the item.
        self._item_by_key[item.key] = item
        if item.value is None:
            self._drop_oldest_tombstones()
        return known is not None or item.value is not None

    def _drop_oldest_tombstones(self) -> None:
        tombstones = [item for item in self._item_by_key.values() if item.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.position)
        for item in tombstones[: MAX_TOMBSTONES // 2]:
            del self._item_by_key[item.key]
            self._complete_after = max(self._complete_after, item.position)

    def _notify(self, changed: list[PublishedItem]) -> None:
        if changed:
            for listener in self._listeners:
                listener(changed)


def _tombstone(key: str, position: Position) -> PublishedItem:
    return PublishedItem(key, position.revision, None, position.history)


def _state(item: PublishedItem) -> SupersededState:
    digest = hashlib.blake2b(item.value or b"", digest_size=DIGEST_BYTES).digest()
    return SupersededState(item.key, item.revision, digest)
