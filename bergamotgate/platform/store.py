"""Reads the platform's store over HTTP."""

import base64
import binascii
import socket
from dataclasses import dataclass
from typing import Any

from loguru import logger
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse
from tornado.httputil import url_concat
from tornado.iostream import UnsatisfiableReadError
from tornado.netutil import DefaultLoopResolver, is_valid_ip
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from bergamotgate.errors import PlatformUnavailable
from bergamotgate.jsontext import read_json
from bergamotgate.platform.names import STORE_ERA
from bergamotgate.publication.items import PublishedItem
from bergamotgate.publication.source import HistoryLost, ItemChanges
from bergamotgate.revision import MAX_ERA, checked_revision
from bergamotgate.wholenumber import read_whole_number

__all__ = ["PlatformStore"]

SERVICE = "store"
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
# A watch is answered at the latest after its wait; it times out this much later.
WAIT_MARGIN_S = 0.6
MAX_PAGES = 200
# Longest answer that is read; a page holds about 1 MB, changes since an old revision more.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
GONE = 410


class _AddressResolver(DefaultLoopResolver):
    """Takes an IP address as it is: a busy machine may run the thread that looks up names late."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address family and the socket address of a host."""
        if is_valid_ip(host) and ":" not in host:
            return [(socket.AF_INET, (host, port))]
        return await super().resolve(host, port, family)


@dataclass(frozen=True)
class _Answer:
    """An answer of the store.

    Attributes:
        body: The JSON object.
        era: The era that it states; None when it states none, or not exactly one.
    """

    body: dict[str, Any]
    era: int | None


class PlatformStore:
    """Item source that uses the platform's key-value protocol."""

    def __init__(self, address: str):
        self._base = f"http://{address}/api"
        self._client: AsyncHTTPClient | None = None
        self._states_no_era = False

    async def read_all(self, newest: bool) -> ItemChanges:
        """Read every item, page by page; a read that need not be current costs a tenth.

        Raises:
            PlatformUnavailable: The store gave no usable answer.
        """
        items: list[PublishedItem] = []
        after = ""
        revisions: list[int] = []
        eras: set[int] = set()
        for _ in range(MAX_PAGES):
            query = {"prefix": ""} if newest else {"prefix": "", "staleOk": "1"}
            if after:
                query["after"] = after
            page = await self._get("kv-range", query, READ_TIMEOUT_S)
            found = _items(page.body, "items")
            items.extend(found)
            revisions.append(_revision(page.body))
            eras |= {page.era} - {None}
            if len(eras) > 1:
                raise PlatformUnavailable(SERVICE, "it came back from a copy between two pages")
            if not page.body.get("truncated"):
                # Each page has an age of its own: the read is complete up to the oldest one.
                return ItemChanges(min(revisions), tuple(items), next(iter(eras), None))
            if not found:
                raise PlatformUnavailable(SERVICE, "a page before the last one has no usable item")
            after = found[-1].key
        raise PlatformUnavailable(SERVICE, f"more than {MAX_PAGES} pages")

    async def changes(self, after: int, wait_s: float) -> ItemChanges:
        """Wait for changes after a revision.

        Raises:
            PlatformUnavailable: The store gave no usable answer.
            HistoryLost: The changes are no longer available.
        """
        query = {"prefix": "", "after": str(after), "waitMs": str(int(wait_s * 1000))}
        try:
            response = await self._get("kv-watch", query, wait_s + WAIT_MARGIN_S)
        except PlatformUnavailable as error:
            if isinstance(error.cause, HTTPClientError) and error.cause.code == GONE:
                raise HistoryLost(after) from error
            raise
        events = tuple(_items(response.body, "events"))
        return ItemChanges(_revision(response.body), events, response.era)

    async def _get(self, call: str, query: dict[str, str], timeout_s: float) -> _Answer:
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(
                force_instance=True, max_buffer_size=MAX_ANSWER_BYTES, resolver=_AddressResolver()
            )
        url = url_concat(f"{self._base}/{call}", query)
        try:
            response = await self._client.fetch(
                url,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout_s,
                decompress_response=False,
                follow_redirects=False,
            )
        except (HTTPClientError, OSError, UnsatisfiableReadError) as error:
            raise PlatformUnavailable(SERVICE, error) from error
        return _Answer(_object(response), self._era(response))

    def _era(self, response: HTTPResponse) -> int | None:
        values = set(response.headers.get_list(STORE_ERA))
        era = read_whole_number(values.pop()) if len(values) == 1 else None
        if era is not None and era > MAX_ERA:
            era = None
        if era is None and not self._states_no_era:
            logger.warning("publication: An answer of the store states no valid era.")
        self._states_no_era = era is None
        return era


def _object(response: HTTPResponse) -> dict[str, Any]:
    try:
        value = read_json(response.body)
    except ValueError as error:
        raise PlatformUnavailable(SERVICE, error) from error
    if not isinstance(value, dict):
        raise PlatformUnavailable(SERVICE, "the response is not a JSON object")
    return value


def _revision(response: dict[str, Any]) -> int:
    try:
        return checked_revision(response.get("asOf"))
    except ValueError as error:
        raise PlatformUnavailable(SERVICE, error) from error


def _items(response: dict[str, Any], name: str) -> list[PublishedItem]:
    entries = response.get(name)
    if not isinstance(entries, list):
        raise PlatformUnavailable(SERVICE, f"the response has no list {name}")
    try:
        items = [_item(entry) for entry in entries]
    except (KeyError, TypeError, AttributeError, ValueError, binascii.Error) as error:
        raise PlatformUnavailable(SERVICE, f"an item could not be decoded: {error!r}") from error
    return [item for item in items if _is_encodable(item.key)]


def _is_encodable(key: str) -> bool:
    """Whether a key can be sent to peers; JSON allows surrogates that UTF-8 does not."""
    try:
        key.encode()
    except UnicodeEncodeError:
        logger.warning("publication: Ignored an item with the invalid key {!a}.", key)
        return False
    return True


def _item(entry: dict[str, Any]) -> PublishedItem:
    revision = checked_revision(entry["revision"])
    if entry.get("deleted"):
        return PublishedItem(str(entry["key"]), revision, None)
    value = base64.b64decode(entry["value"], validate=True)
    return PublishedItem(str(entry["key"]), revision, value)
