"""The stand-ins over HTTP: backend servers that count their connections, and the platform."""

import asyncio
import json
import zlib
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.standin.server import StandinServer
from bergamotgate.wire.network import split_address

__all__ = ["BackendHttp", "PlatformHttp"]

NOT_RUN_STATUS = 503
IDLE_S = 120.0
CLOSE_CHECK_S = 0.02


class BackendHttp:
    """Serves one stand-in server over HTTP."""

    def __init__(self, server: StandinServer, address: str):
        self.server = server
        self._address = address
        self._http: _CountingServer | None = None
        self._streams: set[IOStream] = set()

    def open(self) -> None:
        """Start to listen."""
        application = Application(
            [(r"/run", _RunHandler, {"server": self.server, "crash": self.crash})],
            log_function=lambda handler: None,
        )
        self._http = _CountingServer(application, idle_connection_timeout=IDLE_S)
        self._http.count(self.server, self._streams)
        host, port = split_address(self._address)
        self._http.add_sockets(bind_sockets(port, host))

    def crash(self) -> None:
        """End the server: close its sockets at once."""
        self.server.crash()
        self._http.stop()
        for stream in list(self._streams):
            stream.close()

    def restart(self) -> None:
        """Start a new process, cold."""
        self.server.restart()
        self.open()


class _CountingServer(HTTPServer):
    """Counts the connections that are really open."""

    def count(self, server: StandinServer, streams: set[IOStream]) -> None:
        self._counted = server
        self._counted_streams = streams

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        incarnation = self._counted.connection_opened()
        self._counted_streams.add(stream)
        super().handle_stream(stream, address)
        asyncio.ensure_future(self._forget_closed(stream, incarnation))

    async def _forget_closed(self, stream: IOStream, incarnation: int) -> None:
        """Notice the end of a connection without taking over its close callback."""
        while not stream.closed():
            await asyncio.sleep(CLOSE_CHECK_S)
        self._counted_streams.discard(stream)
        self._counted.connection_closed(incarnation)


class _RunHandler(RequestHandler):
    """Runs one sub-request."""

    def initialize(self, server: StandinServer, crash: Any) -> None:
        self._server = server
        self._crash = crash
        self._work: asyncio.Task | None = None

    async def post(self) -> None:
        """Run the request, unless the connection closes first."""
        request = self._read()
        self._work = asyncio.ensure_future(self._server.run(request))
        try:
            reply = await self._work
        except asyncio.CancelledError:
            return
        if reply is None:
            self._crash()
            return
        if request.budget_ms > 0:
            self._answer(request, reply)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that hung up."""
        if self._work is not None:
            self._work.cancel()

    def _read(self) -> BackendRequest:
        headers = self.request.headers
        return BackendRequest(
            identifier=headers.get("X-Request-Id", ""),
            pool=headers.get("X-Pool", ""),
            snapshot=headers.get("X-Snapshot", ""),
            shard=int(headers.get("X-Shard", "0")),
            budget_ms=int(headers.get("X-Budget-Ms", "1000")),
            repeatable=True,
            key=headers.get("X-Key", ""),
            body=self.request.body,
        )

    def _answer(self, request: BackendRequest, reply: BackendReply) -> None:
        self.set_header("X-Request-Id", request.identifier)
        self.set_header("X-Snapshot", reply.snapshot)
        self.set_header("X-Incarnation", reply.incarnation)
        self.set_header("X-Checksum", f"{zlib.crc32(reply.body):08x}")
        if reply.cold:
            self.set_header("X-Cold", "1")
        if reply.not_run is not None:
            self.set_header("X-Not-Run", str(BackendNotRunReason(reply.not_run)))
            self.set_status(NOT_RUN_STATUS)
        self.finish(reply.body)

    def compute_etag(self) -> None:
        """No entity tags."""


class PlatformHttp:
    """The configuration service and the VM list over HTTP; counts every call.

    Attributes:
        tables: Newest tables as JSON values.
        vms: Newest VM list as JSON values.
        calls: Calls so far, a waiting watch counted as one.
        down: Whether calls fail.
    """

    def __init__(self, tables: dict[str, Any], vms: dict[str, Any]):
        self.tables = tables
        self.vms = vms
        self.calls = 0
        self.down = False
        self._changed = asyncio.Event()
        application = Application(
            [
                (r"/tables", _PublishedHandler, {"platform": self, "name": "tables"}),
                (r"/vms", _PublishedHandler, {"platform": self, "name": "vms"}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)

    def open(self, address: str) -> None:
        """Start to listen."""
        host, port = split_address(address)
        self._server.add_sockets(bind_sockets(port, host))

    def close(self) -> None:
        """Stop to listen."""
        self._server.stop()

    def publish(self, name: str, value: dict[str, Any]) -> None:
        """Publish new tables or a new VM list."""
        setattr(self, name, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, wait_s: float) -> None:
        """Return at the next publication, or after so many seconds."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class _PublishedHandler(RequestHandler):
    def initialize(self, platform: PlatformHttp, name: str) -> None:
        self._platform = platform
        self._name = name

    async def get(self) -> None:
        self._platform.calls += 1
        after = int(self.get_query_argument("after", "-1"))
        wait_s = float(self.get_query_argument("wait", "0"))
        if self._value()["revision"] <= after and wait_s > 0:
            await self._platform.wait_for_change(wait_s)
        if self._platform.down:
            self.send_error(503)
        elif self._value()["revision"] <= after:
            self.set_status(204)
        else:
            self.finish(json.dumps(self._value()))

    def _value(self) -> dict[str, Any]:
        return getattr(self._platform, self._name)
