"""One backend server at its owner: its queue, its slots and one task for each connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from bergamotgate.admission.job import Job, JobResult, JobStage
from bergamotgate.admission.pressure import Pressure
from bergamotgate.admission.queue import JobQueue
from bergamotgate.admission.warmth import Warmth
from bergamotgate.backend.connection import (
    BackendConnection,
    BackendConnector,
    BackendReply,
    BackendRequest,
    NotRunWord,
)
from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.config.tables import Pool, Server
from bergamotgate.errors import ConnectionDied, ConnectionRefused, ExchangeTimedOut, WrongReply
from bergamotgate.metrics import Metrics
from bergamotgate.ownership.share import NO_SHARE, Share
from bergamotgate.wire.generated.ttypes import Outcome, Reason

__all__ = ["OwnedServer"]

MAX_IDLE_S = 30.0
LINGER_CLOSED_S = 0.25
LINGER_SLOW_S = 1.0
LINGER_SILENT_S = 30.0
# A run that is given up keeps its slot so long: the server sees the closed connection later than
# the next request may reach it. Several turns of a busy server's event loop.
SLOT_LINGER_S = 0.05
SILENT_FACTOR = 4.0
WORTH_SHARE = 0.8
CONNECT_REST_S = 0.1
RECHECK_S = 0.1

REASON_BY_WORD = {
    NotRunWord.SHED: Reason.SERVER_SHED,
    NotRunWord.DRAINING: Reason.SERVER_DRAINING,
    NotRunWord.SNAPSHOT_MISSING: Reason.SNAPSHOT_MISSING,
    NotRunWord.EXPIRED: Reason.EXPIRED_IN_QUEUE,
}
# Outcomes after which the server may still be at work on the request.
GIVEN_UP_REASONS = (Reason.CANCELLED_RUNNING, Reason.TIMED_OUT)
SHEDDING_WORDS = (NotRunWord.SHED, NotRunWord.DRAINING)


class OwnedServer:
    """Sends jobs to one backend server within this process's share of its limits."""

    def __init__(
        self,
        pool: Pool,
        server: Server,
        share: Callable[[], Share],
        told_warm: Callable[[], str | None],
        on_silence: Callable[["OwnedServer"], None],
        connector: BackendConnector,
        clock: Clock,
        tasks: TaskGroup,
        metrics: Metrics,
    ):
        self.pool = pool
        self.server = server
        self.warmth = Warmth(pool.warm_after)
        self.pressure = Pressure(pool.slots, clock)
        self.queue = JobQueue()
        self.running = 0
        self._current_share = share
        self._told_warm = told_warm
        self._on_silence = on_silence
        self._held_since = NO_SHARE.since
        self._connector = connector
        self._clock = clock
        self._tasks = tasks
        self._metrics = metrics
        self._idle: deque[tuple[BackendConnection, float]] = deque()
        self._lingering: deque[float] = deque()
        self._open = 0
        self._recheck: asyncio.Task | None = None
        self._rest_until = float("-inf")

    def use(self, pool: Pool, server: Server) -> None:
        """Take what new tables say of the same server."""
        self.pool = pool
        self.server = server
        self.pressure.resize(pool.slots)
        self.warmth.warm_after = pool.warm_after

    def submit(self, job: Job) -> None:
        """Take in a job; its result comes by its callback."""
        if job.only_if_free and not self._has_free_slot():
            job.decline(Reason.NO_FREE_SLOT, self.depth)
            return
        if self._may_never_send():
            job.decline(Reason.OWNER_NOT_READY)
            return
        self.queue.push(job)
        self.pump()

    def cancel(self, job: Job) -> None:
        """Give up a job: take it out of the queue, or close its connection when it runs."""
        if job.stage is JobStage.QUEUED:
            self.queue.cancel(job)
        elif job.stage is JobStage.RUNNING:
            job.stage = JobStage.DONE
            self.warmth.note_cancelled(self._clock.now() - job.started_at)
            if self._may_close():
                job.connection.close()

    def allowance(self) -> int:
        """Requests that may be in progress now."""
        share = self._share()
        sure = self.warmth.is_warm and not self.warmth.may_be_cold
        slots = share.slots if sure else share.cold_slots
        if self._clock.now() < self._rest_until:
            return 0
        return min(slots, self.pressure.limit())

    def pump(self) -> None:
        """Start as many waiting jobs as the allowance and the connections let."""
        while len(self.queue) and self.running < self.allowance():
            if not self._idle and not self._may_open():
                break
            job = self.queue.pop(self._clock.now(), WORTH_SHARE * self.warmth.usual_s)
            if job is None:
                break
            self._start(job)
        if len(self.queue) and self._recheck is None:
            self._recheck = self._tasks.start(self._check_again())

    def _may_never_send(self) -> bool:
        """Whether this process has no part of a cold server's allowance."""
        share = self._share()
        return not self.warmth.is_warm and share.cold_slots == 0

    def close_idle(self) -> None:
        """Close connections that no request uses."""
        while self._idle:
            self._discard(self._idle.popleft()[0], LINGER_CLOSED_S)

    def release(self, reason: Reason) -> None:
        """Give the server up: decline what waits, let finish what runs."""
        self.queue.decline_all(reason)
        self.close_idle()

    @property
    def depth(self) -> int:
        """Jobs that wait or run."""
        return len(self.queue) + self.running

    @property
    def open_connections(self) -> int:
        """Connections that the server may still count as open."""
        self._forget_lingering()
        return self._open + len(self._lingering)

    def _share(self) -> Share:
        """The share now; at the start of each holding the server's state is taken anew."""
        share = self._current_share()
        if share.slots and share.since != self._held_since:
            self._held_since = share.since
            self._begin_holding()
        return share

    def _begin_holding(self) -> None:
        incarnation = self._told_warm()
        if incarnation is None:
            self.warmth.chill()
        else:
            self.warmth.trust(incarnation)

    def _has_free_slot(self) -> bool:
        return not len(self.queue) and self.running < self.allowance()

    async def _check_again(self) -> None:
        """Look again at a queue that cannot move now; nothing else may wake it."""
        next_deadline = self.queue.next_deadline()
        await self._clock.sleep(min(RECHECK_S, max(0.0, next_deadline - self._clock.now())))
        self._recheck = None
        self.queue.expire(self._clock.now())
        if self._may_never_send():
            self.queue.decline_all(Reason.OWNER_NOT_READY)
        self.pump()

    def _start(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        job.started_at = self._clock.now()
        job.connection = self._take_connection(job.repeatable)
        self.running += 1
        self._tasks.start(self._run(job))

    def _take_connection(self, repeatable: bool) -> BackendConnection:
        now = self._clock.now()
        while self._idle:
            connection, idle_since = self._idle.pop()
            if repeatable and now - idle_since < MAX_IDLE_S:
                return connection
            self._discard(connection, LINGER_CLOSED_S)
        self._open += 1
        self._metrics.connections.labels(self.pool.name, "opened").inc()
        return self._connector.open(self.server.address)

    async def _run(self, job: Job) -> None:
        connection = job.connection
        try:
            result = await self._exchange(job, connection)
            job.finish(result)
            if result.reason in GIVEN_UP_REASONS:
                await self._clock.sleep(SLOT_LINGER_S)
        finally:
            self.running -= 1
        self.pump()

    async def _exchange(self, job: Job, connection: BackendConnection) -> JobResult:
        """Run one job on one connection and settle what becomes of both."""
        wait_s = job.started_at - job.arrived_at
        linger_s: float | None = LINGER_CLOSED_S
        try:
            reply = await connection.exchange(self._request(job))
            result = self._judge(job, reply)
            if self._may_keep(job, result):
                linger_s = None
        except ConnectionRefused:
            self._rest_until = self._clock.now() + CONNECT_REST_S
            self.warmth.chill()
            result = JobResult(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        except ConnectionDied:
            result = JobResult(Outcome.UNKNOWN, self._death_reason(job))
        except ExchangeTimedOut:
            linger_s = self._linger_after_timeout(job)
            result = JobResult(Outcome.UNKNOWN, Reason.TIMED_OUT)
        except WrongReply:
            result = JobResult(Outcome.UNKNOWN, Reason.WRONG_REPLY)
        if linger_s is None:
            self._idle.append((connection, self._clock.now()))
        else:
            self._discard(connection, linger_s)
        service_s = self._clock.now() - job.started_at
        return replace(result, wait_s=wait_s, service_s=service_s, depth=self.depth - 1)

    def _linger_after_timeout(self, job: Job) -> float:
        """How long the server may go on counting a connection that gave no reply in time.

        A connection that stayed mute for several usual service times has gone silent, and the
        server may not even see it closed. With less time than that the server was merely slow.
        """
        waited_s = self._clock.now() - job.started_at
        if waited_s < SILENT_FACTOR * self.warmth.usual_s:
            return LINGER_SLOW_S
        self._on_silence(self)
        return LINGER_SILENT_S

    def _may_keep(self, job: Job, result: JobResult) -> bool:
        """Whether the connection may carry another request.

        A job that was cancelled while its reply came in has closed its connection.
        """
        trusted = result.reason is not Reason.SNAPSHOT_MISMATCH
        return job.repeatable and trusted and job.stage is JobStage.RUNNING

    def _request(self, job: Job) -> BackendRequest:
        return BackendRequest(
            identifier=job.identifier,
            pool=self.pool.name,
            snapshot=job.snapshot,
            shard=job.shard,
            budget_ms=max(1, milliseconds(job.deadline - self._clock.now())),
            repeatable=job.repeatable,
            key=job.key,
            body=job.body,
        )

    def _judge(self, job: Job, reply: BackendReply) -> JobResult:
        if reply.not_run is not None:
            if reply.not_run in SHEDDING_WORDS:
                self.pressure.note_shed()
            if reply.cold:
                self.warmth.chill()
            return JobResult(Outcome.NOT_RUN, REASON_BY_WORD[reply.not_run])
        service_s = self._clock.now() - job.started_at
        self.warmth.note_answer(reply.incarnation, reply.cold, service_s)
        self.pressure.note_answer()
        if reply.failed:
            return JobResult(Outcome.UNKNOWN, Reason.SERVER_ERROR)
        if reply.snapshot != job.snapshot:
            return JobResult(Outcome.UNKNOWN, Reason.SNAPSHOT_MISMATCH)
        return JobResult(Outcome.ANSWERED, body=reply.body)

    def _death_reason(self, job: Job) -> Reason:
        if job.stage is JobStage.DONE:
            return Reason.CANCELLED_RUNNING
        self.warmth.chill()
        return Reason.CONNECTION_DIED

    def _may_open(self) -> bool:
        return self.open_connections < self._share().connections

    def _may_close(self) -> bool:
        """Whether there is room to replace a connection that is closed in use."""
        return self.open_connections + 1 < self._share().connections

    def _discard(self, connection: BackendConnection, linger_s: float) -> None:
        connection.close()
        self._open -= 1
        self._lingering.append(self._clock.now() + linger_s)
        self._metrics.connections.labels(self.pool.name, "closed").inc()

    def _forget_lingering(self) -> None:
        now = self._clock.now()
        if self._lingering and min(self._lingering) <= now:
            self._lingering = deque(until for until in self._lingering if until > now)
