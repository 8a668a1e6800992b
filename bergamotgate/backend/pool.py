"""Connections of this process to one lifetime of a backend server."""

import asyncio
import contextlib
import socket

from loguru import logger

from bergamotgate.backend.http1 import ExchangeFailure, Http1Connection, OnEnd
from bergamotgate.metrics import Metrics
from bergamotgate.wire.network import split_address

__all__ = ["Exchange", "ServerConnections"]

# Longest time for a connection to be made; zones are milliseconds apart.
CONNECT_TIMEOUT_S = 0.5
# The kernel gives up a connection whose bytes stay unacknowledged for so long.
UNACKNOWLEDGED_MS = 2000


class Exchange:
    """One request on its way; ends with exactly one call back, none after ``cancel``."""

    def __init__(self, on_end: OnEnd):
        self._on_end: OnEnd | None = on_end
        self.connection: Http1Connection | None = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.sent = False

    @property
    def ended(self) -> bool:
        """Whether nothing more will be called back."""
        return self._on_end is None

    def cancel(self) -> None:
        """Give up; the connection closes so that the server drops the request."""
        self._on_end = None
        self._release()

    def finish(self, result: object) -> None:
        """Call back once."""
        on_end, self._on_end = self._on_end, None
        if self.timer is not None:
            self.timer.cancel()
        if on_end is not None:
            on_end(result)

    def time_out(self) -> None:
        """End without a reply in time."""
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
    """Opens, reuses and closes the connections to one server."""

    def __init__(self, address: str, pool: str, metrics: Metrics):
        self._address = address
        self._pool = pool
        self._metrics = metrics
        self._idle: list[Http1Connection] = []
        self._closed = False

    def send(self, request: bytes, timeout_s: float, fresh: bool, on_end: OnEnd) -> Exchange:
        """Send a request and call back with what came of it.

        Args:
            request: The whole request.
            timeout_s: Longest time until the reply.
            fresh: Whether a kept connection must not be used.
            on_end: Gets the reply or how the exchange ended.
        """
        exchange = Exchange(on_end)
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_later(timeout_s, exchange.time_out)
        connection = None if fresh else self._take_idle()
        if connection is not None:
            self._start(exchange, connection, request)
        else:
            exchange.task = loop.create_task(self._connect_and_start(exchange, request))
        return exchange

    async def accepts_connections(self) -> bool:
        """Whether the server takes a new connection now; it is kept for the next request."""
        try:
            connection = await self._connect()
        except (OSError, TimeoutError):
            return False
        self._idle.append(connection)
        return True

    def close_idle(self) -> None:
        """Close connections on which nothing is asked."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close idle connections now and busy ones after their reply."""
        self._closed = True
        self.close_idle()

    def _take_idle(self) -> Http1Connection | None:
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
            logger.debug("backend: {} cannot be connected: {!r}", self._address, error)
            self._metrics.connections.labels(self._pool, "failed").inc()
            exchange.task = None
            exchange.finish(ExchangeFailure.NOT_SENT)
            return
        exchange.task = None
        if exchange.ended:
            self._idle.append(connection)
            return
        self._start(exchange, connection, request)

    async def _connect(self) -> Http1Connection:
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                lambda: Http1Connection(loop), host, port
            )
        self._metrics.connections.labels(self._pool, "opened").inc()
        own_socket = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        return connection

    def _start(self, exchange: Exchange, connection: Http1Connection, request: bytes) -> None:
        exchange.connection = connection
        exchange.sent = True

        def ended(result: object) -> None:
            exchange.connection = None
            if connection.reusable() and not self._closed:
                self._idle.append(connection)
            else:
                connection.abort()
            exchange.finish(result)

        connection.exchange(request, ended)
