"""Tracks each backend server's load and latency to choose between the replicas of a shard."""

import random
from dataclasses import dataclass, field

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool, Snapshot, Tables
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.wire.generated.ttypes import Outcome, Reason, SubReply

__all__ = ["Candidate", "ReplicaTracker"]

BUSY_REASONS = frozenset({Reason.NO_FREE_SLOT, Reason.EXPIRED_IN_QUEUE, Reason.QUEUE_FULL})
LATENCY_SMOOTHING = 0.2
MAX_SAMPLE_RATIO = 3.0
STALE_AFTER_S = 10.0
SNAPSHOT_MISSING_S = 3.0
FAILURE_AVOID_S = 0.5
AVOID_PENALTY_S = 1.0
DEFAULT_LATENCY_S = 0.01
COST_JITTER = 0.1


@dataclass
class _ServerStats:
    """Recent statistics of one backend server, as seen by this gateway."""

    latency_s: float = DEFAULT_LATENCY_S
    sampled_at: float = float("-inf")
    outstanding: int = 0
    depth: int = 0
    avoid_until: float = float("-inf")
    missing_until_by_snapshot: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Candidate:
    """A replica that can serve a shard now.

    Attributes:
        server: Name of the backend server.
        vm: The VM that owns it.
    """

    server: str
    vm: str


class ReplicaTracker:
    """Ranks replicas by recent latency, queue depth and failures."""

    def __init__(self, directory: OwnerDirectory, clock: Clock, rng: random.Random):
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._stats_by_server: dict[tuple[str, str], _ServerStats] = {}

    def candidates(
        self, tables: Tables, pool: Pool, snapshot: Snapshot, shard: int, tried: set[str]
    ) -> list[Candidate]:
        """Replicas that can serve a shard now, best first.

        Args:
            tables: Tables in force.
            pool: Pool of the snapshot.
            snapshot: Pinned snapshot.
            shard: Number of the shard.
            tried: Names of servers to exclude.
        """
        now = self._clock.now()
        found = []
        for name in snapshot.servers_by_shard[shard]:
            server = pool.server_by_name[name]
            if name in tried or not tables.takes_work(server):
                continue
            vm = self._directory.serving_vm(self._directory.group_of(pool, server))
            stats = self._stats(pool.name, name)
            if vm is None or stats.missing_until_by_snapshot.get(snapshot.name, now) > now:
                continue
            found.append((self._cost(stats, pool.slots, now), Candidate(name, vm)))
        found.sort(key=lambda entry: entry[0])
        return [candidate for _, candidate in found]

    def count_servable_shards(self, tables: Tables, pool: Pool, snapshot: Snapshot) -> int:
        """Number of shards of a snapshot that at least one replica can serve now."""
        shards = range(len(snapshot.servers_by_shard))
        return sum(1 for s in shards if self.candidates(tables, pool, snapshot, s, set()))

    def recent_latency_s(self, pool: str, server: str) -> float:
        """Moving average of a server's latency in seconds; the default when it is stale."""
        stats = self._stats(pool, server)
        stale = self._clock.now() - stats.sampled_at > STALE_AFTER_S
        return DEFAULT_LATENCY_S if stale else stats.latency_s

    def note_sent(self, pool: str, server: str) -> None:
        """Count a sub-request in flight."""
        self._stats(pool, server).outstanding += 1

    def note_cancelled(self, pool: str, server: str) -> None:
        """Stop counting a sub-request that was cancelled."""
        stats = self._stats(pool, server)
        stats.outstanding = max(0, stats.outstanding - 1)

    def note_reply(
        self, pool: str, server: str, snapshot: str, reply: SubReply, latency_s: float
    ) -> None:
        """Update the statistics from a reply."""
        now = self._clock.now()
        stats = self._stats(pool, server)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.depth = reply.depth or 0
        if reply.outcome == Outcome.ANSWERED:
            self._update_latency(stats, latency_s, now)
            stats.avoid_until = float("-inf")
        elif reply.reason == Reason.SNAPSHOT_MISSING:
            stats.missing_until_by_snapshot[snapshot] = now + SNAPSHOT_MISSING_S
        elif reply.reason not in BUSY_REASONS:
            stats.avoid_until = now + FAILURE_AVOID_S

    def note_min_latency(self, pool: str, server: str, min_latency_s: float) -> None:
        """Record a lower bound on latency, from a sub-request that was cancelled unanswered."""
        now = self._clock.now()
        stats = self._stats(pool, server)
        if now - stats.sampled_at > STALE_AFTER_S:
            stats.latency_s = max(min_latency_s, stats.latency_s / 2)
            stats.sampled_at = now
        elif min_latency_s > stats.latency_s:
            self._update_latency(stats, min_latency_s, now)

    def _update_latency(self, stats: _ServerStats, latency_s: float, now: float) -> None:
        if now - stats.sampled_at > STALE_AFTER_S:
            stats.latency_s = latency_s
        # Cap outliers: one stalled request says little about a server, and a run of slow ones
        # still moves the average quickly.
        sample_s = min(latency_s, MAX_SAMPLE_RATIO * stats.latency_s)
        stats.latency_s += LATENCY_SMOOTHING * (sample_s - stats.latency_s)
        stats.sampled_at = now

    def _cost(self, stats: _ServerStats, slots: int, now: float) -> float:
        stale = now - stats.sampled_at > STALE_AFTER_S
        latency_s = DEFAULT_LATENCY_S if stale else stats.latency_s
        waiting = (stats.outstanding + stats.depth) / slots
        cost = latency_s * (1 + waiting) * (1 + COST_JITTER * self._rng.random())
        return cost + (AVOID_PENALTY_S if now < stats.avoid_until else 0.0)

    def _stats(self, pool: str, server: str) -> _ServerStats:
        key = (pool, server)
        stats = self._stats_by_server.get(key)
        if stats is None:
            stats = self._stats_by_server[key] = _ServerStats()
        return stats
