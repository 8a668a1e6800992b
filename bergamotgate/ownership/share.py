"""Computes how much of a backend server's limits this process may use.

The first owner of a group has nothing until no sub-request of an earlier owner can still be
running. After that it may open the larger half of the connections. It may use all slots while it
holds a lease from the second owner or there is none, once the pair of owners has settled, or at
once if both owners were set at the same time; otherwise it may use the larger half. The second
owner has nothing while the first is reachable in its local view, and the smaller half of slots and
connections some time after. Whatever the two local views, the two shares together never exceed the
limits.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool
from bergamotgate.membership.members import MemberState, MemberTable
from bergamotgate.ownership.directory import OwnerDirectory, Ranking, ServerGroup
from bergamotgate.ownership.lease import LeaseBook

__all__ = ["NO_SHARE", "Share", "ShareKeeper", "larger_half", "smaller_half"]


@dataclass(frozen=True)
class Share:
    """A process's share of one server's limits.

    Attributes:
        slots: Maximum requests in progress when the server is warm.
        cold_slots: Maximum requests in progress when it is cold.
        connections: Maximum open connections.
        since: When this process became an owner of the server, in seconds on its clock.
    """

    slots: int
    cold_slots: int
    connections: int
    since: float


PROCESS_END_SETTLE_S = 0.1
NO_SHARE = Share(0, 0, 0, float("-inf"))


def larger_half(limit: int) -> int:
    """The first owner's share of a limit when both owners may be using it."""
    return (limit + 1) // 2


def smaller_half(limit: int) -> int:
    """The second owner's share of a limit when both owners may be using it."""
    return limit // 2


class ShareKeeper:
    """Computes shares from rankings, leases and the time since each changed."""

    def __init__(
        self,
        own_vm: str,
        directory: OwnerDirectory,
        leases: LeaseBook,
        members: MemberTable,
        clock: Clock,
        settle_s: Callable[[str], float],
    ):
        self._own_vm = own_vm
        self._directory = directory
        self._leases = leases
        self._members = members
        self._settled_since_by_group: dict[ServerGroup, float] = {}
        self._clock = clock
        self._settle_s = settle_s

    def share(self, pool: Pool, group: ServerGroup) -> Share:
        """This process's share of the limits of each server in a group."""
        ranking = self._directory.ranking(group)
        if ranking.first == self._own_vm and self._is_settled(pool, group, ranking):
            return self._as_first(pool, ranking)
        if ranking.second == self._own_vm and ranking.first is not None:
            return self._as_second(pool, ranking)
        return NO_SHARE

    def _is_settled(self, pool: Pool, group: ServerGroup, ranking: Ranking) -> bool:
        """Whether no sub-request of an earlier owner can still be running."""
        if self._settled_since_by_group.get(group) == ranking.first_since:
            return True
        waited_s = self._clock.now() - ranking.first_since
        settled = waited_s >= self._settle_s(pool.name)
        if not settled and self._previous_ended(ranking):
            settled = waited_s >= PROCESS_END_SETTLE_S
        if settled:
            self._settled_since_by_group[group] = ranking.first_since
        return settled

    def _previous_ended(self, ranking: Ranking) -> bool:
        """Whether the previous owner's process has ended, so that its connections are closed."""
        previous = ranking.previous
        if previous is None or not previous.settled:
            return False
        member = self._members.get(previous.vm)
        same_process = member is not None and member.boot == previous.boot
        return same_process and member.state is MemberState.GONE

    def _as_first(self, pool: Pool, ranking: Ranking) -> Share:
        connections = larger_half(pool.connections)
        # A second owner that was replaced recently may still be serving the group.
        pair_settled = self._clock.now() - ranking.second_since >= self._settle_s(pool.name)
        second_excluded = ranking.second is None or self._leases.holds_lease_from(ranking.second)
        if second_excluded and (pair_settled or ranking.second_since == ranking.first_since):
            return Share(pool.slots, pool.cold_slots, connections, ranking.first_since)
        return Share(
            larger_half(pool.slots), larger_half(pool.cold_slots), connections, ranking.first_since
        )

    def _as_second(self, pool: Pool, ranking: Ranking) -> Share:
        free_since = self._leases.free_since(ranking.first)
        if free_since is None:
            return NO_SHARE
        free_since = max(free_since, ranking.second_since)
        if self._clock.now() - free_since < self._settle_s(pool.name):
            return NO_SHARE
        return Share(
            smaller_half(pool.slots),
            smaller_half(pool.cold_slots),
            smaller_half(pool.connections),
            free_since,
        )
