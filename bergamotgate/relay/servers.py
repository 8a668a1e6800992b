"""Tracks load and connections of each registered server, and latency of each route."""

from bergamotgate.backend.pool import ServerConnections
from bergamotgate.backend.replymemory import ReplyLimits, ReplyMemory
from bergamotgate.clock import Clock
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.discovery.statements import NO_STATEMENT, ServerStatement
from bergamotgate.metrics import Metrics
from bergamotgate.placement.load import RouteLatency, ServerLoad

__all__ = ["ServerTracker"]

# Initial estimate of a route's median latency, as a share of its objective.
INITIAL_MEDIAN_SHARE = 0.2


class ServerTracker:
    """State of each registered server, created and dropped with its registration."""

    def __init__(
        self,
        registry: ServerRegistry,
        clock: Clock,
        metrics: Metrics,
        reply_limits: ReplyLimits | None = None,
    ):
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._reply_memory = ReplyMemory(reply_limits or ReplyLimits())
        self._load_by_server: dict[str, ServerLoad] = {}
        self._connections_by_server: dict[str, ServerConnections] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}
        registry.on_start(self._start)
        registry.on_end(self._end)

    def load_of(self, server: str) -> ServerLoad:
        """Return the load of a registered server."""
        return self._load_by_server[server]

    def connections_of(self, server: str) -> ServerConnections:
        """Return the connections to a registered server."""
        return self._connections_by_server[server]

    async def accepts_connections(self, server: DiscoveredServer) -> bool:
        """Return whether a server accepts a new connection; False if it is not registered."""
        connections = self._connections_by_server.get(server.server)
        return connections is not None and await connections.accepts_connections()

    def latency_of(self, route: str, latency_objective_s: float) -> RouteLatency:
        """Return the recent service times of a route."""
        latency = self._latency_by_route.get(route)
        if latency is None:
            latency = RouteLatency(self._clock, INITIAL_MEDIAN_SHARE * latency_objective_s)
            self._latency_by_route[route] = latency
        return latency

    def note_statement(self, server: DiscoveredServer, statement: ServerStatement) -> None:
        """Record what a reply says of its server."""
        if statement is NO_STATEMENT or not self._registry.note_statement(server, statement):
            return
        kind = "leaving" if statement.leaving else "pause"
        self._metrics.server_statements.labels(server.pool, kind).inc()

    def close_idle(self) -> None:
        """Close every connection without a request in progress."""
        for connections in self._connections_by_server.values():
            connections.close_idle()

    def _start(self, server: DiscoveredServer) -> None:
        self._load_by_server[server.server] = ServerLoad(self._clock, server.slots)
        self._connections_by_server[server.server] = ServerConnections(
            server.address, server.pool, self._metrics, self._reply_memory
        )

    def _end(self, server: DiscoveredServer) -> None:
        self._load_by_server.pop(server.server, None)
        connections = self._connections_by_server.pop(server.server, None)
        if connections is not None:
            connections.close()
