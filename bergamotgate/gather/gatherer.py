"""Runs queries for callers: admission, quarantine, choice of the snapshot, and another try."""

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
from bergamotgate.gather.query import PoolTools, Query
from bergamotgate.gather.replicas import ReplicaTracker
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown
from bergamotgate.quarantine.book import QuarantineBook, Suspicion

__all__ = ["Gatherer"]

Result = QueryAnswer | Refusal

LEAST_TIME_S = 0.004
MAX_SNAPSHOTS_TRIED = 3


class Gatherer:
    """Answers queries at a gateway."""

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
        self._tools_by_pool: dict[str, PoolTools] = {}
        self._limiter_by_class: dict[tuple[str, int], QueryLimiter] = {}

    async def run(self, request: QueryRequest) -> Result:
        """Answer one request, or refuse it and say whether it can have run."""
        suspicion = self._quarantine.assess(request.fingerprint, request.route.urgency.canary)
        if suspicion.refused:
            return NotRun(NotRunReason.QUARANTINED)
        limiter = self._limiter(request.route)
        admitted = await limiter.admit(request.deadline)
        if admitted is None:
            return NotRun(NotRunReason.OVERLOADED)
        request = replace(request, promoted=admitted.promoted)
        began_at = self._clock.now()
        congestion = Congestion.EXPIRY
        whole_in_s: float | None = None
        try:
            result, congestion = await self._run_admitted(request, suspicion)
            if isinstance(result, QueryAnswer) and not result.missing:
                whole_in_s = self._clock.now() - began_at
        finally:
            limiter.release(congestion, whole_in_s)
        return result

    def limits(self) -> dict[str, int]:
        """Queries that may be in progress, by pool and patience of the class."""
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
        """Queries that the slots of a pool can run at a time, by its least served shard."""
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
        ruled_out: set[str] = set()
        congestion = Congestion.NONE
        for _ in range(MAX_SNAPSHOTS_TRIED):
            snapshot = self._choose_snapshot(tables, pool, ruled_out)
            if snapshot is None or request.deadline - self._clock.now() < LEAST_TIME_S:
                break
            ruled_out.add(snapshot.name)
            may_restart = request.route.urgency.repeatable and len(ruled_out) < len(pool.snapshots)
            tools = self._pool_tools(pool.name)
            query = Query(request, tables, pool, snapshot, suspicion, tools, may_restart)
            result = _better(result, await query.run())
            congestion = max(congestion, query.congestion)
            if not (may_restart and query.lacks_snapshot):
                break
        return result, congestion

    def _choose_snapshot(self, tables: Tables, pool: Pool, ruled_out: set[str]) -> Snapshot | None:
        """The first snapshot that can be served whole, else the one with most coverage."""
        best: Snapshot | None = None
        best_share = 0.0
        for snapshot in pool.snapshots:
            if snapshot.name in ruled_out:
                continue
            total = len(snapshot.servers_by_shard)
            share = self._replicas.can_serve(tables, pool, snapshot) / total
            if share == 1.0:
                return snapshot
            if best is None or share > best_share:
                best, best_share = snapshot, share
        return best

    def _pool_tools(self, pool: str) -> PoolTools:
        tools = self._tools_by_pool.get(pool)
        if tools is None:
            tools = PoolTools(
                self._replicas,
                self._dispatcher,
                ExtraBudget(),
                RecentLatency(self._clock),
                self._quarantine,
                self._clock,
                self._rng,
                self._metrics,
            )
            self._tools_by_pool[pool] = tools
        return tools


def _better(old: Result, new: Result) -> Result:
    """Of the results of two tries, the one that tells the caller more."""
    if isinstance(old, QueryAnswer) and isinstance(new, QueryAnswer):
        return max(old, new, key=lambda answer: answer.coverage)
    if isinstance(old, QueryAnswer | Unknown) and isinstance(new, NotRun):
        return old
    return new
