"""Chooses the server with the least expected latency, preferring this VM's own zone."""

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import PoolRules
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.placement.cold import ColdStartLimiter
from bergamotgate.placement.load import RouteLatency, ServerLoad
from bergamotgate.placement.rates import RateLimiter

__all__ = ["Reservation", "ServerChooser"]

# Cost of a reply from another zone beside its round-trip time, expressed as latency.
OTHER_ZONE_PENALTY_S = 0.025
# Latency factor of a server during its whole cold start, in addition to its observed slowness. It
# applies with and without a configured cold-start rate.
COLD_SLOWNESS = 1.6
# Share of a server's connection limit that the fleet uses; dead connections still count at the
# server.
USED_CONNECTION_SHARE = 0.8
MIN_IN_FLIGHT = 2
# A server in backoff is still used when no other is left.
BACKOFF_PENALTY_S = 10.0
# Callers of a paused pool return over this share of the pause, and at least over this time.
PAUSE_SPREAD_SHARE = 0.25
MIN_PAUSE_SPREAD_S = 0.2


@dataclass(frozen=True)
class Reservation:
    """A slot at a server that states a request rate.

    Attributes:
        server: The server.
        at: Time on the local clock from which the request may be sent.
    """

    server: DiscoveredServer
    at: float


class ServerChooser:
    """Chooses servers for the sub-requests of this VM."""

    def __init__(
        self,
        zone: str,
        registry: ServerRegistry,
        load_of: Callable[[str], ServerLoad],
        cold: ColdStartLimiter,
        rates: RateLimiter,
        is_delegated: Callable[[DiscoveredServer], bool],
        vm_count: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ):
        """Initialize.

        Args:
            zone: This VM's availability zone.
            registry: Registered servers.
            load_of: Returns the load of a server.
            cold: Limits requests to cold servers.
            rates: Limits requests to servers that state a rate.
            is_delegated: Whether sub-requests of queries to a server go through a delegate now.
            vm_count: Returns the number of VMs.
            clock: Source of the current time.
            rng: Breaks ties.
        """
        self._zone = zone
        self._registry = registry
        self._load_of = load_of
        self._cold = cold
        self._rates = rates
        self._is_delegated = is_delegated
        self._vm_count = vm_count
        self._clock = clock
        self._rng = rng

    def choose(
        self,
        rules: PoolRules,
        latency: RouteLatency,
        excluded: Collection[str] = (),
        allowed: Collection[str] | None = None,
        delegable: bool = False,
    ) -> DiscoveredServer | None:
        """Return the best server of a pool that may get a request now, or None.

        Args:
            rules: Rules of the pool.
            latency: Recent service times of the route.
            excluded: Servers that must not be chosen.
            allowed: The only servers that may be chosen; None for all.
            delegable: Whether the request may go through a delegate, which then limits its rate.
        """
        candidates = self._candidates(rules, excluded, allowed)
        if self._rates.active:
            candidates = [c for c in candidates if self._rate_delay_s(c, delegable) <= 0]
        while candidates:
            best = self._cheapest(candidates, latency)
            if self._cold_limit_allows(best, rules):
                return best
            candidates.remove(best)
        return None

    def has_servers(self, pool: str, excluded: Collection[str] = ()) -> bool:
        """Return whether any server of a pool, apart from those excluded, accepts new requests."""
        if not excluded:
            return self._registry.has_usable(pool)
        return any(server.server not in excluded for server in self._registry.usable(pool))

    def rate_delay_s(
        self, pool: str, excluded: Collection[str] = (), delegable: bool = False
    ) -> float:
        """Return the seconds until the stated rates allow a request to any server of a pool.

        Infinite if the pool has no server apart from those excluded.
        """
        if not self._rates.active:
            return 0.0 if self.has_servers(pool, excluded) else math.inf
        servers = [s for s in self._registry.usable(pool) if s.server not in excluded]
        return min((self._rate_delay_s(s, delegable) for s in servers), default=math.inf)

    def rate_retry_s(
        self, pool: str, excluded: Collection[str] = (), delegable: bool = False
    ) -> float:
        """Return the seconds after which a request that the stated rates refuse should come again.

        It may come to another VM, which has a part of the rates of its own.
        """
        servers = [s for s in self._registry.usable(pool) if s.server not in excluded]
        return min((self._rate_retry_s(s, delegable) for s in servers), default=math.inf)

    def pause_retry_s(
        self, pool: str, excluded: Collection[str] = (), delegable: bool = False
    ) -> float:
        """Return the seconds after which a request should come again if all servers want a pause.

        0 if the pool has a server apart from those excluded that takes requests now; infinite if
        none is to come back. The time is spread, so that callers do not return all at once.
        """
        if self.has_servers(pool, excluded):
            return 0.0
        left_s = self._registry.pause_left_s(pool)
        return left_s + self._rng.uniform(0, max(MIN_PAUSE_SPREAD_S, PAUSE_SPREAD_SHARE * left_s))

    def reserve(
        self, pool: str, latest_at: float, excluded: Collection[str] = ()
    ) -> Reservation | None:
        """Reserve the first slot of a pool's servers; None if there is none until ``latest_at``."""
        servers = [s for s in self._registry.usable(pool) if s.server not in excluded]
        if not servers:
            return None
        first = min(servers, key=self._rates.delay_s)
        at = self._rates.reserve(first, latest_at)
        return None if at is None else Reservation(first, at)

    def _rate_delay_s(self, server: DiscoveredServer, delegable: bool) -> float:
        if delegable and self._is_delegated(server):
            return self._rates.delegate_delay_s(server)
        return self._rates.delay_s(server)

    def _rate_retry_s(self, server: DiscoveredServer, delegable: bool) -> float:
        return min(self._rate_delay_s(server, delegable), self._rates.fleet_interval_s(server))

    def is_usable(self, server: DiscoveredServer) -> bool:
        """Return whether a server, in the lifetime that was chosen, still accepts requests."""
        known = self._registry.get(server.server)
        return (
            known is not None and known.same_lifetime(server) and self._registry.takes_work(known)
        )

    def _candidates(
        self, rules: PoolRules, excluded: Collection[str], allowed: Collection[str] | None
    ) -> list[DiscoveredServer]:
        max_in_flight = self._max_in_flight(rules)
        return [
            server
            for server in self._registry.usable(rules.name)
            if server.server not in excluded
            and (allowed is None or server.server in allowed)
            and len(self._load_of(server.server).in_flight) < max_in_flight
        ]

    def _cheapest(
        self, candidates: list[DiscoveredServer], latency: RouteLatency
    ) -> DiscoveredServer:
        if len(candidates) == 1:
            return candidates[0]
        now = self._clock.now()
        costs_s = [self._cost_s(server, latency, now) for server in candidates]
        min_cost_s = min(costs_s)
        cheapest = [
            candidate
            for candidate, cost_s in zip(candidates, costs_s, strict=True)
            if cost_s == min_cost_s
        ]
        # Ties are broken at random, so that VMs do not all choose the same server.
        return cheapest[0] if len(cheapest) == 1 else self._rng.choice(cheapest)

    def _cost_s(self, server: DiscoveredServer, latency: RouteLatency, now: float) -> float:
        load = self._load_of(server.server)
        cost_s = load.expected_s(latency.median_s, now)
        if self._registry.cold_left_s(server.server) > 0:
            cost_s *= COLD_SLOWNESS
        if server.zone != self._zone:
            cost_s += OTHER_ZONE_PENALTY_S
        if load.in_backoff(now):
            cost_s += BACKOFF_PENALTY_S
        return cost_s

    def _max_in_flight(self, rules: PoolRules) -> int:
        share = USED_CONNECTION_SHARE * rules.max_connections / max(1, self._vm_count())
        return max(MIN_IN_FLIGHT, int(share))

    def _cold_limit_allows(self, server: DiscoveredServer, rules: PoolRules) -> bool:
        if rules.cold_requests_per_s <= 0 or self._registry.cold_left_s(server.server) <= 0:
            return True
        return self._cold.take(server.server, rules.cold_requests_per_s)
