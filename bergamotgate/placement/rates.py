"""Limits requests to servers that state a request rate for all VMs together.

A server states the rate in its replies. Each VM that sends to the server learns it from them and
uses its own part of it. The part is a sequence of slots, one for each request; a slot that is not
used in time expires, so that VMs cannot save requests and send them all at once.

The VM to whose request a server states no rate any more tells its peers: the next slot of a VM with
a small part may be minutes away, and until then it would not learn that the limit has ended.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics

__all__ = ["RateLimiter", "RateShares"]

# Share of the stated rate that is used; leaves room for VMs with different local views of the
# fleet.
USED_RATE_SHARE = 0.9
# Requests per second to a server that states less, even 0: only its replies show that the limit has
# ended.
MIN_RATE_PER_S = 0.2
# Requests per second that no server reaches; what is computed from a greater rate could overflow.
MAX_RATE_PER_S = 1e6
# A slot may be used until the next one starts, within these bounds. The platform counts requests in
# windows of a few seconds.
MIN_SLOT_VALID_S = 1.0
MAX_SLOT_VALID_S = 2.0
# Shortest time between two log lines about the same server.
REPORT_INTERVAL_S = 1.0


class RateShares(Protocol):
    """Divides the rate of a server among the VMs."""

    def divisor(self, server: DiscoveredServer, rate_per_s: float) -> float:
        """Return the number by which this VM divides a server's rate to get its own part."""


@dataclass(slots=True)
class _StatedRate:
    """The rate that one server states, and this VM's slots.

    Attributes:
        rate_per_s: Requests per second, for all VMs together.
        stated_at: Time on the local clock of the newest reply that states it.
        next_slot_at: Start of the first slot that is neither used nor reserved.
        interval_s: Seconds between the starts of two slots when they were last looked at.
        sent: Requests of this VM since the last log line.
        reported_at: Time on the local clock of the last log line.
    """

    rate_per_s: float
    stated_at: float
    next_slot_at: float
    interval_s: float
    sent: int
    reported_at: float


