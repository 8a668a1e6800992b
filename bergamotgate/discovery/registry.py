"""Registry of the backend servers that exist now, by pool.

A registration that vanishes means that the server is gone, with one exception: during a store
outage, registrations lapse though their servers are alive. A server whose registration vanishes
shortly after the store's recovery is therefore kept for a grace period, in which a live server
registers again.
"""

import math
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.discovery.servers import DiscoveredServer, ServerStanding
from bergamotgate.discovery.statements import (
    DEFAULT_MAX_PAUSE_S,
    ServerStatement,
    ServerStatements,
)

__all__ = ["LAPSE_GRACE_S", "ServerRegistry"]

# The platform guarantees that lapsed registrations return within about 2 s of the store's
# recovery.
LAPSE_GRACE_S = 2.2

OnServer = Callable[[DiscoveredServer], None]


class ServerRegistry:
    """Servers by identifier and by pool, and the zones out of service.

    It is the one place that tells whether a server takes a request now: by its registration, by the
    zones out of service, and by what the server said of itself in replies.
    """

    def __init__(self, clock: Clock, max_pause_s: float = DEFAULT_MAX_PAUSE_S):
        """Create an empty registry.

        Args:
            clock: Source of the current time.
            max_pause_s: Longest pause in seconds that a server may ask for.
        """
        self._clock = clock
        self._server_by_id: dict[str, DiscoveredServer] = {}
        self._servers_by_pool: dict[str, dict[str, DiscoveredServer]] = {}
        self._lapsed_at_by_id: dict[str, float] = {}
        self._cold_until_by_id: dict[str, float] = {}
        self._start_listeners: list[OnServer] = []
        self._end_listeners: list[OnServer] = []
        self._zones_out: frozenset[str] = frozenset()
        self._statements = ServerStatements(clock, max_pause_s, self._forget_usable)
        # Cached until a change, as each sub-request reads it.
        self._usable_by_pool: dict[str, list[DiscoveredServer]] = {}

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones whose servers get no new requests."""
        return self._zones_out

    @zones_out.setter
    def zones_out(self, zones: frozenset[str]) -> None:
        self._zones_out = zones
        self._usable_by_pool.clear()

    def on_start(self, listener: OnServer) -> None:
        """Call a listener with each server lifetime that begins."""
        self._start_listeners.append(listener)

    def on_end(self, listener: OnServer) -> None:
        """Call a listener with each server lifetime that ended."""
        self._end_listeners.append(listener)

    def get(self, server: str) -> DiscoveredServer | None:
        """The server of that identifier, or None."""
        return self._server_by_id.get(server)

    def count(self) -> int:
        """Number of registered servers."""
        return len(self._server_by_id)

    def takes_work(self, server: DiscoveredServer) -> bool:
        """Whether a server takes new requests now."""
        return self._is_in_service(server) and self._statements.wait_s(server.server) <= 0

    def _is_in_service(self, server: DiscoveredServer) -> bool:
        return server.standing is ServerStanding.READY and server.zone not in self.zones_out

    def wait_s(self, server: DiscoveredServer) -> float:
        """Seconds until a server takes new requests, as it said in its replies; infinite if never.

        Its registration and its zone are not considered.
        """
        return self._statements.wait_s(server.server)

    def pause_left_s(self, pool: str) -> float:
        """Seconds until the first paused server of a pool takes requests; infinite without one."""
        servers = self._servers_by_pool.get(pool, {}).values()
        waits_s = (self.wait_s(server) for server in servers if self._is_in_service(server))
        return min((wait_s for wait_s in waits_s if wait_s > 0), default=math.inf)

    def note_statement(self, server: DiscoveredServer, statement: ServerStatement) -> bool:
        """Record what a reply says of its server, unless that lifetime has ended.

        Returns:
            Whether it keeps requests from the server that would have been sent before.
        """
        known = self._server_by_id.get(server.server)
        if known is None or not known.same_lifetime(server):
            return False
        if not self._statements.note(server.server, statement):
            return False
        fields = {"server": server.server, "pool": server.pool, "pause_s": statement.pause_s}
        logger.bind(**fields).info(
            "discovery: Server {}.", "leaves" if statement.leaving else "asks for a pause"
        )
        return True

    def _forget_usable(self, server: str) -> None:
        known = self._server_by_id.get(server)
        if known is not None:
            self._usable_by_pool.pop(known.pool, None)

    def usable(self, pool: str) -> list[DiscoveredServer]:
        """Servers of a pool that take new requests; not to be modified."""
        self._statements.expire()
        usable = self._usable_by_pool.get(pool)
        if usable is None:
            servers = self._servers_by_pool.get(pool, {}).values()
            usable = [server for server in servers if self.takes_work(server)]
            self._usable_by_pool[pool] = usable
        return usable

    def has_usable(self, pool: str) -> bool:
        """Whether any server of a pool takes new requests."""
        return bool(self.usable(pool))

    def zones_of(self, pool: str) -> list[str]:
        """The zone of each server of a pool that takes new requests."""
        return [server.zone for server in self.usable(pool)]

    def cold_left_s(self, server: str) -> float:
        """Seconds for which a server stays cold, as it reported; 0 when it is warm."""
        cold_until = self._cold_until_by_id.get(server)
        return 0.0 if cold_until is None else max(0.0, cold_until - self._clock.now())

    def note_cold(self, server: str, cold_ms: int) -> None:
        """Record how long a server reports to stay cold."""
        if cold_ms > 0:
            self._cold_until_by_id[server] = self._clock.now() + cold_ms / 1000
        else:
            self._cold_until_by_id.pop(server, None)

    def register(self, server: DiscoveredServer) -> None:
        """Add or update a registration; a lifetime that drains does not become ready again."""
        known = self._server_by_id.get(server.server)
        if known is not None and _is_older_standing(server, known):
            logger.warning("discovery: Ignored that draining server {} is ready.", server.server)
            return
        self._lapsed_at_by_id.pop(server.server, None)
        if known is not None and not known.same_lifetime(server):
            self._remove(known)
            known = None
        self._server_by_id[server.server] = server
        self._servers_by_pool.setdefault(server.pool, {})[server.server] = server
        self._usable_by_pool.pop(server.pool, None)
        self.note_cold(server.server, server.cold_ms)
        if known is None:
            logger.info("discovery: Server {} of {} registered.", server.server, server.pool)
            for listener in self._start_listeners:
                listener(server)
        elif known.standing is not server.standing:
            standing = server.standing.name.lower()
            logger.info("discovery: Server {} of {} is {}.", server.server, server.pool, standing)

    def withdraw(self, server: str, lapse_possible: bool) -> None:
        """Process a registration that has vanished.

        Args:
            server: Identifier.
            lapse_possible: Whether a recent store outage may have made it lapse.
        """
        known = self._server_by_id.get(server)
        if known is None:
            return
        if lapse_possible and known.standing is ServerStanding.READY:
            self._lapsed_at_by_id.setdefault(server, self._clock.now())
            logger.info(
                "discovery: Registration of {} lapsed; keeping it for a grace period.", server
            )
            return
        self._remove(known)

    def expire(self) -> None:
        """Remove lapsed servers that did not register again within the grace period."""
        oldest = self._clock.now() - LAPSE_GRACE_S
        for server, lapsed_at in list(self._lapsed_at_by_id.items()):
            if lapsed_at < oldest:
                self._remove(self._server_by_id[server])

    def _remove(self, server: DiscoveredServer) -> None:
        self._server_by_id.pop(server.server, None)
        self._servers_by_pool.get(server.pool, {}).pop(server.server, None)
        self._usable_by_pool.pop(server.pool, None)
        self._lapsed_at_by_id.pop(server.server, None)
        self._cold_until_by_id.pop(server.server, None)
        self._statements.forget(server.server)
        logger.info("discovery: Server {} of {} is gone.", server.server, server.pool)
        for listener in self._end_listeners:
            listener(server)


def _is_older_standing(server: DiscoveredServer, known: DiscoveredServer) -> bool:
    """Whether a registration is from before the known one of the same lifetime began to drain."""
    return (
        server.started_ms != 0
        and known.same_lifetime(server)
        and known.standing is ServerStanding.DRAINING
        and server.standing is ServerStanding.READY
    )
