"""Bounds what a cold server gets, over the whole fleet and without any agreement.

Every VM knows the rate that a cold server bears and how many VMs there are. Where the rate allows
less than one request a second for each VM, only the first VMs by rendezvous hash use it.
"""

from collections.abc import Callable

from bergamotgate.clock import Clock
from bergamotgate.ownership.rendezvous import rank

__all__ = ["ColdStartLimiter"]

# Part of the stated rate that is used; covers VMs that two views count differently.
USED_RATE = 0.8


class ColdStartLimiter:
    """Token buckets of this VM for the servers that are cold.

    Each holds at most one token, so that the fleet never sends more than its rate and one request
    from each VM that takes part within any second.
    """

    def __init__(self, vm: str, vms: Callable[[], list[str]], clock: Clock):
        self._vm = vm
        self._vms = vms
        self._clock = clock
        self._next_at_by_server: dict[str, float] = {}

    def take(self, server: str, cold_per_s: float) -> bool:
        """Take the right to one request at a cold server, if there is one."""
        now = self._clock.now()
        if now < self._next_at_by_server.get(server, float("-inf")):
            return False
        rate = USED_RATE * cold_per_s
        sharers = rank(f"cold/{server}", self._vms())[: max(1, int(rate))]
        if self._vm not in sharers:
            return False
        self._next_at_by_server[server] = now + len(sharers) / max(rate, 1e-9)
        return True

    def forget(self, server: str) -> None:
        """Drop what is known of a server."""
        self._next_at_by_server.pop(server, None)
