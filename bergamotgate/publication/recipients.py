"""Chooses the peers that receive an update: the local zone, and relays in the other zones."""

from bergamotgate.membership.members import Member, MemberTable
from bergamotgate.ownership.rendezvous import rank

__all__ = ["RELAYS_PER_ZONE", "UpdateRecipients"]

# Two, so that a zone still receives each update when one relay is lost.
RELAYS_PER_ZONE = 2


class UpdateRecipients:
    """Addresses of the peers to which this VM sends updates, by its member table."""

    def __init__(self, members: MemberTable):
        self._members = members

    def after_poll(self) -> list[str]:
        """Recipients after a poll of the store: the local zone, and the relays of other zones."""
        own_zone = self._members.own.zone
        member_by_vm = {m.vm: m for m in self._members.reachable_others()}
        zones = {member.zone for member in member_by_vm.values()} - {own_zone}
        relays = [member_by_vm[vm] for zone in sorted(zones) for vm in self._relays(zone)]
        return [member.peer for member in [*self._in_own_zone(), *relays]]

    def after_update(self, sender: str) -> list[str]:
        """Recipients after an update: on a relay the local zone, unless the sender is in it."""
        sending_member = self._members.get(sender)
        if sending_member is not None and sending_member.zone == self._members.own.zone:
            return []
        return self.after_fetch()

    def after_fetch(self) -> list[str]:
        """Recipients after a fetched table: the local zone, if this VM is a relay."""
        own = self._members.own
        if own.vm not in self._relays(own.zone):
            return []
        return [member.peer for member in self._in_own_zone()]

    def _relays(self, zone: str) -> list[str]:
        in_zone = [m.vm for m in self._members.all() if m.reachable and m.zone == zone]
        return rank(f"relay/{zone}", in_zone)[:RELAYS_PER_ZONE]

    def _in_own_zone(self) -> list[Member]:
        return [m for m in self._members.reachable_others() if m.zone == self._members.own.zone]