class RateLimiter:
    """This VM's slots at the servers that state a rate."""

    def __init__(self, shares: RateShares, clock: Clock, rng: random.Random, metrics: Metrics):
        self._shares = shares
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._stated_by_server: dict[str, _StatedRate] = {}
        self._declined_until_by_server: dict[str, float] = {}
        self._on_limit_end: list[Callable[[str], None]] = []

    def on_limit_end(self, callback: Callable[[str], None]) -> None:
        """Call back with the server when a reply shows that it states no rate any more."""
        self._on_limit_end.append(callback)

    @property
    def active(self) -> bool:
        """Whether the requests to any server are limited."""
        return bool(self._stated_by_server or self._declined_until_by_server)

    def stated(self) -> dict[str, float]:
        """Requests per second by the server that states them."""
        return {server: stated.rate_per_s for server, stated in self._stated_by_server.items()}

    def delay_s(self, server: DiscoveredServer) -> float:
        """Return the seconds until this VM may send a request to a server itself."""
        stated = self._stated_by_server.get(server.server)
        if stated is None:
            return 0.0
        return max(0.0, self._next_slot_at(server, stated) - self._clock.now())

    def fleet_interval_s(self, server: DiscoveredServer) -> float:
        """Return the seconds between the requests of all VMs that a server's rate allows.

        Infinite if this VM knows of no rate.
        """
        stated = self._stated_by_server.get(server.server)
        return math.inf if stated is None else 1 / max(MIN_RATE_PER_S, stated.rate_per_s)

    def delegate_delay_s(self, server: DiscoveredServer) -> float:
        """Return the seconds until a delegate may have a slot again; it declined one before."""
        until = self._declined_until_by_server.get(server.server)
        if until is None:
            return 0.0
        left_s = until - self._clock.now()
        if left_s <= 0:
            del self._declined_until_by_server[server.server]
        return max(0.0, left_s)

    def take(self, server: DiscoveredServer) -> bool:
        """Take a slot for a request that is sent now; return whether there was one."""
        return self.reserve(server, self._clock.now()) is not None

    def reserve(self, server: DiscoveredServer, latest_at: float) -> float | None:
        """Reserve the first free slot.

        Args:
            server: The server.
            latest_at: Latest useful start of the slot on the local clock.

        Returns:
            When the request may be sent; None if there is no slot until ``latest_at``.
        """
        stated = self._stated_by_server.get(server.server)
        now = self._clock.now()
        if stated is None:
            return now
        slot_at = self._next_slot_at(server, stated)
        if slot_at > latest_at:
            return None
        stated.next_slot_at = slot_at + stated.interval_s
        stated.sent += 1
        self._metrics.rate_limited.labels(server.pool, "sent").inc()
        return max(now, slot_at)

    def note_declined(self, server: DiscoveredServer, retry_s: float) -> None:
        """Record that a delegate had no slot, and after how many seconds it has the next one."""
        self._metrics.rate_limited.labels(server.pool, "declined").inc()
        self._declined_until_by_server[server.server] = self._clock.now() + retry_s

    def note_reply(
        self, server: DiscoveredServer, rate_per_s: float | None, sent_at: float
    ) -> None:
        """Record what a reply to a request of this VM states.

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
                for callback in self._on_limit_end:
                    callback(server.server)
        elif stated is None:
            self._start(server, min(rate_per_s, MAX_RATE_PER_S), now)
        else:
            stated.rate_per_s = min(rate_per_s, MAX_RATE_PER_S)
            stated.stated_at = now
            self._report(server, stated, now)

    def forget(self, server: str) -> None:
        """Send to a server as if it had never stated a rate; its next reply may state one again."""
        self._stated_by_server.pop(server, None)
        self._declined_until_by_server.pop(server, None)

    def _start(self, server: DiscoveredServer, rate_per_s: float, now: float) -> None:
        interval_s = self._interval_s(server, rate_per_s)
        # VMs learn of the rate at the same time; their first slots must not coincide.
        first_slot_at = now + self._rng.random() * interval_s
        stated = _StatedRate(rate_per_s, now, first_slot_at, interval_s, 0, now)
        self._stated_by_server[server.server] = stated
        self._log(server, stated, "placement: Server states a request rate.")

    def _interval_s(self, server: DiscoveredServer, rate_per_s: float) -> float:
        used_rate_per_s = USED_RATE_SHARE * max(MIN_RATE_PER_S, rate_per_s)
        return self._shares.divisor(server, used_rate_per_s) / used_rate_per_s

    def _next_slot_at(self, server: DiscoveredServer, stated: _StatedRate) -> float:
        """Start of the first free slot that has not expired."""
        now = self._clock.now()
        interval_s = self._interval_s(server, stated.rate_per_s)
        ahead_s = stated.next_slot_at - now
        if ahead_s > 0 and interval_s != stated.interval_s:
            stated.next_slot_at = now + ahead_s * interval_s / stated.interval_s
        stated.interval_s = interval_s
        valid_s = min(MAX_SLOT_VALID_S, max(MIN_SLOT_VALID_S, interval_s))
        expired_s = now - valid_s - stated.next_slot_at
        if expired_s > 0:
            stated.next_slot_at += math.ceil(expired_s / interval_s) * interval_s
        return stated.next_slot_at

    def _report(self, server: DiscoveredServer, stated: _StatedRate, now: float) -> None:
        if stated.sent and now - stated.reported_at >= REPORT_INTERVAL_S:
            self._log(server, stated, "placement: Requests to a server that states a rate.")
            stated.sent = 0
            stated.reported_at = now

    def _log(self, server: DiscoveredServer, stated: _StatedRate | None, message: str) -> None:
        fields = {"server": server.server, "pool": server.pool}
        if stated is not None:
            fields |= {
                "rate_per_s": stated.rate_per_s,
                "own_rate_per_s": round(1 / stated.interval_s, 2),
                "sent": stated.sent,
            }
        logger.bind(**fields).info(message)
