"""Shares one datagram port among the components of a node; adds message headers and dispatches."""

from collections.abc import Callable, Iterable

from loguru import logger

from bergamotgate.errors import FrameError
from bergamotgate.metrics import Metrics
from bergamotgate.wire.codec import (
    MAX_DATAGRAM_BYTES,
    WIRE_VERSION,
    decode_datagram,
    encode_compressed,
)
from bergamotgate.wire.generated.ttypes import Datagram, RevisionMark
from bergamotgate.wire.network import DatagramPort, Network

__all__ = ["PeerPort"]

OnMessage = Callable[[str, Datagram], None]


class PeerPort:
    """Sends and receives the datagrams of one process.

    Attributes:
        tables_mark: Revision of the tables in force, included in each datagram.
        vm_list_mark: Revision of the VM list in force, included in each datagram.
    """

    def __init__(self, vm: str, boot: int, metrics: Metrics):
        self.vm = vm
        self.boot = boot
        self.tables_mark: RevisionMark | None = None
        self.vm_list_mark: RevisionMark | None = None
        self._metrics = metrics
        self._handlers: list[OnMessage] = []
        self._port: DatagramPort | None = None

    def subscribe(self, handler: OnMessage) -> None:
        """Call a handler with the sender's address and the message for each decoded datagram."""
        self._handlers.append(handler)

    async def open(self, network: Network, address: str) -> None:
        """Open the port and start receiving."""
        self._port = await network.open_datagrams(address, self._receive)

    def close(self) -> None:
        """Stop receiving and close the port."""
        if self._port is not None:
            self._port.close()
            self._port = None

    def send(self, address: str, **fields: object) -> None:
        """Send a datagram with the given fields, compressed if it is long."""
        self._send_bytes([address], encode_compressed(self._with_header(fields)))

    def send_compressed(self, addresses: Iterable[str], **fields: object) -> bool:
        """Send one compressed datagram to many peers; return False if it exceeds the size limit."""
        data = encode_compressed(self._with_header(fields))
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self._send_bytes(addresses, data)
        return True

    def _with_header(self, fields: dict[str, object]) -> Datagram:
        return Datagram(
            version=WIRE_VERSION,
            sender=self.vm,
            boot=self.boot,
            tables=self.tables_mark,
            vm_list=self.vm_list_mark,
            **fields,
        )

    def _send_bytes(self, addresses: Iterable[str], data: bytes) -> None:
        if self._port is None:
            return
        for address in addresses:
            self._metrics.control_bytes.labels("sent").inc(len(data))
            self._metrics.control_messages.labels("sent").inc()
            self._port.send(address, data)

    def _receive(self, address: str, data: bytes) -> None:
        self._metrics.control_bytes.labels("received").inc(len(data))
        self._metrics.control_messages.labels("received").inc()
        try:
            message = decode_datagram(data)
        except FrameError as error:
            self._metrics.bad_messages.labels("datagram").inc()
            logger.warning("peers: Malformed datagram from {}: {}", address, error)
            return
        if message.sender == self.vm and message.boot == self.boot:
            return
        for handler in self._handlers:
            self._handle(handler, address, message)

    def _handle(self, handler: OnMessage, address: str, message: Datagram) -> None:
        try:
            handler(address, message)
        except Exception:
            # The other components still need their parts of the message.
            logger.exception("peers: Could not process a datagram from {}.", address)
            self._metrics.bad_messages.labels("not_processed").inc()
