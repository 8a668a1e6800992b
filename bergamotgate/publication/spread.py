"""Tells peers what is published: changes at once by datagram, whole tables over a stream.

Who polled the store tells its own availability zone and two relays in each other zone, which tell
theirs, so that a change crosses between zones twice a zone and not once a VM.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import LinkLost
from bergamotgate.publication.audience import UpdateRecipients
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem
from bergamotgate.publication.source import ItemChanges
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.links import Links, PeerProcess
from bergamotgate.wire.port import PeerPort

__all__ = ["PublicationDisseminator"]

FETCH_TIMEOUT_S = 1.0
# Changes that go into one datagram, before it is compressed; bounds the time that packing takes.
MAX_NEWS_BYTES = 32 * 1024
ITEM_OVERHEAD_BYTES = 24
NOT_CARRIED = -1
# Stands for any greater age, also of what was never confirmed.
MAX_AGE_S = 1_000_000.0
NEVER_CONFIRMED_MS = milliseconds(MAX_AGE_S)


class PublicationDisseminator:
    """Sends own news to all peers, and fetches what a peer's news shows to be missing here."""

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
        """Stop to fetch."""
        await self._tasks.close()

    def send_update(self, since: int, news: ItemChanges) -> None:
        """Tell what a poll brought, in as many datagrams as it takes."""
        addresses = self._recipients.after_poll()
        newest = {item.key: item for item in news.items}.values()
        changes = sorted(newest, key=lambda item: item.revision)
        for part in _parts(since, news.as_of, changes):
            complete = part.as_of == news.as_of
            age_ms = self._age_ms() if complete else NEVER_CONFIRMED_MS
            items = [_message(item) for item in part.items]
            if not self._send(
                addresses, ttypes.PublishedNews(part.since, part.as_of, age_ms, items)
            ):
                break
        else:
            return
        self._send(addresses, self._mark())

    def _mark(self) -> ttypes.PublishedNews:
        """Says which revision is here, without any item."""
        return ttypes.PublishedNews(NOT_CARRIED, self._table.as_of, self._age_ms(), [])

    def _send(self, addresses: list[str], message: ttypes.PublishedNews) -> bool:
        """Send news; return False if it does not fit into a datagram."""
        return self._port.send_compressed(addresses, news=message)

    def start_fetch(self, address: str) -> None:
        """Ask a peer for what it has."""
        if not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch(address))

    def _receive(self, address: str, message: ttypes.Datagram) -> None:
        if message.reply_wanted and self._table.as_of != UNREAD:
            self._port.send(address, news=self._mark())
        if message.news is not None:
            self._learn(address, message.sender, message.news)

    def _learn(self, address: str, sender: str, news: ttypes.PublishedNews) -> None:
        current_at = self._clock.now() - news.age_ms / 1000
        if news.as_of < self._table.as_of:
            return
        carried = news.since != NOT_CARRIED and news.since <= self._table.as_of
        changed = news.as_of > self._table.as_of
        if changed and not carried:
            self.start_fetch(address)
            return
        if changed:
            self._table.merge(news.since, news.as_of, [_item(item) for item in news.items])
        if changed or current_at > self._table.confirmed_at:
            self._table.confirm(current_at)
            self._send(self._recipients.after_update(sender), news)

    def _age_ms(self) -> int:
        return milliseconds(min(MAX_AGE_S, self._table.age_s()))

    async def _fetch(self, address: str) -> None:
        number = self._links.next_call_id()
        request = ttypes.PublishedAsk(number, self._table.as_of)
        frame = ttypes.Frame(version=WIRE_VERSION, published_ask=request)
        asked_at = self._clock.now()
        try:
            link = self._links.link_to(PeerProcess(address))
            answer = await link.call(number, frame, FETCH_TIMEOUT_S)
        except LinkLost as error:
            logger.warning("publication: A peer's table could not be read: {}", error)
            return
        finally:
            self._fetching = False
        self._take(answer.published_reply, request.have, asked_at)

    def _take(self, reply: ttypes.PublishedReply, have: int, asked_at: float) -> None:
        items = [_item(item) for item in reply.items]
        if reply.whole:
            self._table.replace_all(reply.as_of, items)
        elif self._table.merge(have, reply.as_of, items) is None:
            return
        if reply.as_of >= self._table.as_of:
            self._table.confirm(asked_at - reply.age_ms / 1000)
            self._send(self._recipients.after_fetch(), self._mark())

    def answer(self, request: ttypes.PublishedAsk) -> ttypes.PublishedReply | None:
        """What a peer lacks; None while nothing is known here."""
        if self._table.as_of == UNREAD:
            return None
        changes = self._table.changes_after(request.have) if request.have != UNREAD else None
        items = changes if changes is not None else self._table.present()
        return ttypes.PublishedReply(
            call=request.call,
            as_of=self._table.as_of,
            age_ms=self._age_ms(),
            whole=changes is None,
            items=[_message(item) for item in items],
        )


@dataclass(frozen=True)
class _Part:
    """Changes after one revision up to another."""

    since: int
    as_of: int
    items: list[PublishedItem]


def _parts(since: int, as_of: int, changes: list[PublishedItem]) -> Iterator[_Part]:
    """Changes in the order of their revisions, cut where a datagram is full."""
    items: list[PublishedItem] = []
    size = 0
    for item in changes:
        item_size = len(item.key) + len(item.value or b"") + ITEM_OVERHEAD_BYTES
        if items and size + item_size > MAX_NEWS_BYTES:
            yield _Part(since, items[-1].revision, items)
            since = items[-1].revision
            items, size = [], 0
        items.append(item)
        size += item_size
    yield _Part(since, as_of, items)


def _message(item: PublishedItem) -> ttypes.PublishedItem:
    return ttypes.PublishedItem(item.key, item.revision, item.value)


def _item(message: ttypes.PublishedItem) -> PublishedItem:
    return PublishedItem(message.key, message.revision, message.value)
