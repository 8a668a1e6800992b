"""Proxies loopback TCP connections with delays, resets, refusals, one-way loss and blackholes."""

import asyncio
from enum import Enum, auto

__all__ = ["FaultyProxy", "LinkFault"]

CHUNK_BYTES = 65536
DELAY_S = 0.08


class LinkFault(Enum):
    """A fault that a proxy injects.

    Attributes:
        NONE: Forward all data.
        DELAYED: Delay each chunk by ``DELAY_S`` in both directions.
        NO_REQUESTS: Discard data from the client to the target.
        NO_REPLIES: Discard data from the target to the client.
        REFUSED: Abort new connections; open ones are not affected.
    """

    NONE = auto()
    DELAYED = auto()
    NO_REQUESTS = auto()
    NO_REPLIES = auto()
    REFUSED = auto()


class FaultyProxy:
    """Forwards connections to one target.

    Attributes:
        fault: Fault that applies to all connections.
        address: ``ip:port`` of the proxy once started.
    """

    def __init__(self, target: str):
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._blackholed: set[asyncio.StreamWriter] = set()
        self.fault = LinkFault.NONE
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def blackhole_all(self) -> None:
        """Discard further data on the connections that are open now, without closing them."""
        self._blackholed |= self._writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.REFUSED:
            writer.transport.abort()
            return
        host, port = self._target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        directions = (
            self._forward(reader, target_writer, LinkFault.NO_REQUESTS),
            self._forward(target_reader, writer, LinkFault.NO_REPLIES),
        )
        await asyncio.gather(*directions, return_exceptions=True)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocking_fault: LinkFault
    ) -> None:
        self._writers.add(writer)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                if self.fault is not blocking_fault and writer not in self._blackholed:
                    writer.write(data)
        finally:
            self._writers.discard(writer)
            self._blackholed.discard(writer)
            writer.close()
