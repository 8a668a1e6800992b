"""Asks servers near this VM for gateways of other zones."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.backend.pool import Exchange
from bergamotgate.clock import Clock
from bergamotgate.delegate.link import REMEMBERED_QUERIES
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.relay.messages import ClientRequest, ServerCodec, WrongReplyReason
from bergamotgate.relay.records import useful_records
from bergamotgate.relay.servers import ServerTracker
from bergamotgate.wire.generated import ttypes

__all__ = ["DelegateService", "DelegateSession"]

# One more than gateways count on, so that a head is never missing.
KEPT_QUERIES = 2 * REMEMBERED_QUERIES

DELEGATED_END = {
    ExchangeFailure.NOT_SENT: ttypes.DelegatedEnd.NOT_SENT,
    ExchangeFailure.CONNECTION_LOST: ttypes.DelegatedEnd.DIED,
    ExchangeFailure.MALFORMED: ttypes.DelegatedEnd.GARBLED,
    ExchangeFailure.TIMED_OUT: ttypes.DelegatedEnd.TIMED_OUT,
}

OnReplies = Callable[[list[ttypes.DelegatedReply]], None]


@dataclass(frozen=True)
class DelegateService:
    """What the sessions of all gateways work with."""

    registry: ServerRegistry
    servers: ServerTracker
    codec: ServerCodec
    clock: Clock
    metrics: Metrics

    def open_session(self, on_replies: OnReplies) -> "DelegateSession":
        """Serve one gateway's stream."""
        return DelegateSession(self, on_replies)


class DelegateSession:
    """The parts of one gateway; replies that come together go back together."""

    def __init__(self, service: DelegateService, on_replies: OnReplies):
        self._service = service
        self._on_replies = on_replies
        self._request_by_query: OrderedDict[int, ClientRequest] = OrderedDict()
        self._exchange_by_number: dict[int, Exchange] = {}
        self._replies: list[ttypes.DelegatedReply] = []
        self._flush_due = False

    def handle(self, ask: ttypes.DelegatedAsk) -> None:
        """Ask servers for the parts of a query."""
        if ask.head is not None:
            self._remember(ask.query, _request(ask.head, self._service.clock.now()))
        request = self._request_by_query.get(ask.query)
        for part in ask.parts:
            if request is None:
                self._decline(part, None, "the query is not known")
            else:
                self._ask_server(request, ask, part)

    def cancel(self, numbers: list[int]) -> None:
        """Give parts up."""
        for number in numbers:
            exchange = self._exchange_by_number.pop(number, None)
            if exchange is not None:
                exchange.cancel()

    def close(self) -> None:
        """Give everything up: the gateway has left."""
        self.cancel(list(self._exchange_by_number))

    def _remember(self, query: int, request: ClientRequest) -> None:
        self._request_by_query[query] = request
        if len(self._request_by_query) > KEPT_QUERIES:
            self._request_by_query.popitem(last=False)

    def _ask_server(
        self, request: ClientRequest, ask: ttypes.DelegatedAsk, part: ttypes.DelegatedPart
    ) -> None:
        service = self._service
        server = service.registry.get(part.server)
        if server is None or not service.registry.takes_work(server):
            self._decline(part, request, "the server takes no work")
            return
        service.metrics.delegated.labels("served").inc()
        self._exchange_by_number[part.number] = service.servers.connections_of(server.server).send(
            service.codec.encode(request, server, ask.budget_ms),
            ask.budget_ms / 1000,
            False,
            lambda end: self._ended(request, ask, part, server, end),
        )

    def _decline(
        self, part: ttypes.DelegatedPart, request: ClientRequest | None, cause: str
    ) -> None:
        """Say that nothing was sent: what this VM knows may be newer than what the gateway does."""
        self._service.metrics.delegated.labels("declined").inc()
        attempt = request.attempt if request is not None else None
        logger.bind(id=attempt, server=part.server, cause=cause).info("delegate: Part declined.")
        self._reply(ttypes.DelegatedReply(part.number, ttypes.DelegatedEnd.NOT_SENT))

    def _ended(
        self,
        request: ClientRequest,
        ask: ttypes.DelegatedAsk,
        part: ttypes.DelegatedPart,
        server: DiscoveredServer,
        end: RawReply | ExchangeFailure,
    ) -> None:
        self._exchange_by_number.pop(part.number, None)
        if isinstance(end, RawReply):
            self._reply(self._read(request, ask, part, server, end))
        else:
            self._reply(ttypes.DelegatedReply(part.number, DELEGATED_END[end]))

    def _read(
        self,
        request: ClientRequest,
        ask: ttypes.DelegatedAsk,
        part: ttypes.DelegatedPart,
        server: DiscoveredServer,
        raw: RawReply,
    ) -> ttypes.DelegatedReply:
        reply = self._service.codec.decode(request, raw)
        if isinstance(reply, WrongReplyReason):
            self._service.metrics.wrong_replies.labels(server.pool, reply.value).inc()
            return ttypes.DelegatedReply(part.number, ttypes.DelegatedEnd.WRONG_REPLY)
        records = b""
        if reply.success:
            records = useful_records(reply.body, ask.top_records, ask.floor or b"")
        return ttypes.DelegatedReply(
            part.number,
            ttypes.DelegatedEnd.REPLIED,
            reply.status,
            reply.not_run or None,
            reply.misdirected or None,
            reply.digest,
            records,
        )

    def _reply(self, reply: ttypes.DelegatedReply) -> None:
        self._replies.append(reply)
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        replies, self._replies = self._replies, []
        self._on_replies(replies)


def _request(head: ttypes.DelegatedQuery, now: float) -> ClientRequest:
    return ClientRequest(
        attempt=head.attempt,
        method=head.method,
        host=head.host,
        target=head.target,
        path=head.target.partition("?")[0],
        headers=tuple((field.name, field.value) for field in head.headers),
        body=head.body,
        client_timeout_s=None,
        arrived_at=now,
    )
