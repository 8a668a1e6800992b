"""HTTP server through which callers send requests and operators read metrics and status."""

import json
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bergamotgate.errors import AddressInUse
from bergamotgate.front.answers import CallerAnswer
from bergamotgate.front.handler import MAX_BODY_BYTES, CallerRequest, CallerRequestHandler
from bergamotgate.metrics import Metrics
from bergamotgate.wire.network import split_address

__all__ = ["FrontServer"]

MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60.0
BODY_TIMEOUT_S = 10.0

StatusSource = Callable[[], dict[str, Any]]


class FrontServer:
    """HTTP server for callers and operators of one VM."""

    def __init__(self, handler: CallerRequestHandler, metrics: Metrics, status: StatusSource):
        application = Application(
            [
                (r"/-/addresses", _AddressesHandler, {"handler": handler}),
                (r"/-/metrics", _MetricsHandler, {"metrics": metrics}),
                (r"/-/status", _StatusHandler, {"status": status}),
                (r"/.*", _RequestHandler, {"handler": handler}),
            ],
            log_function=lambda tornado_handler: None,
        )
        self._server = HTTPServer(
            application,
            max_body_size=MAX_BODY_BYTES + 1,
            max_buffer_size=2 * MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )

    def open(self, address: str) -> None:
        """Start listening.

        Raises:
            AddressInUse: The address cannot be bound, usually because another process holds it.
        """
        host, port = split_address(address)
        try:
            self._server.add_sockets(bind_sockets(port, host))
        except OSError as error:
            raise AddressInUse(address) from error

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _CallerHandler(RequestHandler):
    """Base of the handlers that send a ``CallerAnswer``."""

    def write_answer(self, answer: CallerAnswer) -> None:
        """Write an answer as the HTTP response."""
        self.set_status(answer.status)
        self.set_header("Content-Type", "application/json")
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(answer.body)

    def compute_etag(self) -> None:
        """Send no ETag, because answers are not cached."""


class _RequestHandler(_CallerHandler):
    """Handles every path that may match a route, with any method."""

    def initialize(self, handler: CallerRequestHandler) -> None:
        self._handler = handler

    async def prepare(self) -> None:
        request = CallerRequest(
            method=self.request.method,
            path=self.request.path,
            body=self.request.body,
            deadline_ms=self.request.headers.get("X-Deadline-Ms"),
            key=self.request.headers.get("X-Key"),
            first_attempt=self.request.headers.get("X-Sending") == "1",
        )
        self.write_answer(await self._handler.handle(request))


class _AddressesHandler(_CallerHandler):
    """Lists the VMs that callers should use."""

    def initialize(self, handler: CallerRequestHandler) -> None:
        self._handler = handler

    def get(self) -> None:
        self.write_answer(self._handler.addresses(self.get_query_argument("zone", "")))


class _MetricsHandler(RequestHandler):
    """Serves metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._metrics.text())


class _StatusHandler(RequestHandler):
    """Serves the local view and the state of this process as JSON, for operators."""

    def initialize(self, status: StatusSource) -> None:
        self._status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._status()))
