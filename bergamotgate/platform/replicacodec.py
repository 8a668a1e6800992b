"""Encodes sub-requests to the platform's backend servers and decodes their replies."""

import math
import re

from loguru import logger

from bergamotgate.backend.http1 import RawReply
from bergamotgate.discovery import NO_STATEMENT, DiscoveredServer, ServerStatement
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
SERVER_LEAVING = names.SERVER_LEAVING.lower()
RETRY_AFTER = names.RETRY_AFTER.lower()
CONTENT_ENCODING = "content-encoding"
# Headers that decide whether a reply is taken; one of them that comes twice contradicts itself.
SINGLE_HEADERS = (ATTEMPT_ID, SERVER_STAMP, CONTENT_ENCODING)
# The stamps of merged replies are joined by commas: one that is empty, or holds a comma or a space,
# would make the whole answer wrong.
STAMP = re.compile(r"[\x21-\x2b\x2d-\x7e]+")
UNAVAILABLE = 503
LEAVING = "1"


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
        if len(header_by_name) < len(raw.headers) and _has_repeated_header(raw):
            return WrongReplyReason.REPEATED_FIELD
        echoed = header_by_name.get(ATTEMPT_ID)
        if echoed is None:
            return WrongReplyReason.NO_ATTEMPT
        if echoed != request.attempt:
            return WrongReplyReason.OTHER_ATTEMPT
        if header_by_name.get(CONTENT_ENCODING, "identity") != "identity":
            return WrongReplyReason.ENCODED
        digest = header_by_name.get(SERVER_STAMP)
        if digest is not None and not STAMP.fullmatch(digest):
            return WrongReplyReason.UNSIGNED
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
            statement=_statement(raw, header_by_name),
        )


def _has_repeated_header(raw: RawReply) -> bool:
    names_received = [name for name, _ in raw.headers]
    return any(names_received.count(name) > 1 for name in SINGLE_HEADERS)


def _statement(raw: RawReply, header_by_name: dict[str, str]) -> ServerStatement:
    """What a reply says of its server; nothing if another server has its address now."""
    if raw.status == MISDIRECTED:
        return NO_STATEMENT
    leaving = SERVER_LEAVING in header_by_name and any(
        name == SERVER_LEAVING and value.strip() == LEAVING for name, value in raw.headers
    )
    pause_s = _pause_s(header_by_name.get(RETRY_AFTER)) if raw.status == UNAVAILABLE else 0.0
    return ServerStatement(leaving, pause_s) if leaving or pause_s else NO_STATEMENT


def _pause_s(text: str | None) -> float:
    """Seconds; 0 if the server asks for no pause or for one that is not usable."""
    if text is None:
        return 0.0
    pause_s = _number(text)
    if pause_s is None:
        logger.warning("relay: Ignored a pause that is no number of seconds: {!r:.40}.", text)
    return pause_s or 0.0


def _rate_limit(text: str | None) -> float | None:
    """Requests per second; None if the server states no limit or one that is not usable."""
    if text is None:
        return None
    rate_per_s = _number(text)
    if rate_per_s is None:
        logger.warning("relay: Ignored a stated request rate that is no number: {!r}.", text)
    return rate_per_s


def _number(text: str) -> float | None:
    """A finite decimal number that is not negative; None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


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
