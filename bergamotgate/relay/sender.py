"""Sends sub-requests to servers and updates load and latency estimates from their results."""

import asyncio
import itertools
from collections.abc import Callable

from prometheus_client import Histogram

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.catalogue import Route
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.placement.load import RouteLatency, ServerLoad
from bergamotgate.placement.rates import RateLimiter
from bergamotgate.quarantine import Suspicion
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.messages import (
    ClientRequest,
    PendingSubRequest,
    RateDeclined,
    RecordFilter,
    RemoteZoneSender,
    SendEnd,
    SendFailure,
    SendResult,
    ServerCodec,
    ServerReply,
)
from bergamotgate.relay.servers import ServerTracker

__all__ = ["Sender", "SubAttempt"]

MIN_BUDGET_MS = 1
OnResult = Callable[["SubAttempt", SendResult], None]

FAILURE_BY_END = {
    ExchangeFailure.NOT_SENT: SendFailure.NOT_SENT,
    ExchangeFailure.CONNECTION_LOST: SendFailure.CONNECTION_LOST,
    ExchangeFailure.MALFORMED: SendFailure.MALFORMED,
    ExchangeFailure.TIMED_OUT: SendFailure.TIMED_OUT,
    ExchangeFailure.OVERSIZED: SendFailure.OVERSIZED,
}


class SubAttempt:
    """A sub-request sent to one server.

    Attributes:
        server: The server to which it was sent.
        started_at: Time on the local clock at which it was sent.
        via: VM of the delegate that it goes through; empty if it was sent directly.
        extra: Whether it is a hedge or a retry, which the pool's extra budget pays for.
    """

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        server: DiscoveredServer,
        load: ServerLoad,
        latency: RouteLatency,
        suspicion: Suspicion,
        started_at: float,
    ):
        self.number = number
        self.request = request
        self.server = server
        self.load = load
        self.latency = latency
        self.suspicion = suspicion
        self.started_at = started_at
        self.exchange: PendingSubRequest | None = None
        self.via = ""
        self.extra = False

    def cancel(self) -> None:
        """Cancel it; the server drops the request when its connection closes."""
        if self.number not in self.load.in_flight:
            return
        took_s = self.load.end(self.number)
        self.load.note_cancelled(took_s, self.latency.median_s)
        if self.exchange is not None:
            self.exchange.cancel()


class Sender:
    """Sends the sub-requests of this process."""

    def __init__(
        self,
        servers: ServerTracker,
        rates: RateLimiter,
        codec: ServerCodec,
        crashes: CrashDetector,
        clock: Clock,
        metrics: Metrics,
        remote_sender: RemoteZoneSender | None = None,
    ):
        self._servers = servers
        self._rates = rates
        self._remote_sender = remote_sender
        self._codec = codec
        self._crashes = crashes
        self._clock = clock
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._latency_by_pool: dict[str, Histogram] = {}

    def send(
        self,
        request: ClientRequest,
        route: Route,
        server: DiscoveredServer,
        deadline: float,
        suspicion: Suspicion,
        on_result: OnResult,
        record_filter: RecordFilter | None = None,
        slot_reserved: bool = False,
    ) -> SubAttempt:
        """Send a request to a server and call back exactly once with the result.

        Args:
            request: The client's request.
            route: Route of the request.
            server: Destination.
            deadline: Time on the local clock after which the reply is of no use.
            suspicion: Quarantine state of the request at the start of its run.
            on_result: Called with the sub-attempt and its result; not called after a cancel.
            record_filter: Records of the reply to keep; None to keep the complete reply.
            slot_reserved: Whether a slot of the server's stated rate was reserved for it.
        """
        now = self._clock.now()
        load = self._servers.load_of(server.server)
        latency = self._servers.latency_of(route.name, route.latency_objective_s)
        sub_attempt = SubAttempt(
            next(self._numbers), request, server, load, latency, suspicion, now
        )
        load.begin(sub_attempt.number)
        budget_s = max(MIN_BUDGET_MS / 1000, deadline - now)

        def on_end(end: SendEnd) -> None:
            self._handle_end(sub_attempt, end, on_result)

        if (
            record_filter is not None
            and not suspicion.suspected
            and self._remote_sender is not None
        ):
            delegated = self._remote_sender.send(request, server, budget_s, record_filter, on_end)
            if delegated is not None:
                sub_attempt.exchange = delegated
                sub_attempt.via = delegated.via
                return sub_attempt
        if not slot_reserved and not self._rates.take(server):
            loop = asyncio.get_running_loop()
            sub_attempt.exchange = loop.call_soon(on_end, SendFailure.RATE_LIMITED)
            return sub_attempt
        data = self._codec.encode(request, server, milliseconds(budget_s))
        sub_attempt.exchange = self._servers.connections_of(server.server).send(
            data, budget_s, not route.idempotent, on_end
        )
        return sub_attempt

    def _handle_end(
        self,
        sub_attempt: SubAttempt,
        end: SendEnd,
        on_result: OnResult,
    ) -> None:
        took_s = sub_attempt.load.end(sub_attempt.number)
        result = self._decode(sub_attempt, end)
        pool = sub_attempt.server.pool
        if isinstance(result, ServerReply):
            self._note_reply(sub_attempt, result, took_s)
        else:
            if result.concerns_server:
                sub_attempt.load.note_failure()
            if result is SendFailure.CONNECTION_LOST:
                self._crashes.note_connection_lost(
                    sub_attempt.request, sub_attempt.suspicion, sub_attempt.server
                )
            self._metrics.declined.labels(pool, result.value).inc()
        on_result(sub_attempt, result)

    def _observe(self, pool: str, took_s: float) -> None:
        histogram = self._latency_by_pool.get(pool)
        if histogram is None:
            histogram = self._metrics.sub_request_latency.labels(pool)
            self._latency_by_pool[pool] = histogram
        histogram.observe(took_s)

    def _decode(self, sub_attempt: SubAttempt, end: SendEnd) -> SendResult:
        if isinstance(end, RateDeclined):
            self._rates.note_declined(sub_attempt.server, end.retry_s)
            return SendFailure.RATE_LIMITED
        if isinstance(end, ServerReply | SendFailure):
            return end
        if not isinstance(end, RawReply):
            return FAILURE_BY_END[end]
        decoded = self._codec.decode(sub_attempt.request, end)
        if isinstance(decoded, ServerReply):
            return decoded
        self._metrics.wrong_replies.labels(sub_attempt.server.pool, decoded.value).inc()
        return SendFailure.WRONG_REPLY

    def _note_reply(self, sub_attempt: SubAttempt, reply: ServerReply, took_s: float) -> None:
        load = sub_attempt.load
        self._servers.note_statement(sub_attempt.server, reply.statement)
        if reply.tells_rate_limit:
            self._rates.note_reply(sub_attempt.server, reply.rate_limit, sub_attempt.started_at)
        if reply.misdirected:
            load.note_failure()
            self._metrics.declined.labels(sub_attempt.server.pool, "misdirected").inc()
        elif reply.not_run:
            load.note_shed()
            self._metrics.declined.labels(sub_attempt.server.pool, "shed").inc()
        elif reply.success:
            load.note_reply(took_s, sub_attempt.latency.median_s)
            sub_attempt.latency.record(took_s)
            self._observe(sub_attempt.server.pool, took_s)
        else:
            load.note_failure()
            self._metrics.declined.labels(sub_attempt.server.pool, "server_error").inc()
