"""Runs one request at one server of a pool, more than once only if it is idempotent.

If the rates that the servers state allow no request now, it waits for the first slot that is early
enough for the latency objective, and is refused at once if there is none.
"""

import math

from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.discovery import DiscoveredServer
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.placement.chooser import Reservation
from bergamotgate.relay.context import (
    DEADLINE_MARGIN_S,
    QUARANTINED_RETRY_S,
    RelayContext,
    Wakeup,
    client_deadline,
    pool_rules,
    refuse_for_pause,
    refuse_for_rate,
)
from bergamotgate.relay.decisions import log_budget_exhausted, log_failure, log_hedge, log_retry
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    SendFailure,
    SendResult,
    ServerReply,
)
from bergamotgate.relay.sender import SubAttempt

__all__ = ["SingleRun"]

# Least hedge delay as a share of the objective; the p90 latency applies if it is longer.
MIN_HEDGE_DELAY_SHARE = 0.5
HEDGE_CHECK_INTERVAL_S = 0.05
NO_SERVER_RETRY_S = 0.5
ALL_DECLINED_RETRY_S = 0.2

UNKNOWN_REASON_BY_FAILURE = {
    SendFailure.CONNECTION_LOST: UnknownReason.CONNECTION_DIED,
    SendFailure.MALFORMED: UnknownReason.CONNECTION_DIED,
    SendFailure.WRONG_REPLY: UnknownReason.CONNECTION_DIED,
    SendFailure.OVERSIZED: UnknownReason.CONNECTION_DIED,
    SendFailure.TIMED_OUT: UnknownReason.TIMED_OUT,
    SendFailure.DELEGATE_LOST: UnknownReason.CONNECTION_DIED,
}


