"""HTTP clients of the platform's services: plain GET, or long polling by ``after`` and ``wait``."""

import json
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.jsontext import read_json
from bergamotgate.revision import checked_era, checked_revision
from bergamotgate.wire.curlhead import HeadWatch

__all__ = ["HttpConfigurationService", "HttpVmListService"]

READ_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
HTTP_NO_CONTENT = 204


class _HttpService:
    def __init__(self, url: str, name: str):
        self._url = url
        self._name = name
        # A waiting watch occupies one connection; reads must not queue behind it.
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=4, max_body_size=MAX_RESPONSE_BYTES
        )

    async def get_json(self, query: str, timeout_s: float) -> dict[str, Any] | None:
        """Send a GET request and return the parsed JSON body, or None for no content."""
        head = HeadWatch()
        request = HTTPRequest(
            self._url + query,
            request_timeout=timeout_s,
            connect_timeout=READ_TIMEOUT_S,
            header_callback=head,
        )
        try:
            response = await self._client.fetch(request)
            if head.error is not None:
                raise PlatformUnavailable(self._name, head.error)
            if response.code == HTTP_NO_CONTENT:
                return None
            return read_json(response.body)
        except (HTTPError, OSError, ValueError) as error:
            raise PlatformUnavailable(self._name, error) from error

    async def watch_json(self, after: int, wait_s: float, era: int) -> dict[str, Any] | None:
        """Wait for a revision above ``after``; return the JSON body, or None for no content."""
        query = f"?after={after}&wait={wait_s:g}&era={era}"
        return await self.get_json(query, wait_s + READ_TIMEOUT_S)


class HttpConfigurationService:
    """Client of the configuration service over HTTP."""

    def __init__(self, url: str):
        self._service = _HttpService(url, "configuration service")

    async def read(self) -> PublishedTables:
        """Read the newest tables."""
        return self._parse_tables(await self._service.get_json("", READ_TIMEOUT_S))

    async def watch(self, after: int, wait_s: float, era: int = 0) -> PublishedTables | None:
        """Wait for tables of a higher revision or era."""
        body = await self._service.watch_json(after, wait_s, era)
        return None if body is None else self._parse_tables(body)

    def _parse_tables(self, body: Any) -> PublishedTables:
        try:
            return PublishedTables(
                checked_revision(body["revision"]),
                str(body["routes"]),
                str(body["pools"]),
                checked_era(body.get("era", 0)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable("configuration service", error) from error


class HttpVmListService:
    """Client of the VM list service over HTTP."""

    def __init__(self, url: str):
        self._service = _HttpService(url, "VM list")

    async def read(self) -> PublishedVmList:
        """Read the newest list."""
        return self._parse_vm_list(await self._service.get_json("", READ_TIMEOUT_S))

    async def watch(self, after: int, wait_s: float, era: int = 0) -> PublishedVmList | None:
        """Wait for a list of a higher revision or era."""
        body = await self._service.watch_json(after, wait_s, era)
        return None if body is None else self._parse_vm_list(body)

    def _parse_vm_list(self, body: Any) -> PublishedVmList:
        try:
            return PublishedVmList(
                checked_revision(body["revision"]),
                json.dumps({"vms": body["vms"]}),
                checked_era(body.get("era", 0)),
            )
        except (KeyError, TypeError, ValueError, RecursionError) as error:
            raise PlatformUnavailable("VM list", error) from error
