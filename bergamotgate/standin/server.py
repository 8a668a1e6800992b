"""Simulates one backend server without its transport and records every request that it ran."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from zlib import crc32

from bergamotgate.backend.connection import BackendNotRunReason, BackendReply, BackendRequest
from bergamotgate.clock import Clock

__all__ = ["RunRecord", "ServerBehaviour", "ServerLimits", "StandinServer", "answer_body"]

CRASH_MARKER = b"crash-the-server"
COLD_DETECTION_S = 0.1  # unanswered work from which an owner can infer a cold start
COLD_REPORT_DELAY_S = 0.01  # until the owner has processed a reply that reports a cold start


def answer_body(snapshot: str, shard: int, body: bytes) -> str:
    """The body of an answer; it identifies the request, the shard and the snapshot."""
    return f"{snapshot}/{shard}/{crc32(body):08x}"


@dataclass(frozen=True)
class ServerLimits:
    """Capacity limits of a server.

    Attributes:
        slots: Maximum number of concurrent requests once warm.
        connections: Maximum number of open connections.
        cold_slots: Maximum number of concurrent requests during cold start.
        cold_answers: Number of answers that end a cold start.
        connect_s: Time to open a connection, in seconds.
    """

    slots: int
    connections: int
    cold_slots: int = 1
    cold_answers: int = 10
    connect_s: float = 0.006


@dataclass
class ServerBehaviour:
    """Current behaviour of a server, which scenarios change.

    Attributes:
        service_s: Minimum service time of a request when warm, in seconds.
        jitter: Maximum random share of ``service_s`` that is added to it.
        slow_factor: Factor on the service time.
        stall_share: Share of requests that stall.
        stall_s: Duration of a stall, in seconds.
        draining: Whether the server refuses all requests.
        crashes_on_marker: Whether a body that contains ``CRASH_MARKER`` crashes the server.
        returns_wrong_snapshot: Injected fault: replies name a snapshot other than requested.
        reports_false_not_run: Injected fault: replies deny that a request ran although it did.
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
    """A request that a server started to run.

    Attributes:
        at: Start time, in seconds.
        identifier: Identifier of the sub-request.
        key: Idempotency key, or empty.
        snapshot: Requested snapshot.
        shard: Requested shard.
        body: Request body.
    """

    at: float
    identifier: str
    key: str
    snapshot: str
    shard: int
    body: bytes


@dataclass
class ServerObservations:
    """What a server observed; the invariant checks rely on it.

    Attributes:
        runs: All requests that the server started to run.
        runs_by_key: Number of runs by idempotency key.
        most_running: Maximum number of concurrent requests.
        most_connections: Maximum number of open connections.
        over_slots: Number of requests that arrived while all slots were taken.
        over_cold_slots: Number of requests beyond the cold slots that arrived once the owner could
            know of the cold start.
        over_connections: Number of connections opened beyond the limit.
        crashes: Number of crashes caused by requests.
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
    """A simulated backend server without its transport.

    Attributes:
        name: Name of the server.
        limits: Capacity limits.
        behaviour: Current behaviour.
        observed: What the server observed since it was created, across restarts.
        snapshots: Names of the snapshots that it holds.
        up: Whether the process runs.
        connections: Number of open connections.
        running: Number of requests in progress.
        incarnation: Number of the current process, from 1.
    """

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
        self._cold_answers_left = 0
        self._cold_ended_work_s = 0.0
        self._cold_started_at: list[float] = []
        self._cold_reported_at: float | None = None
        self._process_ended = asyncio.Event()

    @property
    def cold(self) -> bool:
        """Whether the server is in cold start."""
        return self._cold_answers_left > 0

    def turn_cold(self) -> None:
        """Begin a cold start in the same process, as after losing its caches, without a report."""
        self._cold_answers_left = self.limits.cold_answers
        self._cold_ended_work_s = 0.0
        self._cold_started_at = []
        self._cold_reported_at = None

    def crash(self) -> None:
        """End the process immediately."""
        self.up = False
        self._process_ended.set()

    def restart(self) -> None:
        """Start a new process, which begins with a cold start."""
        self._process_ended.set()
        self._process_ended = asyncio.Event()
        self.up = True
        self.running = 0
        self.connections = 0
        self.incarnation += 1
        self.turn_cold()

    def connection_opened(self) -> int:
        """Count an opened connection; return the incarnation that it belongs to."""
        self.connections += 1
        self.observed.most_connections = max(self.observed.most_connections, self.connections)
        if self.connections > self.limits.connections:
            self.observed.over_connections += 1
        return self.incarnation

    def connection_closed(self, incarnation: int) -> None:
        """Count a closed connection, unless it belongs to an earlier incarnation."""
        if incarnation == self.incarnation:
            self.connections -= 1

    async def run(self, request: BackendRequest) -> BackendReply | None:
        """Run a request; return None if the process ended before it completed."""
        refusal = self._refusal(request)
        if refusal is not None:
            return self._reply(request, b"", refusal)
        self._note_start(request)
        process_ended = self._process_ended
        self.running += 1
        started_at = self._clock.now()
        try:
            crashed = await self._work(request, process_ended)
        finally:
            if process_ended is self._process_ended:
                self.running -= 1
            if started_at in self._cold_started_at:
                self._cold_started_at.remove(started_at)
                self._cold_ended_work_s += self._clock.now() - started_at
        if crashed:
            return None
        if self._cold_answers_left > 0:
            self._cold_answers_left -= 1
        not_run = BackendNotRunReason.SHED if self.behaviour.reports_false_not_run else None
        return self._reply(request, self._answer(request), not_run)

    async def _work(self, request: BackendRequest, process_ended: asyncio.Event) -> bool:
        """Wait for the service time; return whether the process ended."""
        if self.behaviour.crashes_on_marker and CRASH_MARKER in request.body:
            await self._clock.sleep(self.behaviour.service_s / 2)
            self.observed.crashes += 1
            self.crash()
            return True
        try:
            async with self._clock.timeout(self._service_s()):
                await process_ended.wait()
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
        if self._cold_is_detectable(now) and self.running >= self.limits.cold_slots:
            self.observed.over_cold_slots += 1
        self._cold_started_at.append(now)

    def _cold_is_detectable(self, now: float) -> bool:
        """Whether the owner can know of the cold start, from a reply or from missing replies.

        A server that does not report its cold start shows it only by the time that requests wait
        for a reply, including requests that were cancelled.
        """
        if (
            self._cold_reported_at is not None
            and now - self._cold_reported_at > COLD_REPORT_DELAY_S
        ):
            return True
        unanswered_s = self._cold_ended_work_s + sum(now - start for start in self._cold_started_at)
        return unanswered_s > COLD_DETECTION_S

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
        if self.cold and self._cold_reported_at is None:
            self._cold_reported_at = self._clock.now()
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
