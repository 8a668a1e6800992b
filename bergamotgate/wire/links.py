"""All links of a process, by the peer process at the other end."""

import itertools

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.metrics import Metrics
from bergamotgate.wire.link import Link, LinkContext, OnReply, PeerProcess
from bergamotgate.wire.network import Network

__all__ = ["Links", "OnReply", "PeerProcess"]


class Links:
    """Opens links when they are first used and again after they ended."""

    def __init__(self, vm: str, boot: int, network: Network, clock: Clock, metrics: Metrics):
        self._tasks = TaskGroup("peers:")
        self._context = LinkContext(vm, boot, network, clock, self._tasks, metrics, self._check_all)
        self._link_by_peer: dict[PeerProcess, Link] = {}
        self._calls = itertools.count(1)

    def link_to(self, peer: PeerProcess) -> Link:
        """The open link to a peer process."""
        link = self._link_by_peer.get(peer)
        if link is None or link.closed:
            link = Link(peer, self._context)
            self._link_by_peer[peer] = link
        return link

    def next_call_id(self) -> int:
        """A number for a question, unique in this process."""
        return next(self._calls)

    def keep_only(self, addresses: set[str]) -> None:
        """Close links to addresses that are no longer listed."""
        for peer in [peer for peer in self._link_by_peer if peer.address not in addresses]:
            self._link_by_peer.pop(peer).close()

    async def close(self) -> None:
        """Close all links."""
        for link in list(self._link_by_peer.values()):
            link.close()
        await self._tasks.close()

    def _check_all(self) -> None:
        """Look at every other link too, as what silenced one may have silenced all."""
        for link in list(self._link_by_peer.values()):
            if not link.closed:
                link.check()
