"""The naive version to compare with: plain scatter-gather, each VM by itself."""

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

__all__ = ["NaiveDesk"]


class NaiveDesk:
    """Sends each request to a random replica of each shard and waits for all."""

    def __init__(self, published: PublishedTables, connector: MemoryConnector, clock: Clock, seed):
        self._tables = read_tables(published.revision, published.routes, published.pools)
        self._connector = connector
        self._clock = clock
        self._rng = random.Random(seed)
        self._idle_by_address: dict[str, list[BackendConnection]] = defaultdict(list)
        self._number = 0

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request."""
        route = self._tables.route_by_match.get((request.method, request.path))
        if route is None:
            return render(NotRun(NotRunReason.NO_ROUTE))
        pool = self._tables.pool_by_name[route.pool]
        snapshot = pool.snapshots[0]
        deadline = self._clock.now() + route.urgency.deadline_ms / 1000
        asked = [
            self._ask(pool, snapshot, shard, request, deadline)
            for shard in range(len(snapshot.servers_by_shard))
        ]
        bodies = dict(enumerate(await asyncio.gather(*asked)))
        answered = {shard: body for shard, body in bodies.items() if body is not None}
        if not answered:
            return render(Unknown(UnknownReason.TIMED_OUT))
        missing = tuple(MissingShard(s, "failed") for s, body in bodies.items() if body is None)
        return render(QueryAnswer(snapshot.name, len(bodies), answered, missing))

    async def _ask(
        self, pool: Pool, snapshot: Snapshot, shard: int, request: CallerRequest, deadline: float
    ) -> bytes | None:
        name = self._rng.choice(snapshot.servers_by_shard[shard])
        address = pool.server_by_name[name].address
        idle = self._idle_by_address[address]
        connection = idle.pop() if idle else self._connector.open(address)
        self._number += 1
        budget_ms = max(1, int((deadline - self._clock.now()) * 1000))
        message = BackendRequest(
            f"naive-{id(self)}-{self._number}",
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
