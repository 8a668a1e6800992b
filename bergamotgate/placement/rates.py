"""Request rates that backend servers state for all VMs together, learned from their replies."""

from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics

__all__ = ["RateLimiter"]

# Shortest time between two log lines about the same server.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class _StatedRate:
    """The rate that one server states.

    Attributes:
        rate_per_s: Requests per second, for all VMs together.
        stated_at: Time on the local clock of the newest reply that states it.
        sent: Requests of this VM since the last log line.
        reported_at: Time on the local clock of the last log line.
    """

    rate_per_s: float
    stated_at: float
    sent: int
    reported_at: float


class RateLimiter:
    """The rate of each server that states one, and how many requests this VM sends to it."""

    def __init__(self, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._stated_by_server: dict[str, _StatedRate] = {}

    def stated(self) -> dict[str, float]:
        """Requests per second by the server that states them."""
        return {server: stated.rate_per_s for server, stated in self._stated_by_server.items()}

    def note_reply(
        self, server: DiscoveredServer, rate_per_s: float | None, sent_at: float
    ) -> None:
        """Record what a reply states.

        Args:
            server: The server that replied.
            rate_per_s: The rate that it states; None if it states none.
            sent_at: Time on the local clock at which the request was sent. A reply without a rate
                to a request sent before the server stated one may be older than that statement.
        """
        stated = self._stated_by_server.get(server.server)
        now = self._clock.now()
        if rate_per_s is None:
            if stated is not None and sent_at > stated.stated_at:
                self.forget(server.server)
                self._log(server, None, "placement: Server states no request rate any more.")
        elif stated is None:
            stated = _StatedRate(rate_per_s, now, 0, now)
            self._stated_by_server[server.server] = stated
            self._log(server, stated, "placement: Server states a request rate.")
        else:
            stated.rate_per_s = rate_per_s
            stated.stated_at = now
            self._report(server, stated, now)

    def note_sent(self, server: DiscoveredServer) -> None:
        """Count a request to a server, if it states a rate."""
        stated = self._stated_by_server.get(server.server)
        if stated is not None:
            stated.sent += 1
            self._metrics.rate_limited.labels(server.pool, "sent").inc()

    def forget(self, server: str) -> None:
        """Remove the state of a server."""
        self._stated_by_server.pop(server, None)

    def _report(self, server: DiscoveredServer, stated: _StatedRate, now: float) -> None:
        if now - stated.reported_at >= REPORT_INTERVAL_S:
            self._log(server, stated, "placement: Requests to a server that states a rate.")
            stated.sent = 0
            stated.reported_at = now

    def _log(self, server: DiscoveredServer, stated: _StatedRate | None, message: str) -> None:
        fields = {"server": server.server, "pool": server.pool}
        if stated is not None:
            fields |= {"rate_per_s": stated.rate_per_s, "sent": stated.sent}
        logger.bind(**fields).info(message)
