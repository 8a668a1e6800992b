"""Serves clients and the platform's checks over HTTP, with the platform's header names."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http.client import responses
from weakref import WeakSet

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from bergamotgate.backend.http1 import BODILESS_STATUSES
from bergamotgate.clock import Clock
from bergamotgate.errors import AddressInUse
from bergamotgate.gateway.directory import ADDRESSES_TTL_S
from bergamotgate.gateway.node import GatewayNode
from bergamotgate.outcomes import NotRun, NotRunReason, UnknownReason
from bergamotgate.platform import names
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    MergedAnswer,
)
from bergamotgate.wholenumber import read_whole_number
from bergamotgate.wire.network import split_address
from bergamotgate.wire.roundtrip import round_trip_s

__all__ = ["Ingress"]

CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade"}
)
DROPPED_HEADERS = CONNECTION_HEADERS | frozenset(
    {
        "proxy-connection",
        "expect",
        "host",
        names.ATTEMPT_ID.lower(),
        names.DEADLINE_MS.lower(),
        names.TARGET_INSTANCE.lower(),
    }
)
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_DEADLINE_MS = 3_600_000
# Clients reuse a connection for up to four fifths of the stated idle limit; this timeout is never
# shorter than that limit.
IDLE_TIMEOUT_S = 60.0
BODY_TIMEOUT_S = 20.0
DRAIN_CHECK_INTERVAL_S = 0.02
# Time to write the last answers before all connections are closed.
ANSWER_MARGIN_S = 0.2
# A lost packet inflates the kernel's round-trip time; no reachable client is further away.
MAX_ROUND_TRIP_S = 0.1
UNKNOWN_STATUS = {UnknownReason.TIMED_OUT: 504}

Serve = Callable[[HTTPServerRequest], Awaitable[None]]


class _TrackingServer(HTTPServer):
    """Tracks its open connections, so that all can be closed at the same moment."""

    def initialize(self, *args: object, **settings: object) -> None:
        super().initialize(*args, **settings)
        self._streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve and track a connection."""
        self._streams = {known for known in self._streams if not known.closed()} | {stream}
        super().handle_stream(stream, address)

    def open_streams(self) -> list[IOStream]:
        """Connections that are open."""
        return [stream for stream in self._streams if not stream.closed()]


@dataclass(frozen=True, slots=True)
class _NetworkDelays:
    """Delays between a client and this VM.

    Attributes:
        inbound_s: Seconds from the client's start until this process read its request.
        outbound_s: Seconds that an answer takes to the client.
    """

    inbound_s: float
    outbound_s: float


