"""Serves simulated backend servers and a simulated platform over HTTP."""

import asyncio
import json
import zlib
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.revision import History, Position
from bergamotgate.standin.server import StandinServer
from bergamotgate.wire.network import split_address

__all__ = ["BackendHttp", "PlatformHttp"]

NOT_RUN_STATUS = 503
IDLE_TIMEOUT_S = 120.0
CLOSE_POLL_S = 0.02


class BackendHttp:
    """Serves one simulated backend server over HTTP.

    Attributes:
        server: The simulated server.
    """

    def __init__(self, server: StandinServer, address: str):
        self.server = server
        self._address = address
        self._http: _ConnectionCountingServer | None = None
        self._streams: set[IOStream] = set()

    def open(self) -> None:
        """Start listening."""
        application = Application(
            [(r"/run", _RunHandler, {"server": self.server, "crash": self.crash})],
            log_function=lambda handler: None,
        )
        self._http = _ConnectionCountingServer(application, idle_connection_timeout=IDLE_TIMEOUT_S)
        self._http.count_connections(self.server, self._streams)
        host, port = split_address(self._address)
        self._http.add_sockets(bind_sockets(port, host))

    def crash(self) -> None:
        """Crash the server and close all its sockets immediately."""
        self.server.crash()
        self._http.stop()
        for stream in list(self._streams):
            stream.close()

    def restart(self) -> None:
        """Restart the server, which begins with a cold start."""
        self.server.restart()
        self.open()


class _ConnectionCountingServer(HTTPServer):
    """Reports opened and closed connections to the simulated server."""

    def count_connections(self, server: StandinServer, streams: set[IOStream]) -> None:
        self._simulated_server = server
        self._open_streams = streams

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        incarnation = self._simulated_server.connection_opened()
        self._open_streams.add(stream)
        super().handle_stream(stream, address)
        asyncio.ensure_future(self._report_close(stream, incarnation))

    async def _report_close(self, stream: IOStream, incarnation: int) -> None:
        """Poll for the end of a connection, because its close callback belongs to Tornado."""
        while not stream.closed():
            await asyncio.sleep(CLOSE_POLL_S)
        self._open_streams.discard(stream)
        self._simulated_server.connection_closed(incarnation)


class _RunHandler(RequestHandler):
    """Runs a sub-request on the simulated server."""

    def initialize(self, server: StandinServer, crash: Any) -> None:
        self._server = server
        self._crash = crash
        self._run_task: asyncio.Task | None = None

    async def post(self) -> None:
        """Run the request; cancel it if the connection closes first."""
        request = self._parse_request()
        self._run_task = asyncio.ensure_future(self._server.run(request))
        try:
            reply = await self._run_task
        except asyncio.CancelledError:
            return
        if reply is None:
            self._crash()
            return
        if request.budget_ms > 0:
            self._answer(request, reply)

    def on_connection_close(self) -> None:
        """Cancel the request of a client that closed its connection."""
        if self._run_task is not None:
            self._run_task.cancel()

    def _parse_request(self) -> BackendRequest:
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
        """Disable entity tags."""


class PlatformHttp:
    """Serves the configuration service and the VM list service over HTTP and counts the calls.

    Attributes:
        tables: Latest tables as JSON values.
        vms: Latest VM list as JSON values.
        calls: Number of calls so far; a long poll counts as one.
        down: Whether calls fail with status 503.
    """

    def __init__(self, tables: dict[str, Any], vms: dict[str, Any]):
        self.tables = tables
        self.vms = vms
        self.calls = 0
        self.down = False
        self._published = asyncio.Event()
        application = Application(
            [
                (r"/tables", _PublishedHandler, {"platform": self, "name": "tables"}),
                (r"/vms", _PublishedHandler, {"platform": self, "name": "vms"}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)

    def open(self, address: str) -> str:
        """Start listening; return the address, with the port that was chosen if it is 0."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return f"{host}:{sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def publish(self, name: str, value: dict[str, Any]) -> None:
        """Publish new tables or a new VM list; ``name`` is ``tables`` or ``vms``."""
        setattr(self, name, value)
        self._published.set()
        self._published = asyncio.Event()

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for the next publication, for at most ``wait_s`` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                await self._published.wait()
        except TimeoutError:
            return


class _PublishedHandler(RequestHandler):
    """Serves the latest tables or VM list, by long poll when the client has that revision."""

    def initialize(self, platform: PlatformHttp, name: str) -> None:
        self._platform = platform
        self._name = name

    async def get(self) -> None:
        self._platform.calls += 1
        wait_s = float(self.get_query_argument("wait", "0"))
        if wait_s > 0 and not self._has_news():
            await self._platform.wait_for_change(wait_s)
        if self._platform.down:
            self.send_error(503)
        elif not self._has_news():
            self.set_status(204)
        else:
            self.finish(json.dumps(self._value()))

    def _has_news(self) -> bool:
        """Whether the value is newer than what the client knows; older builds state no era."""
        value = self._value()
        after = int(self.get_query_argument("after", "-1"))
        own_era = value.get("era", 0)
        known = Position(History(era=int(self.get_query_argument("era", own_era))), after)
        return Position(History(era=own_era), value["revision"]) > known

    def _value(self) -> dict[str, Any]:
        return getattr(self._platform, self._name)
