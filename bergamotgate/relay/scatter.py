"""One query over many shards: first sub-requests, hedges, retries, and when to answer.

A straggler is asked again at another server once it is later than most replies. Near the
objective an answer with a true number of missing shards goes out, if the route allows so few.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.relay.decisions import log_failure, log_hedge, log_no_budget, log_retry
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    MergedAnswer,
    RecordsNeed,
    SendFailure,
    SendResult,
    ServerReply,
)
from bergamotgate.relay.records import GreatestRecords
from bergamotgate.relay.sender import Sending
from bergamotgate.relay.tools import (
    DEADLINE_MARGIN_S,
    QUARANTINED_RETRY_S,
    RelayContext,
    Wakeup,
    longest_until,
    rules_of,
)

__all__ = ["ScatterRun", "answer_due_at"]

# The answer leaves this long before the objective, beside its way: for reading and writing it.
OBJECTIVE_MARGIN_S = 0.006
# What the client has waited, and the way back, take at most this part of the objective.
MOST_WAYS = 0.4
# Past the objective a whole answer is awaited for as long again, then a partial one is good.
LATE_PATIENCE = 2.0
# Bounds of the time to the first hedge, as parts of the objective.
EARLIEST_HEDGE = 0.2
LATEST_HEDGE = 0.55
SWEEP_S = 0.008
LATE_SWEEP_S = 0.040
NO_SERVER_RETRY_S = 1.0


@dataclass(slots=True)
class _Shard:
    """One shard of the query."""

    pool: str
    reply: ServerReply | None = None
    sendings: list[Sending] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    out_of_budget: bool = False


class ScatterRun:
    """Runs one query.

    Attributes:
        hedges: Sub-requests sent beside one that was late.
        retries: Sub-requests sent after a failure.
        zones: Sub-requests by the zone of their server.
    """

    def __init__(
        self, request: ClientRequest, route: Route, catalogue: Catalogue, tools: RelayContext
    ):
        self._request = request
        self._route = route
        self._catalogue = catalogue
        self._tools = tools
        self._shards = [_Shard(pool) for pool in route.shards.pools]
        self._suspicion = tools.crashes.judge(request)
        self._latency = tools.servers.latency_of(route.name, route.latency_objective_s)
        self._until = longest_until(request.arrived_at, request.client_timeout_s, route)
        self._objective_at = answer_due_at(request, route.latency_objective_s, tools.lag.usual_s)
        self._wakeup = Wakeup()
        self._records = GreatestRecords(route.shards.top_records)
        self._parts = 0
        self.zones: Counter[str] = Counter()
        self.hedges = 0
        self.retries = 0

    async def run(self) -> Answer:
        """Ask all shards and return the answer."""
        if self._suspicion.refused:
            return FailedAnswer(NotRun(NotRunReason.QUARANTINED), QUARANTINED_RETRY_S)
        if self._reachable_shards() < self._route.shards.min_parts:
            return FailedAnswer(NotRun(NotRunReason.NO_SERVER), NO_SERVER_RETRY_S)
        try:
            if self._suspicion.needs_canary:
                self._send_first(self._shards[0])
                await self._until_canary_is_back()
            if not self._canary_failed():
                for shard in self._shards:
                    if not shard.tried:
                        self._send_first(shard)
                await self._gather()
        finally:
            self._cancel_all()
        return self._answer()

    def missing_pools(self) -> list[str]:
        """Names of the shards that are not in."""
        return [shard.pool for shard in self._shards if shard.reply is None]

    async def _until_canary_is_back(self) -> None:
        """Wait until the first shard has answered or broken off."""
        canary = self._shards[0]
        while canary.sendings and self._tools.clock.now() < self._until - DEADLINE_MARGIN_S:
            at = self._until - DEADLINE_MARGIN_S
            await self._wakeup.wait_until(at, self._tools.clock.now())

    def _canary_failed(self) -> bool:
        return self._suspicion.needs_canary and self._shards[0].reply is None

    async def _gather(self) -> None:
        """Wait for parts; hedge at each sweep; return when it is time to answer."""
        now = self._tools.clock.now()
        sweep_at = self._request.arrived_at + self._hedge_after_s()
        while not self._is_done(now):
            wake_at = min(sweep_at, self._next_decision(now))
            woken = await self._wakeup.wait_until(wake_at, now)
            now = self._tools.clock.now()
            if not woken:
                self._tools.lag.record(now - wake_at)
            if now >= sweep_at and not self._is_done(now):
                self._sweep(now)
                sweep_at = now + (SWEEP_S if now < self._objective_at else LATE_SWEEP_S)

    def _is_done(self, now: float) -> bool:
        if self._parts == len(self._shards) or now >= self._until - DEADLINE_MARGIN_S:
            return True
        if self._parts < self._route.shards.min_parts or now < self._objective_at:
            return False
        # At the objective what is there goes out; later the query waits for the rest again.
        return now < self._objective_at + LATE_SWEEP_S or now >= self._late_at()

    def _late_at(self) -> float:
        return self._request.arrived_at + LATE_PATIENCE * self._route.latency_objective_s

    def _next_decision(self, now: float) -> float:
        for at in (self._objective_at, self._late_at()):
            if now < at:
                return min(at, self._until - DEADLINE_MARGIN_S)
        return self._until - DEADLINE_MARGIN_S

    def _hedge_after_s(self) -> float:
        objective_s = self._route.latency_objective_s
        return min(
            LATEST_HEDGE * objective_s, max(EARLIEST_HEDGE * objective_s, self._latency.late_s)
        )

    def _reachable_shards(self) -> int:
        return sum(1 for shard in self._shards if self._tools.chooser.has_servers(shard.pool))

    def _sweep(self, now: float) -> None:
        hedge_after_s = self._hedge_after_s()
        for shard in self._shards:
            if shard.reply is not None:
                continue
            if not shard.tried:
                self._send_first(shard)
            elif self._suspicion.suspected:
                continue
            elif not shard.sendings:
                self._send_again(shard)
            elif now - shard.sendings[-1].started_at >= hedge_after_s:
                self._hedge(shard)

    def _hedge(self, shard: _Shard) -> None:
        late = shard.sendings[-1]
        if self._send_extra(shard):
            self.hedges += 1
            log_hedge(self._request, late, shard.sendings[-1], self._latency.late_s)

    def _send_first(self, shard: _Shard) -> None:
        if self._send(shard, ()):
            self._tools.budget(shard.pool).note_first()

    def _send_again(self, shard: _Shard) -> None:
        """Ask another server after a failure, or a former one where there is no other."""
        if self._send_extra(shard) or self._send_extra(shard, shard.tried):
            self.retries += 1
            log_retry(self._request, shard.sendings[-1], shard.tried)

    def _send_extra(self, shard: _Shard, among: Collection[str] | None = None) -> bool:
        """Send beyond the first: to a server not yet asked, or to one of those named."""
        if among is None and len(set(shard.tried)) >= self._route.max_servers:
            return False
        tried = shard.tried if among is None else ()
        return self._tools.send_extra(
            shard.pool,
            lambda: self._send(shard, tried, among),
            lambda: self._note_no_budget(shard),
        )

    def _note_no_budget(self, shard: _Shard) -> None:
        if not shard.out_of_budget:
            shard.out_of_budget = True
            log_no_budget(self._request, shard.pool)

    def _send(
        self, shard: _Shard, tried: Collection[str], among: Collection[str] | None = None
    ) -> bool:
        rules = rules_of(self._catalogue, shard.pool)
        server = self._tools.chooser.choose(rules, self._latency, tried, among)
        if server is None:
            return False
        shard.tried.append(server.server)
        sending = self._tools.sender.send(
            self._request,
            self._route,
            server,
            self._until - DEADLINE_MARGIN_S,
            self._suspicion,
            lambda sending, result: self._on_result(shard, sending, result),
            RecordsNeed(self._route.shards.top_records, self._records.floor),
        )
        shard.sendings.append(sending)
        self.zones[server.zone] += 1
        return True

    def _on_result(self, shard: _Shard, sending: Sending, result: SendResult) -> None:
        shard.sendings.remove(sending)
        if shard.reply is not None:
            return
        if isinstance(result, ServerReply) and result.success:
            self._take_part(shard, result)
            return
        took_s = self._tools.clock.now() - sending.started_at
        log_failure(self._request, sending, result, took_s)
        unsent = isinstance(result, SendFailure) and result.surely_not_run
        if unsent:
            shard.tried.remove(sending.server.server)
        if self._suspicion.suspected:
            self._wakeup.set()
            return
        if not shard.sendings and self._tools.clock.now() < self._until - DEADLINE_MARGIN_S:
            if not shard.tried:
                self._send_unsent(shard, sending)
            elif not unsent:  # else the next sweep tries again
                self._send_again(shard)

    def _send_unsent(self, shard: _Shard, failed: Sending) -> None:
        """Send a first sub-request to another server after a failed connect."""
        self._send(shard, [failed.server.server])

    def _take_part(self, shard: _Shard, reply: ServerReply) -> None:
        shard.reply = reply
        self._records.add(reply.body)
        self._parts += 1
        for sending in shard.sendings:
            sending.cancel()
        shard.sendings.clear()
        if self._parts == len(self._shards) or self._suspicion.needs_canary:
            self._wakeup.set()

    def _cancel_all(self) -> None:
        for shard in self._shards:
            for sending in shard.sendings:
                sending.cancel()
            shard.sendings.clear()

    def _answer(self) -> Answer:
        shards = self._route.shards
        if self._parts < shards.min_parts:
            late = self._tools.clock.now() >= self._until - DEADLINE_MARGIN_S
            reason = UnknownReason.TIMED_OUT if late else UnknownReason.COVERAGE_BELOW
            return FailedAnswer(Unknown(reason))
        replies = [shard.reply for shard in self._shards if shard.reply is not None]
        digests = tuple(reply.digest for reply in replies)
        return MergedAnswer(self._records.body(), digests, len(self._shards) - self._parts)


def answer_due_at(request: ClientRequest, objective_s: float, lag_s: float) -> float:
    """Time on the own clock at which an answer must leave to reach its client in time.

    Args:
        request: The request, with what its ways take.
        objective_s: Seconds from the client's start within which an answer is in time.
        lag_s: How late this process usually acts.
    """
    ways_s = min(request.waited_s + request.return_delay_s, MOST_WAYS * objective_s)
    return request.arrived_at + objective_s - ways_s - lag_s - OBJECTIVE_MARGIN_S
