"""What a gateway knows of each backend server, to choose between the replicas of a shard."""

import random
from dataclasses import dataclass, field

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool, Snapshot, Tables
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.wire.generated.ttypes import Outcome, Reason, SubReply

__all__ = ["Candidate", "ReplicaTracker"]

BUSY_REASONS = frozenset({Reason.NO_FREE_SLOT, Reason.EXPIRED_IN_QUEUE, Reason.QUEUE_FULL})
SMOOTHING = 0.2
MOST_CHANGE = 3.0
FORGET_AFTER_S = 10.0
SNAPSHOT_MISSING_S = 3.0
AVOID_S = 0.5
AVOID_COST_S = 1.0
UNKNOWN_LATENCY_S = 0.01
JITTER = 0.1


@dataclass
class _Known:
    """Recent behaviour of one backend server."""

    latency_s: float = UNKNOWN_LATENCY_S
    seen_at: float = float("-inf")
    outstanding: int = 0
    depth: int = 0
    avoid_until: float = float("-inf")
    lacks_until_by_snapshot: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Candidate:
    """A replica that could serve a shard now.

    Attributes:
        server: Name of the backend server.
        vm: The VM that owns it.
    """

    server: str
    vm: str


class ReplicaTracker:
    """Chooses replicas by recent latency, queue and failures."""

    def __init__(self, directory: OwnerDirectory, clock: Clock, rng: random.Random):
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._known_by_server: dict[tuple[str, str], _Known] = {}

    def candidates(
        self, tables: Tables, pool: Pool, snapshot: Snapshot, shard: int, tried: set[str]
    ) -> list[Candidate]:
        """Replicas that could serve a shard, the best first.

        Args:
            tables: Tables in force.
            pool: Pool of the snapshot.
            snapshot: Pinned snapshot.
            shard: Number of the shard.
            tried: Names of servers to leave out.
        """
        now = self._clock.now()
        found = []
        for name in snapshot.servers_by_shard[shard]:
            server = pool.server_by_name[name]
            if name in tried or not tables.takes_work(server):
                continue
            vm = self._directory.serving_vm(self._directory.group_of(pool, server))
            known = self._known(pool.name, name)
            if vm is None or known.lacks_until_by_snapshot.get(snapshot.name, now) > now:
                continue
            found.append((self._cost(known, pool.slots, now), Candidate(name, vm)))
        found.sort(key=lambda entry: entry[0])
        return [candidate for _, candidate in found]

    def can_serve(self, tables: Tables, pool: Pool, snapshot: Snapshot) -> int:
        """Number of shards of a snapshot that some replica could serve now."""
        shards = range(len(snapshot.servers_by_shard))
        return sum(1 for s in shards if self.candidates(tables, pool, snapshot, s, set()))

    def usual_latency_s(self, pool: str, server: str) -> float:
        """Recent latency of a backend server, in seconds."""
        known = self._known(pool, server)
        stale = self._clock.now() - known.seen_at > FORGET_AFTER_S
        return UNKNOWN_LATENCY_S if stale else known.latency_s

    def note_sent(self, pool: str, server: str) -> None:
        """Count a sub-request on its way."""
        self._known(pool, server).outstanding += 1

    def note_dropped(self, pool: str, server: str) -> None:
        """Count a sub-request that was given up."""
        known = self._known(pool, server)
        known.outstanding = max(0, known.outstanding - 1)

    def note_reply(
        self, pool: str, server: str, snapshot: str, reply: SubReply, latency_s: float
    ) -> None:
        """Learn from a reply."""
        now = self._clock.now()
        known = self._known(pool, server)
        known.outstanding = max(0, known.outstanding - 1)
        known.depth = reply.depth or 0
        if reply.outcome == Outcome.ANSWERED:
            self._learn_latency(known, latency_s, now)
            known.avoid_until = float("-inf")
        elif reply.reason == Reason.SNAPSHOT_MISSING:
            known.lacks_until_by_snapshot[snapshot] = now + SNAPSHOT_MISSING_S
        elif reply.reason not in BUSY_REASONS:
            known.avoid_until = now + AVOID_S

    def note_slow(self, pool: str, server: str, at_least_s: float) -> None:
        """Learn that a reply takes longer than this, though it never came."""
        now = self._clock.now()
        known = self._known(pool, server)
        if now - known.seen_at > FORGET_AFTER_S:
            known.latency_s = max(at_least_s, known.latency_s / 2)
            known.seen_at = now
        elif at_least_s > known.latency_s:
            self._learn_latency(known, at_least_s, now)

    def _learn_latency(self, known: _Known, latency_s: float, now: float) -> None:
        if now - known.seen_at > FORGET_AFTER_S:
            known.latency_s = latency_s
        # One stalled request says little of a server; a row of slow ones moves the value quickly.
        sample_s = min(latency_s, MOST_CHANGE * known.latency_s)
        known.latency_s += SMOOTHING * (sample_s - known.latency_s)
        known.seen_at = now

    def _cost(self, known: _Known, slots: int, now: float) -> float:
        stale = now - known.seen_at > FORGET_AFTER_S
        latency_s = UNKNOWN_LATENCY_S if stale else known.latency_s
        waiting = (known.outstanding + known.depth) / slots
        cost = latency_s * (1 + waiting) * (1 + JITTER * self._rng.random())
        return cost + (AVOID_COST_S if now < known.avoid_until else 0.0)

    def _known(self, pool: str, server: str) -> _Known:
        key = (pool, server)
        known = self._known_by_server.get(key)
        if known is None:
            known = self._known_by_server[key] = _Known()
        return known
