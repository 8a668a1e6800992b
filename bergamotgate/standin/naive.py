"""Naive baseline for comparison: plain scatter-gather with no coordination between VMs."""

import asyncio
import random
from collections import defaultdict

from bergamotgate.backend.connection import BackendConnection, BackendRequest
from bergamotgate.clock import Clock
from bergamotgate.config.reader import read_tables
from bergamotgate.config.service import PublishedTables
from bergamotgate.config.tables import Pool, Snapshot
from bergamotgate.errors import ExchangeError
from bergamotgate.front.answers import CallerAnswer, render
from bergamotgate.front.handler import CallerRequest
from bergamotgate.gather.answer import MissingShard, QueryAnswer
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.standin.connections import MemoryConnector

__all__ = ["NaiveHandler"]


class NaiveHandler:
    """Sends each request to a random replica of every shard and waits for all replies."""

    def __init__(self, published: PublishedTables, connector: MemoryConnector, clock: Clock, seed):
        self._tables = read_tables(published.revision, published.routes, published.pools)
        self._connector = connector
        self._clock = clock
        self._rng = random.Random(seed)
        self._idle_by_address: dict[str, list[BackendConnection]] = defaultdict(list)
        self._last_number = 0

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request; shards without a reply are reported as missing."""
        route = self._tables.route_by_match.get((request.method, request.path))
        if route is None:
            return render(NotRun(NotRunReason.NO_ROUTE))
        pool = self._tables.pool_by_name[route.pool]
        snapshot = pool.snapshots[0]
        deadline = self._clock.now() + route.urgency.deadline_ms / 1000
        sub_requests = [
            self._query_shard(pool, snapshot, shard, request, deadline)
            for shard in range(len(snapshot.servers_by_shard))
        ]
        body_by_shard = dict(enumerate(await asyncio.gather(*sub_requests)))
        answered = {shard: body for shard, body in body_by_shard.items() if body is not None}
        if not answered:
            return render(Unknown(UnknownReason.TIMED_OUT))
        missing = tuple(
            MissingShard(s, "failed") for s, body in body_by_shard.items() if body is None
        )
        return render(QueryAnswer(snapshot.name, len(body_by_shard), answered, missing))

    async def _query_shard(
        self, pool: Pool, snapshot: Snapshot, shard: int, request: CallerRequest, deadline: float
    ) -> bytes | None:
        name = self._rng.choice(snapshot.servers_by_shard[shard])
        address = pool.server_by_name[name].address
        idle = self._idle_by_address[address]
        connection = idle.pop() if idle else self._connector.open(address)
        self._last_number += 1
        budget_ms = max(1, int((deadline - self._clock.now()) * 1000))
        message = BackendRequest(
            f"naive-{id(self)}-{self._last_number}",
            pool.name,
            snapshot.name,
            shard,
            budget_ms,
            True,
            request.key or "",
            request.body,
        )
        try:
            reply = await connection.exchange(message)
        except ExchangeError:
            connection.close()
            return None
        idle.append(connection)
        return reply.body if reply.not_run is None else None
