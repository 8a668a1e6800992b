"""Runs sub-requests on the backend servers that this process owns."""

from collections.abc import Callable

from loguru import logger

from bergamotgate.admission.job import Job
from bergamotgate.admission.server import OwnedServer
from bergamotgate.backend.connection import BackendConnector
from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.tables import Pool, Server, Tables
from bergamotgate.membership.confirmation import ViewConfirmation
from bergamotgate.metrics import Metrics
from bergamotgate.ownership.directory import OwnerDirectory, ServerGroup
from bergamotgate.ownership.lease import LeaseBook, WarmServer
from bergamotgate.ownership.share import NO_SHARE, Share, ShareKeeper
from bergamotgate.wire.generated.ttypes import Batch, Reason, SubRequest

__all__ = ["Owner"]

PAUSE_CHECK_INTERVAL_S = 0.2
MIN_PAUSE_S = 1.0
UNRESPONSIVE_WINDOW_S = 1.0
MIN_UNRESPONSIVE_SERVERS = 2

ServerKey = tuple[str, str]


class Owner:
    """Accepts sub-requests and queues them by backend server."""

    def __init__(
        self,
        directory: OwnerDirectory,
        shares: ShareKeeper,
        confirmation: ViewConfirmation,
        connector: BackendConnector,
        clock: Clock,
        metrics: Metrics,
    ):
        self._directory = directory
        self._shares = shares
        self._confirmation = confirmation
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("owner:", metrics.task_failures.labels("owner").inc)
        self._tables: Tables | None = None
        self._server_by_key: dict[ServerKey, OwnedServer] = {}
        self._warm_incarnation: Callable[[str, str], str | None] = lambda pool, server: None
        self._draining = False
        self._unresponsive_at_by_address: dict[str, float] = {}
        directory.on_change(self._release_lost)

    def follow_leases(self, leases: LeaseBook) -> None:
        """Wake queues when a lease begins; use first owners' reports of warm servers."""
        self._warm_incarnation = leases.reported_warm_incarnation
        leases.on_change(self.pump)

    async def close(self) -> None:
        """Release all servers and cancel all tasks, including running requests."""
        for owned in self._server_by_key.values():
            owned.release(Reason.SERVER_OUT)
        await self._tasks.close()

    def drain(self) -> None:
        """Accept no more work; running requests continue."""
        self._draining = True
        for owned in self._server_by_key.values():
            owned.release(Reason.NOT_OWNER)

    @property
    def running(self) -> int:
        """Number of sub-requests in progress at backend servers."""
        return sum(owned.running for owned in self._server_by_key.values())

    def owned(self) -> tuple[OwnedServer, ...]:
        """All backend servers that this process has queued jobs for and still tracks."""
        return tuple(self._server_by_key.values())

    def use_tables(self, tables: Tables) -> None:
        """Apply new tables: release servers that changed address, are gone or take no more work."""
        self._tables = tables
        for key, owned in list(self._server_by_key.items()):
            pool = tables.pool_by_name.get(key[0])
            server = pool.server_by_name.get(key[1]) if pool is not None else None
            if server is None or server.address != owned.server.address:
                owned.release(Reason.UNKNOWN_SERVER)
                del self._server_by_key[key]
            elif not tables.takes_work(server):
                owned.release(Reason.SERVER_OUT)
            else:
                owned.update(pool, server)

    def start(self) -> None:
        """Start to watch for pauses of this process."""
        self._tasks.keep_running(self._watch_for_pauses, self._clock)

    def pump(self) -> None:
        """Start jobs from every queue that can make progress."""
        for owned in self._server_by_key.values():
            owned.pump()

    def warm_servers(self) -> list[WarmServer]:
        """Warm backend servers, to be reported to the second owner."""
        return [
            WarmServer(owned.pool.name, owned.server.name, owned.warmth.incarnation)
            for owned in self._server_by_key.values()
            if owned.warmth.is_warm
        ]

    def submit(self, batch: Batch, item: SubRequest, job: Job) -> OwnedServer | None:
        """Queue a job and return its server, or decline it with a reason and return None."""
        reason = self._refusal_reason(batch, item)
        if reason is not None:
            job.decline(reason)
            return None
        owned = self._owned_server(batch.pool, item.server)
        owned.submit(job)
        return owned

    async def _watch_for_pauses(self) -> None:
        """Mark all servers cold after a process pause: their state may have changed meanwhile."""
        while True:
            checked_at = self._clock.now()
            await self._clock.sleep(PAUSE_CHECK_INTERVAL_S)
            if self._clock.now() - checked_at < MIN_PAUSE_S:
                continue
            logger.warning("owner: This process was paused; its servers count as cold.")
            for owned in self._server_by_key.values():
                owned.warmth.mark_cold()
                owned.close_idle()

    def _note_unresponsive(self, server: OwnedServer) -> None:
        """Close idle connections that can no longer be trusted.

        These are the connections of the unresponsive server, or of all servers if several are
        unresponsive.
        """
        server.close_idle()
        now = self._clock.now()
        self._unresponsive_at_by_address[server.server.address] = now
        recent = [
            at
            for at in self._unresponsive_at_by_address.values()
            if now - at < UNRESPONSIVE_WINDOW_S
        ]
        if len(recent) < MIN_UNRESPONSIVE_SERVERS:
            return
        self._unresponsive_at_by_address.clear()
        logger.warning("owner: Several servers are unresponsive; closing all idle connections.")
        for owned in self._server_by_key.values():
            owned.close_idle()

    def _refusal_reason(self, batch: Batch, item: SubRequest) -> Reason | None:
        if self._draining:
            return Reason.NOT_OWNER
        if self._tables is None or not self._confirmation.is_fresh():
            return Reason.VIEW_UNCONFIRMED
        pool = self._tables.pool_by_name.get(batch.pool)
        server = pool.server_by_name.get(item.server) if pool is not None else None
        if server is None:
            return Reason.UNKNOWN_SERVER
        if not self._tables.takes_work(server):
            return Reason.SERVER_OUT
        if self._share(pool, server).slots == 0:
            return Reason.OWNER_NOT_READY
        return None

    def _owned_server(self, pool_name: str, server_name: str) -> OwnedServer:
        key = (pool_name, server_name)
        owned = self._server_by_key.get(key)
        if owned is None:
            owned = self._make_server(key)
            self._server_by_key[key] = owned
        return owned

    def _make_server(self, key: ServerKey) -> OwnedServer:
        pool = self._tables.pool_by_name[key[0]]
        server = pool.server_by_name[key[1]]
        return OwnedServer(
            pool,
            server,
            lambda: self._current_share(key),
            lambda: self._warm_incarnation(*key),
            self._note_unresponsive,
            self._connector,
            self._clock,
            self._tasks,
            self._metrics,
        )

    def _current_share(self, key: ServerKey) -> Share:
        """The share at the time of use, also for work queued under an older view."""
        owned = self._server_by_key.get(key)
        if owned is None or self._draining or not self._confirmation.is_fresh():
            return NO_SHARE
        if not self._tables.takes_work(owned.server):
            return NO_SHARE
        return self._share(owned.pool, owned.server)

    def _share(self, pool: Pool, server: Server) -> Share:
        return self._shares.share(pool, self._group(pool, server))

    def _group(self, pool: Pool, server: Server) -> ServerGroup:
        return self._directory.group_of(pool, server)

    def _release_lost(self) -> None:
        """Release servers whose group is now owned by two other VMs."""
        own_groups = self._directory.own_groups()
        for key, owned in list(self._server_by_key.items()):
            if self._group(owned.pool, owned.server) not in own_groups:
                owned.release(Reason.NOT_OWNER)
                if not owned.running:
                    del self._server_by_key[key]
