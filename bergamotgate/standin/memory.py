"""The network between nodes in memory, with the faults of a real one."""

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
ORDER_STEP_S = 1e-9
CLOSED = None


class NetworkFaults:
    """Which addresses cannot reach each other, and how long a message takes.

    Attributes:
        generation: Connections of an older generation are silent.
    """

    def __init__(self, zone_by_address: dict[str, str], same_s: float, other_s: float):
        self._zone_by_address = zone_by_address
        self._same_s = same_s
        self._other_s = other_s
        self._side_by_address: dict[str, int] = {}
        self._cut_off: set[str] = set()
        self.down: set[str] = set()
        self.generation = 0
        self.loss: Callable[[], bool] = lambda: False

    def split_zones(self, sides: tuple[tuple[str, ...], ...]) -> None:
        """Let only zones of the same side reach each other."""
        side_by_zone = {zone: number for number, side in enumerate(sides) for zone in side}
        self._side_by_address = {
            address: side_by_zone[zone] for address, zone in self._zone_by_address.items()
        }

    def cut_off_peers(self, addresses: set[str]) -> None:
        """Cut some VMs off from the other VMs; backend servers stay within their reach."""
        self._cut_off = set(addresses)

    def heal(self) -> None:
        """End a split."""
        self._side_by_address = {}
        self._cut_off = set()

    def silence(self) -> None:
        """Make every connection that is open now silent for good."""
        self.generation += 1

    def reaches(self, one: str, other: str) -> bool:
        """Whether messages pass between two addresses."""
        if one in self.down or other in self.down:
            return False
        return self._side_by_address.get(one) == self._side_by_address.get(other)

    def reaches_peer(self, one: str, other: str) -> bool:
        """Whether messages pass between two VMs."""
        return self.reaches(one, other) and not ({one, other} & self._cut_off)

    def delay_s(self, one: str, other: str) -> float:
        """Time of a message between two addresses."""
        same = self._zone_by_address.get(one) == self._zone_by_address.get(other)
        return self._same_s if same else self._other_s


class MemoryNetwork:
    """The network between nodes; one object serves the whole fleet.

    Attributes:
        bytes_by_sender: Bytes that each address has sent, in datagrams and streams.
    """

    def __init__(self, faults: NetworkFaults):
        self.faults = faults
        self.bytes_by_sender: Counter[str] = Counter()
        self._port_by_address: dict[str, _MemoryPort] = {}
        self._listener_by_address: dict[str, _MemoryListener] = {}
        self._streams_by_address: dict[str, set[_MemoryStream]] = {}

    def seen_from(self, address: str) -> "MemoryNetworkView":
        """The network as a node with that address uses it."""
        return MemoryNetworkView(self, address)

    def drop(self, address: str) -> None:
        """End everything of a killed node."""
        self._port_by_address.pop(address, None)
        self._listener_by_address.pop(address, None)
        for stream in list(self._streams_by_address.pop(address, ())):
            stream.close()

    def add_port(self, address: str, port: "_MemoryPort") -> None:
        """Register a datagram port."""
        if address in self._port_by_address:
            raise AddressInUse(address)
        self._port_by_address[address] = port

    def add_listener(self, address: str, listener: "_MemoryListener") -> None:
        """Register a listener."""
        if address in self._listener_by_address:
            raise AddressInUse(address)
        self._listener_by_address[address] = listener

    def remove_port(self, address: str) -> None:
        """Forget a datagram port."""
        self._port_by_address.pop(address, None)

    def remove_listener(self, address: str) -> None:
        """Forget a listener."""
        self._listener_by_address.pop(address, None)

    def listens(self, address: str) -> bool:
        """Whether a node listens at an address; a stopped one does."""
        return address in self._listener_by_address

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Carry a datagram."""
        self.bytes_by_sender[source] += len(data)
        if not self.faults.reaches_peer(source, target) or self.faults.loss():
            return
        loop = asyncio.get_running_loop()
        delay_s = self.faults.delay_s(source, target)
        port = self._port_by_address.get(target)
        if port is not None:
            loop.call_later(delay_s, port.receive, source, data, context=port.context)

    async def connect(self, source: str, target: str) -> "_MemoryStream":
        """Open a stream."""
        if not self.faults.reaches_peer(source, target):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise LinkLost(target)
        await asyncio.sleep(2 * self.faults.delay_s(source, target))
        listener = self._listener_by_address.get(target)
        if listener is None:
            raise LinkLost(target)
        near = _MemoryStream(self, source, target)
        far = _MemoryStream(self, target, source)
        near.other, far.other = far, near
        self._streams_by_address.setdefault(source, set()).add(near)
        self._streams_by_address.setdefault(target, set()).add(far)
        listener.accept(far)
        return near


class MemoryNetworkView:
    """One node's way to the others."""

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
        """Open a stream."""
        return await self._network.connect(self._address, address)

    async def probe_port(self, address: str, wait_s: float) -> PortState:
        """Find out whether any process listens at an address."""
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
    def __init__(self, network: MemoryNetwork, own: str, peer: str):
        self._network = network
        self._faults = network.faults
        self._own = own
        self.peer = peer
        self.other: _MemoryStream | None = None
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._generation = network.faults.generation
        self._closed = False
        self._last_arrival = 0.0

    def send(self, data: bytes) -> None:
        if self._closed:
            raise LinkLost(self.peer)
        self._network.bytes_by_sender[self._own] += len(data)
        if self._passes():
            loop = asyncio.get_running_loop()
            soonest = loop.time() + self._faults.delay_s(self._own, self.peer)
            # Timers of one moment run in any order, but a stream keeps its own.
            self._last_arrival = max(soonest, self._last_arrival + ORDER_STEP_S)
            loop.call_at(self._last_arrival, self.other.arrive, data, context=contextvars.Context())

    async def receive(self) -> bytes:
        data = await self._inbox.get()
        if data is CLOSED:
            self._closed = True
            raise LinkLost(self.peer)
        return data

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._inbox.put_nowait(CLOSED)
        if self._passes():
            self.other.arrive(CLOSED)

    def arrive(self, data: bytes | None) -> None:
        self._inbox.put_nowait(data)

    def _passes(self) -> bool:
        fresh = self._generation == self._faults.generation
        return fresh and self._faults.reaches_peer(self._own, self.peer)
