"""One query: pin a snapshot, ask each shard, hedge stragglers, count true coverage."""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass

from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.tables import BelowCoverage, Pool, Snapshot, Tables
from bergamotgate.gather.answer import MissingShard, QueryAnswer, QueryRequest
from bergamotgate.gather.budget import ExtraBudget
from bergamotgate.gather.dispatcher import Dispatcher
from bergamotgate.gather.latency import RecentLatency
from bergamotgate.gather.limiter import Congestion
from bergamotgate.gather.replicas import Candidate, ReplicaTracker
from bergamotgate.gather.shardstate import Attempt, ShardState
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import (
    PROVEN_NOT_RUN,
    NotRun,
    NotRunReason,
    Refusal,
    Unknown,
    UnknownReason,
    reason_name,
)
from bergamotgate.quarantine.book import QuarantineBook, Suspicion
from bergamotgate.wire.generated.ttypes import Batch, Outcome, Reason, SubReply, SubRequest

__all__ = ["PoolTools", "Query"]

RETURN_MARGIN_S = 0.005
RETRY_AFTER_S = 0.02
MAX_TRIES = 6
SLOWER_FACTOR = 4.0
MAX_ATTEMPTS = 3
LATE_SLACK = 0.9
CONGESTED_SHARE = 0.3
CONGESTION_REASONS = frozenset({Reason.EXPIRED_IN_QUEUE, Reason.QUEUE_FULL, Reason.SERVER_SHED})
FREE_RETRY_REASONS = PROVEN_NOT_RUN - {Reason.SERVER_SHED, Reason.SERVER_DRAINING}


@dataclass(frozen=True)
class PoolTools:
    """What all queries of a pool share at a gateway."""

    replicas: ReplicaTracker
    dispatcher: Dispatcher
    budget: ExtraBudget
    latency: RecentLatency
    quarantine: QuarantineBook
    clock: Clock
    rng: random.Random
    metrics: Metrics


