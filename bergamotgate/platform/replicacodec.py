"""Writes sub-requests as the platform's backend servers read them, and reads their replies."""

from bergamotgate.backend.http1 import RawReply
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.platform import names
from bergamotgate.relay.messages import ClientRequest, ServerReply, WrongReplyReason

__all__ = ["PlatformCodec"]

MISDIRECTED = 421
CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade"}
)


class PlatformCodec:
    """The platform's HTTP towards backend servers."""

    def encode(self, request: ClientRequest, server: DiscoveredServer, budget_ms: int) -> bytes:
        """The whole request for one server."""
        lines = [
            f"{request.method} {request.target} HTTP/1.1",
            f"Host: {request.host}",
            f"{names.ATTEMPT_ID}: {request.attempt}",
            f"{names.DEADLINE_MS}: {budget_ms}",
            f"{names.TARGET_INSTANCE}: {server.server}",
        ]
        lines.extend(f"{name}: {value}" for name, value in request.headers)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body

    def decode(self, request: ClientRequest, raw: RawReply) -> ServerReply | WrongReplyReason:
        """The reply, or why it does not belong to the request."""
        header_by_name = dict(raw.headers)
        echoed = header_by_name.get(names.ATTEMPT_ID.lower())
        if echoed is not None and echoed != request.attempt:
            return WrongReplyReason.OTHER_ATTEMPT
        if header_by_name.get("content-encoding", "identity") != "identity":
            return WrongReplyReason.ENCODED
        digest = header_by_name.get(names.SERVER_STAMP.lower())
        not_run = names.NOT_EXECUTED.lower() in header_by_name or raw.status == MISDIRECTED
        if 200 <= raw.status < 300 and digest is None:
            return WrongReplyReason.UNSIGNED
        return ServerReply(
            status=raw.status,
            headers=tuple(h for h in raw.headers if h[0] not in CONNECTION_HEADERS),
            body=raw.body,
            digest=digest,
            not_run=not_run,
            misdirected=raw.status == MISDIRECTED,
        )
