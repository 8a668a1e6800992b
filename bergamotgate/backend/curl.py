"""Backend connections over HTTP with libcurl, one client per connection so that counts are exact.

libcurl repeats a request by itself when a connection that it reused turns out to be closed. A
request that may not be repeated therefore always opens a new connection, and a refused connect
proves that nothing was sent only where no older connection was tried first. A time-out proves
nothing: the library does not say reliably whether it struck before the request left.
"""

import asyncio
import zlib

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.errors import ConnectionDied, ConnectionRefused, ExchangeTimedOut, WrongReply

__all__ = ["CurlConnector", "MAX_REPLY_BYTES"]

MAX_REPLY_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.001
HTTP_OK = 200


class CurlConnector:
    """Makes connections over HTTP."""

    def open(self, address: str) -> "CurlConnection":
        """A connection that opens at its first exchange."""
        return CurlConnection(address)


class _ClosableClient(CurlAsyncHTTPClient):
    """A client that may be closed while a transfer runs; libcurl sets timers while it closes."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _set_timeout(self, msecs: int) -> None:
        if not self._closed:
            super()._set_timeout(msecs)


class CurlConnection:
    """At most one TCP connection to one backend server.

    Attributes:
        used: Whether an exchange has succeeded on it.
    """

    def __init__(self, address: str):
        self._address = address
        self._client = _ClosableClient(force_instance=True, max_clients=1)
        self._closed = False
        self._transfer: asyncio.Future | None = None
        self.used = False

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply."""
        if self._closed:
            raise ConnectionRefused(self._address, "closed")
        timeout = max(request.budget_ms / 1000, MIN_TIMEOUT_S)
        message = HTTPRequest(
            f"http://{self._address}/run",
            method="POST",
            headers=_headers(request),
            body=request.body,
            connect_timeout=min(timeout, CONNECT_TIMEOUT_S),
            request_timeout=timeout,
            allow_nonstandard_methods=True,
            decompress_response=False,
            follow_redirects=False,
            prepare_curl_callback=lambda curl: _prepare(curl, request.repeatable),
        )
        self._transfer = self._client.fetch(message)
        try:
            response = await self._transfer
        except CurlError as error:
            raise self._failure(error, request.repeatable) from error
        except HTTPError as error:
            if error.response is None:
                raise ConnectionDied(self._address, error) from error
            response = error.response
        self.used = True
        return self._reply(request, response)

    def close(self) -> None:
        """Close the connection; a closed client never ends its transfer, so it is ended here."""
        if self._closed:
            return
        self._closed = True
        self._client.close()
        if self._transfer is not None and not self._transfer.done():
            self._transfer.set_exception(ConnectionDied(self._address, "closed here"))

    def _failure(self, error: CurlError, repeatable: bool) -> Exception:
        fresh = not self.used or not repeatable
        if fresh and error.errno == pycurl.E_COULDNT_CONNECT:
            return ConnectionRefused(self._address, error)
        if error.errno == pycurl.E_OPERATION_TIMEDOUT:
            return ExchangeTimedOut(self._address, error)
        return ConnectionDied(self._address, error)

    def _reply(self, request: BackendRequest, response: HTTPResponse) -> BackendReply:
        headers = response.headers
        if headers.get("X-Request-Id") != request.identifier:
            raise WrongReply(self._address, f"identifier {headers.get('X-Request-Id')}")
        body = response.body or b""
        checksum = headers.get("X-Checksum")
        if checksum is not None and checksum != f"{zlib.crc32(body):08x}":
            raise WrongReply(self._address, f"checksum {checksum}")
        word = headers.get("X-Not-Run")
        try:
            not_run = BackendNotRunReason(word) if word is not None else None
        except ValueError as error:
            raise WrongReply(self._address, f"word {word}") from error
        return BackendReply(
            not_run=not_run,
            failed=not_run is None and response.code != HTTP_OK,
            snapshot=headers.get("X-Snapshot", ""),
            incarnation=headers.get("X-Incarnation", ""),
            cold=headers.get("X-Cold") == "1",
            body=body,
        )


def _headers(request: BackendRequest) -> dict[str, str]:
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


def _prepare(curl: pycurl.Curl, repeatable: bool) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 0 if repeatable else 1)
    curl.setopt(pycurl.MAXCONNECTS, 1)
    curl.setopt(pycurl.MAXFILESIZE, MAX_REPLY_BYTES)
    curl.setopt(pycurl.TCP_NODELAY, 1)
