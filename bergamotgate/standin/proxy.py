"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

import asyncio
from enum import Enum, auto

__all__ = ["FaultyProxy", "LinkFault"]

CHUNK_BYTES = 65536
DELAY_S = 0.08


class LinkFault(Enum):
    """What happens to bytes and connections."""

    NONE = auto()
    DELAYED = auto()
    NO_REQUESTS = auto()
    NO_REPLIES = auto()
    REFUSED = auto()


class FaultyProxy:
    """Carries connections to one target.

    Attributes:
        fault: What happens to every connection now.
        address: ``ip:port`` to connect to.
    """

    def __init__(self, target: str):
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self.fault = LinkFault.NONE
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop to listen and drop every connection."""
        self._listener.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Break every connection that is open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    def blackhole_all(self) -> None:
        """Let every connection that is open now carry nothing any more; new ones work."""
        self._silenced |= self._writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.REFUSED:
            writer.transport.abort()
            return
        host, port = self._target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ways = (
            self._carry(reader, far_writer, LinkFault.NO_REQUESTS),
            self._carry(far_reader, writer, LinkFault.NO_REPLIES),
        )
        await asyncio.gather(*ways, return_exceptions=True)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        self._writers.add(writer)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                if self.fault is not cut and writer not in self._silenced:
                    writer.write(data)
        finally:
            self._writers.discard(writer)
            self._silenced.discard(writer)
            writer.close()
