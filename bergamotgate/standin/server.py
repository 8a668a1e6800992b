"""Model of one backend server: slots, connections, cold start, snapshots, and what really ran."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from zlib import crc32

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.clock import Clock

__all__ = ["RunRecord", "ServerBehaviour", "ServerLimits", "StandinServer", "answer_body"]

CRASH_MARK = b"crash-the-server"
COLD_NOTICE_S = 0.1
TOLD_NOTICE_S = 0.01


def answer_body(snapshot: str, shard: int, body: bytes) -> str:
    """What a server answers; it tells whose request, which shard and which version it was."""
    return f"{snapshot}/{shard}/{crc32(body):08x}"


@dataclass(frozen=True)
class ServerLimits:
    """What a server bears.

    Attributes:
        slots: Requests at a time when warm.
        connections: Open connections.
        cold_slots: Requests at a time in cold start.
        cold_answers: Answers after which it is warm.
        connect_s: Time to open a connection.
    """

    slots: int
    connections: int
    cold_slots: int = 1
    cold_answers: int = 10
    connect_s: float = 0.006


@dataclass
class ServerBehaviour:
    """How a server behaves at the moment; scenarios change it.

    Attributes:
        service_s: Usual time for a request.
        jitter: Random share added to it.
        slow_factor: Multiplies the time.
        stall_share: Share of requests that stall.
        stall_s: Length of a stall.
        draining: Whether it refuses all work.
        crashes_on_marker: Whether a body with the crash mark ends the process.
        returns_wrong_snapshot: Deliberate fault: answers from a version other than asked.
        reports_false_not_run: Deliberate fault: runs a request and says that it did not.
    """

    service_s: float = 0.01
    jitter: float = 0.5
    slow_factor: float = 1.0
    stall_share: float = 0.0
    stall_s: float = 0.5
    draining: bool = False
    crashes_on_marker: bool = True
    returns_wrong_snapshot: bool = False
    reports_false_not_run: bool = False


@dataclass(frozen=True)
class RunRecord:
    """One request that a server really started to run."""

    at: float
    identifier: str
    key: str
    snapshot: str
    shard: int
    body: bytes


@dataclass
class ServerObservations:
    """What a server saw; the proof of promises rests on this.

    Attributes:
        runs: Every request that it started.
        runs_by_key: How often each idempotency key ran.
        most_running: Most requests in progress at a time.
        most_connections: Most connections open at a time.
        over_slots: Arrivals beyond the slots.
        over_cold_slots: Arrivals beyond the cold allowance once its cold start could be known.
        over_connections: Connections beyond the limit.
        crashes: Times that a request ended the process.
    """

    runs: list[RunRecord] = field(default_factory=list)
    runs_by_key: Counter = field(default_factory=Counter)
    most_running: int = 0
    most_connections: int = 0
    over_slots: int = 0
    over_cold_slots: int = 0
    over_connections: int = 0
    crashes: int = 0


class StandinServer:
    """A backend server without its transport."""

    def __init__(
        self,
        name: str,
        limits: ServerLimits,
        clock: Clock,
        rng: random.Random,
        snapshots: set[str] | None = None,
    ):
        self.name = name
        self.limits = limits
        self.behaviour = ServerBehaviour()
        self.observed = ServerObservations()
        self.snapshots = snapshots if snapshots is not None else {""}
        self.up = True
        self.connections = 0
        self.running = 0
        self._clock = clock
        self._rng = rng
        self.incarnation = 1
        self._cold_left = 0
        self._cold_work_ended_s = 0.0
        self._cold_starts: list[float] = []
        self._told_cold_at: float | None = None
        self._ended = asyncio.Event()

    @property
    def cold(self) -> bool:
        """Whether it is in cold start."""
        return self._cold_left > 0

    def turn_cold(self) -> None:
        """Lose its caches without a word."""
        self._cold_left = self.limits.cold_answers
        self._cold_work_ended_s = 0.0
        self._cold_starts = []
        self._told_cold_at = None

    def crash(self) -> None:
        """End the process at once."""
        self.up = False
        self._ended.set()

    def restart(self) -> None:
        """Start a new process, cold."""
        self._ended.set()
        self._ended = asyncio.Event()
        self.up = True
        self.running = 0
        self.connections = 0
        self.incarnation += 1
        self.turn_cold()

    def connection_opened(self) -> int:
        """Count a connection; return the incarnation that it belongs to."""
        self.connections += 1
        self.observed.most_connections = max(self.observed.most_connections, self.connections)
        if self.connections > self.limits.connections:
            self.observed.over_connections += 1
        return self.incarnation

    def connection_closed(self, incarnation: int) -> None:
        """Count a connection's end, unless the process that had it is gone."""
        if incarnation == self.incarnation:
            self.connections -= 1

    async def run(self, request: BackendRequest) -> BackendReply | None:
        """Run a request; None when the process ended meanwhile."""
        refusal = self._refusal(request)
        if refusal is not None:
            return self._reply(request, b"", refusal)
        self._note_start(request)
        ended = self._ended
        self.running += 1
        started_at = self._clock.now()
        try:
            crashed = await self._work(request, ended)
        finally:
            if ended is self._ended:
                self.running -= 1
            if started_at in self._cold_starts:
                self._cold_starts.remove(started_at)
                self._cold_work_ended_s += self._clock.now() - started_at
        if crashed:
            return None
        if self._cold_left > 0:
            self._cold_left -= 1
        word = BackendNotRunReason.SHED if self.behaviour.reports_false_not_run else None
        return self._reply(request, self._answer(request), word)

    async def _work(self, request: BackendRequest, ended: asyncio.Event) -> bool:
        """Spend the service time; return whether the process ended."""
        if self.behaviour.crashes_on_marker and CRASH_MARK in request.body:
            await self._clock.sleep(self.behaviour.service_s / 2)
            self.observed.crashes += 1
            self.crash()
            return True
        try:
            async with self._clock.timeout(self._service_s()):
                await ended.wait()
        except TimeoutError:
            return False
        return True

    def _refusal(self, request: BackendRequest) -> BackendNotRunReason | None:
        if self.behaviour.draining:
            return BackendNotRunReason.DRAINING
        if request.snapshot not in self.snapshots:
            return BackendNotRunReason.SNAPSHOT_MISSING
        if self.running >= self.limits.slots:
            self.observed.over_slots += 1
            return BackendNotRunReason.SHED
        return None

    def _note_start(self, request: BackendRequest) -> None:
        now = self._clock.now()
        record = RunRecord(
            now, request.identifier, request.key, request.snapshot, request.shard, request.body
        )
        self.observed.runs.append(record)
        if request.key:
            self.observed.runs_by_key[request.key] += 1
        self.observed.most_running = max(self.observed.most_running, self.running + 1)
        if not self.cold:
            return
        if self._cold_is_known(now) and self.running >= self.limits.cold_slots:
            self.observed.over_cold_slots += 1
        self._cold_starts.append(now)

    def _cold_is_known(self, now: float) -> bool:
        """Whether a careful owner knows by now: from a reply, or from replies that do not come.

        A server that turned cold without a word gives no sign but the time that requests spend
        there without answer, those that were given up included.
        """
        if self._told_cold_at is not None and now - self._told_cold_at > TOLD_NOTICE_S:
            return True
        unanswered_s = self._cold_work_ended_s + sum(now - start for start in self._cold_starts)
        return unanswered_s > COLD_NOTICE_S

    def _service_s(self) -> float:
        behaviour = self.behaviour
        seconds = behaviour.service_s * (1 + behaviour.jitter * self._rng.random())
        seconds *= behaviour.slow_factor
        if self.cold:
            seconds *= 2 * (1 + self.running)
        if self._rng.random() < behaviour.stall_share:
            seconds += behaviour.stall_s
        return seconds

    def _answer(self, request: BackendRequest) -> bytes:
        return answer_body(request.snapshot, request.shard, request.body).encode()

    def _reply(
        self, request: BackendRequest, body: bytes, not_run: BackendNotRunReason | None
    ) -> BackendReply:
        if self.cold and self._told_cold_at is None:
            self._told_cold_at = self._clock.now()
        snapshot = request.snapshot
        if self.behaviour.returns_wrong_snapshot:
            snapshot = next((s for s in sorted(self.snapshots) if s != snapshot), snapshot)
        return BackendReply(
            not_run=not_run,
            failed=False,
            snapshot=snapshot,
            incarnation=f"{self.name}-{self.incarnation}",
            cold=self.cold,
            body=body,
        )
