"""Disseminates published items: changes at once by datagram, complete tables over a stream.

The VM that polled the store sends an update to its own availability zone and to two relays in each
other zone, which forward it in theirs. A change thus crosses between zones twice for each zone
instead of once for each VM.
"""

from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import LinkLost
from bergamotgate.publication.items import (
    UNREAD,
    ItemTable,
    PublishedItem,
    SupersededState,
    TableUpdate,
)
from bergamotgate.publication.recipients import UpdateRecipients
from bergamotgate.revision import MAX_ERA, MAX_RESETS, History, Position
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.links import Links, PeerProcess
from bergamotgate.wire.port import PeerPort

__all__ = ["PublicationDisseminator"]

FETCH_TIMEOUT_S = 1.0
# Changes in one datagram, before compression; bounds the time that compression takes.
MAX_UPDATE_BYTES = 32 * 1024
ITEM_OVERHEAD_BYTES = 24
REVISION_ONLY = -1
# Superseded states that a complete table carries, for a peer that has seen none itself.
MAX_SUPERSEDED_SENT = 500
_WithHistory = (
    ttypes.PublishedAsk | ttypes.PublishedItem | ttypes.PublishedNews | ttypes.PublishedReply
)
# Stands for any greater age, also that of a table that was never confirmed.
MAX_AGE_S = 1_000_000.0
NEVER_CONFIRMED_MS = milliseconds(MAX_AGE_S)


class PublicationDisseminator:
    """Sends local updates to peers, and fetches what a peer's update shows to be missing here."""

    def __init__(
        self,
        table: ItemTable,
        port: PeerPort,
        links: Links,
        recipients: UpdateRecipients,
        clock: Clock,
    ):
        self._table = table
        self._port = port
        self._links = links
        self._recipients = recipients
        self._clock = clock
        self._tasks = TaskGroup("publication:")
        self._fetching = False
        self._older_build_listeners: list[Callable[[], None]] = []
        port.subscribe(self._receive)

    async def close(self) -> None:
        """Stop fetching."""
        await self._tasks.close()

    def on_older_build(self, listener: Callable[[], None]) -> None:
        """Call a listener when a peer that knows no eras may have changes that are missing here."""
        self._older_build_listeners.append(listener)

    def send_update(self, update: TableUpdate) -> None:
        """Send the changes that a poll returned, in as many datagrams as needed."""
        addresses = self._recipients.after_poll()
        newest = {item.key: item for item in update.items}.values()
        changes = sorted(newest, key=lambda item: item.position)
        for part in _parts(update.since, update.as_of, changes):
            complete = part.as_of == update.as_of
            age_ms = self._age_ms() if complete else NEVER_CONFIRMED_MS
            if not self._send(addresses, _to_message(part, age_ms)):
                break
        else:
            return
        self._send(addresses, self._revision_only_update())

    def _revision_only_update(self) -> ttypes.PublishedNews:
        """An update that states the local revision and carries no items."""
        as_of = self._table.as_of
        message = _to_message(TableUpdate(as_of, as_of), self._age_ms())
        message.since = REVISION_ONLY
        return message

    def _send(self, addresses: list[str], message: ttypes.PublishedNews) -> bool:
        """Send an update; return False if it does not fit into a datagram."""
        return self._port.send_compressed(addresses, news=message)

    def start_fetch(self, address: str) -> None:
        """Fetch what a peer has, unless a fetch is running."""
        if not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch(address))

    def _receive(self, address: str, message: ttypes.Datagram) -> None:
        if message.reply_wanted and self._table.as_of != UNREAD:
            self._port.send(address, news=self._revision_only_update())
        if message.news is not None and _has_valid_history(message.news):
            self._receive_update(address, message.sender, message.news)

    def _receive_update(self, address: str, sender: str, message: ttypes.PublishedNews) -> None:
        current_at = self._clock.now() - message.age_ms / 1000
        as_of = _position(message.as_of, message)
        if as_of < self._table.as_of:
            self._note_older_build(as_of)
            return
        same_history = as_of.history == self._table.history or self._table.as_of == UNREAD
        since = Position(as_of.history, message.since)
        applicable = message.since != REVISION_ONLY and same_history and since <= self._table.as_of
        changed = as_of > self._table.as_of
        if changed and not applicable:
            self.start_fetch(address)
            return
        if changed:
            self._table.merge(TableUpdate(since, as_of, _items(message)))
        if changed or current_at > self._table.confirmed_at:
            self._table.confirm(current_at)
            self._send(self._recipients.after_update(sender), message)

    def _note_older_build(self, as_of: Position) -> None:
        """Have the store polled if a build that knows no eras may know of changes."""
        older = as_of.history == History() != self._table.history
        if older and as_of.revision != self._table.as_of.revision:
            for listener in self._older_build_listeners:
                listener()

    def _age_ms(self) -> int:
        return milliseconds(min(MAX_AGE_S, self._table.age_s()))

    async def _fetch(self, address: str) -> None:
        number = self._links.next_call_id()
        have = self._table.as_of
        history = have.history
        request = ttypes.PublishedAsk(number, have.revision, history.era, history.resets)
        frame = ttypes.Frame(version=WIRE_VERSION, published_ask=request)
        requested_at = self._clock.now()
        try:
            link = self._links.link_to(PeerProcess(address))
            answer = await link.call(number, frame, FETCH_TIMEOUT_S)
        except LinkLost as error:
            logger.warning("publication: Could not fetch the table from a peer: {}", error)
            return
        finally:
            self._fetching = False
        self._apply_reply(answer.published_reply, have, requested_at)

    def _apply_reply(
        self, reply: ttypes.PublishedReply, have: Position, requested_at: float
    ) -> None:
        if not _has_valid_history(reply):
            return
        as_of, items = _position(reply.as_of, reply), _items(reply)
        if reply.whole:
            self._table.remember_superseded(_superseded(reply))
            self._table.replace_all(as_of, items)
        elif self._table.merge(TableUpdate(have, as_of, items)) is None:
            return
        if as_of >= self._table.as_of:
            self._table.confirm(requested_at - reply.age_ms / 1000)
            self._send(self._recipients.after_fetch(), self._revision_only_update())

    def answer(self, request: ttypes.PublishedAsk) -> ttypes.PublishedReply | None:
        """Reply with the items that a peer lacks; None while the local table is unread."""
        as_of = self._table.as_of
        if as_of == UNREAD:
            return None
        have = _position(request.have, request)
        changes = self._table.changes_after(have) if have != UNREAD else None
        items = changes if changes is not None else self._table.complete()
        return ttypes.PublishedReply(
            call=request.call,
            as_of=as_of.revision,
            age_ms=self._age_ms(),
            whole=changes is None,
            items=_to_wire(items, as_of.history),
            era=as_of.history.era,
            resets=as_of.history.resets,
            superseded=self._superseded() if changes is None else None,
        )

    def _superseded(self) -> list[ttypes.PublishedItem]:
        states = self._table.superseded(MAX_SUPERSEDED_SENT)
        return [ttypes.PublishedItem(state.key, state.revision, state.digest) for state in states]


