"""Maps each group of backend servers to two VMs: a first owner and a second as its standby.

The mapping is a pure function of the tables, the VM list and the VMs that have departed: those that
announced that they left and those whose process was seen to have ended. A process's local view of
which VMs are alive never moves a group; it only decides which of the two owners serves it.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool, Server, Tables
from bergamotgate.membership.members import MemberTable
from bergamotgate.membership.vmlist import VmList
from bergamotgate.ownership.rendezvous import rank

__all__ = ["MAX_SETTLE_S", "OwnerDirectory", "Ranking", "ServerGroup"]

MAX_SETTLE_S = 5.0


@dataclass(frozen=True)
class ServerGroup:
    """Backend servers of one pool and zone that share their owners."""

    pool: str
    zone: str
    number: int


@dataclass(frozen=True)
class Ranking:
    """The two VMs that may serve a group.

    Attributes:
        first: The first owner, or None when no VM is listed.
        second: The standby, or None when only one VM is listed.
        first_since: When this process first computed this first owner, in seconds on its clock.
        second_since: When this process first computed this pair, in seconds on its clock.
        previous: The preceding first owner, or None when there was none.
    """

    first: str | None
    second: str | None
    first_since: float
    second_since: float
    previous: "PreviousOwner | None" = None


@dataclass(frozen=True)
class PreviousOwner:
    """The process that was the preceding first owner.

    Attributes:
        vm: Name of its VM.
        boot: Start of the process, in milliseconds since 1970.
        settled: Whether it was first owner for long enough that the sub-requests of its own
            predecessor had ended.
    """

    vm: str
    boot: int
    settled: bool


class OwnerDirectory:
    """Owners of all groups, ranked on first access."""

    def __init__(self, own_vm: str, members: MemberTable, clock: Clock):
        self._own_vm = own_vm
        self._members = members
        self._clock = clock
        self._tables: Tables | None = None
        self._vm_list: VmList | None = None
        self._vms_by_zone: dict[str, list[str]] = {}
        self._departed: frozenset[str] = frozenset()
        self._ranking_by_group: dict[ServerGroup, Ranking] = {}
        self._previous_by_group: dict[ServerGroup, Ranking] = {}
        self._own_groups: dict[ServerGroup, Ranking] | None = None
        self._group_by_server: dict[tuple[str, str], ServerGroup] = {}
        self._listeners: list[Callable[[], None]] = []
        members.on_change(lambda member: self._update_departed())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a callback for possible changes of rankings."""
        self._listeners.append(listener)

    def use_tables(self, tables: Tables) -> None:
        """Use the zones and pool groups of new tables."""
        self._tables = tables
        self._group_by_server = {}
        self._rebuild()

    def use_vm_list(self, vm_list: VmList) -> None:
        """Use the live VMs of a new VM list as candidates."""
        self._vm_list = vm_list
        self._rebuild()

    def group_of(self, pool: Pool, server: Server) -> ServerGroup:
        """The group that a server belongs to."""
        key = (pool.name, server.name)
        group = self._group_by_server.get(key)
        if group is None or group.zone != server.zone:
            group = ServerGroup(pool.name, server.zone, pool.group_by_server[server.name])
            self._group_by_server[key] = group
        return group

    def ranking(self, group: ServerGroup) -> Ranking:
        """The two VMs that may serve a group."""
        cached = self._ranking_by_group.get(group)
        if cached is None:
            cached = self._rank_group(group)
            self._ranking_by_group[group] = cached
        return cached

    def serving_vm(self, group: ServerGroup) -> str | None:
        """The VM to send a group's requests to, or None when neither owner is reachable."""
        ranking = self.ranking(group)
        for vm in (ranking.first, ranking.second):
            if vm is not None and (vm == self._own_vm or self._members.reachable(vm)):
                return vm
        return None

    def own_groups(self) -> dict[ServerGroup, Ranking]:
        """Groups of which this process is the first or second owner."""
        if self._own_groups is None:
            rankings = {group: self.ranking(group) for group in self._all_groups()}
            self._own_groups = {
                group: ranking
                for group, ranking in rankings.items()
                if self._own_vm in (ranking.first, ranking.second)
            }
        return self._own_groups

    def _all_groups(self) -> set[ServerGroup]:
        if self._tables is None:
            return set()
        return {
            self.group_of(pool, server)
            for pool in self._tables.pool_by_name.values()
            for server in pool.server_by_name.values()
        }

    def _update_departed(self) -> None:
        departed = frozenset(m.vm for m in self._members.all() if m.departed)
        if departed != self._departed:
            self._departed = departed
            self._rebuild()

    def _rebuild(self) -> None:
        self._previous_by_group.update(self._ranking_by_group)
        self._ranking_by_group = {}
        self._own_groups = None
        by_zone = defaultdict(list)
        if self._vm_list is not None:
            for name in self._vm_list.live_names:
                zone = self._vm_list.vm_by_name[name].zone
                if name not in self._departed and self._zone_is_in(zone):
                    by_zone[zone].append(name)
        self._vms_by_zone = dict(by_zone)
        for listener in self._listeners:
            listener()

    def _zone_is_in(self, zone: str) -> bool:
        return self._tables is None or self._tables.zone_is_in(zone)

    def _rank_group(self, group: ServerGroup) -> Ranking:
        key = f"{group.pool}/{group.zone}/{group.number}"
        chosen: list[str] = []
        for zone in self._zones_starting_at(group.zone):
            chosen += rank(key, self._vms_by_zone.get(zone, ()))
            if len(chosen) >= 2:
                break
        first = chosen[0] if chosen else None
        second = chosen[1] if len(chosen) > 1 else None
        previous = self._previous_by_group.get(group)
        if previous is not None and (previous.first, previous.second) == (first, second):
            return previous
        now = self._clock.now()
        if previous is not None and previous.first == first:
            return replace(previous, second=second, second_since=now)
        return Ranking(first, second, now, now, self._previous_owner(previous))

    def _previous_owner(self, previous: Ranking | None) -> PreviousOwner | None:
        if previous is None or previous.first is None:
            return None
        member = self._members.get(previous.first)
        if member is None:
            return None
        settled = self._clock.now() - previous.first_since >= MAX_SETTLE_S
        return PreviousOwner(member.vm, member.boot, settled)

    def _zones_starting_at(self, zone: str) -> list[str]:
        """All zones in sorted order, rotated to start at the given zone."""
        zones = sorted({zone, *self._vms_by_zone})
        start = zones.index(zone)
        return zones[start:] + zones[:start]
