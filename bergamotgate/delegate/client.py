"""Chooses a gateway's delegate for the servers of each other availability zone."""

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.delegate.link import DelegatedExchange, DelegateLink
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.membership.capacity import largest_members
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.metrics import Metrics
from bergamotgate.ownership.rendezvous import rank
from bergamotgate.relay.messages import ClientRequest, OnEnd, RecordFilter
from bergamotgate.wire.network import Network

__all__ = ["DelegateClient"]

# A VM whose stream was lost gets no sub-requests for this long. Meanwhile they go through another
# VM of the zone, or directly to the servers if there is none.
BACKOFF_S = 2.0


class DelegateClient:
    """Links to one delegate in each other availability zone, opened on first use."""

    def __init__(
        self, members: MemberTable, network: Network, clock: Clock, metrics: Metrics
    ) -> None:
        self._members = members
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("delegate:")
        self._link_by_vm: dict[str, DelegateLink] = {}
        self._backoff_until_by_vm: dict[str, float] = {}
        self._ranked_by_zone: dict[str, list[Member]] = {}
        self._ranked_version = -1

    def send(
        self,
        request: ClientRequest,
        server: DiscoveredServer,
        budget_s: float,
        record_filter: RecordFilter,
        on_end: OnEnd,
    ) -> DelegatedExchange | None:
        """Send a sub-request through a delegate in the server's zone.

        Returns None if its zone is this VM's own or has no delegate.
        """
        member = self._delegate_for(server)
        if member is None:
            return None
        self._metrics.delegated.labels("asked").inc()
        return self._link_to(member).send(request, server.server, budget_s, record_filter, on_end)

    def reaches(self, server: DiscoveredServer) -> bool:
        """Return whether sub-requests to a server go through a delegate now."""
        return self._delegate_for(server) is not None

    def close_links(self) -> None:
        """Close all links, which may be dead after a pause of this VM."""
        links, self._link_by_vm = self._link_by_vm, {}
        for link in links.values():
            link.close()

    async def close(self) -> None:
        """Close all links and end their tasks."""
        self.close_links()
        await self._tasks.close()

    def _delegate_for(self, server: DiscoveredServer) -> Member | None:
        return None if server.zone == self._members.own.zone else self._choose(server.zone)

    def _choose(self, zone: str) -> Member | None:
        if self._ranked_version != self._members.version:
            self._ranked_version = self._members.version
            self._ranked_by_zone = {}
        ranked = self._ranked_by_zone.get(zone)
        if ranked is None:
            ranked = self._rank(zone)
            self._ranked_by_zone[zone] = ranked
        now = self._clock.now()
        for member in ranked:
            if self._backoff_until_by_vm.get(member.vm, now) <= now:
                return member
        return None

    def _rank(self, zone: str) -> list[Member]:
        """Return the largest VMs of a zone, ranked per gateway to spread gateways over them."""
        alive = [m for m in self._members.others((MemberState.ALIVE,)) if m.zone == zone]
        member_by_vm = {member.vm: member for member in largest_members(alive)}
        order = rank(f"delegate/{self._members.own.vm}", list(member_by_vm))
        return [member_by_vm[vm] for vm in order]

    def _link_to(self, member: Member) -> DelegateLink:
        link = self._link_by_vm.get(member.vm)
        if link is None or link.closed:
            link = DelegateLink(
                member.vm,
                member.peer,
                self._network,
                self._clock,
                self._tasks,
                self._metrics,
                self._note_lost,
            )
            self._link_by_vm[member.vm] = link
        return link

    def _note_lost(self, vm: str) -> None:
        self._backoff_until_by_vm[vm] = self._clock.now() + BACKOFF_S
        self._metrics.delegated.labels("lost").inc()
