"""Transport of a caller's requests to a VM and of the replies to them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from bergamotgate.errors import BergamotgateError
from bergamotgate.wire.curlhead import HeadWatch

__all__ = [
    "CallerMessage",
    "CallerReply",
    "CallerTransport",
    "HttpTransport",
    "NoAddress",
    "NoReply",
]

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 200
MAX_REPLY_BYTES = 16 * 1024 * 1024


class NoReply(BergamotgateError):
    """A VM did not reply; whether the request ran is unknown.

    Attributes:
        address: ``ip:port`` to which the request was sent.
    """

    def __init__(self, address: str, cause: object = ""):
        super().__init__(f"no reply from {address} {cause}".rstrip())
        self.address = address


class NoAddress(BergamotgateError):
    """No VM answered a request for the VMs to use.

    Attributes:
        tried: Addresses to which the request was sent.
    """

    def __init__(self, tried: list[str]):
        super().__init__(f"no VM responds at {', '.join(tried)}")
        self.tried = tried


@dataclass(frozen=True)
class CallerReply:
    """A VM's reply.

    Attributes:
        status: HTTP status.
        headers: Headers by name.
        body: JSON text.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class CallerMessage:
    """A request with its headers, independent of the VM to which it is sent.

    Attributes:
        method: HTTP method.
        path: Path with the query string.
        body: Body.
        headers: Headers by name.
        timeout_s: Longest time to wait for a reply.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_s: float


class CallerTransport(Protocol):
    """Interface that sends a message and waits for its reply."""

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        """Send a message and return its reply.

        Raises:
            NoReply: No reply arrived in time.
        """


class HttpTransport:
    """Sends messages over HTTP."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        """Send a message and return its reply.

        Raises:
            NoReply: The request failed or no reply arrived in time.
        """
        head = HeadWatch()
        request = HTTPRequest(
            f"http://{address}{message.path}",
            method=message.method,
            headers=message.headers | {"Expect": ""},
            body=message.body if message.method != "GET" else None,
            request_timeout=message.timeout_s,
            connect_timeout=min(message.timeout_s, CONNECT_TIMEOUT_S),
            follow_redirects=False,
            allow_nonstandard_methods=True,
            header_callback=head,
            prepare_curl_callback=_limit_reply,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            raise NoReply(address, error) from error
        if head.error is not None:
            raise NoReply(address, head.error)
        return CallerReply(response.code, response.headers, response.body)


def _limit_reply(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.MAXFILESIZE, MAX_REPLY_BYTES)
