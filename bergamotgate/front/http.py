"""The callers' interface over HTTP."""

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
    """Listens for callers."""

    def __init__(self, desk: CallerRequestHandler, metrics: Metrics, status: StatusSource):
        application = Application(
            [
                (r"/-/addresses", _AddressesHandler, {"desk": desk}),
                (r"/-/metrics", _MetricsHandler, {"metrics": metrics}),
                (r"/-/status", _StatusHandler, {"status": status}),
                (r"/.*", _RequestHandler, {"desk": desk}),
            ],
            log_function=lambda handler: None,
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
        """Start to listen.

        Raises:
            AddressInUse: Another process has the address.
        """
        host, port = split_address(address)
        try:
            self._server.add_sockets(bind_sockets(port, host))
        except OSError as error:
            raise AddressInUse(address) from error

    async def close(self) -> None:
        """Stop to listen and close idle connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _CallerHandler(RequestHandler):
    """Writes answers."""

    def write_answer(self, answer: CallerAnswer) -> None:
        """Send an answer to the caller."""
        self.set_status(answer.status)
        self.set_header("Content-Type", "application/json")
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(answer.body)

    def compute_etag(self) -> None:
        """No entity tags: answers are not cached."""


class _RequestHandler(_CallerHandler):
    """Any request that a route may match."""

    def initialize(self, desk: CallerRequestHandler) -> None:
        self._desk = desk

    async def prepare(self) -> None:
        request = CallerRequest(
            method=self.request.method,
            path=self.request.path,
            body=self.request.body,
            deadline_ms=self.request.headers.get("X-Deadline-Ms"),
            key=self.request.headers.get("X-Key"),
            first_attempt=self.request.headers.get("X-Sending") == "1",
        )
        self.write_answer(await self._desk.handle(request))


class _AddressesHandler(_CallerHandler):
    """Which VMs to use."""

    def initialize(self, desk: CallerRequestHandler) -> None:
        self._desk = desk

    def get(self) -> None:
        self.write_answer(self._desk.addresses(self.get_query_argument("zone", "")))


class _MetricsHandler(RequestHandler):
    """Counters for Prometheus."""

    def initialize(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._metrics.text())


class _StatusHandler(RequestHandler):
    """What this process believes and does, for operators."""

    def initialize(self, status: StatusSource) -> None:
        self._status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._status()))