class Query:
    """Runs one query against one snapshot."""

    def __init__(
        self,
        request: QueryRequest,
        tables: Tables,
        pool: Pool,
        snapshot: Snapshot,
        suspicion: Suspicion,
        tools: PoolTools,
        may_restart: bool,
    ):
        self._request = request
        self._tables = tables
        self._pool = pool
        self._snapshot = snapshot
        self._urgency = request.route.urgency
        self._tools = tools
        self._suspicion = suspicion
        self._may_restart = may_restart
        self._shards = [ShardState() for _ in snapshot.servers_by_shard]
        self._shard_by_attempt: dict[int, int] = {}
        self._progress = asyncio.Event()
        self._answered = 0
        self._hedge_at = float("inf")
        self._settle_at = float("inf")
        self.congestion = Congestion.NONE

    @property
    def lacks_snapshot(self) -> bool:
        """Whether some shard has no replica that holds the snapshot."""
        return any(s.given_up and s.reason == Reason.SNAPSHOT_MISSING for s in self._shards)

    async def run(self) -> QueryAnswer | Refusal:
        """Ask all shards and return what came of it."""
        try:
            if self._suspicion.needs_canary and len(self._shards) > 1:
                refusal = await self._run_canary()
                if refusal is not None:
                    return refusal
            self._send_first(range(len(self._shards)))
            await self._collect()
        finally:
            self._abandon()
        return self._result()

    async def _run_canary(self) -> Refusal | None:
        """Ask one shard alone; the others follow only when it answered."""
        shard = self._tools.rng.randrange(len(self._shards))
        self._send_first([shard])
        while self._shards[shard].attempts and self._now() < self._request.deadline:
            await self._wait_until(self._request.deadline)
        if self._shards[shard].reason == Reason.CONNECTION_DIED:
            return Unknown(UnknownReason.CONNECTION_DIED)
        return None

    async def _collect(self) -> None:
        """Wait for replies, hedging and retrying, until the answer is good enough or late."""
        while not self._is_complete():
            now = self._now()
            if now >= min(self._request.deadline, self._settle_at):
                return
            if now >= self._hedge_at:
                self._hedge_stragglers(now)
            self._retry_due(now)
            if self._is_complete():
                return
            await self._wait_until(self._next_wake())

    async def _wait_until(self, moment: float) -> None:
        self._progress.clear()
        try:
            async with self._tools.clock.timeout(max(0.0, moment - self._now())):
                await self._progress.wait()
        except TimeoutError:
            return

    def _next_wake(self) -> float:
        retries = (s.retry_at for s in self._shards if s.retry_at is not None)
        return min(self._request.deadline, self._settle_at, self._hedge_at, *retries)

    def _is_complete(self) -> bool:
        """Whether nothing is left to wait for, or another snapshot is the better way."""
        if self._may_restart and self.lacks_snapshot:
            return True
        return all(s.body is not None or s.given_up for s in self._shards)

    def _send_first(self, shards: range | list[int]) -> None:
        chosen = []
        for shard in shards:
            state = self._shards[shard]
            if state.body is not None or state.attempts or state.given_up:
                continue
            candidate = self._best(shard)
            if candidate is None:
                self._plan_retry(shard, Reason.OWNER_NOT_READY)
            else:
                chosen.append((shard, candidate))
        self._tools.budget.note_first(len(chosen))
        self._send(chosen, "first", extra=False, only_if_free=True)
        if self._urgency.hedging and not self._suspicion.suspected:
            self._hedge_at = self._now() + self._tools.latency.late_after_s()

    def _best(self, shard: int) -> Candidate | None:
        tried = self._shards[shard].tried
        found = self._tools.replicas.candidates(
            self._tables, self._pool, self._snapshot, shard, tried
        )
        return found[0] if found else None

    def _send(
        self, chosen: list[tuple[int, Candidate]], kind: str, extra: bool, only_if_free: bool
    ) -> None:
        """Send sub-requests, one batch for each owner."""
        now = self._now()
        items_by_vm: dict[str, list[SubRequest]] = defaultdict(list)
        for shard, candidate in chosen:
            number = self._tools.dispatcher.next_attempt()
            state = self._shards[shard]
            state.attempts[number] = Attempt(number, shard, candidate, now, extra)
            state.tried.add(candidate.server)
            state.tries += kind in ("first", "retry")
            state.retry_at = None
            self._shard_by_attempt[number] = shard
            self._tools.replicas.note_sent(self._pool.name, candidate.server)
            item = SubRequest(number, candidate.server, shard, only_if_free)
            items_by_vm[candidate.vm].append(item)
        self._tools.metrics.sub_requests.labels(self._pool.name, kind).inc(len(chosen))
        for vm, items in items_by_vm.items():
            self._tools.dispatcher.send(vm, self._batch(items, now), self._receive)

    def _batch(self, items: list[SubRequest], now: float) -> Batch:
        elapsed_s = now - self._request.arrived_at
        return Batch(
            pool=self._pool.name,
            snapshot=self._snapshot.name,
            budget_ms=max(1, milliseconds(self._request.deadline - now - RETURN_MARGIN_S)),
            patience_ms=0 if self._request.promoted else self._urgency.patience_ms,
            age_ms=milliseconds(elapsed_s),
            repeatable=self._urgency.repeatable,
            body=self._request.body,
            items=items,
            key=self._request.key or None,
        )

    def _receive(self, reply: SubReply) -> None:
        """Take one reply; called as it comes."""
        shard = self._shard_by_attempt.pop(reply.attempt, None)
        if shard is None:
            self._tools.metrics.late_replies.labels(self._pool.name).inc()
            return
        state = self._shards[shard]
        attempt = state.attempts.pop(reply.attempt)
        latency_s = self._now() - attempt.sent_at
        server = attempt.candidate.server
        self._tools.replicas.note_reply(
            self._pool.name, server, self._snapshot.name, reply, latency_s
        )
        self._note_congestion(reply)
        if reply.outcome == Outcome.ANSWERED:
            self._take_answer(shard, reply, latency_s)
        else:
            self._take_failure(shard, attempt, reply)

    def _take_answer(self, shard: int, reply: SubReply, latency_s: float) -> None:
        state = self._shards[shard]
        state.body = reply.body or b""
        state.ran = True
        self._answered += 1
        self._tools.latency.record(latency_s)
        self._tools.metrics.pool_latency.labels(self._pool.name).observe(latency_s)
        self._cancel(shard)
        coverage = self._urgency.coverage
        total = len(self._shards)
        settles = self._settle_at == float("inf") and self._answered >= coverage.wanted * total
        if settles:
            self._settle_at = self._now() + coverage.settle_ms / 1000
        if settles or self._answered == total or self._suspicion.needs_canary:
            self._progress.set()

    def _take_failure(self, shard: int, attempt: Attempt, reply: SubReply) -> None:
        state = self._shards[shard]
        reason = reply.reason
        self._tools.metrics.declined.labels(self._pool.name, reason_name(reason)).inc()
        if reason in PROVEN_NOT_RUN:
            if state.attempts:
                state.tried.discard(attempt.candidate.server)
            if attempt.extra and reason in FREE_RETRY_REASONS:
                self._tools.budget.give_back()
        else:
            state.ran = True
        if reason == Reason.CONNECTION_DIED:
            self._suspicion = self._tools.quarantine.note_server_lost(
                self._request.fingerprint, self._suspicion
            )
        if state.body is None and not state.attempts:
            if reason == Reason.NO_FREE_SLOT:
                self._place_elsewhere(shard)
            else:
                self._plan_retry(shard, reason)
                self._progress.set()

    def _place_elsewhere(self, shard: int) -> None:
        """Use a free slot of another replica, else wait in the queue of the least busy one."""
        state = self._shards[shard]
        state.reason = Reason.NO_FREE_SLOT
        candidate = self._best(shard)
        if candidate is not None:
            self._send([(shard, candidate)], "moved", extra=False, only_if_free=True)
            return
        state.tried.clear()
        candidate = self._best(shard)
        if candidate is None:
            self._plan_retry(shard, Reason.OWNER_NOT_READY)
        else:
            self._send([(shard, candidate)], "queued", extra=False, only_if_free=False)

    def _plan_retry(self, shard: int, reason: Reason) -> None:
        """Decide when a shard without attempt is asked again, or give it up."""
        state = self._shards[shard]
        state.reason = reason
        if not self._may_retry(state, reason):
            state.given_up = True
            return
        if self._best(shard) is not None:
            state.retry_at = self._now()
            return
        if reason == Reason.SNAPSHOT_MISSING:
            state.given_up = True
            return
        state.tried.clear()
        state.retry_at = self._now() + RETRY_AFTER_S * (1 + state.tries)

    def _may_retry(self, state: ShardState, reason: Reason) -> bool:
        if reason in PROVEN_NOT_RUN:
            return state.tries < MAX_TRIES
        repeatable = self._urgency.repeatable and not self._suspicion.suspected
        return repeatable and state.tries < MAX_TRIES

    def _retry_due(self, now: float) -> None:
        for shard, state in enumerate(self._shards):
            if state.retry_at is None or state.retry_at > now:
                continue
            candidate = self._best(shard)
            if candidate is None:
                state.tried.clear()
                state.retry_at = now + RETRY_AFTER_S * (1 + state.tries)
                continue
            extra = state.tries > 0 and state.reason not in FREE_RETRY_REASONS
            if extra and not self._tools.budget.take():
                state.retry_at = now + RETRY_AFTER_S
                continue
            self._tools.metrics.retries.labels(self._pool.name, reason_name(state.reason)).inc()
            self._send([(shard, candidate)], "retry", extra, only_if_free=False)

    def _hedge_stragglers(self, now: float) -> None:
        """Ask another replica for each shard that is late, as far as the budget goes."""
        late_s = self._tools.latency.late_after_s()
        # The quantile moves a little between planning a hedge and sending it, hence the slack.
        self._hedge_at = now + late_s
        if self._suspicion.suspected:
            self._hedge_at = float("inf")
            return
        for shard, state in enumerate(self._shards):
            if state.body is not None or not 0 < len(state.attempts) < MAX_ATTEMPTS:
                continue
            attempts = list(state.attempts.values())
            if now - attempts[-1].sent_at < LATE_SLACK * late_s:
                continue
            if not self._tools.budget.take():
                return
            state.hedges += 1
            candidate = self._hedge_candidate(shard, attempts)
            self._send([(shard, candidate)], "hedge", extra=True, only_if_free=True)

    def _hedge_candidate(self, shard: int, attempts: list[Attempt]) -> Candidate:
        """Another replica, or one that was asked when there is none or it is far slower."""
        asked = [attempt.candidate for attempt in attempts]
        least_asked = min(asked, key=asked.count)
        other = self._best(shard)
        if other is None:
            return least_asked
        if self._shards[shard].hedges > 1:
            return other  # asking the same server again has not helped
        latency_of = self._tools.replicas.usual_latency_s
        asked_s = latency_of(self._pool.name, least_asked.server)
        if latency_of(self._pool.name, other.server) > SLOWER_FACTOR * asked_s:
            return least_asked
        return other

    def _cancel(self, shard: int) -> None:
        """Give up the attempts of a shard that is settled."""
        attempts = self._shards[shard].attempts
        for attempt in attempts.values():
            server = attempt.candidate.server
            waited_s = self._now() - attempt.sent_at
            self._shard_by_attempt.pop(attempt.number, None)
            self._tools.replicas.note_slow(self._pool.name, server, waited_s)
            self._tools.replicas.note_dropped(self._pool.name, server)
            self._tools.dispatcher.cancel(attempt.candidate.vm, [attempt.number])
        attempts.clear()

    def _abandon(self) -> None:
        """Give up everything that is still on its way."""
        for shard, state in enumerate(self._shards):
            if not state.attempts:
                continue
            state.reason = Reason.TIMED_OUT
            state.ran = True
            if self._urgency.repeatable:
                self._cancel(shard)

    def _note_congestion(self, reply: SubReply) -> None:
        deadline_s = self._urgency.deadline_ms / 1000
        if reply.reason in CONGESTION_REASONS:
            self.congestion = Congestion.EXPIRY
        elif reply.wait_ms / 1000 > CONGESTED_SHARE * deadline_s:
            self.congestion = max(self.congestion, Congestion.QUEUES)

    def _result(self) -> QueryAnswer | Refusal:
        bodies = {n: s.body for n, s in enumerate(self._shards) if s.body is not None}
        missing = tuple(
            MissingShard(n, reason_name(s.reason))
            for n, s in enumerate(self._shards)
            if s.body is None
        )
        if not bodies:
            return self._refusal()
        if not missing:
            self._tools.quarantine.note_completed(self._request.fingerprint)
        answer = QueryAnswer(self._snapshot.name, len(self._shards), bodies, missing)
        below = answer.coverage < self._urgency.coverage.wanted
        if below and self._urgency.coverage.below is BelowCoverage.REFUSE:
            return Unknown(UnknownReason.COVERAGE_BELOW)
        return answer

    def _refusal(self) -> Refusal:
        """Nothing answered; say whether anything can have run."""
        if not any(state.ran for state in self._shards):
            congested = any(state.reason in CONGESTION_REASONS for state in self._shards)
            return NotRun(NotRunReason.OVERLOADED if congested else NotRunReason.ALL_DECLINED)
        reasons = {state.reason for state in self._shards}
        if Reason.CONNECTION_DIED in reasons:
            return Unknown(UnknownReason.CONNECTION_DIED)
        if Reason.SERVER_ERROR in reasons:
            return Unknown(UnknownReason.SERVER_ERROR)
        return Unknown(UnknownReason.TIMED_OUT)

    def _now(self) -> float:
        return self._tools.clock.now()
