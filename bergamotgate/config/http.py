"""The platform's services over HTTP: one GET, or one that waits with ``after`` and ``wait``."""

import json
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.errors import PlatformUnavailable

__all__ = ["HttpConfigurationService", "HttpVmListService"]

READ_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
HTTP_NO_CONTENT = 204


class _HttpService:
    def __init__(self, url: str, name: str):
        self._url = url
        self._name = name
        # A waiting watch holds one connection; a read must not wait behind it.
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=4)

    async def get(self, query: str, timeout_s: float) -> dict[str, Any] | None:
        """The service's answer as JSON; None for no content."""
        request = HTTPRequest(
            self._url + query, request_timeout=timeout_s, connect_timeout=READ_TIMEOUT_S
        )
        try:
            response = await self._client.fetch(request)
            if response.code == HTTP_NO_CONTENT:
                return None
            if len(response.body) > MAX_ANSWER_BYTES:
                raise PlatformUnavailable(self._name, f"answer of {len(response.body)} bytes")
            return json.loads(response.body)
        except (HTTPError, OSError, ValueError) as error:
            raise PlatformUnavailable(self._name, error) from error

    async def watched(self, after: int, wait_s: float) -> dict[str, Any] | None:
        """The answer to a watch."""
        query = f"?after={after}&wait={wait_s:g}"
        return await self.get(query, wait_s + READ_TIMEOUT_S)


class HttpConfigurationService:
    """The configuration service over HTTP."""

    def __init__(self, url: str):
        self._service = _HttpService(url, "configuration service")

    async def read(self) -> PublishedTables:
        """Read the newest tables."""
        return self._tables(await self._service.get("", READ_TIMEOUT_S))

    async def watch(self, after: int, wait_s: float) -> PublishedTables | None:
        """Wait for tables of a higher revision."""
        answer = await self._service.watched(after, wait_s)
        return None if answer is None else self._tables(answer)

    def _tables(self, answer: Any) -> PublishedTables:
        try:
            return PublishedTables(
                int(answer["revision"]), str(answer["routes"]), str(answer["pools"])
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable("configuration service", error) from error


class HttpVmListService:
    """The VM list over HTTP."""

    def __init__(self, url: str):
        self._service = _HttpService(url, "VM list")

    async def read(self) -> PublishedVmList:
        """Read the newest list."""
        return self._list(await self._service.get("", READ_TIMEOUT_S))

    async def watch(self, after: int, wait_s: float) -> PublishedVmList | None:
        """Wait for a list of a higher revision."""
        answer = await self._service.watched(after, wait_s)
        return None if answer is None else self._list(answer)

    def _list(self, answer: Any) -> PublishedVmList:
        try:
            return PublishedVmList(int(answer["revision"]), json.dumps({"vms": answer["vms"]}))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable("VM list", error) from error
