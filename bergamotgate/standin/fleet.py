"""Simulates a fleet of nodes, its platform and its backend servers in one virtual event loop."""

import asyncio
import json
import random
from dataclasses import dataclass

from bergamotgate.clock import LoopClock
from bergamotgate.config.memory import MemoryConfigurationService, MemoryVmListService
from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.front.answers import CallerAnswer
from bergamotgate.front.handler import CallerRequest
from bergamotgate.node.node import Node, NodeServices
from bergamotgate.settings import Settings
from bergamotgate.standin.connections import MemoryConnector
from bergamotgate.standin.deployments import Deployment
from bergamotgate.standin.memory import MemoryNetwork, NetworkFaults
from bergamotgate.standin.naive import NaiveHandler
from bergamotgate.standin.server import ServerLimits, StandinServer
from bergamotgate.standin.virtual import VirtualLoop, vm_context

__all__ = ["Fleet", "FleetVm"]

SAME_ZONE_DELAY_S = 0.0003
CROSS_ZONE_DELAY_S = 0.0014
FIRST_PEER_PORT = 7000
FIRST_HTTP_PORT = 8000


@dataclass
class FleetVm:
    """One VM of the fleet.

    Attributes:
        name: Name in the VM list.
        zone: Availability zone.
        peer: ``ip:port`` for other VMs.
        http: ``ip:port`` for callers.
        start_count: Number of times its process was started.
        node: The running node; None while the process is down.
        connector: Backend connections of the current process.
        context_name: Name of the current process in the virtual loop.
        naive_handler: Naive version of the current process; None until its first request.
        start_task: Startup of the current process.
    """

    name: str
    zone: str
    peer: str
    http: str
    start_count: int = 0
    node: Node | None = None
    connector: MemoryConnector | None = None
    context_name: str = ""
    naive_handler: NaiveHandler | None = None
    start_task: asyncio.Task | None = None


