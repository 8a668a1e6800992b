"""Backend connections over HTTP with libcurl; one client each keeps the connection count exact.

libcurl retries a request by itself if a connection that it reused turns out to be closed. A request
that must not be repeated therefore always opens a new connection, and a refused connection proves
that nothing was sent only if libcurl did not try an older connection first. A timeout proves
nothing, because libcurl does not report reliably whether it occurred before the request was sent.
"""

import asyncio
import zlib

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.backend.replymemory import ReplyLimits, ReplyMemory
from bergamotgate.errors import (
    ConnectionDied,
    ConnectionRefused,
    ExchangeTimedOut,
    MalformedHead,
    WrongReply,
)
from bergamotgate.wire.curlhead import HeadWatch

__all__ = ["CurlConnector"]

CONNECT_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.001
HTTP_OK = 200


class CurlConnector:
    """Creates HTTP connections to backend servers, whose replies share one memory limit."""

    def __init__(self, limits: ReplyLimits | None = None) -> None:
        self._memory = ReplyMemory(limits or ReplyLimits())

    def open(self, address: str) -> "CurlConnection":
        """Return a connection that is opened by its first exchange."""
        return CurlConnection(address, self._memory)


class _ClosableClient(CurlAsyncHTTPClient):
    """A client that can be closed during a transfer, although libcurl sets timers while closing."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _set_timeout(self, msecs: int) -> None:
        if not self._closed:
            super()._set_timeout(msecs)


class _ReplyBody:
    """The body of one reply, within the limits on the memory of replies.

    Attributes:
        oversized: Whether the reply was ended because it is too large.
    """

    def __init__(self, memory: ReplyMemory):
        self._memory = memory
        self._data = bytearray()
        self.oversized = False

    def write(self, chunk: bytes) -> int:
        """libcurl's write callback; it ends the transfer if not all of the chunk is taken."""
        if len(self._data) + len(chunk) > self._memory.limits.body_bytes:
            self.end_oversized()
        if not self.oversized:
            self._data += chunk
            self._memory.hold(self, len(self._data))
        return 0 if self.oversized else len(chunk)

    def end_oversized(self) -> None:
        """Drop the body; the transfer ends with its next chunk."""
        self.oversized = True
        self.release()

    def release(self) -> None:
        """Release the memory."""
        self._data = bytearray()
        self._memory.release(self)

    def __bytes__(self) -> bytes:
        return bytes(self._data)


class CurlConnection:
    """At most one TCP connection to a backend server.

    Attributes:
        used: Whether an exchange has succeeded on it.
    """

    def __init__(self, address: str, memory: ReplyMemory):
        self._address = address
        self._memory = memory
        self._client = _ClosableClient(force_instance=True, max_clients=1)
        self._closed = False
        self._transfer: asyncio.Future | None = None
        self.used = False

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply."""
        if self._closed:
            raise ConnectionRefused(self._address, "connection is closed")
        body = _ReplyBody(self._memory)
        try:
            return await self._exchange(request, body)
        finally:
            body.release()

    async def _exchange(self, request: BackendRequest, body: _ReplyBody) -> BackendReply:
        head = HeadWatch()
        timeout_s = max(request.budget_ms / 1000, MIN_TIMEOUT_S)
        http_request = HTTPRequest(
            f"http://{self._address}/run",
            method="POST",
            headers=_request_headers(request),
            body=request.body,
            connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            decompress_response=False,
            follow_redirects=False,
            header_callback=head,
            prepare_curl_callback=lambda curl: _configure_handle(curl, request.repeatable, body),
        )
        self._transfer = self._client.fetch(http_request)
        try:
            response = await self._transfer
        except CurlError as error:
            if body.oversized:
                raise WrongReply(self._address, "reply is too large") from error
            raise self._exchange_error(error, request.repeatable) from error
        except HTTPError as error:
            if error.response is None:
                raise ConnectionDied(self._address, error) from error
            response = error.response
        if isinstance(head.error, MalformedHead):
            raise WrongReply(self._address, head.error)
        if head.error is not None:
            raise ConnectionDied(self._address, head.error)
        if body.oversized:
            raise WrongReply(self._address, "reply is too large")
        self.used = True
        return self._parse_reply(request, response, bytes(body))

    def close(self) -> None:
        """Close the connection and fail its transfer, which a closed client would leave pending."""
        if self._closed:
            return
        self._closed = True
        self._client.close()
        if self._transfer is not None and not self._transfer.done():
            self._transfer.set_exception(ConnectionDied(self._address, "connection closed locally"))

    def _exchange_error(self, error: CurlError, repeatable: bool) -> Exception:
        new_connection = not self.used or not repeatable
        if new_connection and error.errno == pycurl.E_COULDNT_CONNECT:
            return ConnectionRefused(self._address, error)
        if error.errno == pycurl.E_OPERATION_TIMEDOUT:
            return ExchangeTimedOut(self._address, error)
        return ConnectionDied(self._address, error)

    def _parse_reply(
        self, request: BackendRequest, response: HTTPResponse, body: bytes
    ) -> BackendReply:
        headers = response.headers
        if headers.get("X-Request-Id") != request.identifier:
            raise WrongReply(
                self._address, f"unexpected X-Request-Id {headers.get('X-Request-Id')}"
            )
        checksum = headers.get("X-Checksum")
        if checksum is not None and checksum != f"{zlib.crc32(body):08x}":
            raise WrongReply(self._address, f"X-Checksum {checksum} does not match the body")
        not_run_text = headers.get("X-Not-Run")
        try:
            not_run = BackendNotRunReason(not_run_text) if not_run_text is not None else None
        except ValueError as error:
            raise WrongReply(self._address, f"unknown X-Not-Run value {not_run_text}") from error
        return BackendReply(
            not_run=not_run,
            failed=not_run is None and response.code != HTTP_OK,
            snapshot=headers.get("X-Snapshot", ""),
            incarnation=headers.get("X-Incarnation", ""),
            cold=headers.get("X-Cold") == "1",
            body=body,
        )


def _request_headers(request: BackendRequest) -> dict[str, str]:
    headers = {
        "X-Request-Id": request.identifier,
        "X-Pool": request.pool,
        "X-Snapshot": request.snapshot,
        "X-Shard": str(request.shard),
        "X-Budget-Ms": str(request.budget_ms),
        "Content-Type": "application/octet-stream",
        "Expect": "",
    }
    if request.key:
        headers["X-Key"] = request.key
    return headers


def _configure_handle(curl: pycurl.Curl, repeatable: bool, body: _ReplyBody) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 0 if repeatable else 1)
    curl.setopt(pycurl.MAXCONNECTS, 1)
    curl.setopt(pycurl.WRITEFUNCTION, body.write)
    curl.setopt(pycurl.TCP_NODELAY, 1)
