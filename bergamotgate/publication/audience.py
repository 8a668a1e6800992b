"""Which peers are told of news: the own zone, and relays of the others."""

from bergamotgate.membership.members import Member, MemberTable
from bergamotgate.ownership.rendezvous import rank

__all__ = ["RELAYS_PER_ZONE", "UpdateRecipients"]

# Two, so that the loss of one costs a zone no news.
RELAYS_PER_ZONE = 2


class UpdateRecipients:
    """Addresses of the peers that this VM tells, as its member table has them."""

    def __init__(self, members: MemberTable):
        self._members = members

    def after_poll(self) -> list[str]:
        """Whom a VM tells that polled the store: its zone, and the relays of other zones."""
        own_zone = self._members.own.zone
        member_by_vm = {m.vm: m for m in self._members.reachable_others()}
        zones = {member.zone for member in member_by_vm.values()} - {own_zone}
        relays = [member_by_vm[vm] for zone in sorted(zones) for vm in self._relays(zone)]
        return [member.peer for member in [*self._in_own_zone(), *relays]]

    def after_update(self, sender: str) -> list[str]:
        """Whom a VM tells that heard news: as a relay its zone, unless its zone told it."""
        told_by = self._members.get(sender)
        if told_by is not None and told_by.zone == self._members.own.zone:
            return []
        return self.after_fetch()

    def after_fetch(self) -> list[str]:
        """Whom a VM tells that fetched a table: its zone, if it is a relay."""
        own = self._members.own
        if own.vm not in self._relays(own.zone):
            return []
        return [member.peer for member in self._in_own_zone()]

    def _relays(self, zone: str) -> list[str]:
        in_zone = [m.vm for m in self._members.all() if m.reachable and m.zone == zone]
        return rank(f"relay/{zone}", in_zone)[:RELAYS_PER_ZONE]

    def _in_own_zone(self) -> list[Member]:
        return [m for m in self._members.reachable_others() if m.zone == self._members.own.zone]
