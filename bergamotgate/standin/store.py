"""The users' platform's store over HTTP, with the failures that its pages name."""

import asyncio
import base64
import json
from enum import Enum, auto

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from bergamotgate.publication import HistoryLost, MemoryItemSource, PublishedItem

__all__ = ["StandInStore", "StoreFault"]

PAGE_ITEMS = 50
REASON_BY_STATUS = {200: "OK", 410: "Gone", 429: "Too Many Requests", 503: "Service Unavailable"}


class StoreFault(Enum):
    """What the store does with every call."""

    NONE = auto()
    UNAVAILABLE = auto()
    TOO_MANY_REQUESTS = auto()
    NO_REPLY = auto()
    MALFORMED = auto()


class StandInStore:
    """A store on the loopback.

    Attributes:
        source: What is published.
        fault: What it does wrong.
        address: ``ip:port``.
    """

    def __init__(self) -> None:
        self.source = MemoryItemSource()
        self.fault = StoreFault.NONE
        self.address = ""

    def start(self) -> None:
        """Listen on a free port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(self._start_call)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop to listen."""
        self._server.stop()
        await self._server.close_all_connections()

    def _start_call(self, request: HTTPServerRequest) -> None:
        call = asyncio.ensure_future(self._call(request))
        request.connection.set_close_callback(call.cancel)

    async def _call(self, request: HTTPServerRequest) -> None:
        match self.fault:
            case StoreFault.UNAVAILABLE:
                _write(request, 503, b"{}")
            case StoreFault.TOO_MANY_REQUESTS:
                _write(request, 429, b"{}")
            case StoreFault.MALFORMED:
                _write(request, 200, b"[not json")
            case StoreFault.NO_REPLY:
                await asyncio.sleep(3600)
            case StoreFault.NONE:
                status, answer = await self._answer(request)
                _write(request, status, json.dumps(answer).encode())

    async def _answer(self, request: HTTPServerRequest) -> tuple[int, dict]:
        query = {name: values[-1].decode() for name, values in request.query_arguments.items()}
        prefix = query.get("prefix", "")
        if request.path.endswith("kv-watch"):
            try:
                news = await self.source.changes(int(query["after"]), int(query["waitMs"]) / 1000)
            except HistoryLost:
                return 410, {}
            found = [_entry(item) for item in news.items if item.key.startswith(prefix)]
            return 200, {"events": found, "asOf": news.as_of}
        whole = await self.source.read_all(newest="staleOk" not in query)
        after = query.get("after", "")
        items = sorted(whole.items, key=lambda item: item.key)
        items = [item for item in items if item.key.startswith(prefix) and item.key > after]
        page = [_entry(item) for item in items[:PAGE_ITEMS]]
        return 200, {"items": page, "truncated": len(items) > PAGE_ITEMS, "asOf": whole.as_of}


def _entry(item: PublishedItem) -> dict:
    entry = {"key": item.key, "revision": item.revision}
    if item.value is None:
        return entry | {"deleted": True}
    value = base64.b64encode(item.value).decode()
    return entry | {"value": value, "createRev": item.revision, "lease": 0}


def _write(request: HTTPServerRequest, status: int, body: bytes) -> None:
    request.connection.set_close_callback(None)
    headers = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body))})
    start = ResponseStartLine("HTTP/1.1", status, REASON_BY_STATUS[status])
    request.connection.write_headers(start, headers, body)
    request.connection.finish()
