"""One request to one server of a pool: retries and hedges where it may run twice, else one run."""

from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.relay.decisions import log_failure, log_hedge, log_no_budget, log_retry
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    SendFailure,
    SendResult,
    ServerReply,
)
from bergamotgate.relay.sender import Sending
from bergamotgate.relay.tools import (
    DEADLINE_MARGIN_S,
    QUARANTINED_RETRY_S,
    RelayContext,
    Wakeup,
    longest_until,
    rules_of,
)

__all__ = ["SingleRun"]

# A hedge goes out after this part of the objective, or later if replies usually take longer.
EARLIEST_HEDGE = 0.5
SWEEP_S = 0.05
NO_SERVER_RETRY_S = 0.5
FULL_RETRY_S = 0.2

UNKNOWN_BY_FAILURE = {
    SendFailure.DIED: UnknownReason.CONNECTION_DIED,
    SendFailure.GARBLED: UnknownReason.CONNECTION_DIED,
    SendFailure.WRONG_REPLY: UnknownReason.CONNECTION_DIED,
    SendFailure.TIMED_OUT: UnknownReason.TIMED_OUT,
    SendFailure.DELEGATE_LOST: UnknownReason.CONNECTION_DIED,
}


class SingleRun:
    """Runs one request.

    Attributes:
        hedges: Requests sent beside one that was late.
        retries: Requests sent after a failure.
        servers: Servers that got it, in order.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        pool: str,
        catalogue: Catalogue,
        tools: RelayContext,
    ):
        self._request = request
        self._route = route
        self._pool = pool
        self._rules = rules_of(catalogue, pool)
        self._tools = tools
        self._suspicion = tools.crashes.judge(request)
        self._latency = tools.servers.latency_of(route.name, route.latency_objective_s)
        self._until = longest_until(request.arrived_at, request.client_timeout_s, route)
        self._wakeup = Wakeup()
        self._sendings: list[Sending] = []
        self._unreachable: set[str] = set()
        self._answer: Answer | None = None
        self._failed_reply: ServerReply | None = None
        self._may_have_run: SendFailure | None = None
        self.servers: list[str] = []
        self.hedges = 0
        self.retries = 0

    async def run(self) -> Answer:
        """Send the request and return what came of it."""
        if self._suspicion.refused:
            return FailedAnswer(NotRun(NotRunReason.QUARANTINED), QUARANTINED_RETRY_S)
        try:
            self._send_next()
            hedge_at = self._request.arrived_at + self._hedge_after_s()
            end_at = self._until - DEADLINE_MARGIN_S
            now = self._tools.clock.now()
            while self._answer is None and now < end_at:
                await self._wakeup.wait_until(min(hedge_at, end_at), now)
                now = self._tools.clock.now()
                if self._answer is None and now >= hedge_at and now < end_at:
                    self._hedge(now)
                    hedge_at = now + SWEEP_S if self._route.idempotent else end_at
        finally:
            for sending in self._sendings:
                sending.cancel()
        return self._answer or FailedAnswer(Unknown(UnknownReason.TIMED_OUT))

    def _hedge_after_s(self) -> float:
        if not self._route.idempotent:
            return self._until - self._request.arrived_at
        return max(EARLIEST_HEDGE * self._route.latency_objective_s, self._latency.late_s)

    def _hedge(self, now: float) -> None:
        if not self._sendings or not self._may_repeat():
            return
        late = self._sendings[-1]
        if now - late.started_at >= self._hedge_after_s() and self._send_extra():
            self.hedges += 1
            log_hedge(self._request, late, self._sendings[-1], self._latency.late_s)

    def _send_next(self) -> None:
        """Send to a server that was not tried, or settle the answer when there is none."""
        if not self.servers:
            sent = self._send()
            if sent:
                self._tools.budget(self._pool).note_first()
        else:
            sent = self._send_extra()
            if sent:
                self.retries += 1
                log_retry(self._request, self._sendings[-1], self.servers)
        if not sent and not self._sendings:
            self._settle()

    def _send_extra(self) -> bool:
        if len(set(self.servers)) >= self._route.max_servers:
            return False
        return self._tools.send_extra(
            self._pool, self._send, lambda: log_no_budget(self._request, self._pool)
        )

    def _send(self) -> bool:
        tried = [*self.servers, *self._unreachable]
        server = self._tools.chooser.choose(self._rules, self._latency, tried)
        if server is None:
            return False
        self.servers.append(server.server)
        sending = self._tools.sender.send(
            self._request,
            self._route,
            server,
            self._until - DEADLINE_MARGIN_S,
            self._suspicion,
            self._on_result,
        )
        self._sendings.append(sending)
        return True

    def _on_result(self, sending: Sending, result: SendResult) -> None:
        self._sendings.remove(sending)
        if self._answer is not None:
            return
        if not isinstance(result, ServerReply) or not result.success:
            took_s = self._tools.clock.now() - sending.started_at
            log_failure(self._request, sending, result, took_s)
        if isinstance(result, ServerReply):
            self._on_reply(result)
        elif result.surely_not_run:
            self.servers.remove(sending.server.server)
            self._unreachable.add(sending.server.server)
            self._retry()
        else:
            self._may_have_run = result
            self._retry_if_idempotent()
        if self._answer is not None:
            self._wakeup.set()

    def _on_reply(self, reply: ServerReply) -> None:
        if reply.not_run:
            self._retry()
        elif reply.success or not self._route.idempotent or reply.digest is None:
            self._answer = self._answer_of(reply)
        elif reply.status < 500:
            self._answer = ForwardedAnswer(reply)
        else:
            self._failed_reply = reply
            self._retry_if_idempotent()

    def _answer_of(self, reply: ServerReply) -> Answer:
        """A signed reply goes on unchanged; one without signature proves nothing."""
        if reply.digest is not None:
            return ForwardedAnswer(reply)
        return FailedAnswer(Unknown(UnknownReason.SERVER_ERROR))

    def _retry(self) -> None:
        if not self._sendings and self._tools.clock.now() < self._until - DEADLINE_MARGIN_S:
            self._send_next()

    def _may_repeat(self) -> bool:
        return self._route.idempotent and not self._suspicion.suspected

    def _retry_if_idempotent(self) -> None:
        if self._may_repeat():
            self._retry()
        elif not self._sendings:
            self._settle()

    def _settle(self) -> None:
        """Answer when nothing more will be sent: say what is known to have happened."""
        if self._failed_reply is not None:
            self._answer = ForwardedAnswer(self._failed_reply)
        elif self._may_have_run is not None:
            self._answer = FailedAnswer(Unknown(UNKNOWN_BY_FAILURE[self._may_have_run]))
        elif self._tools.chooser.has_servers(self._pool):
            self._answer = FailedAnswer(NotRun(NotRunReason.ALL_DECLINED), FULL_RETRY_S)
        else:
            self._answer = FailedAnswer(NotRun(NotRunReason.NO_SERVER), NO_SERVER_RETRY_S)
        self._wakeup.set()
