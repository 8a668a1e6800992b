"""Parses the VM list, which names the VMs that may take part in the fleet.

A listed VM need not be alive; a VM that is not listed has left the fleet permanently.
"""

import json
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from bergamotgate.config.delta import digest_of
from bergamotgate.config.fields import Fields, Problems, parse_json
from bergamotgate.errors import VmListRejected

__all__ = ["ListedVm", "VmList", "VmStanding", "read_vm_list"]


class VmStanding(StrEnum):
    """State of a VM as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedVm:
    """One VM of the list.

    Attributes:
        vm: Name, unique in the list.
        zone: Availability zone.
        peer: ``ip:port`` for other VMs, TCP and UDP.
        http: ``ip:port`` for callers.
        standing: State as the platform lists it.
    """

    vm: str
    zone: str
    peer: str
    http: str
    standing: VmStanding


@dataclass(frozen=True)
class VmList:
    """One accepted VM list."""

    revision: int
    digest: str
    text: str
    vm_by_name: dict[str, ListedVm]

    @cached_property
    def live_names(self) -> tuple[str, ...]:
        """Names of the VMs that are listed as live, sorted."""
        live = (vm.vm for vm in self.vm_by_name.values() if vm.standing is VmStanding.LIVE)
        return tuple(sorted(live))


def read_vm_list(revision: int, text: str) -> VmList:
    """Parse and validate a published VM list.

    Raises:
        VmListRejected: Holds every error found.
    """
    problems = Problems()
    top = Fields(parse_json(text, problems), "", problems)
    listed = top.raw("vms", [])
    top.finish()
    if not isinstance(listed, list):
        problems.add("vms", "a list of VMs", listed)
        listed = []
    vms = [_read_vm(Fields(item, f"vms[{n}]", problems)) for n, item in enumerate(listed)]
    for kind in ("vm", "peer", "http"):
        _check_unique(kind, [getattr(vm, kind) for vm in vms], problems)
    if problems.found:
        raise VmListRejected("VM list", tuple(problems.found))
    canonical = json.dumps(listed, sort_keys=True)
    return VmList(revision, digest_of(canonical), text, {vm.vm: vm for vm in vms})


def _read_vm(fields: Fields) -> ListedVm:
    vm = ListedVm(
        vm=fields.text("vm"),
        zone=fields.text("zone"),
        peer=fields.address("peer"),
        http=fields.address("http"),
        standing=fields.choice("standing", VmStanding, VmStanding.LIVE),
    )
    fields.finish()
    return vm


def _check_unique(kind: str, values: list[str], problems: Problems) -> None:
    for value in sorted({value for value in values if values.count(value) > 1}):
        problems.add("vms", f"each {kind} once", value)
