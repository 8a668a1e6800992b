"""Runs one query over many shards: first sub-requests, hedges, retries, and when to answer.

A sub-request that takes longer than most is hedged with one to another server. At the latency
objective a partial answer that states the number of missing shards is sent, if enough shards for
the route have replied. It is sent earlier if only shards without an available server are missing.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
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
    MergedAnswer,
    RecordFilter,
    SendFailure,
    SendResult,
    ServerReply,
)
from bergamotgate.relay.records import GreatestRecords
from bergamotgate.relay.sender import SubAttempt

__all__ = ["ScatterRun", "answer_due_at"]

# Time to read and write the answer, reserved before the objective beside the network delay.
OBJECTIVE_MARGIN_S = 0.006
# Maximum share of the objective that the client's wait and the return delay may take.
MAX_NETWORK_DELAY_SHARE = 0.4
# After the objective a query waits for a complete answer until this multiple of the objective, then
# accepts a partial one.
PARTIAL_ANSWER_FACTOR = 2.0
# Bounds of the hedge delay as shares of the objective.
MIN_HEDGE_DELAY_SHARE = 0.2
MAX_HEDGE_DELAY_SHARE = 0.55
SWEEP_INTERVAL_S = 0.008
LATE_SWEEP_INTERVAL_S = 0.040
NO_SERVER_RETRY_S = 1.0
# A shard whose servers all refuse connections, or whose stated rates allow no request in time, is
# tried again after this time.
UNAVAILABLE_RETRY_S = 0.05

# Seconds by pool, excluded servers, and whether the request may go through a delegate.
RateDelay = Callable[[str, Collection[str], bool], float]


@dataclass(slots=True)
class _Shard:
    """State of one shard of the query.

    Attributes:
        pool: Name of its pool.
        reply: Its reply, once there is one.
        sub_attempts: Sub-requests in progress.
        tried: Servers that a sub-request may have reached.
        paused: Those of them that refused it and want a pause.
        refused: Servers that could not be reached since the shard was last tried anew.
        counted: Whether the first sub-request is counted in the pool's budget.
        budget_exhausted: Whether a further sub-request was denied by the pool's budget.
        retry_at: While no server is available, the time on the local clock of the next try.
    """

    pool: str
    reply: ServerReply | None = None
    sub_attempts: list[SubAttempt] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    counted: bool = False
    budget_exhausted: bool = False
    retry_at: float | None = None


class ScatterRun:
    """Runs one query.

    Attributes:
        hedges: Number of sub-requests sent in addition to a slow one.
        retries: Number of sub-requests sent after a failure.
        zones: Number of sub-requests by the zone of their server.
    """

    def __init__(
        self, request: ClientRequest, route: Route, catalogue: Catalogue, context: RelayContext
    ):
        self._request = request
        self._route = route
        self._catalogue = catalogue
        self._context = context
        self._shards = [_Shard(pool) for pool in route.shards.pools]
        self._suspicion = context.crashes.assess(request)
        self._latency = context.servers.latency_of(route.name, route.latency_objective_s)
        self._deadline = client_deadline(request.arrived_at, request.client_timeout_s, route)
        self._objective_at = answer_due_at(
            request, route.latency_objective_s, context.lag.typical_s
        )
        self._wakeup = Wakeup()
        self._records = GreatestRecords(route.shards.top_records)
        self._reply_count = 0
        self._unavailable_count = 0
        self.zones: Counter[str] = Counter()
        self.hedges = 0
        self.retries = 0

    async def run(self) -> Answer:
        """Send sub-requests to all shards and return the answer."""
        if self._suspicion.refused:
            return FailedAnswer(NotRun(NotRunReason.QUARANTINED), QUARANTINED_RETRY_S)
        if self._count_reachable_shards() < self._route.shards.min_shards:
            retry_s = self._least_for_enough_shards(self._context.chooser.pause_retry_s)
            if retry_s < math.inf:
                return refuse_for_pause(retry_s)
            return FailedAnswer(NotRun(NotRunReason.NO_SERVER), NO_SERVER_RETRY_S)
        rate_delay_s = self._least_for_enough_shards(self._context.chooser.rate_delay_s)
        if rate_delay_s > 0 and self._context.clock.now() + rate_delay_s > self._latest_send_at():
            return refuse_for_rate(
                self._least_for_enough_shards(self._context.chooser.rate_retry_s)
            )
        try:
            if self._suspicion.needs_canary:
                self._send_first(self._shards[0])
                await self._wait_for_canary()
            if not self._canary_failed():
                for shard in self._shards:
                    if not shard.tried:
                        self._send_first(shard)
                await self._gather()
        finally:
            self._cancel_all()
        return self._answer()

    def _least_for_enough_shards(self, delay_of: RateDelay) -> float:
        """Return the shortest of the shards' delays within which enough shards can be asked."""
        delays_s = [delay_of(shard.pool, (), self._delegable) for shard in self._shards]
        return sorted(delays_s)[self._route.shards.min_shards - 1]

    def _latest_send_at(self) -> float:
        """Time on the local clock after which a first sub-request would miss the objective."""
        return self._objective_at - self._latency.median_s

    @property
    def _delegable(self) -> bool:
        return not self._suspicion.suspected

    def end_by(self, at: float) -> None:
        """Answer by that time on the local clock, with what is known by then."""
        self._deadline = min(self._deadline, at + DEADLINE_MARGIN_S)
        self._wakeup.set()

    def missing_pools(self) -> list[str]:
        """Return the pools of the missing shards."""
        return [shard.pool for shard in self._shards if shard.reply is None]

    async def _wait_for_canary(self) -> None:
        """Wait until the first shard has replied or its sub-request has failed."""
        canary = self._shards[0]
        while (
            canary.sub_attempts and self._context.clock.now() < self._deadline - DEADLINE_MARGIN_S
        ):
            at = self._deadline - DEADLINE_MARGIN_S
            await self._wakeup.wait_until(at, self._context.clock.now())

    def _canary_failed(self) -> bool:
        return self._suspicion.needs_canary and self._shards[0].reply is None

    async def _gather(self) -> None:
        """Wait for replies, hedge at each sweep, and return when the answer is due."""
        now = self._context.clock.now()
        sweep_at = self._request.arrived_at + self._hedge_delay_s()
        while not self._is_done(now):
            wake_at = min(sweep_at, self._next_decision_at(now))
            woken = await self._wakeup.wait_until(wake_at, now)
            now = self._context.clock.now()
            if not woken:
                self._context.lag.record(now - wake_at)
            if now >= sweep_at and not self._is_done(now):
                self._sweep(now)
                sweep_at = now + (
                    SWEEP_INTERVAL_S if now < self._objective_at else LATE_SWEEP_INTERVAL_S
                )

    def _is_done(self, now: float) -> bool:
        if self._reply_count == len(self._shards) or now >= self._deadline - DEADLINE_MARGIN_S:
            return True
        if self._reply_count < self._route.shards.min_shards:
            return False
        if now < self._objective_at:
            return self._only_unavailable_missing()
        # At the objective a partial answer is sent if enough shards have replied. If enough reply
        # only later, the query waits for the others until it accepts a partial answer.
        return now < self._objective_at + LATE_SWEEP_INTERVAL_S or now >= self._partial_answer_at()

    def _only_unavailable_missing(self) -> bool:
        """Whether waiting is of no use, as a server takes longer to return than callers wait."""
        return self._reply_count + self._unavailable_count == len(self._shards)

    def _partial_answer_at(self) -> float:
        return self._request.arrived_at + PARTIAL_ANSWER_FACTOR * self._route.latency_objective_s

    def _next_decision_at(self, now: float) -> float:
        for at in (self._objective_at, self._partial_answer_at()):
            if now < at:
                return min(at, self._deadline - DEADLINE_MARGIN_S)
        return self._deadline - DEADLINE_MARGIN_S

    def _hedge_delay_s(self) -> float:
        latency_objective_s = self._route.latency_objective_s
        return min(
            MAX_HEDGE_DELAY_SHARE * latency_objective_s,
            max(MIN_HEDGE_DELAY_SHARE * latency_objective_s, self._latency.p90_s),
        )

    def _count_reachable_shards(self) -> int:
        return sum(1 for shard in self._shards if self._context.chooser.has_servers(shard.pool))

    def _sweep(self, now: float) -> None:
        hedge_delay_s = self._hedge_delay_s()
        for shard in self._shards:
            if shard.reply is not None:
                continue
            if shard.retry_at is not None:
                if now >= shard.retry_at:
                    self._try_anew(shard)
            elif not shard.tried:
                self._send_first(shard)
            elif self._suspicion.suspected:
                continue
            elif not shard.sub_attempts:
                self._retry(shard)
            elif now - shard.sub_attempts[-1].started_at >= hedge_delay_s:
                self._hedge(shard)

    def _hedge(self, shard: _Shard) -> None:
        slow = shard.sub_attempts[-1]
        if self._send_extra(shard):
            self.hedges += 1
            log_hedge(self._request, slow, shard.sub_attempts[-1], self._latency.p90_s)

    def _send_first(self, shard: _Shard) -> None:
        """Send to a server that has not refused; note when none can be asked in time."""
        if self._send(shard, shard.refused):
            if not shard.counted:
                shard.counted = True
                self._context.budget(shard.pool).note_first()
        elif self._is_unavailable(shard):
            shard.retry_at = self._context.clock.now() + UNAVAILABLE_RETRY_S
            self._unavailable_count += 1
            self._wake_if_settled()

    def _is_unavailable(self, shard: _Shard) -> bool:
        """Whether no server of a shard that cannot be asked now can be asked in time."""
        delay_s = self._context.chooser.rate_delay_s(shard.pool, shard.refused, self._delegable)
        return delay_s > 0 and self._context.clock.now() + delay_s > self._latest_send_at()

    def _try_anew(self, shard: _Shard) -> None:
        """Try the servers of a shard again that had none available."""
        shard.retry_at = None
        shard.refused.clear()
        self._unavailable_count -= 1
        self._send_first(shard)

    def _retry(self, shard: _Shard) -> None:
        """Retry a failed shard at another server, or at one already tried if there is no other."""
        if self._send_extra(shard) or self._send_extra(shard, shard.tried):
            self.retries += 1
            log_retry(self._request, shard.sub_attempts[-1], shard.tried)

    def _send_extra(self, shard: _Shard, allowed: Collection[str] | None = None) -> bool:
        """Send an extra sub-request to a server not tried yet, or to one of those allowed."""
        if allowed is None and len(set(shard.tried) - shard.paused) >= self._route.max_servers:
            return False
        tried = shard.tried if allowed is None else ()
        sent = self._context.send_extra(
            shard.pool,
            lambda: self._send(shard, tried, allowed),
            lambda: self._note_budget_exhausted(shard),
        )
        if sent:
            shard.sub_attempts[-1].extra = True
        return sent

    def _note_budget_exhausted(self, shard: _Shard) -> None:
        if not shard.budget_exhausted:
            shard.budget_exhausted = True
            log_budget_exhausted(self._request, shard.pool)

    def _send(
        self, shard: _Shard, tried: Collection[str], allowed: Collection[str] | None = None
    ) -> bool:
        rules = pool_rules(self._catalogue, shard.pool)
        server = self._context.chooser.choose(rules, self._latency, tried, allowed, self._delegable)
        if server is None:
            return False
        shard.tried.append(server.server)
        sub_attempt = self._context.sender.send(
            self._request,
            self._route,
            server,
            self._deadline - DEADLINE_MARGIN_S,
            self._suspicion,
            lambda sub_attempt, result: self._on_result(shard, sub_attempt, result),
            RecordFilter(self._route.shards.top_records, self._records.floor),
        )
        shard.sub_attempts.append(sub_attempt)
        self.zones[server.zone] += 1
        return True

    def _on_result(self, shard: _Shard, sub_attempt: SubAttempt, result: SendResult) -> None:
        shard.sub_attempts.remove(sub_attempt)
        if shard.reply is not None:
            return
        if isinstance(result, ServerReply) and result.success:
            self._accept_reply(shard, result)
            return
        took_s = self._context.clock.now() - sub_attempt.started_at
        log_failure(self._request, sub_attempt, result, took_s)
        if isinstance(result, ServerReply) and result.refused_for_pause:
            shard.paused.add(sub_attempt.server.server)
        unsent = isinstance(result, SendFailure) and result.proves_not_run
        if unsent:
            shard.tried.remove(sub_attempt.server.server)
            if result is SendFailure.RATE_LIMITED and sub_attempt.extra:
                self._context.budget(shard.pool).refund()
            if result is SendFailure.NOT_SENT:
                shard.refused.add(sub_attempt.server.server)
        if self._suspicion.suspected:
            self._wakeup.set()
            return
        if (
            not shard.sub_attempts
            and self._context.clock.now() < self._deadline - DEADLINE_MARGIN_S
        ):
            if not shard.tried:
                self._send_first(shard)
            elif not unsent:  # otherwise the next sweep retries
                self._retry(shard)

    def _accept_reply(self, shard: _Shard, reply: ServerReply) -> None:
        shard.reply = reply
        self._records.add(reply.body)
        self._reply_count += 1
        for sub_attempt in shard.sub_attempts:
            sub_attempt.cancel()
        shard.sub_attempts.clear()
        if self._suspicion.needs_canary:
            self._wakeup.set()
        self._wake_if_settled()

    def _wake_if_settled(self) -> None:
        """Wake the run when no shard is left whose reply may still come soon."""
        if self._only_unavailable_missing():
            self._wakeup.set()

    def _cancel_all(self) -> None:
        for shard in self._shards:
            for sub_attempt in shard.sub_attempts:
                sub_attempt.cancel()
            shard.sub_attempts.clear()

    def _answer(self) -> Answer:
        shards = self._route.shards
        if self._reply_count < shards.min_shards:
            timed_out = self._context.clock.now() >= self._deadline - DEADLINE_MARGIN_S
            reason = UnknownReason.TIMED_OUT if timed_out else UnknownReason.COVERAGE_BELOW
            return FailedAnswer(Unknown(reason))
        replies = [shard.reply for shard in self._shards if shard.reply is not None]
        digests = tuple(reply.digest for reply in replies)
        return MergedAnswer(self._records.body(), digests, len(self._shards) - self._reply_count)


def answer_due_at(request: ClientRequest, latency_objective_s: float, lag_s: float) -> float:
    """Return the time on the local clock at which an answer must leave to meet the objective.

    Args:
        request: The request, with its network delays.
        latency_objective_s: Latency objective in seconds, from when the client started to wait.
        lag_s: Expected event-loop lag in seconds.
    """
    network_delay_s = min(
        request.waited_s + request.return_delay_s, MAX_NETWORK_DELAY_SHARE * latency_objective_s
    )
    return request.arrived_at + latency_objective_s - network_delay_s - lag_s - OBJECTIVE_MARGIN_S
