"""Chooses the server that is expected to finish first, the own zone's before others."""

import random
from collections.abc import Callable, Collection

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import PoolRules
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.placement.cold import ColdStartLimiter
from bergamotgate.placement.load import RouteLatency, ServerLoad

__all__ = ["ServerChooser"]

# What a reply from another zone costs beside its round trip, as seconds of waiting.
OTHER_ZONE_COST_S = 0.025
# Slowness of a cold server without a stated limit, until it has been observed.
COLD_SLOWNESS = 1.6
# Part of a server's connections that the fleet uses; dead ones still count at the server.
USED_CONNECTIONS = 0.8
LEAST_IN_FLIGHT = 2
# A server that should be avoided is still used when nothing else is left.
AVOIDED_COST_S = 10.0


class ServerChooser:
    """Picks servers for the sub-requests of this VM."""

    def __init__(
        self,
        zone: str,
        registry: ServerRegistry,
        load_of: Callable[[str], ServerLoad],
        cold: ColdStartLimiter,
        vm_count: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ):
        self._zone = zone
        self._registry = registry
        self._load_of = load_of
        self._cold = cold
        self._vm_count = vm_count
        self._clock = clock
        self._rng = rng

    def choose(
        self,
        rules: PoolRules,
        latency: RouteLatency,
        tried: Collection[str] = (),
        among: Collection[str] | None = None,
    ) -> DiscoveredServer | None:
        """The best server of a pool that was not tried yet, or None.

        Args:
            rules: Rules of the pool.
            latency: Recent service times of the route.
            tried: Servers that must not be chosen.
            among: The only servers that may be chosen; None for all.
        """
        candidates = self._candidates(rules, tried, among)
        while candidates:
            best = self._cheapest(candidates, latency)
            if self._cold_allows(best, rules):
                return best
            candidates.remove(best)
        return None

    def has_servers(self, pool: str) -> bool:
        """Whether any server of a pool takes new work."""
        return self._registry.has_usable(pool)

    def _candidates(
        self, rules: PoolRules, tried: Collection[str], among: Collection[str] | None
    ) -> list[DiscoveredServer]:
        most = self._most_in_flight(rules)
        return [
            server
            for server in self._registry.usable(rules.name)
            if server.server not in tried
            and (among is None or server.server in among)
            and len(self._load_of(server.server).in_flight) < most
        ]

    def _cheapest(
        self, candidates: list[DiscoveredServer], latency: RouteLatency
    ) -> DiscoveredServer:
        if len(candidates) == 1:
            return candidates[0]
        now = self._clock.now()
        costs_s = [self._cost_s(server, latency, now) for server in candidates]
        least_s = min(costs_s)
        cheapest = [s for s, cost_s in zip(candidates, costs_s, strict=True) if cost_s == least_s]
        # Any of them, so that VMs do not agree on the order of equals.
        return cheapest[0] if len(cheapest) == 1 else self._rng.choice(cheapest)

    def _cost_s(self, server: DiscoveredServer, latency: RouteLatency, now: float) -> float:
        load = self._load_of(server.server)
        cost_s = load.expected_s(latency.median_s, now)
        if self._registry.cold_left_s(server.server) > 0:
            cost_s *= COLD_SLOWNESS
        if server.zone != self._zone:
            cost_s += OTHER_ZONE_COST_S
        if load.avoided(now):
            cost_s += AVOIDED_COST_S
        return cost_s

    def _most_in_flight(self, rules: PoolRules) -> int:
        share = USED_CONNECTIONS * rules.max_connections / max(1, self._vm_count())
        return max(LEAST_IN_FLIGHT, int(share))

    def _cold_allows(self, server: DiscoveredServer, rules: PoolRules) -> bool:
        if rules.cold_requests_per_s <= 0 or self._registry.cold_left_s(server.server) <= 0:
            return True
        return self._cold.take(server.server, rules.cold_requests_per_s)
