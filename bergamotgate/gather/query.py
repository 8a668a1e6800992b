"""Runs one query on all shards of a pinned snapshot and collects the answers.

Stragglers are hedged and failed sub-requests retried. Coverage counts only shards that answered.
"""

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

__all__ = ["PoolContext", "Query"]

RETURN_MARGIN_S = 0.005
RETRY_DELAY_S = 0.02
MAX_ATTEMPTS = 6
MAX_HEDGE_LATENCY_RATIO = 4.0
MAX_IN_FLIGHT = 3
HEDGE_DELAY_SLACK = 0.9
CONGESTED_WAIT_SHARE = 0.3
CONGESTION_REASONS = frozenset({Reason.EXPIRED_IN_QUEUE, Reason.QUEUE_FULL, Reason.SERVER_SHED})
FREE_RETRY_REASONS = PROVEN_NOT_RUN - {Reason.SERVER_SHED, Reason.SERVER_DRAINING}


@dataclass(frozen=True)
class PoolContext:
    """Objects that all queries of a pool share at a gateway."""

    replicas: ReplicaTracker
    dispatcher: Dispatcher
    budget: ExtraBudget
    latency: RecentLatency
    quarantine: QuarantineBook
    clock: Clock
    rng: random.Random
    metrics: Metrics


