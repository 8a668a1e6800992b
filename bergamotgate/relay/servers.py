"""The servers that this process talks to: load, connections and speed, by identifier."""

from bergamotgate.backend.pool import ServerConnections
from bergamotgate.clock import Clock
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.placement.load import RouteLatency, ServerLoad

__all__ = ["ServerTracker"]

# Guess of a route's median before replies were seen, as a part of its objective.
FIRST_GUESS_SHARE = 0.2


class ServerTracker:
    """State of each live server, made and dropped with its registration."""

    def __init__(self, registry: ServerRegistry, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._load_by_server: dict[str, ServerLoad] = {}
        self._connections_by_server: dict[str, ServerConnections] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}
        registry.on_start(self._start)
        registry.on_end(self._end)

    def load_of(self, server: str) -> ServerLoad:
        """Load of a registered server."""
        return self._load_by_server[server]

    def connections_of(self, server: str) -> ServerConnections:
        """Connections to a registered server."""
        return self._connections_by_server[server]

    async def accepts_connections(self, server: DiscoveredServer) -> bool:
        """Whether a server takes a new connection; not if its registration has ended."""
        connections = self._connections_by_server.get(server.server)
        return connections is not None and await connections.accepts_connections()

    def latency_of(self, route: str, objective_s: float) -> RouteLatency:
        """Recent service times of a route."""
        latency = self._latency_by_route.get(route)
        if latency is None:
            latency = RouteLatency(self._clock, FIRST_GUESS_SHARE * objective_s)
            self._latency_by_route[route] = latency
        return latency

    def close_idle(self) -> None:
        """Close every connection on which nothing is asked."""
        for connections in self._connections_by_server.values():
            connections.close_idle()

    def _start(self, server: DiscoveredServer) -> None:
        self._load_by_server[server.server] = ServerLoad(self._clock, server.slots)
        self._connections_by_server[server.server] = ServerConnections(
            server.address, server.pool, self._metrics
        )

    def _end(self, server: DiscoveredServer) -> None:
        self._load_by_server.pop(server.server, None)
        connections = self._connections_by_server.pop(server.server, None)
        if connections is not None:
            connections.close()