class SingleRun:
    """Runs one request at one server of a pool.

    Attributes:
        hedges: Number of requests sent in addition to a slow one.
        retries: Number of requests sent after a failure.
        servers: Servers that the request was sent to, in order.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        pool: str,
        catalogue: Catalogue,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._pool = pool
        self._rules = pool_rules(catalogue, pool)
        self._context = context
        self._suspicion = context.crashes.assess(request)
        self._latency = context.servers.latency_of(route.name, route.latency_objective_s)
        self._deadline = client_deadline(request.arrived_at, request.client_timeout_s, route)
        self._wakeup = Wakeup()
        self._sub_attempts: list[SubAttempt] = []
        self._unreachable: set[str] = set()
        self._paused: set[str] = set()
        self._reservation: Reservation | None = None
        self._answer: Answer | None = None
        self._failed_reply: ServerReply | None = None
        self._ambiguous_failure: SendFailure | None = None
        self.servers: list[str] = []
        self.hedges = 0
        self.retries = 0

    async def run(self) -> Answer:
        """Send the request and return the answer."""
        if self._suspicion.refused:
            return FailedAnswer(NotRun(NotRunReason.QUARANTINED), QUARANTINED_RETRY_S)
        try:
            self._send_next()
            hedge_at = self._request.arrived_at + self._hedge_delay_s()
            now = self._context.clock.now()
            while self._answer is None and now < self._end_at:
                slot_at = self._reservation.at if self._reservation else self._end_at
                await self._wakeup.wait_until(min(slot_at, hedge_at, self._end_at), now)
                now = self._context.clock.now()
                if self._reservation is not None and slot_at <= now < self._end_at:
                    self._send_reserved()
                if self._answer is None and hedge_at <= now < self._end_at:
                    self._hedge(now)
                    idempotent = self._route.idempotent
                    hedge_at = now + HEDGE_CHECK_INTERVAL_S if idempotent else self._end_at
        finally:
            for sub_attempt in self._sub_attempts:
                sub_attempt.cancel()
        return self._answer or self._late_answer()

    @property
    def _end_at(self) -> float:
        """Time on the local clock at which the request is answered at the latest."""
        return self._deadline - DEADLINE_MARGIN_S

    def end_by(self, at: float) -> None:
        """Answer by that time on the local clock, with what is known by then."""
        self._deadline = min(self._deadline, at + DEADLINE_MARGIN_S)
        self._wakeup.set()

    def _late_answer(self) -> Answer:
        """Return the answer at the deadline; one that waited for its slot has not run."""
        if self._reservation is not None:
            return FailedAnswer(NotRun(NotRunReason.RATE_LIMITED))
        return FailedAnswer(Unknown(UnknownReason.TIMED_OUT))

    def _hedge_delay_s(self) -> float:
        if not self._route.idempotent:
            return self._deadline - self._request.arrived_at
        return max(MIN_HEDGE_DELAY_SHARE * self._route.latency_objective_s, self._latency.p90_s)

    def _hedge(self, now: float) -> None:
        if not self._sub_attempts or not self._may_repeat():
            return
        slow = self._sub_attempts[-1]
        if now - slow.started_at >= self._hedge_delay_s() and self._send_extra():
            self.hedges += 1
            log_hedge(self._request, slow, self._sub_attempts[-1], self._latency.p90_s)

    def _send_next(self) -> None:
        """Send to a server not tried yet; set the final answer if none is left."""
        if not self.servers:
            sent = self._send()
            if sent:
                self._context.budget(self._pool).note_first()
            elif self._reserve():
                return
        else:
            sent = self._send_extra()
            if sent:
                self.retries += 1
                log_retry(self._request, self._sub_attempts[-1], self.servers)
        if not sent and not self._sub_attempts:
            self._set_final_answer()

    def _reserve(self) -> bool:
        """Reserve a slot of the servers' stated rates; return whether it is early enough."""
        latest_at = (
            self._request.arrived_at + self._route.latency_objective_s - self._latency.median_s
        )
        self._reservation = self._context.chooser.reserve(
            self._pool, min(latest_at, self._end_at), self._unreachable
        )
        return self._reservation is not None

    def _send_reserved(self) -> None:
        """Send to the server whose slot was reserved, or to another if it has gone meanwhile."""
        server, self._reservation = self._reservation.server, None
        if not self._context.chooser.is_usable(server):
            self._send_next()
            return
        self._send_to(server, slot_reserved=True)
        self._context.budget(self._pool).note_first()

    def _send_extra(self) -> bool:
        # A refusal of a server that wants a pause leaves the tries for failures.
        if len(set(self.servers) - self._paused) >= self._route.max_servers:
            return False
        return self._context.send_extra(
            self._pool, self._send, lambda: log_budget_exhausted(self._request, self._pool)
        )

    def _send(self) -> bool:
        tried = [*self.servers, *self._unreachable]
        server = self._context.chooser.choose(self._rules, self._latency, tried)
        if server is None:
            return False
        self._send_to(server)
        return True

    def _send_to(self, server: DiscoveredServer, slot_reserved: bool = False) -> None:
        self.servers.append(server.server)
        sub_attempt = self._context.sender.send(
            self._request,
            self._route,
            server,
            self._end_at,
            self._suspicion,
            self._on_result,
            slot_reserved=slot_reserved,
        )
        self._sub_attempts.append(sub_attempt)

    def _on_result(self, sub_attempt: SubAttempt, result: SendResult) -> None:
        self._sub_attempts.remove(sub_attempt)
        if self._answer is not None:
            return
        if not isinstance(result, ServerReply) or not result.success:
            took_s = self._context.clock.now() - sub_attempt.started_at
            log_failure(self._request, sub_attempt, result, took_s)
        if isinstance(result, ServerReply):
            if result.refused_for_pause:
                self._paused.add(sub_attempt.server.server)
            self._on_reply(result)
        elif result.proves_not_run:
            self.servers.remove(sub_attempt.server.server)
            self._unreachable.add(sub_attempt.server.server)
            self._retry()
        else:
            self._ambiguous_failure = result
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
        """Return a signed reply unchanged, unless it is no proof of what ran."""
        if reply.digest is not None and (
            self._route.idempotent or not reply.promises_more_than_it_proves
        ):
            return ForwardedAnswer(reply)
        return FailedAnswer(Unknown(UnknownReason.SERVER_ERROR))

    def _retry(self) -> None:
        if not self._sub_attempts and self._context.clock.now() < self._end_at:
            self._send_next()

    def _may_repeat(self) -> bool:
        return self._route.idempotent and not self._suspicion.suspected

    def _retry_if_idempotent(self) -> None:
        if self._may_repeat():
            self._retry()
        elif not self._sub_attempts:
            self._set_final_answer()

    def _rate_retry_s(self) -> float:
        return self._context.chooser.rate_retry_s(self._pool, self._unreachable)

    def _set_final_answer(self) -> None:
        """Set the answer from the known failures when nothing more will be sent."""
        if self._failed_reply is not None:
            self._answer = ForwardedAnswer(self._failed_reply)
        elif self._ambiguous_failure is not None:
            self._answer = FailedAnswer(Unknown(UNKNOWN_REASON_BY_FAILURE[self._ambiguous_failure]))
        elif not self.servers and 0 < (retry_s := self._rate_retry_s()) < math.inf:
            self._answer = refuse_for_rate(retry_s)
        elif 0 < (retry_s := self._context.chooser.pause_retry_s(self._pool)) < math.inf:
            self._answer = refuse_for_pause(retry_s)
        elif self._context.chooser.has_servers(self._pool):
            self._answer = FailedAnswer(NotRun(NotRunReason.ALL_DECLINED), ALL_DECLINED_RETRY_S)
        else:
            self._answer = FailedAnswer(NotRun(NotRunReason.NO_SERVER), NO_SERVER_RETRY_S)
        self._wakeup.set()
