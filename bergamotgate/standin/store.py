"""Simulates the store of the users' platform over HTTP, with the faults that it documents."""

import asyncio
import base64
import json
from collections.abc import Callable
from enum import Enum, auto

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from bergamotgate.publication import HistoryLost, MemoryItemSource, PublishedItem

__all__ = ["StandInStore", "StoreFault"]

ERA_HEADER = "Store-Era"
PAGE_ITEMS = 50
REASON_BY_STATUS = {200: "OK", 410: "Gone", 429: "Too Many Requests", 503: "Service Unavailable"}


class StoreFault(Enum):
    """A fault that the store injects into every call.

    Attributes:
        NONE: Reply correctly.
        UNAVAILABLE: Reply with status 503.
        TOO_MANY_REQUESTS: Reply with status 429.
        NO_REPLY: Keep the connection open without a reply.
        MALFORMED: Reply with a body that is not valid JSON.
    """

    NONE = auto()
    UNAVAILABLE = auto()
    TOO_MANY_REQUESTS = auto()
    NO_REPLY = auto()
    MALFORMED = auto()


class StandInStore:
    """A simulated store that listens on loopback.

    Attributes:
        source: Published items and their history.
        fault: Fault injected into every call.
        page_lag: Returns the revisions by which a page of a read that need not be current lags,
            given the key after which the page begins.
        era_values: Values of the header ``Store-Era`` in every answer, one line each; None to state
            the era of the source, if it has one.
        address: ``ip:port`` once started.
    """

    def __init__(self) -> None:
        self.source = MemoryItemSource()
        self.fault = StoreFault.NONE
        self.page_lag: Callable[[str], int] = lambda after: 0
        self.era_values: tuple[str, ...] | None = None
        self.address = ""

    def start(self) -> None:
        """Listen on a free loopback port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(self._start_handler)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _start_handler(self, request: HTTPServerRequest) -> None:
        handler = asyncio.ensure_future(self._handle(request))
        request.connection.set_close_callback(handler.cancel)

    async def _handle(self, request: HTTPServerRequest) -> None:
        match self.fault:
            case StoreFault.UNAVAILABLE:
                self._write(request, 503, b"{}")
            case StoreFault.TOO_MANY_REQUESTS:
                self._write(request, 429, b"{}")
            case StoreFault.MALFORMED:
                self._write(request, 200, b"[not json")
            case StoreFault.NO_REPLY:
                await asyncio.sleep(3600)
            case StoreFault.NONE:
                status, result = await self._result(request)
                self._write(request, status, json.dumps(result).encode())

    async def _result(self, request: HTTPServerRequest) -> tuple[int, dict]:
        query = {name: values[-1].decode() for name, values in request.query_arguments.items()}
        prefix = query.get("prefix", "")
        if request.path.endswith("kv-watch"):
            try:
                changes = await self.source.changes(
                    int(query["after"]), int(query["waitMs"]) / 1000
                )
            except HistoryLost:
                return 410, {}
            events = [_entry(item) for item in changes.items if item.key.startswith(prefix)]
            return 200, {"events": events, "asOf": changes.as_of}
        after = query.get("after", "")
        newest = "staleOk" not in query
        if not newest:
            self.source.stale_by = self.page_lag(after)
        full_read = await self.source.read_all(newest)
        items = sorted(full_read.items, key=lambda item: item.key)
        items = [item for item in items if item.key.startswith(prefix) and item.key > after]
        page = [_entry(item) for item in items[:PAGE_ITEMS]]
        return 200, {"items": page, "truncated": len(items) > PAGE_ITEMS, "asOf": full_read.as_of}

    def _write(self, request: HTTPServerRequest, status: int, body: bytes) -> None:
        request.connection.set_close_callback(None)
        headers = HTTPHeaders({"Content-Type": "application/json"})
        headers["Content-Length"] = str(len(body))
        for value in self._stated_eras():
            headers.add(ERA_HEADER, value)
        start_line = ResponseStartLine("HTTP/1.1", status, REASON_BY_STATUS[status])
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    def _stated_eras(self) -> tuple[str, ...]:
        if self.era_values is not None:
            return self.era_values
        return () if self.source.era is None else (str(self.source.era),)


def _entry(item: PublishedItem) -> dict:
    entry = {"key": item.key, "revision": item.revision}
    if item.value is None:
        return entry | {"deleted": True}
    value = base64.b64encode(item.value).decode()
    return entry | {"value": value, "createRev": item.revision, "lease": 0}
