"""Connections of this process to one backend server, for the lifetime of its registration."""

import asyncio
import contextlib
import socket

from loguru import logger

from bergamotgate.backend.http1 import ExchangeFailure, Http1Connection, OnEnd
from bergamotgate.backend.replymemory import ReplyMemory
from bergamotgate.metrics import Metrics
from bergamotgate.wire.network import split_address

__all__ = ["Exchange", "ServerConnections"]

# Longest time to connect; the network delay between zones is only milliseconds.
CONNECT_TIMEOUT_S = 0.5
# The kernel closes a connection whose data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000


class Exchange:
    """A request in flight; calls back exactly once, or never after ``cancel``.

    Attributes:
        connection: Connection that carries the request, while it is in flight.
        task: Task that opens a connection, while it runs.
        timer: Timer of the timeout.
        sent: Whether the request was written to a connection.
    """

    def __init__(self, on_end: OnEnd):
        self._on_end: OnEnd | None = on_end
        self.connection: Http1Connection | None = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.sent = False

    @property
    def ended(self) -> bool:
        """Whether no further callback will be made."""
        return self._on_end is None

    def cancel(self) -> None:
        """Cancel the request; closing the connection makes the server drop it."""
        self._on_end = None
        self._release()

    def finish(self, result: object) -> None:
        """End with a result and call back unless the exchange has ended."""
        on_end, self._on_end = self._on_end, None
        if self.timer is not None:
            self.timer.cancel()
        if on_end is not None:
            on_end(result)

    def time_out(self) -> None:
        """End because no reply arrived in time."""
        on_end, self._on_end = self._on_end, None
        self._release()
        if on_end is not None:
            on_end(ExchangeFailure.TIMED_OUT if self.sent else ExchangeFailure.NOT_SENT)

    def _release(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.abort()


class ServerConnections:
    """Opens, reuses and closes the connections to one backend server."""

    def __init__(self, address: str, pool: str, metrics: Metrics, memory: ReplyMemory):
        self._address = address
        self._pool = pool
        self._metrics = metrics
        self._memory = memory
        self._idle: list[Http1Connection] = []
        self._closed = False

    def send(
        self, request: bytes, timeout_s: float, new_connection: bool, on_end: OnEnd
    ) -> Exchange:
        """Send a request and call back with the reply or the failure.

        Args:
            request: The complete encoded request.
            timeout_s: Longest time until the reply.
            new_connection: Whether to open a connection instead of reusing an idle one.
            on_end: Called with the reply or the failure.
        """
        exchange = Exchange(on_end)
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_later(timeout_s, exchange.time_out)
        connection = None if new_connection else self._pop_idle()
        if connection is not None:
            self._start(exchange, connection, request)
        else:
            exchange.task = loop.create_task(self._connect_and_start(exchange, request))
        return exchange

    async def accepts_connections(self) -> bool:
        """Whether the server accepts a new connection now; it is kept for the next request."""
        try:
            connection = await self._connect()
        except (OSError, TimeoutError):
            return False
        self._keep(connection)
        return True

    def close_idle(self) -> None:
        """Close connections without an outstanding request."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close idle connections now and busy ones once their exchange ends."""
        self._closed = True
        self.close_idle()

    def _keep(self, connection: Http1Connection) -> None:
        """Keep a connection for the next request, unless it or the pool is closed."""
        if connection.reusable() and not self._closed:
            self._idle.append(connection)
        else:
            connection.abort()

    def _pop_idle(self) -> Http1Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable():
                return connection
            connection.abort()
        return None

    async def _connect_and_start(self, exchange: Exchange, request: bytes) -> None:
        try:
            connection = await self._connect()
        except (OSError, TimeoutError) as error:
            logger.debug("backend: Cannot connect to {}: {!r}.", self._address, error)
            self._metrics.connections.labels(self._pool, "failed").inc()
            exchange.task = None
            exchange.finish(ExchangeFailure.NOT_SENT)
            return
        exchange.task = None
        if exchange.ended:
            self._keep(connection)
            return
        self._start(exchange, connection, request)

    async def _connect(self) -> Http1Connection:
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                lambda: Http1Connection(loop, self._memory, self._address), host, port
            )
        self._metrics.connections.labels(self._pool, "opened").inc()
        tcp_socket = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return connection

    def _start(self, exchange: Exchange, connection: Http1Connection, request: bytes) -> None:
        exchange.connection = connection
        exchange.sent = True

        def on_exchange_end(result: object) -> None:
            exchange.connection = None
            if result is ExchangeFailure.OVERSIZED:
                self._metrics.wrong_replies.labels(self._pool, "oversized").inc()
            self._keep(connection)
            exchange.finish(result)

        connection.exchange(request, on_exchange_end)
