"""Assembles the components of one process and starts, drains and closes them."""

import random
from dataclasses import dataclass

from loguru import logger

from bergamotgate.admission.owner import Owner
from bergamotgate.backend.connection import BackendConnector
from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.follower import WATCHERS_PER_ZONE, Follower
from bergamotgate.config.service import ConfigurationService, VmListService
from bergamotgate.config.tables import Tables
from bergamotgate.config.tablestore import TableStore
from bergamotgate.front.addresses import AddressDirectory
from bergamotgate.front.handler import CallerRequestHandler
from bergamotgate.gather.dispatcher import Dispatcher
from bergamotgate.gather.gatherer import Gatherer
from bergamotgate.gather.replicas import ReplicaTracker
from bergamotgate.keeper.book import KeeperBook
from bergamotgate.membership.confirmation import ViewConfirmation
from bergamotgate.membership.liststore import VmListStore
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.prober import Prober
from bergamotgate.membership.vmlist import VmList
from bergamotgate.metrics import Metrics
from bergamotgate.node.catchup import CatchUp
from bergamotgate.node.peerserver import PeerServer
from bergamotgate.node.status import node_status
from bergamotgate.ownership.directory import MAX_SETTLE_S, OwnerDirectory
from bergamotgate.ownership.lease import LeaseBook
from bergamotgate.ownership.rendezvous import rank
from bergamotgate.ownership.share import ShareKeeper
from bergamotgate.quarantine.book import QuarantineBook
from bergamotgate.settings import Settings
from bergamotgate.wire.links import Links
from bergamotgate.wire.network import Network
from bergamotgate.wire.port import PeerPort

__all__ = ["Node", "NodeServices"]

JOIN_PEERS = 5
JOIN_WAIT_S = 0.5
JOIN_CHECK_INTERVAL_S = 0.05
DRAIN_CHECK_INTERVAL_S = 0.05
LEAVE_GRACE_S = 1.0
MIN_SETTLE_S = 0.5


@dataclass(frozen=True)
class NodeServices:
    """External services that a node uses.

    Attributes:
        configuration: The platform's configuration service.
        vm_list: The platform's VM list.
        network: Transport to other nodes.
        connector: Opens connections to backend servers.
        clock: Source of time.
        rng: Source of random numbers.
        boot: Start of the process, in milliseconds since 1970.
    """

    configuration: ConfigurationService
    vm_list: VmListService
    network: Network
    connector: BackendConnector
    clock: Clock
    rng: random.Random
    boot: int


