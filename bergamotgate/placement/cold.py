"""Limits the request rate of the whole fleet to a cold server, without coordination.

Every VM knows the rate that a cold server can take and how many VMs there are. If the rate allows
less than one request per second for each VM, only the first VMs by rendezvous hash send any.
"""

from collections.abc import Callable

from bergamotgate.clock import Clock
from bergamotgate.ownership.rendezvous import rank

__all__ = ["ColdStartLimiter"]

# Share of the configured rate that is used; leaves room for VMs with different local views of the
# fleet.
USED_RATE_SHARE = 0.8


class ColdStartLimiter:
    """Token buckets of this VM for cold servers.

    Each bucket holds at most one token, so that within any second the fleet sends at most its rate
    plus one request from each VM that sends to the server.
    """

    def __init__(self, vm: str, vms: Callable[[], list[str]], clock: Clock):
        self._vm = vm
        self._vms = vms
        self._clock = clock
        self._next_at_by_server: dict[str, float] = {}

    def take(self, server: str, cold_requests_per_s: float) -> bool:
        """Take the token for one request to a cold server; return whether there was one."""
        now = self._clock.now()
        if now < self._next_at_by_server.get(server, float("-inf")):
            return False
        rate_per_s = USED_RATE_SHARE * cold_requests_per_s
        senders = rank(f"cold/{server}", self._vms())[: max(1, int(rate_per_s))]
        if self._vm not in senders:
            return False
        self._next_at_by_server[server] = now + len(senders) / max(rate_per_s, 1e-9)
        return True

    def forget(self, server: str) -> None:
        """Remove the state of a server."""
        self._next_at_by_server.pop(server, None)
