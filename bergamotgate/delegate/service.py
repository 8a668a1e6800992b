"""Runs sub-requests for gateways of other zones at servers of this VM's zone."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.backend.pool import Exchange
from bergamotgate.clock import Clock, milliseconds
from bergamotgate.delegate.link import QUERY_ID_CACHE_SIZE
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.placement.rates import RateLimiter
from bergamotgate.relay.messages import ClientRequest, ServerCodec, WrongReplyReason
from bergamotgate.relay.records import useful_records
from bergamotgate.relay.servers import ServerTracker
from bergamotgate.wire.generated import ttypes

__all__ = ["DelegateService", "DelegateSession"]

# Larger than the gateways' cache, so that a query head that they expect here is never missing.
QUERY_CACHE_SIZE = 2 * QUERY_ID_CACHE_SIZE
# Longest time for which a gateway is told not to ask for a server; one that leaves has no end.
MAX_DECLINE_S = 30.0

DELEGATED_END = {
    ExchangeFailure.NOT_SENT: ttypes.DelegatedEnd.NOT_SENT,
    ExchangeFailure.CONNECTION_LOST: ttypes.DelegatedEnd.DIED,
    ExchangeFailure.MALFORMED: ttypes.DelegatedEnd.GARBLED,
    ExchangeFailure.TIMED_OUT: ttypes.DelegatedEnd.TIMED_OUT,
    ExchangeFailure.OVERSIZED: ttypes.DelegatedEnd.GARBLED,
}

OnReplies = Callable[[list[ttypes.DelegatedReply]], None]


@dataclass(frozen=True)
class DelegateService:
    """Components shared by the sessions of all gateways."""

    registry: ServerRegistry
    servers: ServerTracker
    rates: RateLimiter
    codec: ServerCodec
    clock: Clock
    metrics: Metrics

    def open_session(self, on_replies: OnReplies) -> "DelegateSession":
        """Open a session for one gateway's stream."""
        return DelegateSession(self, on_replies)


class DelegateSession:
    """Sub-requests of one gateway; replies of one event-loop iteration are sent together."""

    def __init__(self, service: DelegateService, on_replies: OnReplies):
        self._service = service
        self._on_replies = on_replies
        self._request_by_query: OrderedDict[int, ClientRequest] = OrderedDict()
        self._exchange_by_number: dict[int, Exchange] = {}
        self._replies: list[ttypes.DelegatedReply] = []
        self._flush_due = False

    def handle(self, delegated_request: ttypes.DelegatedAsk) -> None:
        """Send the sub-requests of a query to their servers."""
        if delegated_request.head is not None:
            self._cache_query(
                delegated_request.query, _request(delegated_request.head, self._service.clock.now())
            )
        request = self._request_by_query.get(delegated_request.query)
        for part in delegated_request.parts:
            if request is None:
                self._decline(part, None, "the query is unknown")
            else:
                self._send_to_server(request, delegated_request, part)

    def cancel(self, numbers: list[int]) -> None:
        """Cancel sub-requests by number; finished ones are ignored."""
        for number in numbers:
            exchange = self._exchange_by_number.pop(number, None)
            if exchange is not None:
                exchange.cancel()

    def close(self) -> None:
        """Cancel all sub-requests after the gateway disconnected."""
        self.cancel(list(self._exchange_by_number))

    def _cache_query(self, query: int, request: ClientRequest) -> None:
        self._request_by_query[query] = request
        if len(self._request_by_query) > QUERY_CACHE_SIZE:
            self._request_by_query.popitem(last=False)

    def _send_to_server(
        self,
        request: ClientRequest,
        delegated_request: ttypes.DelegatedAsk,
        part: ttypes.DelegatedPart,
    ) -> None:
        service = self._service
        server = service.registry.get(part.server)
        if server is not None and (wait_s := service.registry.wait_s(server)) > 0:
            self._decline_for(min(wait_s, MAX_DECLINE_S), part, "paused")
            return
        if server is None or not service.registry.takes_work(server):
            self._decline(part, request, "the server accepts no requests")
            return
        if not service.rates.take(server):
            self._decline_for(service.rates.delay_s(server), part, "rate_limited")
            return
        service.metrics.delegated.labels("served").inc()
        sent_at = service.clock.now()
        self._exchange_by_number[part.number] = service.servers.connections_of(server.server).send(
            service.codec.encode(request, server, delegated_request.budget_ms),
            delegated_request.budget_ms / 1000,
            False,
            lambda end: self._handle_end(request, delegated_request, part, server, sent_at, end),
        )

    def _decline_for(self, wait_s: float, part: ttypes.DelegatedPart, event: str) -> None:
        """Reply that nothing was sent, as the server takes no request of this VM for a while."""
        self._service.metrics.delegated.labels(event).inc()
        retry_ms = max(1, milliseconds(wait_s))
        self._reply(
            ttypes.DelegatedReply(part.number, ttypes.DelegatedEnd.NOT_SENT, retry_ms=retry_ms)
        )

    def _decline(
        self, part: ttypes.DelegatedPart, request: ClientRequest | None, cause: str
    ) -> None:
        """Reply that nothing was sent; this VM's local view may be newer than the gateway's."""
        self._service.metrics.delegated.labels("declined").inc()
        attempt = request.attempt if request is not None else None
        logger.bind(id=attempt, server=part.server, cause=cause).info(
            "delegate: Sub-request declined."
        )
        self._reply(ttypes.DelegatedReply(part.number, ttypes.DelegatedEnd.NOT_SENT))

    def _handle_end(
        self,
        request: ClientRequest,
        delegated_request: ttypes.DelegatedAsk,
        part: ttypes.DelegatedPart,
        server: DiscoveredServer,
        sent_at: float,
        end: RawReply | ExchangeFailure,
    ) -> None:
        self._exchange_by_number.pop(part.number, None)
        if isinstance(end, RawReply):
            self._reply(self._decode(request, delegated_request, part, server, sent_at, end))
        else:
            self._reply(ttypes.DelegatedReply(part.number, DELEGATED_END[end]))

    def _decode(
        self,
        request: ClientRequest,
        delegated_request: ttypes.DelegatedAsk,
        part: ttypes.DelegatedPart,
        server: DiscoveredServer,
        sent_at: float,
        raw: RawReply,
    ) -> ttypes.DelegatedReply:
        reply = self._service.codec.decode(request, raw)
        if isinstance(reply, WrongReplyReason):
            self._service.metrics.wrong_replies.labels(server.pool, reply.value).inc()
            return ttypes.DelegatedReply(part.number, ttypes.DelegatedEnd.WRONG_REPLY)
        self._service.servers.note_statement(server, reply.statement)
        if reply.tells_rate_limit:
            self._service.rates.note_reply(server, reply.rate_limit, sent_at)
        records = b""
        if reply.success:
            records = useful_records(
                reply.body, delegated_request.top_records, delegated_request.floor or b""
            )
        return ttypes.DelegatedReply(
            part.number,
            ttypes.DelegatedEnd.REPLIED,
            reply.status,
            reply.not_run or None,
            reply.misdirected or None,
            reply.digest,
            records,
            reply.rate_limit,
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
