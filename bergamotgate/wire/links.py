"""Manages the links of a process to its peer processes."""

import itertools
from dataclasses import replace

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.metrics import Metrics
from bergamotgate.wire.link import Link, LinkContext, OnReply, PeerProcess
from bergamotgate.wire.network import Network

__all__ = ["Links", "OnReply", "PeerProcess"]


class Links:
    """Opens links on first use and reopens them after they have ended."""

    def __init__(self, vm: str, boot: int, network: Network, clock: Clock, metrics: Metrics):
        self._tasks = TaskGroup("peers:")
        self._context = LinkContext(vm, boot, network, clock, self._tasks, metrics, self._check_all)
        self._link_by_peer: dict[PeerProcess, Link] = {}
        self._call_ids = itertools.count(1)

    def link_to(self, peer: PeerProcess) -> Link:
        """Return the open link to a peer process."""
        link = self._link_by_peer.get(peer)
        if link is None or link.closed:
            link = Link(peer, self._context)
            self._link_by_peer[peer] = link
        return link

    def use_boot(self, boot: int) -> None:
        """Open further links as a process with another boot.

        Existing links keep theirs, by which the peers deduplicate what is delivered again.
        """
        self._context = replace(self._context, boot=boot)

    def next_call_id(self) -> int:
        """Return a call id that is unique in this process."""
        return next(self._call_ids)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the links to all addresses that are not in the given set."""
        for peer in [peer for peer in self._link_by_peer if peer.address not in addresses]:
            self._link_by_peer.pop(peer).close()

    async def close(self) -> None:
        """Close all links."""
        for link in list(self._link_by_peer.values()):
            link.close()
        await self._tasks.close()

    def _check_all(self) -> None:
        """Check every open link, as the cause of one unresponsive link may affect all of them."""
        for link in list(self._link_by_peer.values()):
            if not link.closed:
                link.check_liveness()
