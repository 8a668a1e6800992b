"""Simulates the network between nodes in memory, with partitions, delays and loss."""

import asyncio
import contextvars
from collections import Counter
from collections.abc import Callable

from bergamotgate.errors import (
    AddressInUse,
    LinkLost,
)
from bergamotgate.wire.network import OnDatagram, OnStream, PortState

__all__ = ["MemoryNetwork", "NetworkFaults"]

CONNECT_TIMEOUT_S = 1.0
FRAME_SPACING_S = 1e-9
END_OF_STREAM = None


class NetworkFaults:
    """Reachability, delay and loss between addresses.

    Attributes:
        generation: Number of calls of ``blackhole_connections``; connections opened before the
            last call carry no more data.
        is_lost: Called for each datagram; whether the network loses it.
    """

    def __init__(self, zone_by_address: dict[str, str], same_zone_s: float, cross_zone_s: float):
        self._zone_by_address = zone_by_address
        self._same_zone_s = same_zone_s
        self._cross_zone_s = cross_zone_s
        self._side_by_address: dict[str, int] = {}
        self._isolated: set[str] = set()
        self.generation = 0
        self.is_lost: Callable[[], bool] = lambda: False

    def partition_zones(self, sides: tuple[tuple[str, ...], ...]) -> None:
        """Partition the network; only zones on the same side can reach each other."""
        side_by_zone = {zone: number for number, side in enumerate(sides) for zone in side}
        self._side_by_address = {
            address: side_by_zone[zone] for address, zone in self._zone_by_address.items()
        }

    def isolate_peers(self, addresses: set[str]) -> None:
        """Isolate some VMs from all other VMs; they can still reach backend servers."""
        self._isolated = set(addresses)

    def heal(self) -> None:
        """End all partitions and isolations."""
        self._side_by_address = {}
        self._isolated = set()

    def blackhole_connections(self) -> None:
        """Discard all further data on the connections that are open now, without closing them."""
        self.generation += 1

    def reaches(self, one: str, other: str) -> bool:
        """Whether two addresses can reach each other."""
        return self._side_by_address.get(one) == self._side_by_address.get(other)

    def reaches_peer(self, one: str, other: str) -> bool:
        """Whether the peer addresses of two VMs can reach each other."""
        return self.reaches(one, other) and not ({one, other} & self._isolated)

    def delay_s(self, one: str, other: str) -> float:
        """One-way network delay between two addresses, in seconds."""
        same_zone = self._zone_by_address.get(one) == self._zone_by_address.get(other)
        return self._same_zone_s if same_zone else self._cross_zone_s


