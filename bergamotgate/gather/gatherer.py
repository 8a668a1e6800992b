"""Runs queries for callers: quarantine check, admission, choice of the snapshot and fallback."""

import random
from collections.abc import Callable
from dataclasses import replace

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool, Route, Snapshot, Tables
from bergamotgate.gather.answer import QueryAnswer, QueryRequest
from bergamotgate.gather.budget import ExtraBudget
from bergamotgate.gather.dispatcher import Dispatcher
from bergamotgate.gather.latency import RecentLatency
from bergamotgate.gather.limiter import Congestion, QueryLimiter
from bergamotgate.gather.query import PoolContext, Query
from bergamotgate.gather.replicas import ReplicaTracker
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown
from bergamotgate.quarantine.book import QuarantineBook, Suspicion

__all__ = ["Gatherer"]

Result = QueryAnswer | Refusal

MIN_TIME_LEFT_S = 0.004
MAX_SNAPSHOTS_TRIED = 3


class Gatherer:
    """Admits queries at a gateway and runs them on their pools."""

    def __init__(
        self,
        tables: Callable[[], Tables | None],
        replicas: ReplicaTracker,
        dispatcher: Dispatcher,
        gateways: Callable[[], int],
        quarantine: QuarantineBook,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._tables = tables
        self._replicas = replicas
        self._dispatcher = dispatcher
        self._gateways = gateways
        self._quarantine = quarantine
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._context_by_pool: dict[str, PoolContext] = {}
        self._limiter_by_class: dict[tuple[str, int], QueryLimiter] = {}

    async def run(self, request: QueryRequest) -> Result:
        """Answer one request, or refuse it and report whether it may have run."""
        suspicion = self._quarantine.assess(request.fingerprint, request.route.urgency.canary)
        if suspicion.refused:
            return NotRun(NotRunReason.QUARANTINED)
        limiter = self._limiter(request.route)
        admitted = await limiter.admit(request.deadline)
        if admitted is None:
            return NotRun(NotRunReason.OVERLOADED)
        request = replace(request, promoted=admitted.promoted)
        started_at = self._clock.now()
        congestion = Congestion.EXPIRY
        complete_run_s: float | None = None
        try:
            result, congestion = await self._run_admitted(request, suspicion)
            if isinstance(result, QueryAnswer) and not result.missing:
                complete_run_s = self._clock.now() - started_at
        finally:
            limiter.release(congestion, complete_run_s)
        return result

    def limits(self) -> dict[str, int]:
        """Limits on queries in progress, keyed by ``pool/patience_ms`` of the class."""
        return {
            f"{pool}/{patience_ms}": limiter.limit
            for (pool, patience_ms), limiter in self._limiter_by_class.items()
        }

    def _limiter(self, route: Route) -> QueryLimiter:
        key = (route.pool, route.urgency.patience_ms)
        limiter = self._limiter_by_class.get(key)
        if limiter is None:
            capacity = self._capacity(route.pool)
            limiter = QueryLimiter(self._clock, capacity, self._gateways())
            self._limiter_by_class[key] = limiter
        return limiter

    def _capacity(self, pool_name: str) -> int:
        """Queries that a pool can run concurrently, given the shard with the fewest replicas."""
        tables = self._tables()
        pool = tables.pool_by_name.get(pool_name) if tables is not None else None
        if pool is None:
            return 0
        rows = pool.snapshots[0].servers_by_shard
        return pool.slots * min(len(row) for row in rows)

    async def _run_admitted(
        self, request: QueryRequest, suspicion: Suspicion
    ) -> tuple[Result, Congestion]:
        tables = self._tables()
        pool = tables.pool_by_name.get(request.route.pool) if tables is not None else None
        if pool is None:
            return NotRun(NotRunReason.NO_SERVER), Congestion.NONE
        result: Result = NotRun(NotRunReason.NO_SERVER)
        tried: set[str] = set()
        congestion = Congestion.NONE
        for _ in range(MAX_SNAPSHOTS_TRIED):
            snapshot = self._choose_snapshot(tables, pool, tried)
            if snapshot is None or request.deadline - self._clock.now() < MIN_TIME_LEFT_S:
                break
            tried.add(snapshot.name)
            may_switch = request.route.urgency.repeatable and len(tried) < len(pool.snapshots)
            context = self._pool_context(pool.name)
            query = Query(request, tables, pool, snapshot, suspicion, context, may_switch)
            result = _more_informative(result, await query.run())
            congestion = max(congestion, query.congestion)
            if not (may_switch and query.snapshot_missing):
                break
        return result, congestion

    def _choose_snapshot(self, tables: Tables, pool: Pool, tried: set[str]) -> Snapshot | None:
        """The first snapshot with all shards servable, else the one with the highest coverage."""
        best: Snapshot | None = None
        best_coverage = 0.0
        for snapshot in pool.snapshots:
            if snapshot.name in tried:
                continue
            total = len(snapshot.servers_by_shard)
            coverage = self._replicas.count_servable_shards(tables, pool, snapshot) / total
            if coverage == 1.0:
                return snapshot
            if best is None or coverage > best_coverage:
                best, best_coverage = snapshot, coverage
        return best

    def _pool_context(self, pool: str) -> PoolContext:
        context = self._context_by_pool.get(pool)
        if context is None:
            context = PoolContext(
                self._replicas,
                self._dispatcher,
                ExtraBudget(),
                RecentLatency(self._clock),
                self._quarantine,
                self._clock,
                self._rng,
                self._metrics,
            )
            self._context_by_pool[pool] = context
        return context


def _more_informative(old: Result, new: Result) -> Result:
    """Return the more informative of the results from two snapshots."""
    if isinstance(old, QueryAnswer) and isinstance(new, QueryAnswer):
        return max(old, new, key=lambda answer: answer.coverage)
    if isinstance(old, QueryAnswer | Unknown) and isinstance(new, NotRun):
        return old
    return new
