"""One backend server at its owner: its queue, its slots and its connections."""

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
    BackendNotRunReason,
    BackendReply,
    BackendRequest,
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
LINGER_UNRESPONSIVE_S = 30.0
# How long a cancelled or timed-out request keeps its slot: the server may notice the closed
# connection only after the next request arrives. Covers several iterations of a busy server's event
# loop.
SLOT_LINGER_S = 0.05
UNRESPONSIVE_FACTOR = 4.0
MIN_SERVICE_SHARE = 0.8
CONNECT_BACKOFF_S = 0.1
RECHECK_S = 0.1

REASON_BY_NOT_RUN = {
    BackendNotRunReason.SHED: Reason.SERVER_SHED,
    BackendNotRunReason.DRAINING: Reason.SERVER_DRAINING,
    BackendNotRunReason.SNAPSHOT_MISSING: Reason.SNAPSHOT_MISSING,
    BackendNotRunReason.EXPIRED: Reason.EXPIRED_IN_QUEUE,
}
# Reasons after which the server may still be processing the request.
MAYBE_RUNNING_REASONS = (Reason.CANCELLED_RUNNING, Reason.TIMED_OUT)
SHEDDING_NOT_RUN = (BackendNotRunReason.SHED, BackendNotRunReason.DRAINING)


