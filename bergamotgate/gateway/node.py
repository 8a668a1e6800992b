"""Assembles a gateway process from its components and runs their startup and shutdown."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.delegate import DelegateClient, DelegateService
from bergamotgate.discovery.statements import DEFAULT_MAX_PAUSE_S
from bergamotgate.gateway.directory import ClientDirectory
from bergamotgate.gateway.handler import QueryHandler
from bergamotgate.gateway.limitends import LimitEndNews
from bergamotgate.gateway.localview import ItemDecoder, LocalView
from bergamotgate.gateway.pauses import PauseWatch, suspended_s
from bergamotgate.gateway.peers import PeerStreams
from bergamotgate.gateway.shares import SenderShares
from bergamotgate.gateway.staleness import StalenessLog
from bergamotgate.membership.confirmation import ViewConfirmation
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.prober import Prober
from bergamotgate.metrics import Metrics
from bergamotgate.ownership.rendezvous import rank
from bergamotgate.placement.chooser import ServerChooser
from bergamotgate.placement.cold import ColdStartLimiter
from bergamotgate.placement.rates import RateLimiter
from bergamotgate.publication import (
    UNREAD,
    ItemSource,
    ItemTable,
    PublicationDisseminator,
    PublicationFollower,
    UpdateRecipients,
)
from bergamotgate.quarantine import QuarantineBook
from bergamotgate.relay.budgets import ExtraBudgets, ExtraRules
from bergamotgate.relay.context import LoopLag, RelayContext
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.messages import ServerCodec
from bergamotgate.relay.sender import Sender
from bergamotgate.relay.servers import ServerTracker
from bergamotgate.wire.links import Links
from bergamotgate.wire.network import Network
from bergamotgate.wire.port import PeerPort

__all__ = ["GatewayNode", "GatewayServices", "GatewaySettings"]

EXPIRE_INTERVAL_S = 0.2
# The VMs that serve clients change with the members and the servers, neither faster than this.
RESIZE_INTERVAL_S = 1.0
VIEW_AGE_INTERVAL_S = 1.0
JOIN_INTERVAL_S = 0.2
# Time after SIGTERM for which the process keeps serving while clients learn of other addresses.
LEAVE_GRACE_S = 3.0


@dataclass(frozen=True)
class GatewaySettings:
    """Startup settings of a gateway process.

    Attributes:
        vm: Name of this VM.
        zone: Availability zone of this VM.
        front: ``ip:port`` for clients.
        ready: ``ip:port`` for the platform's readiness check.
        directory: ``ip:port`` where clients request the addresses to connect to.
        peer: ``ip:port`` for other VMs, TCP and UDP.
        seeds: Addresses of the peers through which this VM joins the fleet.
        store: ``ip:port`` of the platform's store.
        grace_s: Seconds from SIGTERM to SIGKILL.
        extra: Limits on extra requests (retries and hedges), as operators set them.
        first_start: Whether the whole system starts for the first time.
        capacity: CPU time of this VM, in hundredths of a core; 0 when it is not known.
        max_pause_s: Longest pause in seconds that a server may ask for.
    """

    vm: str
    zone: str
    front: str
    ready: str
    directory: str
    peer: str
    seeds: tuple[str, ...]
    store: str
    grace_s: float
    extra: ExtraRules
    first_start: bool = False
    capacity: int = 0
    max_pause_s: float = DEFAULT_MAX_PAUSE_S


@dataclass(frozen=True)
class GatewayServices:
    """External dependencies of a gateway.

    Attributes:
        source: The platform's store.
        decoder: Decodes published items.
        codec: Encodes requests to backend servers and decodes their replies.
        network: Transport to other VMs.
        clock: Monotonic clock.
        rng: Random number generator.
        boot: Start of the process, in milliseconds since 1970.
        suspended_s: Returns the seconds for which the machine was suspended since its boot.
    """

    source: ItemSource
    decoder: ItemDecoder
    codec: ServerCodec
    network: Network
    clock: Clock
    rng: random.Random
    boot: int
    suspended_s: Callable[[], float] = suspended_s


class GatewayNode:
    """A gateway process.

    Attributes:
        handler: Handles client requests.
        directory: Chooses the addresses that clients connect to.
        rates: Limits requests to servers that state a request rate.
        metrics: Metrics of this process.
    """

    def __init__(self, settings: GatewaySettings, services: GatewayServices):
        self.settings = settings
        self._services = services
        clock = services.clock
        self.metrics = Metrics()
        self.members = MemberTable(_own_member(settings, services.boot), adopts_later_boot=True)
        self.port = PeerPort(settings.vm, services.boot, self.metrics)
        self.links = Links(settings.vm, services.boot, services.network, clock, self.metrics)
        self.prober = Prober(
            self.members,
            self.port,
            services.network,
            clock,
            services.rng,
            ViewConfirmation(clock),
            self.metrics,
        )
        self._reachable_vms: list[str] = []
        self._reachable_vms_version = -1
        self._make_publication(clock)
        self._make_relay(clock)
        self.metrics.store_era.set_function(lambda: self.items.history.era)
        self.metrics.view_age.set_function(self.items.age_s)
        self.metrics.servers.set_function(self.local_view.registry.count)
        self._tasks = TaskGroup("gateway:", self.metrics.task_failures.labels("gateway").inc)
        self._pauses = PauseWatch(clock, self._after_pause, services.suspended_s)
        self.members.on_change(self._note_member)

    async def start(self) -> None:
        """Open the peer address, join the fleet and follow the store.

        Raises:
            AddressInUse: Another process uses the address.
        """
        await self.port.open(self._services.network, self.settings.peer)
        await self.peers.open(self._services.network, self.settings.peer)
        self.prober.use_seeds(self.settings.seeds)
        self.prober.start()
        for run in (
            self._join,
            self._expire,
            self._resize_budgets,
            self._watch_view_age,
            self._pauses.run,
        ):
            self._tasks.keep_running(run, self._services.clock)
        self.follower.start()

    def use_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings: seeds at once; addresses and names only after a restart."""
        self.prober.use_seeds(settings.seeds)
        logger.bind(seeds=settings.seeds).info("gateway: Settings reloaded.")

    def is_ready(self) -> bool:
        """Whether this VM is ready to serve clients."""
        return self.local_view.catalogue is not None and not self.handler.draining

    async def leave(self) -> None:
        """Leave the fleet, but keep serving while clients learn of other addresses."""
        logger.info("gateway: This VM leaves.")
        self.handler.draining = True
        self.prober.leave()
        await self._services.clock.sleep(min(LEAVE_GRACE_S, self.settings.grace_s / 2))

    async def close(self) -> None:
        """Stop all components without draining."""
        await self._tasks.close()
        await self.crashes.close()
        await self.follower.close()
        self.peers.close()
        await self.delegates.close()
        await self.disseminator.close()
        await self.prober.close()
        await self.links.close()
        self.port.close()

    def _make_publication(self, clock: Clock) -> None:
        services = self._services
        self.items = ItemTable(clock, services.decoder.is_operator_item)
        self.disseminator = PublicationDisseminator(
            self.items, self.port, self.links, UpdateRecipients(self.members), clock
        )
        self.follower = PublicationFollower(
            self.items,
            services.source,
            self._poll_rank,
            self._first_read_rank(),
            self.disseminator.send_update,
            clock,
            services.rng,
            self.metrics,
        )
        self.disseminator.on_older_build(self.follower.poll_in_turn)
        self.local_view = LocalView(
            self.items,
            services.decoder,
            self.follower.lapse_possible,
            clock,
            self.metrics,
            self.settings.max_pause_s,
        )

    def _make_relay(self, clock: Clock) -> None:
        services = self._services
        registry = self.local_view.registry
        self.servers = servers = ServerTracker(registry, clock, self.metrics)
        cold_limiter = ColdStartLimiter(self.settings.vm, self._vm_names, clock)
        registry.on_end(lambda server: cold_limiter.forget(server.server))
        self.directory = ClientDirectory(
            self.members, registry, lambda: self.local_view.catalogue, services.rng
        )
        shares = SenderShares(
            self.members, registry, self.directory, lambda: self.local_view.catalogue, clock
        )
        self.rates = rates = RateLimiter(shares, clock, services.rng, self.metrics)
        registry.on_end(lambda server: rates.forget(server.server))
        self._limit_ends = LimitEndNews(self.port, self._peer_addresses, rates)
        self.delegates = DelegateClient(self.members, services.network, clock, self.metrics)
        chooser = ServerChooser(
            self.settings.zone,
            registry,
            servers.load_of,
            cold_limiter,
            rates,
            self.delegates.reaches,
            self._vm_count,
            clock,
            services.rng,
        )
        self._budgets = ExtraBudgets(
            self.settings.extra,
            self.directory.effective_fleet_size,
            clock,
            self.settings.first_start,
        )
        quarantine = QuarantineBook(self.port, self._peer_addresses, clock, self.metrics)
        self.crashes = CrashDetector(quarantine, servers.accepts_connections, clock)
        service = DelegateService(registry, servers, rates, services.codec, clock, self.metrics)
        self.peers = PeerStreams(self.disseminator, service, self.metrics)
        sender = Sender(
            servers, rates, services.codec, self.crashes, clock, self.metrics, self.delegates
        )
        relay_context = RelayContext(
            sender, chooser, servers, self._budgets, self.crashes, LoopLag(), clock, self.metrics
        )
        self.handler = QueryHandler(
            lambda: self.local_view.catalogue,
            self.items,
            relay_context,
            clock,
            services.rng,
            self.metrics,
        )

    async def _join(self) -> None:
        """Contact the seeds, which may start later, until the published items are known."""
        seeds = [seed for seed in self.settings.seeds if seed != self.settings.peer]
        while seeds and self.items.as_of == UNREAD:
            self.prober.join(seeds)
            await self._services.clock.sleep(JOIN_INTERVAL_S)

    async def _expire(self) -> None:
        while True:
            await self._services.clock.sleep(EXPIRE_INTERVAL_S)
            self.items.settle()
            self.local_view.registry.expire()

    async def _resize_budgets(self) -> None:
        while True:
            await self._services.clock.sleep(RESIZE_INTERVAL_S)
            self._budgets.resize()

    async def _watch_view_age(self) -> None:
        staleness = StalenessLog(self.items)
        while True:
            await self._services.clock.sleep(VIEW_AGE_INTERVAL_S)
            staleness.check()

    def _note_member(self, member: Member) -> None:
        if member.vm != self.settings.vm:
            fields = {"member": member.vm, "incarnation": member.incarnation, "boot": member.boot}
            logger.bind(**fields).info("membership: VM is {}.", member.state.name.lower())

    def _after_pause(self, paused_s: float) -> None:
        """Poll the store before requests are sent, and close connections from before the pause."""
        self.servers.close_idle()
        self.delegates.close_links()
        self.follower.poll_soon()
        self.handler.hold_until_confirmed()

    def _peer_addresses(self) -> list[str]:
        return [m.peer for m in self.members.reachable_others()]

    def _vm_names(self) -> list[str]:
        """Names of the reachable VMs and this one; cached, as each sub-request reads them."""
        if self._reachable_vms_version != self.members.version:
            self._reachable_vms_version = self.members.version
            self._reachable_vms = [m.vm for m in self.members.all() if m.reachable]
        return self._reachable_vms

    def _vm_count(self) -> int:
        return len(self._vm_names())

    def _first_read_rank(self) -> int:
        """This VM's rank for the first read of the store, before it knows any peer: seeds first."""
        seeds = self.settings.seeds
        return seeds.index(self.settings.peer) if self.settings.peer in seeds else len(seeds)

    def _poll_rank(self) -> int:
        """This VM's rank among those that may poll the store; 0 is the one that polls.

        A VM that leaves still needs a current view, but leaves the polling to the others.
        """
        ranked = rank("store", self._vm_names())
        own = self.settings.vm
        return ranked.index(own) if own in ranked else len(ranked)


def _own_member(settings: GatewaySettings, boot: int) -> Member:
    return Member(
        settings.vm,
        settings.zone,
        settings.peer,
        settings.front,
        boot,
        0,
        MemberState.ALIVE,
        settings.capacity,
    )
