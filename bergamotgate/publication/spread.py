"""Tells peers what is published: changes at once by datagram, whole tables over a stream."""

from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem
from bergamotgate.publication.source import ItemChanges
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.links import Links, PeerProcess
from bergamotgate.wire.network import FrameStream, Listener, Network
from bergamotgate.wire.port import PeerPort

__all__ = ["PublicationSpread"]

FETCH_TIMEOUT_S = 1.0
# Leaves room in a datagram for its other fields.
MAX_NEWS_BYTES = 6000
ITEM_OVERHEAD_BYTES = 24
NOT_CARRIED = -1
# Stands for any greater age, also of what was never confirmed.
MAX_AGE_S = 1_000_000.0


class PublicationSpread:
    """Sends own news to all peers, and fetches what a peer's news shows to be missing here."""

    def __init__(
        self,
        table: ItemTable,
        port: PeerPort,
        links: Links,
        peers: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
    ):
        self._table = table
        self._port = port
        self._links = links
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("publication:")
        self._fetching = False
        self._listener: Listener | None = None
        self._streams: set[FrameStream] = set()
        port.subscribe(self._receive)

    async def open(self, network: Network, address: str) -> None:
        """Answer peers that ask for the table.

        Raises:
            AddressInUse: Another process has the address.
        """
        self._listener = await network.listen(address, self._serve)

    async def close(self) -> None:
        """Stop to answer and to fetch."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._streams):
            stream.close()
        await self._tasks.close()

    def tell(self, since: int, news: ItemChanges) -> None:
        """Tell every peer what a poll brought."""
        items = self._carried(news)
        message = ttypes.PublishedNews(
            since=since if items is not None else NOT_CARRIED,
            as_of=news.as_of,
            age_ms=self._age_ms(),
            items=items or [],
        )
        for address in self._peers():
            self._port.send(address, news=message)

    def ask(self, address: str) -> None:
        """Ask a peer for what it has."""
        if not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch(address))

    def _carried(self, news: ItemChanges) -> list[ttypes.PublishedItem] | None:
        """The changes in message form; None when they do not fit into a datagram."""
        newest = {item.key: item for item in news.items}.values()
        size = sum(len(i.key) + len(i.value or b"") + ITEM_OVERHEAD_BYTES for i in newest)
        return [_message(item) for item in newest] if size <= MAX_NEWS_BYTES else None

    def _receive(self, address: str, message: ttypes.Datagram) -> None:
        if message.reply_wanted and self._table.as_of != UNREAD:
            mark = ttypes.PublishedNews(NOT_CARRIED, self._table.as_of, self._age_ms(), [])
            self._port.send(address, news=mark)
        if message.news is not None:
            self._learn(address, message.news)

    def _learn(self, address: str, news: ttypes.PublishedNews) -> None:
        current_at = self._clock.now() - news.age_ms / 1000
        if news.as_of <= self._table.as_of:
            if news.as_of == self._table.as_of:
                self._table.confirm(current_at)
            return
        if news.since == NOT_CARRIED or news.since > self._table.as_of:
            self.ask(address)
            return
        self._table.merge(news.since, news.as_of, [_item(item) for item in news.items])
        self._table.confirm(current_at)

    def _age_ms(self) -> int:
        return milliseconds(min(MAX_AGE_S, self._table.age_s()))

    async def _fetch(self, address: str) -> None:
        number = self._links.next_call()
        ask = ttypes.PublishedAsk(number, self._table.as_of)
        frame = ttypes.Frame(version=WIRE_VERSION, published_ask=ask)
        asked_at = self._clock.now()
        try:
            link = self._links.to(PeerProcess(address))
            answer = await link.call(number, frame, FETCH_TIMEOUT_S)
        except LinkLost as error:
            logger.warning("publication: A peer's table could not be read: {}", error)
            return
        finally:
            self._fetching = False
        self._take(answer.published_reply, ask.have, asked_at)

    def _take(self, reply: ttypes.PublishedReply, have: int, asked_at: float) -> None:
        items = [_item(item) for item in reply.items]
        if reply.whole:
            self._table.replace_all(reply.as_of, items)
        elif self._table.merge(have, reply.as_of, items) is None:
            return
        if reply.as_of >= self._table.as_of:
            self._table.confirm(asked_at - reply.age_ms / 1000)

    async def _serve(self, stream: FrameStream) -> None:
        self._streams.add(stream)
        try:
            while True:
                frame = decode_frame(await stream.receive())
                answer = self._answer(frame)
                if answer is not None:
                    stream.send(encode(answer))
        except LinkLost:
            pass  # the peer opens another stream when it needs one
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            logger.warning("publication: {} sends unreadable frames: {}", stream.peer, error)
        finally:
            self._streams.discard(stream)
            stream.close()

    def _answer(self, frame: ttypes.Frame) -> ttypes.Frame | None:
        if frame.echo is not None:
            return ttypes.Frame(version=WIRE_VERSION, echo_reply=frame.echo)
        if frame.published_ask is None or self._table.as_of == UNREAD:
            return None
        ask = frame.published_ask
        changes = self._table.changes_after(ask.have) if ask.have != UNREAD else None
        items = changes if changes is not None else self._table.present()
        reply = ttypes.PublishedReply(
            call=ask.call,
            as_of=self._table.as_of,
            age_ms=self._age_ms(),
            whole=changes is None,
            items=[_message(item) for item in items],
        )
        return ttypes.Frame(version=WIRE_VERSION, published_reply=reply)


def _message(item: PublishedItem) -> ttypes.PublishedItem:
    return ttypes.PublishedItem(item.key, item.revision, item.value)


def _item(message: ttypes.PublishedItem) -> PublishedItem:
    return PublishedItem(message.key, message.revision, message.value)
