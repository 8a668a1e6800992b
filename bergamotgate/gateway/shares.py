"""Divides the rate that a server states for all VMs together among the VMs that send to it."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import Catalogue
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.gateway.directory import ClientDirectory, allowance_divisor
from bergamotgate.membership.capacity import largest_members
from bergamotgate.membership.members import Member, MemberTable
from bergamotgate.ownership.rendezvous import rank

__all__ = ["SenderShares"]

# The VMs that serve clients change with the servers too, though seldom.
REFRESH_INTERVAL_S = 1.0
# So few VMs share a rate that each may send at least once in this time: a VM with a smaller part
# would leave most of it unused.
MAX_SEND_INTERVAL_S = 2.0


@dataclass(frozen=True)
class _RateUse:
    """Who may share a server's rate: at most so many of the VMs that send to it."""

    server: str
    max_senders: int


class SenderShares:
    """This VM's part of the rate of any server.

    Sub-requests of queries go through the largest VMs of the server's zone, directly or as
    delegates, so these share most of the rate. Other requests come from the VMs that serve clients,
    and prefer a server of their own zone: those of the server's zone and of zones without a server
    of its pool share most of the rate.
    """

    def __init__(
        self,
        members: MemberTable,
        registry: ServerRegistry,
        directory: ClientDirectory,
        catalogue: Callable[[], Catalogue | None],
        clock: Clock,
    ):
        self._members = members
        self._registry = registry
        self._directory = directory
        self._catalogue = catalogue
        self._clock = clock
        self._members_version = -1
        self._refreshed_at = float("-inf")
        self._vm_count = 0
        self._sharded_pools: frozenset[str] = frozenset()
        self._senders_by_zone: dict[str, frozenset[str]] = {}
        self._serving: frozenset[Member] = frozenset()
        # Cached until the next refresh, as each sub-request to such a server reads it.
        self._divisor_by_use: dict[_RateUse, float] = {}

    def divisor(self, server: DiscoveredServer, rate_per_s: float) -> float:
        """Return the number by which this VM divides a server's rate to get its own part."""
        self._refresh()
        use = _RateUse(server.server, max(1, int(rate_per_s * MAX_SEND_INTERVAL_S)))
        divisor = self._divisor_by_use.get(use)
        if divisor is None:
            senders = self._senders_to(server)
            if len(senders) > use.max_senders:
                ranked = rank(f"rate/{server.server}", sorted(senders))
                senders = frozenset(ranked[: use.max_senders])
            divisor = allowance_divisor(self._members.own.vm, senders, self._vm_count)
            self._divisor_by_use[use] = divisor
        return divisor

    def _senders_to(self, server: DiscoveredServer) -> frozenset[str]:
        """Return the VMs that send most requests to a server."""
        if server.pool in self._sharded_pools and server.zone in self._senders_by_zone:
            return self._senders_by_zone[server.zone]
        served_zones = set(self._registry.zones_of(server.pool)) - {server.zone}
        near = frozenset(m.vm for m in self._serving if m.zone not in served_zones)
        return near or frozenset(m.vm for m in self._serving)

    def _refresh(self) -> None:
        now = self._clock.now()
        if (
            self._members_version == self._members.version
            and now - self._refreshed_at < REFRESH_INTERVAL_S
        ):
            return
        self._members_version = self._members.version
        self._refreshed_at = now
        self._divisor_by_use.clear()
        catalogue = self._catalogue()
        routes = catalogue.routes if catalogue is not None else ()
        self._sharded_pools = frozenset(
            pool for route in routes if route.shards is not None for pool in route.shards.pools
        )
        reachable = [member for member in self._members.all() if member.reachable]
        self._vm_count = len(reachable)
        self._senders_by_zone = {
            zone: frozenset(m.vm for m in largest_members([m for m in reachable if m.zone == zone]))
            for zone in {member.zone for member in reachable}
        }
        serving = self._directory.serving_vms()
        self._serving = frozenset(member for member in reachable if member.vm in serving)