class Node:
    """A process that serves callers' requests and owns a share of the backend servers.

    Attributes:
        handler: Handles callers' requests.
        metrics: Metrics of this process.
    """

    def __init__(self, settings: Settings, services: NodeServices):
        self.settings = settings
        self._services = services
        clock = services.clock
        self.metrics = Metrics()
        own = Member(
            settings.vm,
            settings.zone,
            settings.peer,
            settings.http,
            services.boot,
            0,
            MemberState.ALIVE,
        )
        self.members = MemberTable(own)
        self._joined = False
        self.confirmation = ViewConfirmation(clock)
        self.port = PeerPort(settings.vm, services.boot, self.metrics)
        self.links = Links(settings.vm, services.boot, services.network, clock, self.metrics)
        self.tables = TableStore(self.metrics)
        self.vm_lists = VmListStore(self.metrics)
        self.prober = Prober(
            self.members,
            self.port,
            services.network,
            clock,
            services.rng,
            self.confirmation,
            self.metrics,
        )
        self._make_owner_components(clock)
        self._make_caller_components(clock)
        self._catchup = CatchUp(self.tables, self.vm_lists, self.links)
        self.port.subscribe(self._catchup.receive)
        self._peer_server = PeerServer(
            services.boot,
            self.owner,
            self.tables,
            self.vm_lists,
            self.handler.handle_keeper_call,
            clock,
            self.metrics,
        )
        self._tables_follower = self._make_tables_follower()
        self._vm_list_follower = self._make_vm_list_follower()
        self._tasks = TaskGroup("node:")
        self.members.on_change(lambda member: self._use_own_boot())
        self.tables.on_change(self._use_tables)
        self.vm_lists.on_change(self._use_vm_list)

    async def start(self) -> None:
        """Listen on the peer address, join the fleet and fetch the newest tables.

        Raises:
            AddressInUse: Another process listens on the address.
        """
        await self.port.open(self._services.network, self.settings.peer)
        await self._peer_server.open(self._services.network, self.settings.peer)
        self.owner.start()
        self.leases.start()
        self.prober.start()
        self._tasks.start(self._join())

    async def drain(self, wait_s: float) -> bool:
        """Leave the fleet and wait for running requests; return whether all finished in time."""
        logger.info("node: This VM leaves.")
        self.handler.draining = True
        self.keeper.drain()
        self.prober.leave()
        self.owner.drain()
        # Requests that peers relayed before they learned of the departure are still answered.
        await self._services.clock.sleep(min(wait_s, LEAVE_GRACE_S))
        deadline = self._services.clock.now() + wait_s
        while self._is_busy() and self._services.clock.now() < deadline:
            await self._services.clock.sleep(DRAIN_CHECK_INTERVAL_S)
        finished = not self._is_busy()
        if not finished:
            self.handler.end_running()
            await self._services.clock.sleep(DRAIN_CHECK_INTERVAL_S)  # the answers are written
        return finished

    async def close(self) -> None:
        """Stop all components without waiting for running requests."""
        for component in (
            self._tasks,
            self._tables_follower,
            self._vm_list_follower,
            self._catchup,
        ):
            await component.close()
        await self.keeper.close()
        await self.owner.close()
        await self.leases.close()
        await self.prober.close()
        await self._peer_server.close()
        await self.links.close()
        self.port.close()

    def status(self) -> dict:
        """Status of this process as JSON values."""
        return node_status(self)

    def is_watcher(self) -> bool:
        """Whether this process watches the platform's services for its zone."""
        zone = self.settings.zone
        alive = [m.vm for m in self.members.all() if m.reachable and m.zone == zone]
        return self.settings.vm in rank(f"watch/{zone}", alive)[:WATCHERS_PER_ZONE]

    def _is_busy(self) -> bool:
        return bool(self.handler.in_progress or self.owner.running or self.keeper.running)

    def _make_owner_components(self, clock: Clock) -> None:
        vm = self.settings.vm
        self.directory = OwnerDirectory(vm, self.members, clock)
        self.leases = LeaseBook(
            self.directory, self.members, self.port, clock, lambda: self.owner.warm_servers()
        )
        shares = ShareKeeper(vm, self.directory, self.leases, self.members, clock, self._settle_s)
        self.owner = Owner(
            self.directory,
            shares,
            self.confirmation,
            self._services.connector,
            clock,
            self.metrics,
        )
        self.owner.follow_leases(self.leases)

    def _make_caller_components(self, clock: Clock) -> None:
        vm = self.settings.vm
        rng = self._services.rng
        self.quarantine = QuarantineBook(self.port, self._peer_addresses, clock, self.metrics)
        self.replicas = ReplicaTracker(self.directory, clock, rng)
        dispatcher = Dispatcher(
            vm,
            f"{vm}-{self._services.boot}",
            self.members,
            self.links,
            self.owner,
            clock,
            self.metrics,
        )
        self.gatherer = Gatherer(
            lambda: self.tables.tables,
            self.replicas,
            dispatcher,
            lambda: 1 + len(self._peer_addresses()),
            self.quarantine,
            clock,
            rng,
            self.metrics,
        )
        self.keeper = KeeperBook(vm, self._services.boot, clock, lambda: self._joined)
        self.addresses = AddressDirectory(self.members, self.tables, self.vm_lists, rng)
        self.handler = CallerRequestHandler(
            self.members,
            self.prober,
            self.confirmation,
            self.addresses,
            lambda: self.tables.tables,
            self.gatherer,
            self.keeper,
            self.links,
            clock,
            self.metrics,
        )

    def _make_tables_follower(self) -> Follower:
        return Follower(
            "configuration",
            self._services.configuration,
            self.tables,
            self.is_watcher,
            lambda: len(self.members.all()),
            self.tables.offer_of_service,
            self.confirmation.confirm,
            self._services.clock,
            self._services.rng,
            self.metrics,
        )

    def _make_vm_list_follower(self) -> Follower:
        return Follower(
            "vm_list",
            self._services.vm_list,
            self.vm_lists,
            self.is_watcher,
            lambda: len(self.members.all()),
            self.vm_lists.offer_of_service,
            lambda requested_at: None,
            self._services.clock,
            self._services.rng,
            self.metrics,
        )

    async def _join(self) -> None:
        """Fetch the newest state of peers before trusting the configuration service.

        Peers also tell whether an earlier process of this VM had a later boot.
        """
        await self._vm_list_follower.read_once()
        self._vm_list_follower.start()
        vm_list = self.vm_lists.vm_list
        peers = [v.peer for v in vm_list.vm_by_name.values()] if vm_list is not None else []
        others = [peer for peer in {*peers, *self.settings.seeds} if peer != self.settings.peer]
        join_peers = self._services.rng.sample(sorted(others), min(JOIN_PEERS, len(others)))
        self.prober.join(join_peers)
        deadline = self._services.clock.now() + JOIN_WAIT_S
        while join_peers and not self._knows_peers() and self._services.clock.now() < deadline:
            await self._services.clock.sleep(JOIN_CHECK_INTERVAL_S)
        self._joined = True
        await self._tables_follower.read_once()
        self._tables_follower.start()
        logger.info("node: Joined the fleet with revision {} of the tables.", self.tables.revision)

    def _knows_peers(self) -> bool:
        return self.members.introduced and self.tables.tables is not None

    def _use_own_boot(self) -> None:
        """Name this process by its new boot; tokens and links for its former boot are void."""
        boot = self.members.own.boot
        if boot == self.port.boot:
            return
        logger.warning("node: An earlier process had a later boot; this one takes {}.", boot)
        self.port.boot = self.keeper.boot = self._peer_server.boot = boot
        self.links.use_boot(boot)

    def _peer_addresses(self) -> list[str]:
        return [m.peer for m in self.members.reachable_others()]

    def _settle_s(self, pool: str) -> float:
        """Seconds after which no sub-request of a previous owner can still be running."""
        tables = self.tables.tables
        if tables is None:
            return MAX_SETTLE_S
        longest_s = tables.longest_deadline_ms_by_pool.get(pool, 0) / 1000
        return min(MAX_SETTLE_S, max(MIN_SETTLE_S, longest_s))

    def _use_tables(self, tables: Tables) -> None:
        self.port.tables_mark = self.tables.mark
        self.directory.use_tables(tables)
        self.owner.use_tables(tables)
        self.prober.gossip_revisions()

    def _use_vm_list(self, vm_list: VmList) -> None:
        self.port.vm_list_mark = self.vm_lists.mark
        self.prober.use_vm_list(vm_list)
        self.directory.use_vm_list(vm_list)
        self.links.keep_only({vm.peer for vm in vm_list.vm_by_name.values()})
        self.prober.gossip_revisions()
