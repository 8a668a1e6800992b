"""Selects the VMs that a caller should send requests to, in order of preference."""

import random
from dataclasses import dataclass

from bergamotgate.config.tablestore import TableStore
from bergamotgate.membership.liststore import VmListStore
from bergamotgate.membership.members import MemberState, MemberTable
from bergamotgate.membership.vmlist import VmStanding

__all__ = ["ADDRESSES_TTL_S", "Address", "AddressDirectory"]

ADDRESSES_TTL_S = 5
MAX_ADDRESSES = 32


@dataclass(frozen=True)
class Address:
    """A VM that callers may use.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        http: ``ip:port`` for callers.
    """

    vm: str
    zone: str
    http: str


class AddressDirectory:
    """Lists the VMs that accept requests according to the local view."""

    def __init__(
        self,
        members: MemberTable,
        tables: TableStore,
        vm_lists: VmListStore,
        rng: random.Random,
    ):
        self._members = members
        self._tables = tables
        self._vm_lists = vm_lists
        self._rng = rng

    def usable(self, zone: str) -> list[Address]:
        """Return VMs that accept requests: the caller's zone first, otherwise in random order."""
        addresses = [
            Address(m.vm, m.zone, m.http)
            for m in self._members.all()
            if m.state is MemberState.ALIVE and self.takes_requests(m.vm, m.zone)
        ]
        self._rng.shuffle(addresses)
        addresses.sort(key=lambda address: address.zone != zone)
        return addresses[:MAX_ADDRESSES]

    def takes_requests(self, vm: str, zone: str) -> bool:
        """Whether the tables and the VM list allow a VM to accept requests."""
        tables = self._tables.tables
        if tables is not None and not tables.zone_is_in(zone):
            return False
        vm_list = self._vm_lists.vm_list
        entry = vm_list.vm_by_name.get(vm) if vm_list is not None else None
        # A VM that is not in the list yet has answered probes, so callers may use it.
        return entry is None or entry.standing is VmStanding.LIVE