def _parts(since: Position, as_of: Position, changes: list[PublishedItem]) -> Iterator[TableUpdate]:
    """Changes in the order of their positions, split where a datagram is full."""
    items: list[PublishedItem] = []
    size = 0
    for item in changes:
        item_size = len(item.key) + len(item.value or b"") + ITEM_OVERHEAD_BYTES
        if items and size + item_size > MAX_UPDATE_BYTES:
            yield TableUpdate(since, items[-1].position, tuple(items))
            since = items[-1].position
            items, size = [], 0
        items.append(item)
        size += item_size
    yield TableUpdate(since, as_of, tuple(items))


def _to_message(update: TableUpdate, age_ms: int) -> ttypes.PublishedNews:
    history = update.as_of.history
    return ttypes.PublishedNews(
        since=update.since.revision,
        as_of=update.as_of.revision,
        age_ms=age_ms,
        items=_to_wire(update.items, history),
        era=history.era,
        resets=history.resets,
    )


def _to_wire(items: Iterable[PublishedItem], history: History) -> list[ttypes.PublishedItem]:
    """Encode items for a message of a history; only an item of another one states its own."""
    return [
        (
            ttypes.PublishedItem(item.key, item.revision, item.value)
            if item.history == history
            else ttypes.PublishedItem(
                item.key, item.revision, item.value, item.history.era, item.history.resets
            )
        )
        for item in items
    ]


def _items(message: ttypes.PublishedNews | ttypes.PublishedReply) -> tuple[PublishedItem, ...]:
    """Decode the items of a message; one beyond its position would hide later changes."""
    as_of = _position(message.as_of, message)
    items = (
        PublishedItem(
            item.key,
            item.revision,
            item.value,
            as_of.history if item.era is None else _position(item.revision, item).history,
        )
        for item in message.items
    )
    return tuple(item for item in items if item.position <= as_of)


def _superseded(reply: ttypes.PublishedReply) -> list[SupersededState]:
    states = reply.superseded or ()
    return [SupersededState(item.key, item.revision, item.value or b"") for item in states]


def _position(revision: int, message: _WithHistory) -> Position:
    """Position of a revision; older builds state no era, as if there had only been one."""
    return Position(History(message.resets or 0, message.era or 0), revision)


def _has_valid_history(message: _WithHistory) -> bool:
    era, resets = message.era or 0, message.resets or 0
    if 0 <= era <= MAX_ERA and 0 <= resets <= MAX_RESETS:
        return True
    logger.warning("publication: Ignored a message of a peer with an invalid history.")
    return False
