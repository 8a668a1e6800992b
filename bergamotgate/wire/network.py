"""Network interface of a node: UDP datagrams and TCP streams of frames, by IP address."""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from bergamotgate.errors import AddressInUse, FrameError, LinkLost
from bergamotgate.wire.codec import MAX_FRAME_BYTES

__all__ = [
    "DatagramPort",
    "FrameStream",
    "Listener",
    "Network",
    "PortState",
    "SocketNetwork",
    "split_address",
]

CONNECT_TIMEOUT_S = 1.0
LENGTH_PREFIX = struct.Struct(">I")

OnDatagram = Callable[[str, bytes], None]
OnStream = Callable[["FrameStream"], Awaitable[None]]


class DatagramPort(Protocol):
    """An open datagram socket."""

    def send(self, address: str, data: bytes) -> None:
        """Send one datagram; it may be lost."""

    def close(self) -> None:
        """Release the port."""


class FrameStream(Protocol):
    """A bidirectional connection that carries length-delimited frames."""

    peer: str

    def send(self, data: bytes) -> None:
        """Send one frame.

        Raises:
            LinkLost: The connection is closed.
        """

    async def receive(self) -> bytes:
        """Return the next frame.

        Raises:
            LinkLost: The connection is closed.
            FrameError: The frame's announced length exceeds the limit.
        """

    def close(self) -> None:
        """Close the connection."""


class Listener(Protocol):
    """An open listening address."""

    def close(self) -> None:
        """Stop listening."""


class PortState(Enum):
    """State of a peer's TCP port, as reported by the kernel of its VM."""

    LISTENING = auto()
    REFUSED = auto()
    UNRESPONSIVE = auto()


class Network(Protocol):
    """Network operations that a node uses to reach other nodes."""

    async def open_datagrams(self, address: str, on_datagram: OnDatagram) -> DatagramPort:
        """Open a datagram port; the callback receives the sender's address and the data."""

    async def listen(self, address: str, on_stream: OnStream) -> Listener:
        """Accept streams; each callback runs for as long as its stream is served."""

    async def connect(self, address: str) -> FrameStream:
        """Open a stream.

        Raises:
            LinkLost: The connection could not be established.
        """

    async def probe_port(self, address: str, wait_s: float) -> PortState:
        """Check whether a process listens at an address."""


def split_address(address: str) -> tuple[str, int]:
    """Split an ``ip:port`` into host and port; brackets around an IPv6 host are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class SocketNetwork:
    """Network over the sockets of the operating system."""

    async def open_datagrams(self, address: str, on_datagram: OnDatagram) -> DatagramPort:
        """Open a UDP port."""
        loop = asyncio.get_running_loop()
        try:
            _, port = await loop.create_datagram_endpoint(
                lambda: _UdpPort(on_datagram), local_addr=split_address(address)
            )
        except OSError as error:
            raise AddressInUse(address) from error
        return port

    async def listen(self, address: str, on_stream: OnStream) -> Listener:
        """Listen on a TCP port."""
        host, port = split_address(address)
        server = _FrameServer(on_stream)
        try:
            server.add_sockets(bind_sockets(port, host))
        except OSError as error:
            raise AddressInUse(address) from error
        return _TcpListener(server)

    async def connect(self, address: str) -> FrameStream:
        """Open a TCP connection."""
        host, port = split_address(address)
        try:
            stream = await TCPClient().connect(host, port, timeout=CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise LinkLost(address) from error
        return _TcpStream(stream, address)

    async def probe_port(self, address: str, wait_s: float) -> PortState:
        """Check by a TCP connection attempt whether a process listens."""
        return await _probe_port(address, wait_s)


async def _probe_port(address: str, wait_s: float) -> PortState:
    host, port = split_address(address)
    try:
        stream = await TCPClient().connect(host, port, timeout=wait_s)
    except StreamClosedError as error:
        refused = isinstance(error.real_error, ConnectionRefusedError)
        return PortState.REFUSED if refused else PortState.UNRESPONSIVE
    except (OSError, TimeoutError):
        return PortState.UNRESPONSIVE
    stream.close()
    return PortState.LISTENING


class _UdpPort(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: OnDatagram):
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        self._on_datagram(f"{sender[0]}:{sender[1]}", data)

    def error_received(self, error: OSError) -> None:
        """Ignore that the peer's port is closed; the probe sent to it times out."""

    def send(self, address: str, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))

    def close(self) -> None:
        self._transport.close()


class _FrameServer(TCPServer):
    def __init__(self, on_stream: OnStream):
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self._on_stream = on_stream
        self.streams: set[_TcpStream] = set()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        frames = _TcpStream(stream, f"{address[0]}:{address[1]}")
        self.streams.add(frames)
        try:
            await self._on_stream(frames)
        finally:
            self.streams.discard(frames)
            frames.close()


class _TcpListener:
    def __init__(self, server: _FrameServer):
        self._server = server

    def close(self) -> None:
        self._server.stop()
        for stream in list(self._server.streams):
            stream.close()


class _TcpStream:
    def __init__(self, stream: IOStream, peer: str):
        stream.set_nodelay(True)
        self._stream = stream
        self.peer = peer

    def send(self, data: bytes) -> None:
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(len(data), f"longer than {MAX_FRAME_BYTES} bytes")
        try:
            self._stream.write(LENGTH_PREFIX.pack(len(data)) + data).add_done_callback(
                _consume_write_result
            )
        except StreamClosedError as error:
            raise LinkLost(self.peer) from error

    async def receive(self) -> bytes:
        try:
            prefix = await self._stream.read_bytes(LENGTH_PREFIX.size)
            (length,) = LENGTH_PREFIX.unpack(prefix)
            if length > MAX_FRAME_BYTES:
                raise FrameError(length, f"longer than {MAX_FRAME_BYTES} bytes")
            return await self._stream.read_bytes(length) if length else b""
        except StreamClosedError as error:
            raise LinkLost(self.peer) from error

    def close(self) -> None:
        self._stream.close()


def _consume_write_result(written: asyncio.Future) -> None:
    """Retrieve the exception of a failed write; reads of the stream report the failure too."""
    if not written.cancelled():
        written.exception()