class OwnedServer:
    """Sends jobs to one backend server within this process's share of its limits.

    Each running job has a connection and a task of its own.
    """

    def __init__(
        self,
        pool: Pool,
        server: Server,
        share: Callable[[], Share],
        warm_incarnation: Callable[[], str | None],
        on_unresponsive: Callable[["OwnedServer"], None],
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
        self._warm_incarnation = warm_incarnation
        self._on_unresponsive = on_unresponsive
        self._held_since = NO_SHARE.since
        self._connector = connector
        self._clock = clock
        self._tasks = tasks
        self._metrics = metrics
        self._idle: deque[tuple[BackendConnection, float]] = deque()
        self._lingering: deque[float] = deque()
        self._open = 0
        self._recheck_task: asyncio.Task | None = None
        self._backoff_until = float("-inf")

    def update(self, pool: Pool, server: Server) -> None:
        """Apply the settings of new tables for the same server."""
        self.pool = pool
        self.server = server
        self.pressure.resize(pool.slots)
        self.warmth.warm_after = pool.warm_after

    def submit(self, job: Job) -> None:
        """Queue or decline a job; the result is delivered to its callback."""
        if job.only_if_free and not self._has_free_slot():
            job.decline(Reason.NO_FREE_SLOT, self.depth)
            return
        if self._has_no_cold_share():
            job.decline(Reason.OWNER_NOT_READY)
            return
        self.queue.push(job)
        self.pump()

    def cancel(self, job: Job) -> None:
        """Cancel a job: remove it from the queue, or close its connection if it is running."""
        if job.stage is JobStage.QUEUED:
            self.queue.cancel(job)
        elif job.stage is JobStage.RUNNING:
            job.stage = JobStage.DONE
            self.warmth.note_cancelled(self._clock.now() - job.started_at)
            if self._may_close():
                job.connection.close()

    def allowance(self) -> int:
        """Maximum number of requests in progress at this moment."""
        share = self._share()
        known_warm = self.warmth.is_warm and not self.warmth.may_be_cold
        slots = share.slots if known_warm else share.cold_slots
        if self._clock.now() < self._backoff_until:
            return 0
        return min(slots, self.pressure.limit())

    def pump(self) -> None:
        """Start as many waiting jobs as the allowance and the connections permit."""
        while len(self.queue) and self.running < self.allowance():
            if not self._idle and not self._may_open():
                break
            job = self.queue.pop(self._clock.now(), MIN_SERVICE_SHARE * self.warmth.mean_service_s)
            if job is None:
                break
            self._start(job)
        if len(self.queue) and self._recheck_task is None:
            self._recheck_task = self._tasks.start(self._recheck_queue())

    def _has_no_cold_share(self) -> bool:
        """Whether the server is cold and this process has no share of its cold-start slots."""
        share = self._share()
        return not self.warmth.is_warm and share.cold_slots == 0

    def close_idle(self) -> None:
        """Close connections that no request uses."""
        while self._idle:
            self._discard(self._idle.popleft()[0], LINGER_CLOSED_S)

    def release(self, reason: Reason) -> None:
        """Release the server: decline waiting jobs and let running ones finish."""
        self.queue.decline_all(reason)
        self.close_idle()

    @property
    def depth(self) -> int:
        """Number of jobs waiting or running."""
        return len(self.queue) + self.running

    @property
    def open_connections(self) -> int:
        """Number of connections that the server may still count as open."""
        self._prune_lingering()
        return self._open + len(self._lingering)

    def _share(self) -> Share:
        """The current share; resets the warmth whenever this process begins to hold the server."""
        share = self._current_share()
        if share.slots and share.since != self._held_since:
            self._held_since = share.since
            self._reset_warmth()
        return share

    def _reset_warmth(self) -> None:
        incarnation = self._warm_incarnation()
        if incarnation is None:
            self.warmth.mark_cold()
        else:
            self.warmth.mark_warm(incarnation)

    def _has_free_slot(self) -> bool:
        return not len(self.queue) and self.running < self.allowance()

    async def _recheck_queue(self) -> None:
        """Recheck a blocked queue after a delay, since nothing else may wake it."""
        next_deadline = self.queue.next_deadline()
        await self._clock.sleep(min(RECHECK_S, max(0.0, next_deadline - self._clock.now())))
        self._recheck_task = None
        self.queue.expire(self._clock.now())
        if self._has_no_cold_share():
            self.queue.decline_all(Reason.OWNER_NOT_READY)
        self.pump()

    def _start(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        job.started_at = self._clock.now()
        job.connection = self._acquire_connection(job.repeatable)
        self.running += 1
        self._tasks.start(self._run(job))

    def _acquire_connection(self, repeatable: bool) -> BackendConnection:
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
            if result.reason in MAYBE_RUNNING_REASONS:
                await self._clock.sleep(SLOT_LINGER_S)
        finally:
            self.running -= 1
        self.pump()

    async def _exchange(self, job: Job, connection: BackendConnection) -> JobResult:
        """Run a job on a connection, then keep or discard the connection."""
        wait_s = job.started_at - job.arrived_at
        linger_s: float | None = LINGER_CLOSED_S
        try:
            reply = await connection.exchange(self._request(job))
            result = self._interpret_reply(job, reply)
            if self._may_keep(job, result):
                linger_s = None
        except ConnectionRefused:
            self._backoff_until = self._clock.now() + CONNECT_BACKOFF_S
            self.warmth.mark_cold()
            result = JobResult(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        except ConnectionDied:
            result = JobResult(Outcome.UNKNOWN, self._connection_died_reason(job))
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
        """How long the server may still count a connection as open after a timeout, in seconds.

        A connection without a reply for several mean service times counts as unresponsive, and the
        server may never see it closed. After a shorter wait the server counts as merely slow.
        """
        waited_s = self._clock.now() - job.started_at
        if waited_s < UNRESPONSIVE_FACTOR * self.warmth.mean_service_s:
            return LINGER_SLOW_S
        self._on_unresponsive(self)
        return LINGER_UNRESPONSIVE_S

    def _may_keep(self, job: Job, result: JobResult) -> bool:
        """Whether the connection may carry another request.

        Cancelling a job while its reply arrives closes the connection.
        """
        right_snapshot = result.reason is not Reason.SNAPSHOT_MISMATCH
        return job.repeatable and right_snapshot and job.stage is JobStage.RUNNING

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

    def _interpret_reply(self, job: Job, reply: BackendReply) -> JobResult:
        if reply.not_run is not None:
            if reply.not_run in SHEDDING_NOT_RUN:
                self.pressure.note_shed()
            if reply.cold:
                self.warmth.mark_cold()
            return JobResult(Outcome.NOT_RUN, REASON_BY_NOT_RUN[reply.not_run])
        service_s = self._clock.now() - job.started_at
        self.warmth.note_answer(reply.incarnation, reply.cold, service_s)
        self.pressure.note_answer()
        if reply.failed:
            return JobResult(Outcome.UNKNOWN, Reason.SERVER_ERROR)
        if reply.snapshot != job.snapshot:
            return JobResult(Outcome.UNKNOWN, Reason.SNAPSHOT_MISMATCH)
        return JobResult(Outcome.ANSWERED, body=reply.body)

    def _connection_died_reason(self, job: Job) -> Reason:
        if job.stage is JobStage.DONE:
            return Reason.CANCELLED_RUNNING
        self.warmth.mark_cold()
        return Reason.CONNECTION_DIED

    def _may_open(self) -> bool:
        return self.open_connections < self._share().connections

    def _may_close(self) -> bool:
        """Whether the connection limit leaves room to replace one that is closed while in use."""
        return self.open_connections + 1 < self._share().connections

    def _discard(self, connection: BackendConnection, linger_s: float) -> None:
        connection.close()
        self._open -= 1
        self._lingering.append(self._clock.now() + linger_s)
        self._metrics.connections.labels(self.pool.name, "closed").inc()

    def _prune_lingering(self) -> None:
        now = self._clock.now()
        if self._lingering and min(self._lingering) <= now:
            self._lingering = deque(until for until in self._lingering if until > now)
