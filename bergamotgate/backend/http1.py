"""One HTTP/1.1 connection to a backend server, one exchange at a time.

A reply is only believed when it is framed whole. Whatever comes while nothing is asked, or after a
complete reply, belongs to no request: the connection is closed. Nothing is ever sent again here.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import httptools

__all__ = ["ExchangeFailure", "Http1Connection", "RawReply"]

MAX_REPLY_BYTES = 16 * 1024 * 1024
# Idle connections are given up this long before the server would close them.
KEEP_ALIVE_MARGIN_S = 0.4
DEFAULT_KEEP_ALIVE_S = 3.0
CONTINUE_STATUS = range(100, 200)
BODILESS = (204, 304)


class ExchangeFailure(Enum):
    """How an exchange ended without a reply."""

    NOT_SENT = auto()
    CONNECTION_LOST = auto()
    MALFORMED = auto()
    TIMED_OUT = auto()
    CANCELLED = auto()


@dataclass(frozen=True, slots=True)
class RawReply:
    """A whole reply as it came.

    Attributes:
        status: Status code.
        headers: Names in lower case, with their values, in order.
        body: The bytes, without transfer encoding.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """First value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


OnEnd = Callable[["RawReply | ExchangeFailure"], None]


class Http1Connection(asyncio.Protocol):
    """A connection; reusable while ``reusable_until`` lies ahead and nothing is asked on it.

    Attributes:
        closed: Whether it has ended.
        reusable_until: Time on the loop's clock until which it may take another request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._on_end: OnEnd | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._size = 0
        self._keep = False
        self.closed = False
        self.reusable_until = loop.time() + DEFAULT_KEEP_ALIVE_S

    @property
    def busy(self) -> bool:
        """Whether a reply is awaited."""
        return self._on_end is not None

    def reusable(self) -> bool:
        """Whether it may take another request now."""
        return not self.closed and not self.busy and self._loop.time() < self.reusable_until

    def exchange(self, request: bytes, on_end: OnEnd) -> None:
        """Send a request; the callback gets the reply or how the exchange ended."""
        self._on_end = on_end
        self._begin_message()
        self._transport.write(request)

    def abort(self) -> None:
        """Close at once without telling whoever waits for a reply."""
        self._on_end = None
        self._close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of a reply."""
        if self._on_end is None:
            self._close()
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._end(ExchangeFailure.MALFORMED)
            return
        if self._size > MAX_REPLY_BYTES:
            self._end(ExchangeFailure.MALFORMED)
        elif self._complete:
            self._finish()

    def eof_received(self) -> None:
        """Complete a reply that has no length and ends with its connection."""
        if self._on_end is not None and self._heads_seen and not self._framed:
            self._keep = False
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell whoever waits that there will be no reply."""
        self._end(ExchangeFailure.CONNECTION_LOST)
        self._close()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Note that a reply starts; a second one is not asked for."""
        self._messages += 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if self._messages == 1:
            pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
            self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Note status and framing."""
        if self._messages != 1:
            return
        self._status = self._parser.get_status_code()
        self._keep = self._parser.should_keep_alive()
        names = {name for name, _ in self._headers}
        self._framed = (
            "content-length" in names
            or "transfer-encoding" in names
            or self._status in BODILESS
            or self._status in CONTINUE_STATUS
        )
        self._heads_seen = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._messages == 1:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note that the reply is whole, unless it only announces another."""
        if self._messages != 1:
            return
        if self._status in CONTINUE_STATUS:
            self._reset_message()
            return
        self._complete = True

    def _begin_message(self) -> None:
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._size = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._messages = 0
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._framed = False
        self._heads_seen = False
        self._complete = False

    def _finish(self) -> None:
        reply = RawReply(self._status, tuple(self._headers), b"".join(self._body))
        unsent = self._transport.get_write_buffer_size() > 0
        if self._keep and self._framed and self._messages == 1 and not unsent:
            keep_s = _keep_alive_s(reply)
            self.reusable_until = self._loop.time() + keep_s - KEEP_ALIVE_MARGIN_S
        else:
            self._close()
        self._end(reply)

    def _end(self, result: RawReply | ExchangeFailure) -> None:
        on_end, self._on_end = self._on_end, None
        if not isinstance(result, RawReply):
            self._close()
        if on_end is not None:
            on_end(result)

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


def _keep_alive_s(reply: RawReply) -> float:
    value = reply.header("keep-alive")
    if value is None:
        return DEFAULT_KEEP_ALIVE_S
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.strip().isdigit():
            return float(seconds)
    return DEFAULT_KEEP_ALIVE_S
