"""An HTTP/1.1 client connection to a backend server for one exchange at a time.

A reply is accepted only if its status line is valid and its framing complete. Data that arrives
without an outstanding request or after a complete reply belongs to no request, so the connection
is closed. A reply that exceeds the limits of its ``ReplyMemory`` ends the connection. This module
never retries a request.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import httptools
from loguru import logger

from bergamotgate.backend.replymemory import ReplyLimits, ReplyMemory
from bergamotgate.errors import MalformedHead, UnknownTransferCoding
from bergamotgate.wholenumber import read_whole_number
from bergamotgate.wire.statusline import starts_with_status_line

__all__ = ["BODILESS_STATUSES", "ExchangeFailure", "Http1Connection", "RawReply"]

# Idle connections are discarded this long before the server would close them.
KEEP_ALIVE_MARGIN_S = 0.4
DEFAULT_KEEP_ALIVE_S = 3.0
INFORMATIONAL_STATUSES = range(100, 200)
BODILESS_STATUSES = (204, 304)
HEAD_END = b"\r\n\r\n"


class ExchangeFailure(Enum):
    """Why an exchange ended without a reply."""

    NOT_SENT = auto()
    CONNECTION_LOST = auto()
    MALFORMED = auto()
    TIMED_OUT = auto()
    OVERSIZED = auto()


@dataclass(frozen=True, slots=True)
class RawReply:
    """A complete HTTP response, not interpreted further.

    Attributes:
        status: Status code.
        headers: Pairs of name in lower case and value, in the order received.
        body: Body without transfer encoding.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, given its name in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


OnEnd = Callable[["RawReply | ExchangeFailure"], None]