class Fleet:
    """A simulated fleet: starts, kills, pauses and drains VMs, and sends requests to them."""

    def __init__(self, deployment: Deployment, vm_count: int, seed: int = 1, naive: bool = False):
        self.naive = naive
        self.deployment = deployment
        self.clock = LoopClock()
        self.rng = random.Random(seed)
        self._seed = seed
        self.vms = [self._make_vm(number) for number in range(vm_count)]
        self.vm_by_name = {vm.name: vm for vm in self.vms}
        self.server_by_address = self._make_servers()
        self.server_by_name = {s.name: s for s in self.server_by_address.values()}
        self.faults = NetworkFaults(self._zone_by_address(), SAME_ZONE_DELAY_S, CROSS_ZONE_DELAY_S)
        self.network = MemoryNetwork(self.faults)
        self.standing_by_vm = {vm.name: "live" for vm in self.vms}
        self.tables_revision = 1
        self.vm_list_revision = 1
        self.configuration = MemoryConfigurationService(self.published_tables())
        self.vm_list = MemoryVmListService(self._vm_list())

    @property
    def loop(self) -> VirtualLoop:
        """The virtual event loop that runs the fleet."""
        return asyncio.get_running_loop()

    async def start(self, settle_s: float = 5.0) -> None:
        """Start all VMs and wait ``settle_s`` for membership to converge."""
        for vm in self.vms:
            self.start_vm(vm)
        await asyncio.sleep(settle_s)

    def start_vm(self, vm: FleetVm) -> None:
        """Start a new process on a VM."""
        vm.start_count += 1
        vm.naive_handler = None
        vm.context_name = f"{vm.name}#{vm.start_count}"
        vm.connector = MemoryConnector(vm.peer, self.server_by_address, self.faults, self.clock)
        vm_context(vm.context_name).run(self._start_node, vm)

    def _start_node(self, vm: FleetVm) -> None:
        settings = Settings(
            vm=vm.name,
            zone=vm.zone,
            peer=vm.peer,
            http=vm.http,
            configuration_url="http://127.0.0.1:1/",
            vm_list_url="http://127.0.0.1:1/",
            seeds=tuple(other.peer for other in self.vms[:3]),
        )
        services = NodeServices(
            configuration=self.configuration,
            vm_list=self.vm_list,
            network=self.network.view_for(vm.peer),
            connector=vm.connector,
            clock=self.clock,
            rng=random.Random(f"{self._seed}/{vm.context_name}"),
            boot=vm.start_count,
        )
        vm.node = Node(settings, services)
        vm.start_task = asyncio.get_running_loop().create_task(vm.node.start())

    def kill_vm(self, vm: FleetVm) -> None:
        """Kill a VM's process, as with SIGKILL, and close its connections."""
        self.loop.kill_vm(vm.context_name)
        self.network.remove_node(vm.peer)
        vm.connector.close_all()
        vm.node = None

    async def drain_vm(self, vm: FleetVm, wait_s: float = 10.0) -> bool:
        """Drain a VM and end its process; return whether all its requests finished in time."""
        drained_process = vm.context_name
        finished = await self._run_in_vm(vm, self._drain(vm.node, wait_s))
        if vm.context_name == drained_process:
            self.kill_vm(vm)
        return finished

    async def _drain(self, node: Node, wait_s: float) -> bool:
        finished = await node.drain(wait_s)
        await node.close()
        return finished

    def pause_vm(self, vm: FleetVm) -> None:
        """Pause a VM's process, as with SIGSTOP."""
        self.loop.pause_vm(vm.context_name)

    def resume_vm(self, vm: FleetVm) -> None:
        """Resume a paused process, as with SIGCONT."""
        self.loop.resume_vm(vm.context_name)

    def publish_tables(self) -> None:
        """Publish the deployment's tables as a new revision."""
        self.tables_revision += 1
        self.configuration.publish(self.published_tables())

    def publish_vm_list(self) -> None:
        """Publish the VM list as a new revision."""
        self.vm_list_revision += 1
        self.vm_list.publish(self._vm_list())

    async def send_request(self, vm: FleetVm, request: CallerRequest) -> CallerAnswer | None:
        """Send a request to a VM; return None if it has no running process."""
        if vm.node is None:
            return None
        if self.naive:
            return await self._run_in_vm(vm, self._naive_handler(vm).handle(request))
        return await self._run_in_vm(vm, vm.node.handler.handle(request))

    def _naive_handler(self, vm: FleetVm) -> NaiveHandler:
        """The VM's naive version; it keeps the tables published at its first request."""
        if vm.naive_handler is None:
            vm.naive_handler = NaiveHandler(
                self.published_tables(), vm.connector, self.clock, vm.context_name
            )
        return vm.naive_handler

    def addresses_of(self, vm: FleetVm, zone: str) -> dict | None:
        """A VM's reply to a request for addresses; None if it redirects the caller."""
        answer = vm_context(vm.context_name).run(vm.node.handler.addresses, zone)
        return json.loads(answer.body) if answer.status == 200 else None

    async def _run_in_vm(self, vm: FleetVm, coroutine) -> object:
        return await vm_context(vm.context_name).run(self.loop.create_task, coroutine)

    def _make_vm(self, number: int) -> FleetVm:
        zones = self.deployment.zones
        return FleetVm(
            name=f"vm-{number}",
            zone=zones[number % len(zones)],
            peer=f"10.0.0.1:{FIRST_PEER_PORT + number}",
            http=f"10.0.0.1:{FIRST_HTTP_PORT + number}",
        )

    def _make_servers(self) -> dict[str, StandinServer]:
        server_by_address = {}
        for (pool, name), address in self.deployment.address_by_server.items():
            spec = self.deployment.spec(pool)
            limits = ServerLimits(spec.slots, spec.connections, connect_s=spec.connect_s)
            snapshots = set(spec.snapshots) if spec.shards else {""}
            rng = random.Random(f"{self._seed}/{name}")
            server_by_address[address] = StandinServer(name, limits, self.clock, rng, snapshots)
        return server_by_address

    def _zone_by_address(self) -> dict[str, str]:
        zone_by_address = {vm.peer: vm.zone for vm in self.vms}
        for pool in self.deployment.pools["pools"].values():
            for server in pool["servers"].values():
                zone_by_address[server["address"]] = server["zone"]
        return zone_by_address

    def published_tables(self) -> PublishedTables:
        """The deployment's tables at the current revision."""
        deployment = self.deployment
        return PublishedTables(
            self.tables_revision, deployment.routes_text(), deployment.pools_text()
        )

    def _vm_list(self) -> PublishedVmList:
        vms = [
            {"vm": vm.name, "zone": vm.zone, "peer": vm.peer, "http": vm.http, "standing": standing}
            for name, standing in self.standing_by_vm.items()
            for vm in [self.vm_by_name[name]]
        ]
        return PublishedVmList(self.vm_list_revision, json.dumps({"vms": vms}))
