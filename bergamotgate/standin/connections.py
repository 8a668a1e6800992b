"""Backend connections in memory, with the faults of real ones."""

import asyncio
import contextvars
from dataclasses import dataclass

from bergamotgate.backend.connection import BackendReply, BackendRequest
from bergamotgate.clock import Clock
from bergamotgate.errors import ConnectionDied, ConnectionRefused, ExchangeTimedOut
from bergamotgate.standin.memory import NetworkFaults
from bergamotgate.standin.server import StandinServer

__all__ = ["MemoryConnection", "MemoryConnector"]

SERVER_KEEPS_SILENT_S = 20.0
# A server's process sees a closed connection later than the first packet that tells of it.
SERVER_NOTICES_CLOSE_S = 0.01


@dataclass(frozen=True)
class _Way:
    """The path of a connection between a VM and a backend server."""

    faults: NetworkFaults
    source: str
    target: str

    def reaches(self) -> bool:
        return self.faults.reaches(self.source, self.target)

    def delay_s(self) -> float:
        return self.faults.delay_s(self.source, self.target)


class MemoryConnector:
    """Backend connections of one VM."""

    def __init__(
        self,
        source: str,
        server_by_address: dict[str, StandinServer],
        faults: NetworkFaults,
        clock: Clock,
    ):
        self._source = source
        self._server_by_address = server_by_address
        self._faults = faults
        self._clock = clock
        self.open_connections: set[MemoryConnection] = set()

    def open(self, address: str) -> "MemoryConnection":
        """A connection that opens at its first exchange."""
        server = self._server_by_address[address]
        way = _Way(self._faults, self._source, address)
        connection = MemoryConnection(server, way, self._clock, self)
        self.open_connections.add(connection)
        return connection

    def close_all(self) -> None:
        """End the connections of a killed VM."""
        for connection in list(self.open_connections):
            connection.close()


class MemoryConnection:
    """One connection to a stand-in server."""

    def __init__(self, server: StandinServer, way: _Way, clock: Clock, connector: MemoryConnector):
        self._server = server
        self._way = way
        self._clock = clock
        self._connector = connector
        self._generation = way.faults.generation
        self._incarnation: int | None = None
        self._closed = asyncio.Event()
        self._work: asyncio.Task | None = None
        self.used = False

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply."""
        deadline = self._clock.now() + request.budget_ms / 1000
        if self._incarnation is None:
            await self._connect(deadline)
        if not self._passes():
            await self._clock.sleep(deadline - self._clock.now())
            raise ExchangeTimedOut(self._server.name)
        await self._clock.sleep(self._way.delay_s())
        if self._is_broken():
            raise ConnectionDied(self._server.name)
        return await self._run(request, deadline)

    def close(self) -> None:
        """Close the connection."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._connector.open_connections.discard(self)
        if self._incarnation is None:
            return
        noticed_s = self._way.delay_s() + SERVER_NOTICES_CLOSE_S
        if not self._passes():
            noticed_s = SERVER_KEEPS_SILENT_S
        loop = asyncio.get_running_loop()
        loop.call_later(noticed_s, self._end_at_server, context=contextvars.Context())

    def _end_at_server(self) -> None:
        if self._work is not None:
            self._work.cancel()
        self._server.connection_closed(self._incarnation)

    async def _connect(self, deadline: float) -> None:
        if not self._way.reaches() or not self._server.up:
            await self._clock.sleep(min(self._way.delay_s(), deadline - self._clock.now()))
            raise ConnectionRefused(self._server.name)
        self._incarnation = self._server.connection_opened()
        await self._clock.sleep(self._server.limits.connect_s)

    async def _run(self, request: BackendRequest, deadline: float) -> BackendReply:
        """Wait for the server, the deadline or the close, whichever comes first."""
        loop = asyncio.get_running_loop()
        self._work = loop.create_task(self._server.run(request), context=contextvars.Context())
        closed = asyncio.ensure_future(self._closed.wait())
        try:
            await asyncio.wait(
                {self._work, closed},
                timeout=deadline - self._clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            closed.cancel()
        if self._closed.is_set():
            raise ConnectionDied(self._server.name, "closed here")
        if not self._work.done() or not self._passes():
            raise ExchangeTimedOut(self._server.name)
        reply = None if self._work.cancelled() else self._work.result()
        await self._clock.sleep(self._way.delay_s())
        if reply is None:
            raise ConnectionDied(self._server.name)
        self.used = True
        return reply

    def _passes(self) -> bool:
        return self._generation == self._way.faults.generation and self._way.reaches()

    def _is_broken(self) -> bool:
        gone = not self._server.up or self._incarnation != self._server.incarnation
        return gone or self._closed.is_set()