class Ingress:
    """HTTP servers on the listening addresses of one gateway."""

    def __init__(
        self, node: GatewayNode, clock: Clock, waiting_s: Callable[[], float] = lambda: 0.0
    ):
        """Create an ingress that does not listen yet.

        Args:
            node: Gateway that answers the requests.
            clock: Monotonic clock.
            waiting_s: Returns how long a request that is handled now has waited in this process.
        """
        self.settings = node.settings
        self._node = node
        self._clock = clock
        self._waiting_s = waiting_s
        self._servers: list[_TrackingServer] = []
        self._tasks: set[asyncio.Task] = set()
        self._used_streams: WeakSet[IOStream] = WeakSet()

    def open(self) -> None:
        """Start listening.

        Raises:
            AddressInUse: Another process uses an address.
        """
        self._listen(self.settings.front, self._serve_client)
        self._listen(self.settings.ready, self._serve_readiness)
        self._listen(self.settings.directory, self._serve_directory)

    def front_streams(self) -> list[IOStream]:
        """Open client connections."""
        return self._servers[0].open_streams()

    def open_metrics(self, address: str) -> None:
        """Serve metrics in the Prometheus text format."""
        self._listen(address, self._serve_metrics)

    async def drain(self, until: float) -> bool:
        """Stop listening, finish the requests that were read, and close all connections.

        Requests that would not be finished get the answer that is true for them shortly before.

        Args:
            until: Time on the local clock at which all connections are closed.

        Returns:
            Whether every request that was read got its answer.
        """
        for server in self._servers:
            server.stop()
        self._node.handler.finish_by(until - ANSWER_MARGIN_S)
        while self._is_busy() and self._clock.now() < until:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_S)
        finished = not self._is_busy()
        # No await from here on, so that no request is read and then cut off.
        for server in self._servers:
            for stream in server.open_streams():
                stream.close()
        return finished

    def _is_busy(self) -> bool:
        """Whether a request was read that is not answered yet.

        A connection that waits for no bytes has read a request, even if no handler runs yet.
        """
        if self._tasks:
            return True
        return any(not s.reading() for server in self._servers for s in server.open_streams())

    def _listen(self, address: str, serve: Serve) -> None:
        server = _TrackingServer(
            lambda request: self._start(serve, request),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        host, port = split_address(address)
        try:
            server.add_sockets(bind_sockets(port, host, backlog=1024))
        except OSError as error:
            raise AddressInUse(address) from error
        self._servers.append(server)

    def _start(self, serve: Serve, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        request.connection.set_close_callback(task.cancel)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "ingress: A request failed with an internal error."
            )

    async def _serve_client(self, request: HTTPServerRequest) -> None:
        client_request = _client_request(request, self._clock.now(), self._network_delays(request))
        if client_request is None:
            await _respond(request, 400, HTTPHeaders(), b"", False)
            return
        answer = await self._node.handler.handle(client_request)
        status, headers, body = _render(answer)
        await _respond(request, status, headers, body, self._node.handler.draining)

    def _network_delays(self, request: HTTPServerRequest) -> _NetworkDelays:
        """Network delays; the first request of a connection also waited for its setup."""
        waiting_s = self._waiting_s()
        stream = request.connection.stream
        if stream is None or stream.closed():
            return _NetworkDelays(waiting_s, 0.0)
        rtt_s = min(round_trip_s(stream.socket), MAX_ROUND_TRIP_S)
        first_request = stream not in self._used_streams
        self._used_streams.add(stream)
        return _NetworkDelays(rtt_s * (1.5 if first_request else 0.5) + waiting_s, rtt_s / 2)

    async def _serve_readiness(self, request: HTTPServerRequest) -> None:
        await _respond(request, 200 if self._node.is_ready() else 503, HTTPHeaders(), b"", False)

    async def _serve_directory(self, request: HTTPServerRequest) -> None:
        zone = request.arguments.get("zone", [b""])[0].decode(errors="replace")
        addresses = self._node.directory.addresses(zone)
        body = json.dumps({"addrs": addresses, "ttl_s": ADDRESSES_TTL_S}).encode()
        headers = HTTPHeaders({"Content-Type": "application/json"})
        await _respond(request, 200 if addresses else 503, headers, body, False)

    async def _serve_metrics(self, request: HTTPServerRequest) -> None:
        headers = HTTPHeaders({"Content-Type": "text/plain; version=0.0.4"})
        await _respond(request, 200, headers, self._node.metrics.text(), False)


def _client_request(
    request: HTTPServerRequest, now: float, delays: _NetworkDelays
) -> ClientRequest | None:
    """Decode a request; None when its identifier is missing."""
    attempt = request.headers.get(names.ATTEMPT_ID)
    if not attempt:
        return None
    forwarded = tuple(
        (name, value)
        for name, value in request.headers.get_all()
        if name.lower() not in DROPPED_HEADERS
    )
    return ClientRequest(
        attempt=attempt,
        method=request.method,
        host=request.host.rsplit(":", 1)[0] if ":" in request.host else request.host,
        target=request.uri,
        path=request.path,
        headers=forwarded,
        body=request.body,
        client_timeout_s=_client_timeout_s(request.headers.get(names.DEADLINE_MS)),
        arrived_at=now,
        waited_s=delays.inbound_s,
        return_delay_s=delays.outbound_s,
    )


def _client_timeout_s(text: str | None) -> float | None:
    """Seconds that a client waits; None when the value is missing or invalid."""
    milliseconds = read_whole_number(text) if text is not None else None
    if milliseconds is None or not 0 < milliseconds <= MAX_DEADLINE_MS:
        return None
    return milliseconds / 1000


def _render(answer: Answer) -> tuple[int, HTTPHeaders, bytes]:
    headers = HTTPHeaders()
    if isinstance(answer, ForwardedAnswer):
        for name, value in answer.reply.headers:
            if name not in CONNECTION_HEADERS:
                headers.add(name, value)
        return answer.reply.status, headers, answer.reply.body
    if isinstance(answer, MergedAnswer):
        headers.add(names.PART_STAMPS, ", ".join(answer.digests))
        headers.add(names.MISSING_PARTS, str(answer.missing))
        return 200, headers, answer.body
    return _render_refusal(answer, headers)


def _render_refusal(answer: FailedAnswer, headers: HTTPHeaders) -> tuple[int, HTTPHeaders, bytes]:
    reason = answer.outcome.reason
    headers.add("Content-Type", "application/json")
    body = json.dumps({"error": str(reason)}).encode()
    if answer.retry_after_s is not None:
        headers.add("Retry-After", f"{answer.retry_after_s:g}")
    if reason is NotRunReason.NO_ROUTE:
        return 404, headers, body
    if isinstance(answer.outcome, NotRun):
        return 503, headers, body
    return UNKNOWN_STATUS.get(reason, 502), headers, body


async def _respond(
    request: HTTPServerRequest, status: int, headers: HTTPHeaders, body: bytes, last: bool
) -> None:
    """Write an answer; close the connection after it if it is the last one."""
    connection = request.connection
    if status not in BODILESS_STATUSES:  # the length is forbidden with 204, unknown with 304
        headers["Content-Length"] = str(len(body))
    if last:
        headers["Connection"] = "close"
    start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    chunk = b"" if request.method == "HEAD" else body
    stream = connection.stream
    written = connection.write_headers(start, headers, chunk)
    connection.finish()
    try:
        await written
    except StreamClosedError:
        return  # the client has disconnected
    if last and stream is not None:
        stream.close()
