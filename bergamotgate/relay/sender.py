"""Sends one sub-request to one server and learns from how it ended."""

import itertools
from collections.abc import Callable

from prometheus_client import Histogram

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.catalogue import Route
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.placement.load import RouteLatency, ServerLoad
from bergamotgate.quarantine import Suspicion
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.messages import (
    ClientRequest,
    RecordsNeed,
    RemoteZoneSender,
    SendFailure,
    SendResult,
    SentPart,
    ServerCodec,
    ServerReply,
)
from bergamotgate.relay.servers import ServerTracker

__all__ = ["Sender", "Sending"]

LEAST_BUDGET_MS = 1
OnResult = Callable[["Sending", SendResult], None]

FAILURE_BY_END = {
    ExchangeFailure.NOT_SENT: SendFailure.NOT_SENT,
    ExchangeFailure.CONNECTION_LOST: SendFailure.DIED,
    ExchangeFailure.MALFORMED: SendFailure.GARBLED,
    ExchangeFailure.TIMED_OUT: SendFailure.TIMED_OUT,
}


class Sending:
    """A sub-request on its way to one server.

    Attributes:
        server: Where it goes.
        started_at: Time on the own clock at which it was sent.
        via: The VM that asks the server; empty if this one does.
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
        self.exchange: SentPart | None = None
        self.via = ""

    def cancel(self) -> None:
        """Give it up; the server drops the request when its connection closes."""
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
        codec: ServerCodec,
        crashes: CrashDetector,
        clock: Clock,
        metrics: Metrics,
        far: RemoteZoneSender | None = None,
    ):
        self._servers = servers
        self._far = far
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
        until: float,
        suspicion: Suspicion,
        on_result: OnResult,
        need: RecordsNeed | None = None,
    ) -> Sending:
        """Send a request to a server and call back with the result, once.

        Args:
            request: What to send.
            route: Its route.
            server: Where to.
            until: Time on the own clock at which the reply is no longer of use.
            suspicion: What is held against the request.
            on_result: Gets the sending and its result; not called after it was cancelled.
            need: Which records of the reply are of use; None if the whole reply is.
        """
        now = self._clock.now()
        load = self._servers.load_of(server.server)
        latency = self._servers.latency_of(route.name, route.latency_objective_s)
        sending = Sending(next(self._numbers), request, server, load, latency, suspicion, now)
        load.begin(sending.number)
        budget_s = max(LEAST_BUDGET_MS / 1000, until - now)

        def on_end(end: RawReply | ExchangeFailure | ServerReply | SendFailure) -> None:
            self._ended(sending, end, on_result)

        if need is not None and not suspicion.suspected and self._far is not None:
            delegated = self._far.send(request, server, budget_s, need, on_end)
            if delegated is not None:
                sending.exchange = delegated
                sending.via = delegated.via
                return sending
        data = self._codec.encode(request, server, milliseconds(budget_s))
        sending.exchange = self._servers.connections_of(server.server).send(
            data, budget_s, not route.idempotent, on_end
        )
        return sending

    def _ended(
        self,
        sending: Sending,
        end: RawReply | ExchangeFailure | ServerReply | SendFailure,
        on_result: OnResult,
    ) -> None:
        took_s = sending.load.end(sending.number)
        result = self._read(sending, end)
        pool = sending.server.pool
        if isinstance(result, ServerReply):
            self._learn_reply(sending, result, took_s)
        else:
            if result.blames_server:
                sending.load.note_failure()
            if result is SendFailure.DIED:
                self._crashes.note_break(sending.request, sending.suspicion, sending.server)
            self._metrics.declined.labels(pool, result.value).inc()
        on_result(sending, result)

    def _observe(self, pool: str, took_s: float) -> None:
        histogram = self._latency_by_pool.get(pool)
        if histogram is None:
            histogram = self._metrics.pool_latency.labels(pool)
            self._latency_by_pool[pool] = histogram
        histogram.observe(took_s)

    def _read(
        self, sending: Sending, end: RawReply | ExchangeFailure | ServerReply | SendFailure
    ) -> SendResult:
        if isinstance(end, ServerReply | SendFailure):
            return end
        if not isinstance(end, RawReply):
            return FAILURE_BY_END[end]
        decoded = self._codec.decode(sending.request, end)
        if isinstance(decoded, ServerReply):
            return decoded
        self._metrics.wrong_replies.labels(sending.server.pool, decoded.value).inc()
        return SendFailure.WRONG_REPLY

    def _learn_reply(self, sending: Sending, reply: ServerReply, took_s: float) -> None:
        load = sending.load
        if reply.misdirected:
            load.note_failure()
            self._metrics.declined.labels(sending.server.pool, "misdirected").inc()
        elif reply.not_run:
            load.note_shed()
            self._metrics.declined.labels(sending.server.pool, "shed").inc()
        elif reply.success:
            load.note_reply(took_s, sending.latency.median_s)
            sending.latency.record(took_s)
            self._observe(sending.server.pool, took_s)
        else:
            load.note_failure()
            self._metrics.declined.labels(sending.server.pool, "server_error").inc()
