"""Encodes sub-requests to the platform's backend servers and decodes their replies."""

import math

from loguru import logger

from bergamotgate.backend.http1 import RawReply
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.platform import names
from bergamotgate.relay.messages import ClientRequest, ServerReply, WrongReplyReason

__all__ = ["PlatformCodec"]

MISDIRECTED = 421
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
# The HTTP connection returns header names in lower case.
ATTEMPT_ID = names.ATTEMPT_ID.lower()
SERVER_STAMP = names.SERVER_STAMP.lower()
NOT_EXECUTED = names.NOT_EXECUTED.lower()
SERVER_LIMIT = names.SERVER_LIMIT.lower()


class PlatformCodec:
    """Codec for the platform's HTTP protocol with backend servers.

    A query over many shards sends nearly the same request to all; the shared head is encoded once.
    """

    def __init__(self) -> None:
        self._request: ClientRequest | None = None
        self._shared = b""

    def encode(self, request: ClientRequest, server: DiscoveredServer, budget_ms: int) -> bytes:
        """Encode the complete request for one server."""
        if request is not self._request:
            self._request = request
            self._shared = _shared_head(request)
        server_headers = (
            f"{names.DEADLINE_MS}: {budget_ms}\r\n{names.TARGET_INSTANCE}: {server.server}\r\n\r\n"
        )
        return b"".join((self._shared, server_headers.encode("latin-1"), request.body))

    def decode(self, request: ClientRequest, raw: RawReply) -> ServerReply | WrongReplyReason:
        """Decode a reply, or return why it does not belong to the request."""
        header_by_name = dict(raw.headers)
        echoed = header_by_name.get(ATTEMPT_ID)
        if echoed is None:
            return WrongReplyReason.NO_ATTEMPT
        if echoed != request.attempt:
            return WrongReplyReason.OTHER_ATTEMPT
        if header_by_name.get("content-encoding", "identity") != "identity":
            return WrongReplyReason.ENCODED
        digest = header_by_name.get(SERVER_STAMP)
        not_run = NOT_EXECUTED in header_by_name or raw.status == MISDIRECTED
        if 200 <= raw.status < 300 and digest is None:
            return WrongReplyReason.UNSIGNED
        return ServerReply(
            status=raw.status,
            headers=raw.headers,
            body=raw.body,
            digest=digest,
            not_run=not_run,
            misdirected=raw.status == MISDIRECTED,
            rate_limit=_rate_limit(header_by_name.get(SERVER_LIMIT)),
        )


def _rate_limit(text: str | None) -> float | None:
    """Requests per second; None if the server states no limit or one that is not usable."""
    if text is None:
        return None
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        logger.warning("relay: Ignored a stated request rate that is no number: {!r}.", text)
        return None
    return rate_per_s


def _shared_head(request: ClientRequest) -> bytes:
    """Encode the request head without the headers that differ between servers."""
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {request.host}",
        f"{names.ATTEMPT_ID}: {request.attempt}",
    ]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")
