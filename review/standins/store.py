"""Stand-in of the platform's metadata store: range reads, watches, a revision counter, a history.

It follows the page PROTOCOL: ``kv-range`` in pages with ``asOf``, ``kv-watch`` with ``after`` and
``waitMs``, 410 for a history that is no longer kept.
"""

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from review.standins.http import read_message, render

__all__ = ["Store"]

PAGE_ITEMS = 50  # `page` under [discovery] of the site files
HISTORY_S = 20.0


@dataclass(frozen=True)
class _Event:
    key: str
    revision: int
    value: bytes | None
    at: float


class Store:
    """The store, on a loopback port of its own.

    Attributes:
        address: ``ip:port`` once started.
        revision: The last change.
        page_lag_s: For each page of a read with ``staleOk``, in turn, how old its data are; the
            last one holds for all further pages.
    """

    def __init__(self) -> None:
        self.address = ""
        self.revision = 1
        self.page_lag_s: list[float] = [0.0]
        self._events: list[_Event] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop to listen and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: bytes | None) -> float:
        """Write an item, or delete it; return the time of the acknowledgement."""
        self.revision += 1
        now = time.monotonic()
        self._events.append(_Event(key, self.revision, value, now))
        self._changed.set()
        self._changed = asyncio.Event()
        return now

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.start[1])
                query = {name: values[-1] for name, values in parse_qs(url.query).items()}
                status, result = await self._answer(url.path, query)
                body = json.dumps(result).encode()
                writer.write(
                    render(f"HTTP/1.1 {status}", {"Content-Type": "application/json"}, body)
                )
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[str, dict]:
        if path == "/api/kv-range":
            return "200 OK", self._page(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        return "404 Not Found", {}

    def _page(self, query: dict[str, str]) -> dict:
        lag_s = 0.0
        if query.get("staleOk") == "1":
            number = self._page_number(query.get("after", ""))
            lag_s = self.page_lag_s[min(number, len(self.page_lag_s) - 1)]
        as_of, item_by_key = self._state(time.monotonic() - lag_s)
        keys = sorted(
            key
            for key in item_by_key
            if key.startswith(query.get("prefix", "")) and key > query.get("after", "")
        )
        items = [_entry(item_by_key[key]) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "truncated": len(keys) > PAGE_ITEMS, "asOf": as_of}

    def _page_number(self, after: str) -> int:
        if not after:
            return 0
        _, item_by_key = self._state(time.monotonic())
        return -(-sum(1 for key in item_by_key if key <= after) // PAGE_ITEMS)

    def _state(self, at: float) -> tuple[int, dict[str, _Event]]:
        """The revision and the items at a moment."""
        past = [event for event in self._events if event.at <= at]
        newest = {event.key: event for event in past}
        items = {key: event for key, event in newest.items() if event.value is not None}
        return (past[-1].revision if past else 1), items

    async def _watch(self, query: dict[str, str]) -> tuple[str, dict]:
        after = int(query["after"])
        kept = [e.revision for e in self._events if e.at >= time.monotonic() - HISTORY_S]
        if after < (kept[0] if kept else self.revision + 1) - 1:
            return "410 Gone", {}
        if after >= self.revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await self._changed.wait()
        prefix = query.get("prefix", "")
        events = [e for e in self._events if e.revision > after and e.key.startswith(prefix)]
        return "200 OK", {"events": [_entry(e) for e in events], "asOf": self.revision}


def _entry(event: _Event) -> dict:
    if event.value is None:
        return {"key": event.key, "revision": event.revision, "deleted": True}
    return {
        "key": event.key,
        "value": base64.b64encode(event.value).decode(),
        "revision": event.revision,
        "createRev": event.revision,
        "lease": 0,
    }