class Query:
    """Runs one query against one snapshot.

    Attributes:
        congestion: Highest congestion that the query met at the owners.
    """

    def __init__(
        self,
        request: QueryRequest,
        tables: Tables,
        pool: Pool,
        snapshot: Snapshot,
        suspicion: Suspicion,
        context: PoolContext,
        may_switch_snapshot: bool,
    ):
        self._request = request
        self._tables = tables
        self._pool = pool
        self._snapshot = snapshot
        self._urgency = request.route.urgency
        self._context = context
        self._suspicion = suspicion
        self._may_switch_snapshot = may_switch_snapshot
        self._shards = [ShardState() for _ in snapshot.servers_by_shard]
        self._shard_by_attempt: dict[int, int] = {}
        self._progress = asyncio.Event()
        self._answered = 0
        self._hedge_at = float("inf")
        self._settle_at = float("inf")
        self.congestion = Congestion.NONE

    @property
    def snapshot_missing(self) -> bool:
        """Whether some shard was given up because no replica holds the snapshot."""
        return any(s.given_up and s.reason == Reason.SNAPSHOT_MISSING for s in self._shards)

    async def run(self) -> QueryAnswer | Refusal:
        """Query all shards; return the answer or a refusal."""
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
        """Query one shard before the others; refuse the query if the connection died."""
        shard = self._context.rng.randrange(len(self._shards))
        self._send_first([shard])
        while self._shards[shard].in_flight_by_number and self._now() < self._request.deadline:
            await self._wait_until(self._request.deadline)
        if self._shards[shard].reason == Reason.CONNECTION_DIED:
            return Unknown(UnknownReason.CONNECTION_DIED)
        return None

    async def _collect(self) -> None:
        """Hedge and retry until the answer is sufficient or the deadline has passed."""
        while not self._is_complete():
            now = self._now()
            if now >= min(self._request.deadline, self._settle_at):
                return
            if now >= self._hedge_at:
                self._hedge_stragglers(now)
            self._send_due_retries(now)
            if self._is_complete():
                return
            await self._wait_until(self._next_wakeup())

    async def _wait_until(self, when: float) -> None:
        self._progress.clear()
        try:
            async with self._context.clock.timeout(max(0.0, when - self._now())):
                await self._progress.wait()
        except TimeoutError:
            return

    def _next_wakeup(self) -> float:
        retries = (s.retry_at for s in self._shards if s.retry_at is not None)
        return min(self._request.deadline, self._settle_at, self._hedge_at, *retries)

    def _is_complete(self) -> bool:
        """Whether nothing is left to wait for, or the query should switch to another snapshot."""
        if self._may_switch_snapshot and self.snapshot_missing:
            return True
        return all(s.body is not None or s.given_up for s in self._shards)

    def _send_first(self, shards: range | list[int]) -> None:
        chosen = []
        for shard in shards:
            state = self._shards[shard]
            if state.body is not None or state.in_flight_by_number or state.given_up:
                continue
            candidate = self._best_candidate(shard)
            if candidate is None:
                self._schedule_retry(shard, Reason.OWNER_NOT_READY)
            else:
                chosen.append((shard, candidate))
        self._context.budget.note_first(len(chosen))
        self._send(chosen, "first", extra=False, only_if_free=True)
        if self._urgency.hedging and not self._suspicion.suspected:
            self._hedge_at = self._now() + self._context.latency.hedge_delay_s()

    def _best_candidate(self, shard: int) -> Candidate | None:
        tried = self._shards[shard].tried_servers
        found = self._context.replicas.candidates(
            self._tables, self._pool, self._snapshot, shard, tried
        )
        return found[0] if found else None

    def _send(
        self, chosen: list[tuple[int, Candidate]], kind: str, extra: bool, only_if_free: bool
    ) -> None:
        """Send sub-requests, one batch per owner."""
        now = self._now()
        items_by_vm: dict[str, list[SubRequest]] = defaultdict(list)
        for shard, candidate in chosen:
            number = self._context.dispatcher.next_attempt()
            state = self._shards[shard]
            state.in_flight_by_number[number] = Attempt(number, shard, candidate, now, extra)
            state.tried_servers.add(candidate.server)
            state.attempt_count += kind in ("first", "retry")
            state.retry_at = None
            self._shard_by_attempt[number] = shard
            self._context.replicas.note_sent(self._pool.name, candidate.server)
            item = SubRequest(number, candidate.server, shard, only_if_free)
            items_by_vm[candidate.vm].append(item)
        self._context.metrics.sub_requests.labels(self._pool.name, kind).inc(len(chosen))
        for vm, items in items_by_vm.items():
            self._context.dispatcher.send(vm, self._batch(items, now), self._receive)

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
        """Handle one reply; called on arrival."""
        shard = self._shard_by_attempt.pop(reply.attempt, None)
        if shard is None:
            self._context.metrics.late_replies.labels(self._pool.name).inc()
            return
        state = self._shards[shard]
        attempt = state.in_flight_by_number.pop(reply.attempt)
        latency_s = self._now() - attempt.sent_at
        server = attempt.candidate.server
        self._context.replicas.note_reply(
            self._pool.name, server, self._snapshot.name, reply, latency_s
        )
        self._note_congestion(reply)
        if reply.outcome == Outcome.ANSWERED:
            self._handle_answer(shard, reply, latency_s)
        else:
            self._handle_failure(shard, attempt, reply)

    def _handle_answer(self, shard: int, reply: SubReply, latency_s: float) -> None:
        state = self._shards[shard]
        state.body = reply.body or b""
        state.may_have_run = True
        self._answered += 1
        self._context.latency.record(latency_s)
        self._context.metrics.sub_request_latency.labels(self._pool.name).observe(latency_s)
        self._cancel(shard)
        coverage = self._urgency.coverage
        total = len(self._shards)
        settles = self._settle_at == float("inf") and self._answered >= coverage.wanted * total
        if settles:
            self._settle_at = self._now() + coverage.settle_ms / 1000
        if settles or self._answered == total or self._suspicion.needs_canary:
            self._progress.set()

    def _handle_failure(self, shard: int, attempt: Attempt, reply: SubReply) -> None:
        state = self._shards[shard]
        reason = reply.reason
        self._context.metrics.declined.labels(self._pool.name, reason_name(reason)).inc()
        if reason in PROVEN_NOT_RUN:
            if state.in_flight_by_number:
                state.tried_servers.discard(attempt.candidate.server)
            if attempt.extra and reason in FREE_RETRY_REASONS:
                self._context.budget.refund()
        else:
            state.may_have_run = True
        if reason == Reason.CONNECTION_DIED:
            self._suspicion = self._context.quarantine.note_server_lost(
                self._request.fingerprint, self._suspicion
            )
        if state.body is None and not state.in_flight_by_number:
            if reason == Reason.NO_FREE_SLOT:
                self._reroute(shard)
            else:
                self._schedule_retry(shard, reason)
                self._progress.set()

    def _reroute(self, shard: int) -> None:
        """Try a free slot of another replica, else queue at the best one."""
        state = self._shards[shard]
        state.reason = Reason.NO_FREE_SLOT
        candidate = self._best_candidate(shard)
        if candidate is not None:
            self._send([(shard, candidate)], "moved", extra=False, only_if_free=True)
            return
        state.tried_servers.clear()
        candidate = self._best_candidate(shard)
        if candidate is None:
            self._schedule_retry(shard, Reason.OWNER_NOT_READY)
        else:
            self._send([(shard, candidate)], "queued", extra=False, only_if_free=False)

    def _schedule_retry(self, shard: int, reason: Reason) -> None:
        """Schedule a retry for a shard with nothing in flight, or give it up."""
        state = self._shards[shard]
        state.reason = reason
        if not self._may_retry(state, reason):
            state.given_up = True
            return
        if self._best_candidate(shard) is not None:
            state.retry_at = self._now()
            return
        if reason == Reason.SNAPSHOT_MISSING:
            state.given_up = True
            return
        state.tried_servers.clear()
        state.retry_at = self._now() + RETRY_DELAY_S * (1 + state.attempt_count)

    def _may_retry(self, state: ShardState, reason: Reason) -> bool:
        if reason in PROVEN_NOT_RUN:
            return state.attempt_count < MAX_ATTEMPTS
        repeatable = self._urgency.repeatable and not self._suspicion.suspected
        return repeatable and state.attempt_count < MAX_ATTEMPTS

    def _send_due_retries(self, now: float) -> None:
        for shard, state in enumerate(self._shards):
            if state.retry_at is None or state.retry_at > now:
                continue
            candidate = self._best_candidate(shard)
            if candidate is None:
                state.tried_servers.clear()
                state.retry_at = now + RETRY_DELAY_S * (1 + state.attempt_count)
                continue
            extra = state.attempt_count > 0 and state.reason not in FREE_RETRY_REASONS
            if extra and not self._context.budget.take():
                state.retry_at = now + RETRY_DELAY_S
                continue
            self._context.metrics.retries.labels(self._pool.name, reason_name(state.reason)).inc()
            self._send([(shard, candidate)], "retry", extra, only_if_free=False)

    def _hedge_stragglers(self, now: float) -> None:
        """Send a hedge for each shard past the hedge delay, within the budget."""
        hedge_delay_s = self._context.latency.hedge_delay_s()
        # The slack absorbs changes of the percentile between scheduling and sending a hedge.
        self._hedge_at = now + hedge_delay_s
        if self._suspicion.suspected:
            self._hedge_at = float("inf")
            return
        for shard, state in enumerate(self._shards):
            if state.body is not None or not 0 < len(state.in_flight_by_number) < MAX_IN_FLIGHT:
                continue
            attempts = list(state.in_flight_by_number.values())
            if now - attempts[-1].sent_at < HEDGE_DELAY_SLACK * hedge_delay_s:
                continue
            if not self._context.budget.take():
                return
            state.hedges += 1
            candidate = self._hedge_candidate(shard, attempts)
            self._send([(shard, candidate)], "hedge", extra=True, only_if_free=True)

    def _hedge_candidate(self, shard: int, attempts: list[Attempt]) -> Candidate:
        """Choose another replica, or one already used if there is no other or it is far slower."""
        used = [attempt.candidate for attempt in attempts]
        least_used = min(used, key=used.count)
        other = self._best_candidate(shard)
        if other is None:
            return least_used
        if self._shards[shard].hedges > 1:
            return other  # A second request to the same server did not help.
        latency_of = self._context.replicas.recent_latency_s
        least_used_s = latency_of(self._pool.name, least_used.server)
        if latency_of(self._pool.name, other.server) > MAX_HEDGE_LATENCY_RATIO * least_used_s:
            return least_used
        return other

    def _cancel(self, shard: int) -> None:
        """Cancel the attempts in flight for a shard."""
        attempts = self._shards[shard].in_flight_by_number
        for attempt in attempts.values():
            server = attempt.candidate.server
            waited_s = self._now() - attempt.sent_at
            self._shard_by_attempt.pop(attempt.number, None)
            self._context.replicas.note_min_latency(self._pool.name, server, waited_s)
            self._context.replicas.note_cancelled(self._pool.name, server)
            self._context.dispatcher.cancel(attempt.candidate.vm, [attempt.number])
        attempts.clear()

    def _abandon(self) -> None:
        """Mark shards with attempts in flight as timed out; cancel the attempts if repeatable."""
        for shard, state in enumerate(self._shards):
            if not state.in_flight_by_number:
                continue
            state.reason = Reason.TIMED_OUT
            state.may_have_run = True
            if self._urgency.repeatable:
                self._cancel(shard)

    def _note_congestion(self, reply: SubReply) -> None:
        deadline_s = self._urgency.deadline_ms / 1000
        if reply.reason in CONGESTION_REASONS:
            self.congestion = Congestion.EXPIRY
        elif reply.wait_ms / 1000 > CONGESTED_WAIT_SHARE * deadline_s:
            self.congestion = max(self.congestion, Congestion.QUEUEING)

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
            self._context.quarantine.note_completed(self._request.fingerprint)
        answer = QueryAnswer(self._snapshot.name, len(self._shards), bodies, missing)
        below = answer.coverage < self._urgency.coverage.wanted
        if below and self._urgency.coverage.below is BelowCoverage.REFUSE:
            return Unknown(UnknownReason.COVERAGE_BELOW)
        return answer

    def _refusal(self) -> Refusal:
        """Refuse a query without answers, and report whether anything may have run."""
        if not any(state.may_have_run for state in self._shards):
            congested = any(state.reason in CONGESTION_REASONS for state in self._shards)
            return NotRun(NotRunReason.OVERLOADED if congested else NotRunReason.ALL_DECLINED)
        reasons = {state.reason for state in self._shards}
        if Reason.CONNECTION_DIED in reasons:
            return Unknown(UnknownReason.CONNECTION_DIED)
        if Reason.SERVER_ERROR in reasons:
            return Unknown(UnknownReason.SERVER_ERROR)
        return Unknown(UnknownReason.TIMED_OUT)

    def _now(self) -> float:
        return self._context.clock.now()
