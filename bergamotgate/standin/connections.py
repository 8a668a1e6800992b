"""Simulates connections to backend servers in memory, with network delays and faults."""

import asyncio
import contextvars
from dataclasses import dataclass

from bergamotgate.backend.connection import BackendReply, BackendRequest
from bergamotgate.clock import Clock
from bergamotgate.errors import ConnectionDied, ConnectionRefused, ExchangeTimedOut
from bergamotgate.standin.memory import NetworkFaults
from bergamotgate.standin.server import StandinServer

__all__ = ["MemoryConnection", "MemoryConnector"]

SERVER_DEAD_PEER_TIMEOUT_S = 20.0  # until a server drops a connection whose peer is unreachable
# The server process notices a closed connection later than the first packet that reports it.
SERVER_CLOSE_DELAY_S = 0.01


@dataclass(frozen=True)
class _NetworkPath:
    """Network path between a VM and a backend server."""

    faults: NetworkFaults
    source: str
    target: str

    def reaches(self) -> bool:
        return self.faults.reaches(self.source, self.target)

    def delay_s(self) -> float:
        return self.faults.delay_s(self.source, self.target)


class MemoryConnector:
    """Opens the backend connections of one VM.

    Attributes:
        open_connections: Connections that this VM has not closed.
    """

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
        """Return a connection that is established at its first exchange."""
        server = self._server_by_address[address]
        path = _NetworkPath(self._faults, self._source, address)
        connection = MemoryConnection(server, path, self._clock, self)
        self.open_connections.add(connection)
        return connection

    def close_all(self) -> None:
        """Close all connections, as the kernel does for a killed process."""
        for connection in list(self.open_connections):
            connection.close()


class MemoryConnection:
    """A connection to a simulated backend server.

    Attributes:
        used: Whether an exchange has succeeded on it.
    """

    def __init__(
        self, server: StandinServer, path: _NetworkPath, clock: Clock, connector: MemoryConnector
    ):
        self._server = server
        self._path = path
        self._clock = clock
        self._connector = connector
        self._generation = path.faults.generation
        self._incarnation: int | None = None
        self._closed = asyncio.Event()
        self._server_task: asyncio.Task | None = None
        self.used = False

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply.

        Raises:
            ConnectionRefused: The server is down or unreachable.
            ConnectionDied: The connection broke or was closed before the reply.
            ExchangeTimedOut: The request's time budget ran out.
        """
        deadline = self._clock.now() + request.budget_ms / 1000
        if self._incarnation is None:
            await self._connect(deadline)
        if not self._is_reachable():
            await self._clock.sleep(deadline - self._clock.now())
            raise ExchangeTimedOut(self._server.name)
        await self._clock.sleep(self._path.delay_s())
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
        close_delay_s = self._path.delay_s() + SERVER_CLOSE_DELAY_S
        if not self._is_reachable():
            close_delay_s = SERVER_DEAD_PEER_TIMEOUT_S
        loop = asyncio.get_running_loop()
        loop.call_later(close_delay_s, self._close_at_server, context=contextvars.Context())

    def _close_at_server(self) -> None:
        if self._server_task is not None:
            self._server_task.cancel()
        self._server.connection_closed(self._incarnation)

    async def _connect(self, deadline: float) -> None:
        if not self._path.reaches() or not self._server.up:
            await self._clock.sleep(min(self._path.delay_s(), deadline - self._clock.now()))
            raise ConnectionRefused(self._server.name)
        self._incarnation = self._server.connection_opened()
        await self._clock.sleep(self._server.limits.connect_s)

    async def _run(self, request: BackendRequest, deadline: float) -> BackendReply:
        """Wait until the server replies, the deadline passes or the connection is closed."""
        loop = asyncio.get_running_loop()
        self._server_task = loop.create_task(
            self._server.run(request), context=contextvars.Context()
        )
        closed = asyncio.ensure_future(self._closed.wait())
        try:
            await asyncio.wait(
                {self._server_task, closed},
                timeout=deadline - self._clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            closed.cancel()
        if self._closed.is_set():
            raise ConnectionDied(self._server.name, "connection closed locally")
        if not self._server_task.done() or not self._is_reachable():
            raise ExchangeTimedOut(self._server.name)
        reply = None if self._server_task.cancelled() else self._server_task.result()
        await self._clock.sleep(self._path.delay_s())
        if reply is None:
            raise ConnectionDied(self._server.name)
        self.used = True
        return reply

    def _is_reachable(self) -> bool:
        return self._generation == self._path.faults.generation and self._path.reaches()

    def _is_broken(self) -> bool:
        server_gone = not self._server.up or self._incarnation != self._server.incarnation
        return server_gone or self._closed.is_set()
