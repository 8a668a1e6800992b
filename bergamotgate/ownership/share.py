"""How much of a backend server's limits this process may use at this moment.

Of a group's two VMs the first has the whole limits while the second's promise holds, and the larger
half without it. The second has nothing while it believes the first alive, and the smaller half some
time after. Whatever the two believe, their parts add up to no more than the limits.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.tables import Pool
from bergamotgate.ownership.directory import OwnerDirectory, Ranking, ServerGroup
from bergamotgate.ownership.lease import LeaseBook

__all__ = ["NO_SHARE", "Share", "ShareKeeper", "larger_half", "smaller_half"]


@dataclass(frozen=True)
class Share:
    """Parts of one server's limits.

    Attributes:
        slots: Requests in progress when the server is warm.
        cold_slots: Requests in progress when it is cold.
        connections: Open connections.
        since: When this process began to hold the server, in seconds on its clock.
    """

    slots: int
    cold_slots: int
    connections: int
    since: float


NO_SHARE = Share(0, 0, 0, float("-inf"))


def larger_half(limit: int) -> int:
    """The first owner's part of a limit when two may be using it."""
    return (limit + 1) // 2


def smaller_half(limit: int) -> int:
    """The second owner's part of a limit when two may be using it."""
    return limit // 2


class ShareKeeper:
    """Works out shares from rankings, leases and the time since each changed."""

    def __init__(
        self,
        own_vm: str,
        directory: OwnerDirectory,
        leases: LeaseBook,
        clock: Clock,
        settle_s: Callable[[str], float],
    ):
        self._own_vm = own_vm
        self._directory = directory
        self._leases = leases
        self._clock = clock
        self._settle_s = settle_s

    def share(self, pool: Pool, group: ServerGroup) -> Share:
        """The part of each server's limits in a group that this process may use now."""
        ranking = self._directory.ranking(group)
        settled = self._clock.now() - ranking.since >= self._settle_s(pool.name)
        if not settled:
            return NO_SHARE
        if ranking.first == self._own_vm:
            return self._as_first(pool, ranking)
        if ranking.second == self._own_vm and ranking.first is not None:
            return self._as_second(pool, ranking.first)
        return NO_SHARE

    def _as_first(self, pool: Pool, ranking: Ranking) -> Share:
        connections = larger_half(pool.connections)
        if ranking.second is None or self._leases.holds(ranking.second):
            return Share(pool.slots, pool.cold_slots, connections, ranking.since)
        return Share(
            larger_half(pool.slots), larger_half(pool.cold_slots), connections, ranking.since
        )

    def _as_second(self, pool: Pool, first: str) -> Share:
        free_since = self._leases.free_since(first)
        if free_since is None:
            return NO_SHARE
        if self._clock.now() - free_since < self._settle_s(pool.name):
            return NO_SHARE
        return Share(
            smaller_half(pool.slots),
            smaller_half(pool.cold_slots),
            smaller_half(pool.connections),
            free_since,
        )