class Http1Connection(asyncio.Protocol):
    """A connection, reusable until ``reusable_until`` while no request is outstanding.

    Attributes:
        closed: Whether the connection is closed.
        reusable_until: Time of the loop's clock until which another request may be sent.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ReplyMemory, address: str):
        self._loop = loop
        self._memory = memory
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._on_end: OnEnd | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._head = bytearray()  # as received, until it is complete
        self._head_bytes = 0
        self._body_bytes = 0
        self._keep_alive = False
        self.closed = False
        self.reusable_until = loop.time() + DEFAULT_KEEP_ALIVE_S

    @property
    def busy(self) -> bool:
        """Whether a request is outstanding."""
        return self._on_end is not None

    def reusable(self) -> bool:
        """Whether another request may be sent now."""
        return not self.closed and not self.busy and self._loop.time() < self.reusable_until

    def exchange(self, request: bytes, on_end: OnEnd) -> None:
        """Send a request and call back with the reply or the failure."""
        self._on_end = on_end
        self._begin_message()
        self._transport.write(request)

    def abort(self) -> None:
        """Close the connection at once without calling back."""
        self._on_end = None
        self._close()

    def end_oversized(self) -> None:
        """End the outstanding request because its reply is too large."""
        self._end(ExchangeFailure.OVERSIZED)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of a reply; without an outstanding request close the connection."""
        if self._on_end is None:
            self._close()
            return
        exchange = self._on_end
        while data and self._on_end is exchange:
            # Until the head is complete, no more than its limit allows may be parsed.
            left_bytes = self._memory.limits.head_bytes - self._head_bytes
            size = len(data) if self._headers_complete else left_bytes
            self._feed(data[:size], more=len(data) > size)
            data = data[size:]

    def _feed(self, data: bytes, more: bool) -> None:
        """Parse bytes of the reply; end the request if the reply is complete or wrong.

        Args:
            data: The bytes.
            more: Whether further bytes were received with them.
        """
        limits = self._memory.limits
        if self._headers_complete:
            self._body_bytes += len(data)
        else:
            self._head_bytes += len(data)
            self._head += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._complete:
                self._keep_alive = False  # the error is in the bytes after the reply
                self._finish()
            else:
                self._end_malformed(error)
            return
        if self._complete:
            self._keep_alive &= not more
            self._finish()
        elif self._exceeds(limits):
            self.end_oversized()
        else:
            self._memory.hold(self, self._head_bytes + self._body_bytes)

    def _end_malformed(self, error: httptools.HttpParserError) -> None:
        cause = error.__context__ or error  # the context is what a callback of the parser raised
        logger.info("backend: Malformed reply from {}: {}.", self._address, cause)
        self._end(ExchangeFailure.MALFORMED)

    def _exceeds(self, limits: ReplyLimits) -> bool:
        if self._headers_complete:
            return self._body_bytes > limits.body_bytes
        return self._head_bytes >= limits.head_bytes

    def eof_received(self) -> None:
        """Complete a reply that has no length and is delimited by the end of the connection."""
        if self._on_end is not None and self._headers_complete and not self._framed:
            self._keep_alive = False
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the outstanding request, if any."""
        self._end(ExchangeFailure.CONNECTION_LOST)
        self._close()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Count the messages, because a second one belongs to no request."""
        self._message_count += 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are not used."""
        if self._message_count == 1 and not self._headers_complete:
            pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
            self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Store status and framing.

        Raises:
            MalformedHead: The status line is not valid; the parser accepts some that are not.
            UnknownTransferCoding: The body has a transfer coding beside or instead of chunks.
        """
        if self._message_count != 1:
            return
        if not starts_with_status_line(self._head):
            raise MalformedHead(bytes(self._head))
        self._status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        header_names = {name for name, _ in self._headers}
        if "transfer-encoding" in header_names:
            self._check_transfer_coding()
        self._framed = (
            "content-length" in header_names
            or "transfer-encoding" in header_names
            or self._status in BODILESS_STATUSES
            or self._status in INFORMATIONAL_STATUSES
        )
        self._headers_complete = True
        if self._status not in INFORMATIONAL_STATUSES:
            self._head.clear()

    def _check_transfer_coding(self) -> None:
        """Raise if the body is not what remains once its chunks are joined."""
        codings = ", ".join(value for name, value in self._headers if name == "transfer-encoding")
        if codings.strip().lower() != "chunked":
            raise UnknownTransferCoding(codings)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._message_count == 1:
            self._body += body

    def on_message_complete(self) -> None:
        """Mark the reply as complete, or discard an informational (1xx) one that precedes it."""
        if self._message_count != 1:
            return
        if self._status in INFORMATIONAL_STATUSES:
            del self._head[: self._head.index(HEAD_END) + len(HEAD_END)]
            self._reset_message()
            return
        self._complete = True

    def _begin_message(self) -> None:
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._head.clear()
        self._head_bytes = 0
        self._body_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._message_count = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._status = 0
        self._framed = False
        self._headers_complete = False
        self._complete = False

    def _finish(self) -> None:
        reply = RawReply(self._status, tuple(self._headers), bytes(self._body))
        request_unsent = self._transport.get_write_buffer_size() > 0
        if self._keep_alive and self._framed and self._message_count == 1 and not request_unsent:
            keep_alive_s = _keep_alive_s(reply)
            self.reusable_until = self._loop.time() + keep_alive_s - KEEP_ALIVE_MARGIN_S
        else:
            self._close()
        self._end(reply)

    def _end(self, result: RawReply | ExchangeFailure) -> None:
        on_end, self._on_end = self._on_end, None
        if isinstance(result, RawReply):
            self._memory.release(self)
        else:
            self._close()
        if on_end is not None:
            on_end(result)

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._memory.release(self)
        self._head = bytearray()
        self._body = bytearray()
        if self._transport is not None:
            self._transport.abort()


def _keep_alive_s(reply: RawReply) -> float:
    value = reply.header("keep-alive")
    if value is None:
        return DEFAULT_KEEP_ALIVE_S
    for part in value.split(","):
        name, _, text = part.strip().partition("=")
        if name.lower() == "timeout" and (seconds := read_whole_number(text)) is not None:
            return float(seconds)
    return DEFAULT_KEEP_ALIVE_S
