"""Disseminates published items: changes at once by datagram, complete tables over a stream.

The VM that polled the store sends an update to its own availability zone and to two relays in each
other zone, which forward it in theirs. A change thus crosses between zones twice for each zone
instead of once for each VM.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import LinkLost
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem
from bergamotgate.publication.recipients import UpdateRecipients
from bergamotgate.publication.source import ItemChanges
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
        port.subscribe(self._receive)

    async def close(self) -> None:
        """Stop fetching."""
        await self._tasks.close()

    def send_update(self, since: int, update: ItemChanges) -> None:
        """Send the changes that a poll returned, in as many datagrams as needed."""
        addresses = self._recipients.after_poll()
        newest = {item.key: item for item in update.items}.values()
        changes = sorted(newest, key=lambda item: item.revision)
        for part in _parts(since, update.as_of, changes):
            complete = part.as_of == update.as_of
            age_ms = self._age_ms() if complete else NEVER_CONFIRMED_MS
            items = [_to_wire(item) for item in part.items]
            if not self._send(
                addresses, ttypes.PublishedNews(part.since, part.as_of, age_ms, items)
            ):
                break
        else:
            return
        self._send(addresses, self._revision_only_update())

    def _revision_only_update(self) -> ttypes.PublishedNews:
        """An update that states the local revision and carries no items."""
        return ttypes.PublishedNews(REVISION_ONLY, self._table.as_of, self._age_ms(), [])

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
        if message.news is not None:
            self._receive_update(address, message.sender, message.news)

    def _receive_update(self, address: str, sender: str, update: ttypes.PublishedNews) -> None:
        current_at = self._clock.now() - update.age_ms / 1000
        if update.as_of < self._table.as_of:
            return
        applicable = update.since != REVISION_ONLY and update.since <= self._table.as_of
        changed = update.as_of > self._table.as_of
        if changed and not applicable:
            self.start_fetch(address)
            return
        if changed:
            self._table.merge(
                update.since, update.as_of, [_from_wire(item) for item in update.items]
            )
        if changed or current_at > self._table.confirmed_at:
            self._table.confirm(current_at)
            self._send(self._recipients.after_update(sender), update)

    def _age_ms(self) -> int:
        return milliseconds(min(MAX_AGE_S, self._table.age_s()))

    async def _fetch(self, address: str) -> None:
        number = self._links.next_call_id()
        request = ttypes.PublishedAsk(number, self._table.as_of)
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
        self._apply_reply(answer.published_reply, request.have, requested_at)

    def _apply_reply(self, reply: ttypes.PublishedReply, have: int, requested_at: float) -> None:
        items = [_from_wire(item) for item in reply.items]
        if reply.whole:
            self._table.replace_all(reply.as_of, items)
        elif self._table.merge(have, reply.as_of, items) is None:
            return
        if reply.as_of >= self._table.as_of:
            self._table.confirm(requested_at - reply.age_ms / 1000)
            self._send(self._recipients.after_fetch(), self._revision_only_update())

    def answer(self, request: ttypes.PublishedAsk) -> ttypes.PublishedReply | None:
        """Reply with the items that a peer lacks; None while the local table is unread."""
        if self._table.as_of == UNREAD:
            return None
        changes = self._table.changes_after(request.have) if request.have != UNREAD else None
        items = changes if changes is not None else self._table.present()
        return ttypes.PublishedReply(
            call=request.call,
            as_of=self._table.as_of,
            age_ms=self._age_ms(),
            whole=changes is None,
            items=[_to_wire(item) for item in items],
        )


@dataclass(frozen=True)
class _Part:
    """Changes after one revision up to another."""

    since: int
    as_of: int
    items: list[PublishedItem]


def _parts(since: int, as_of: int, changes: list[PublishedItem]) -> Iterator[_Part]:
    """Changes in the order of their revisions, split where a datagram is full."""
    items: list[PublishedItem] = []
    size = 0
    for item in changes:
        item_size = len(item.key) + len(item.value or b"") + ITEM_OVERHEAD_BYTES
        if items and size + item_size > MAX_UPDATE_BYTES:
            yield _Part(since, items[-1].revision, items)
            since = items[-1].revision
            items, size = [], 0
        items.append(item)
        size += item_size
    yield _Part(since, as_of, items)


def _to_wire(item: PublishedItem) -> ttypes.PublishedItem:
    return ttypes.PublishedItem(item.key, item.revision, item.value)


def _from_wire(message: ttypes.PublishedItem) -> PublishedItem:
    return PublishedItem(message.key, message.revision, message.value)
