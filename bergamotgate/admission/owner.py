"""All backend servers that this process may speak to."""

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

SLEEP_CHECK_S = 0.2
SLEPT_S = 1.0
SILENCE_SPAN_S = 1.0
SILENT_SERVERS = 2

ServerKey = tuple[str, str]


class Owner:
    """Takes sub-requests for the backend servers that this process owns."""

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
        self._tasks = TaskGroup("owner:")
        self._tables: Tables | None = None
        self._server_by_key: dict[ServerKey, OwnedServer] = {}
        self._told_warm: Callable[[str, str], str | None] = lambda pool, server: None
        self._draining = False
        self._silent_at_by_server: dict[str, float] = {}
        directory.on_change(self._release_lost)

    def follow_leases(self, leases: LeaseBook) -> None:
        """Wake queues when a lease begins, and take over what first owners told."""
        self._told_warm = leases.reported_warm_incarnation
        leases.on_change(self.pump)

    async def close(self) -> None:
        """Stop everything at once."""
        for owned in self._server_by_key.values():
            owned.release(Reason.SERVER_OUT)
        await self._tasks.close()

    def drain(self) -> None:
        """Take no more work; what runs goes on."""
        self._draining = True
        for owned in self._server_by_key.values():
            owned.release(Reason.NOT_OWNER)

    @property
    def running(self) -> int:
        """Sub-requests in progress at backend servers."""
        return sum(owned.running for owned in self._server_by_key.values())

    def owned(self) -> tuple[OwnedServer, ...]:
        """All backend servers that this process has spoken to."""
        return tuple(self._server_by_key.values())

    def use_tables(self, tables: Tables) -> None:
        """Take new tables: give up servers that changed or that take no more work."""
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
                owned.use(pool, server)

    def start(self) -> None:
        """Start to notice sleeps of this process."""
        self._tasks.start(self._notice_sleep())

    def pump(self) -> None:
        """Look again at every queue."""
        for owned in self._server_by_key.values():
            owned.pump()

    def warm_servers(self) -> list[WarmServer]:
        """Backend servers that are warm, for the second owner to know."""
        return [
            WarmServer(owned.pool.name, owned.server.name, owned.warmth.incarnation)
            for owned in self._server_by_key.values()
            if owned.warmth.is_warm
        ]

    def submit(self, batch: Batch, item: SubRequest, job: Job) -> OwnedServer | None:
        """Queue a job, or decline it with the reason; return where it went."""
        refusal = self._refusal(batch, item)
        if refusal is not None:
            job.decline(refusal)
            return None
        owned = self._owned_server(batch.pool, item.server)
        owned.submit(job)
        return owned

    async def _notice_sleep(self) -> None:
        """Take every server as cold after a sleep, as nothing is known of the time between."""
        while True:
            before = self._clock.now()
            await self._clock.sleep(SLEEP_CHECK_S)
            if self._clock.now() - before < SLEPT_S:
                continue
            logger.warning("owner: This process slept, its servers count as cold.")
            for owned in self._server_by_key.values():
                owned.warmth.chill()
                owned.close_idle()

    def _note_silence(self, silent: OwnedServer) -> None:
        """Trust no idle connection of a silent server; none of any when several went silent."""
        silent.close_idle()
        now = self._clock.now()
        self._silent_at_by_server[silent.server.address] = now
        recent = [at for at in self._silent_at_by_server.values() if now - at < SILENCE_SPAN_S]
        if len(recent) < SILENT_SERVERS:
            return
        self._silent_at_by_server.clear()
        logger.warning("owner: Several servers went silent, all idle connections are closed.")
        for owned in self._server_by_key.values():
            owned.close_idle()

    def _refusal(self, batch: Batch, item: SubRequest) -> Reason | None:
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
            lambda: self._told_warm(*key),
            self._note_silence,
            self._connector,
            self._clock,
            self._tasks,
            self._metrics,
        )

    def _current_share(self, key: ServerKey) -> Share:
        """The share at the moment of use, also for work that was queued under an older view."""
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
        """Give up servers whose group is now on two other VMs."""
        mine = self._directory.own_groups()
        for key, owned in list(self._server_by_key.items()):
            if self._group(owned.pool, owned.server) not in mine:
                owned.release(Reason.NOT_OWNER)
                if not owned.running:
                    del self._server_by_key[key]