class MemoryNetwork:
    """The network between the nodes of a fleet; all nodes share one object.

    Attributes:
        faults: Reachability, delay and loss of this network.
        bytes_by_sender: Bytes sent in datagrams and streams, by sending address.
    """

    def __init__(self, faults: NetworkFaults):
        self.faults = faults
        self.bytes_by_sender: Counter[str] = Counter()
        self._port_by_address: dict[str, _MemoryPort] = {}
        self._listener_by_address: dict[str, _MemoryListener] = {}
        self._streams_by_address: dict[str, set[_MemoryStream]] = {}

    def view_for(self, address: str) -> "MemoryNetworkView":
        """The network interface of the node at an address."""
        return MemoryNetworkView(self, address)

    def remove_node(self, address: str) -> None:
        """Close the ports, listeners and streams of a killed node."""
        self._port_by_address.pop(address, None)
        self._listener_by_address.pop(address, None)
        for stream in list(self._streams_by_address.pop(address, ())):
            stream.close()

    def add_port(self, address: str, port: "_MemoryPort") -> None:
        """Register a datagram port.

        Raises:
            AddressInUse: The address has a port already.
        """
        if address in self._port_by_address:
            raise AddressInUse(address)
        self._port_by_address[address] = port

    def add_listener(self, address: str, listener: "_MemoryListener") -> None:
        """Register a listener.

        Raises:
            AddressInUse: The address has a listener already.
        """
        if address in self._listener_by_address:
            raise AddressInUse(address)
        self._listener_by_address[address] = listener

    def remove_port(self, address: str) -> None:
        """Unregister a datagram port."""
        self._port_by_address.pop(address, None)

    def remove_listener(self, address: str) -> None:
        """Unregister a listener."""
        self._listener_by_address.pop(address, None)

    def listens(self, address: str) -> bool:
        """Whether a node listens at an address; a paused node still does."""
        return address in self._listener_by_address

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver a datagram after the network delay unless lost or undeliverable."""
        self.bytes_by_sender[source] += len(data)
        if not self.faults.reaches_peer(source, target) or self.faults.is_lost():
            return
        loop = asyncio.get_running_loop()
        delay_s = self.faults.delay_s(source, target)
        port = self._port_by_address.get(target)
        if port is not None:
            loop.call_later(delay_s, port.receive, source, data, context=port.context)

    async def connect(self, source: str, target: str) -> "_MemoryStream":
        """Open a stream.

        Raises:
            LinkLost: The target is unreachable or does not listen.
        """
        if not self.faults.reaches_peer(source, target):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise LinkLost(target)
        await asyncio.sleep(2 * self.faults.delay_s(source, target))
        listener = self._listener_by_address.get(target)
        if listener is None:
            raise LinkLost(target)
        client = _MemoryStream(self, source, target)
        server = _MemoryStream(self, target, source)
        client.remote, server.remote = server, client
        self._streams_by_address.setdefault(source, set()).add(client)
        self._streams_by_address.setdefault(target, set()).add(server)
        listener.accept(server)
        return client


class MemoryNetworkView:
    """The network as one node uses it; implements ``Network``."""

    def __init__(self, network: MemoryNetwork, address: str):
        self._network = network
        self._address = address

    async def open_datagrams(self, address: str, on_datagram: OnDatagram) -> "_MemoryPort":
        """Open a datagram port."""
        port = _MemoryPort(self._network, address, on_datagram)
        self._network.add_port(address, port)
        return port

    async def listen(self, address: str, on_stream: OnStream) -> "_MemoryListener":
        """Accept streams."""
        listener = _MemoryListener(self._network, address, on_stream)
        self._network.add_listener(address, listener)
        return listener

    async def connect(self, address: str) -> "_MemoryStream":
        """Open a stream.

        Raises:
            LinkLost: The target is unreachable or does not listen.
        """
        return await self._network.connect(self._address, address)

    async def probe_port(self, address: str, wait_s: float) -> PortState:
        """Check whether a process listens at an address."""
        faults = self._network.faults
        if not faults.reaches_peer(self._address, address):
            await asyncio.sleep(wait_s)
            return PortState.UNRESPONSIVE
        await asyncio.sleep(2 * faults.delay_s(self._address, address))
        return PortState.LISTENING if self._network.listens(address) else PortState.REFUSED


class _MemoryPort:
    def __init__(self, network: MemoryNetwork, address: str, on_datagram: OnDatagram):
        self._network = network
        self._address = address
        self._on_datagram = on_datagram
        self.context = contextvars.copy_context()

    def receive(self, source: str, data: bytes) -> None:
        self._on_datagram(source, data)

    def send(self, address: str, data: bytes) -> None:
        self._network.deliver(self._address, address, data)

    def close(self) -> None:
        self._network.remove_port(self._address)


class _MemoryListener:
    def __init__(self, network: MemoryNetwork, address: str, on_stream: OnStream):
        self._network = network
        self._address = address
        self._on_stream = on_stream
        self._context = contextvars.copy_context()
        self._tasks: set[asyncio.Task] = set()

    def accept(self, stream: "_MemoryStream") -> None:
        self._context.copy().run(self._serve, stream)

    def _serve(self, stream: "_MemoryStream") -> None:
        task = asyncio.get_running_loop().create_task(self._on_stream(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        self._network.remove_listener(self._address)


class _MemoryStream:
    def __init__(self, network: MemoryNetwork, address: str, peer: str):
        self._network = network
        self._faults = network.faults
        self._address = address
        self.peer = peer
        self.remote: _MemoryStream | None = None
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._generation = network.faults.generation
        self._closed = False
        self._last_arrival = 0.0

    def send(self, data: bytes) -> None:
        if self._closed:
            raise LinkLost(self.peer)
        self._network.bytes_by_sender[self._address] += len(data)
        if self._is_reachable():
            loop = asyncio.get_running_loop()
            earliest = loop.time() + self._faults.delay_s(self._address, self.peer)
            # Timers due at the same time run in any order, but a stream must keep its order.
            self._last_arrival = max(earliest, self._last_arrival + FRAME_SPACING_S)
            loop.call_at(self._last_arrival, self.remote.feed, data, context=contextvars.Context())

    async def receive(self) -> bytes:
        data = await self._inbox.get()
        if data is END_OF_STREAM:
            self._closed = True
            raise LinkLost(self.peer)
        return data

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._inbox.put_nowait(END_OF_STREAM)
        if self._is_reachable():
            self.remote.feed(END_OF_STREAM)

    def feed(self, data: bytes | None) -> None:
        self._inbox.put_nowait(data)

    def _is_reachable(self) -> bool:
        current = self._generation == self._faults.generation
        return current and self._faults.reaches_peer(self._address, self.peer)
