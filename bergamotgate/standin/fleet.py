"""A whole fleet on virtual time: nodes, platform and backend servers in one event loop."""

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
from bergamotgate.standin.naive import NaiveDesk
from bergamotgate.standin.server import ServerLimits, StandinServer
from bergamotgate.standin.virtual import VirtualLoop, vm_context

__all__ = ["Fleet", "FleetVm"]

SAME_ZONE_S = 0.0003
OTHER_ZONE_S = 0.0014
FIRST_PEER_PORT = 7000
FIRST_HTTP_PORT = 8000


@dataclass
class FleetVm:
    """One VM of the fleet.

    Attributes:
        name: Name in the VM list.
        zone: Availability zone.
        peer: Address for other VMs.
        http: Address for callers.
        starts: How often its process was started.
        node: The running process, or None.
    """

    name: str
    zone: str
    peer: str
    http: str
    starts: int = 0
    node: Node | None = None
    connector: MemoryConnector | None = None
    context_name: str = ""
    naive_desk: NaiveDesk | None = None
    start_task: asyncio.Task | None = None


class Fleet:
    """Starts, breaks and asks a fleet."""

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
        self.faults = NetworkFaults(self._zones(), SAME_ZONE_S, OTHER_ZONE_S)
        self.network = MemoryNetwork(self.faults)
        self.listed = {vm.name: "live" for vm in self.vms}
        self.revision = 1
        self.list_revision = 1
        self.configuration = MemoryConfigurationService(self.published_tables())
        self.vm_list = MemoryVmListService(self._vm_list())

    @property
    def loop(self) -> VirtualLoop:
        """The virtual loop."""
        return asyncio.get_running_loop()

    async def start(self, settle_s: float = 5.0) -> None:
        """Start all VMs and wait until they know each other."""
        for vm in self.vms:
            self.start_vm(vm)
        await asyncio.sleep(settle_s)

    def start_vm(self, vm: FleetVm) -> None:
        """Start a VM's process."""
        vm.starts += 1
        vm.naive_desk = None
        vm.context_name = f"{vm.name}#{vm.starts}"
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
            network=self.network.seen_from(vm.peer),
            connector=vm.connector,
            clock=self.clock,
            rng=random.Random(f"{self._seed}/{vm.context_name}"),
            boot=vm.starts,
        )
        vm.node = Node(settings, services)
        vm.start_task = asyncio.get_running_loop().create_task(vm.node.start())

    def kill_vm(self, vm: FleetVm) -> None:
        """End a VM's process at once."""
        self.loop.kill_vm(vm.context_name)
        self.network.drop(vm.peer)
        vm.connector.drop()
        vm.node = None

    async def drain_vm(self, vm: FleetVm, wait_s: float = 10.0) -> bool:
        """Stop a VM gracefully; return whether it finished everything."""
        draining = vm.context_name
        finished = await self._in_vm(vm, self._drain(vm.node, wait_s))
        if vm.context_name == draining:
            self.kill_vm(vm)
        return finished

    async def _drain(self, node: Node, wait_s: float) -> bool:
        finished = await node.drain(wait_s)
        await node.close()
        return finished

    def stop_vm(self, vm: FleetVm) -> None:
        """Hold a VM's process as with SIGSTOP."""
        self.loop.stop_vm(vm.context_name)

    def continue_vm(self, vm: FleetVm) -> None:
        """Let a held process go on."""
        self.loop.continue_vm(vm.context_name)

    def publish_tables(self) -> None:
        """Publish the deployment's tables as a new revision."""
        self.revision += 1
        self.configuration.publish(self.published_tables())

    def publish_list(self) -> None:
        """Publish the VM list as a new revision."""
        self.list_revision += 1
        self.vm_list.publish(self._vm_list())

    async def ask(self, vm: FleetVm, request: CallerRequest) -> CallerAnswer | None:
        """Send a request to a VM; None when its process is gone."""
        if vm.node is None:
            return None
        if self.naive:
            return await self._in_vm(vm, self._naive_desk(vm).handle(request))
        return await self._in_vm(vm, vm.node.handler.handle(request))

    def _naive_desk(self, vm: FleetVm) -> NaiveDesk:
        """The naive version on the same VM, with the tables of the moment it was first asked."""
        if vm.naive_desk is None:
            vm.naive_desk = NaiveDesk(
                self.published_tables(), vm.connector, self.clock, vm.context_name
            )
        return vm.naive_desk

    def addresses_of(self, vm: FleetVm, zone: str) -> dict | None:
        """What a VM says when it is asked for addresses; None when it sends callers elsewhere."""
        answer = vm_context(vm.context_name).run(vm.node.handler.addresses, zone)
        return json.loads(answer.body) if answer.status == 200 else None

    async def _in_vm(self, vm: FleetVm, coroutine) -> object:
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
        servers = {}
        for (pool, name), address in self.deployment.address_by_server.items():
            spec = self.deployment.spec(pool)
            limits = ServerLimits(spec.slots, spec.connections, connect_s=spec.connect_s)
            snapshots = set(spec.snapshots) if spec.shards else {""}
            rng = random.Random(f"{self._seed}/{name}")
            servers[address] = StandinServer(name, limits, self.clock, rng, snapshots)
        return servers

    def _zones(self) -> dict[str, str]:
        zones = {vm.peer: vm.zone for vm in self.vms}
        for pool in self.deployment.pools["pools"].values():
            for server in pool["servers"].values():
                zones[server["address"]] = server["zone"]
        return zones

    def published_tables(self) -> PublishedTables:
        """The deployment's tables under the newest revision."""
        deployment = self.deployment
        return PublishedTables(self.revision, deployment.routes_text(), deployment.pools_text())

    def _vm_list(self) -> PublishedVmList:
        vms = [
            {"vm": vm.name, "zone": vm.zone, "peer": vm.peer, "http": vm.http, "standing": word}
            for name, word in self.listed.items()
            for vm in [self.vm_by_name[name]]
        ]
        return PublishedVmList(self.list_revision, json.dumps({"vms": vms}))
