"""Chooses the VMs that a client should connect to.

Most traffic flows between a VM and the backend servers, so a client is directed to VMs in zones
that hold servers: to those of its own zone if it is one of them.
"""

import random
from collections import Counter
from collections.abc import Callable

from bergamotgate.config.catalogue import Catalogue
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.membership.capacity import largest_members
from bergamotgate.membership.members import Member, MemberState, MemberTable

__all__ = ["ADDRESSES_TTL_S", "ClientDirectory", "MAX_ADDRESSES", "allowance_divisor"]

# Clients cache an answer for this time, some of them for three times as long.
ADDRESSES_TTL_S = 2
MAX_ADDRESSES = 64
# Clients are not directed to a zone with less than this share of the fullest zone's servers.
MIN_ZONE_SHARE = 0.5
# Share of a fleet-wide allowance for the VMs that should send nothing: some clients still use an
# older answer, and local views differ.
OTHER_VMS_SHARE = 0.1


def allowance_divisor(own_vm: str, users: frozenset[str], vm_count: int) -> float:
    """Return the number by which a VM divides an allowance of the fleet to get its own part.

    Args:
        own_vm: Name of the VM.
        users: VMs that should use the allowance.
        vm_count: Number of all VMs; those that are no users share a small part.
    """
    other_count = vm_count - len(users)
    if own_vm not in users:
        return max(1, other_count) / OTHER_VMS_SHARE
    return len(users) / (1 - OTHER_VMS_SHARE) if other_count > 0 else len(users)


class ClientDirectory:
    """Chooses the addresses of VMs by the client's zone."""

    def __init__(
        self,
        members: MemberTable,
        registry: ServerRegistry,
        catalogue: Callable[[], Catalogue | None],
        rng: random.Random,
    ):
        self._members = members
        self._registry = registry
        self._catalogue = catalogue
        self._rng = rng

    def addresses(self, zone: str) -> list[str]:
        """Client-facing addresses of VMs, in random order; empty when none is known."""
        members = [m for m in self._members.all() if m.state is MemberState.ALIVE]
        chosen = self._largest_in_zone(members, self._choose_zone(members, zone))
        self._rng.shuffle(chosen)
        return [member.http for member in chosen[:MAX_ADDRESSES]]

    def effective_fleet_size(self) -> float:
        """Number of VMs with as many clients as this one that would make up the fleet.

        Each VM divides fleet-wide allowances by this number.
        """
        serving, vm_count = self.serving_vms(), len(self._reachable_members())
        if len(serving) >= vm_count:
            return max(1, vm_count)  # also for a VM that leaves, which still serves clients
        return allowance_divisor(self._members.own.vm, serving, vm_count)

    def serving_vms(self) -> frozenset[str]:
        """Names of the VMs to which clients are directed."""
        members = self._reachable_members()
        zones = self._zones_with_servers(members) or {member.zone for member in members}
        return frozenset(m.vm for zone in zones for m in self._largest_in_zone(members, zone))

    def _reachable_members(self) -> list[Member]:
        return [m for m in self._members.all() if m.reachable]

    def _largest_in_zone(self, members: list[Member], zone: str | None) -> list[Member]:
        nearby = [member for member in members if member.zone == zone]
        return largest_members(nearby or members)

    def _choose_zone(self, members: list[Member], zone: str) -> str | None:
        """The client's zone if it holds servers, else a random one weighted by its servers."""
        weights = self._zones_with_servers(members)
        if not weights:
            return zone if any(member.zone == zone for member in members) else None
        if zone in weights:
            return zone
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _zones_with_servers(self, members: list[Member]) -> dict[str, int]:
        """Number of servers in each zone that has VMs and enough servers."""
        present = {member.zone for member in members}
        weights = {z: n for z, n in self._servers_by_zone().items() if z in present}
        fullest = max(weights.values(), default=0)
        return {z: n for z, n in weights.items() if n >= MIN_ZONE_SHARE * fullest}

    def _servers_by_zone(self) -> Counter[str]:
        """Usable servers by zone: of sharded routes, or of all routes where none is sharded."""
        catalogue = self._catalogue()
        if catalogue is None:
            return Counter()
        sharded = {p for r in catalogue.routes if r.shards is not None for p in r.shards.pools}
        pools = sharded or set(catalogue.rules_by_pool)
        return Counter(zone for pool in pools for zone in self._registry.zones_of(pool))
