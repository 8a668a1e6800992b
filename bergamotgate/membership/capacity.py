"""Selects the VMs that serve most of a zone's requests, by their CPU capacity."""

from bergamotgate.membership.members import Member

__all__ = ["LARGEST_CAPACITY_SHARE", "largest_members"]

# The largest VMs that hold this share of a zone's CPU capacity serve its clients: a query over many
# shards is faster on a larger VM, and with fewer VMs each observes more requests to every server.
LARGEST_CAPACITY_SHARE = 0.25


def largest_members(members: list[Member]) -> list[Member]:
    """The largest VMs that hold enough CPU capacity; all VMs if one does not report its own."""
    if not all(member.capacity for member in members):
        return members
    remaining = LARGEST_CAPACITY_SHARE * sum(member.capacity for member in members)
    min_capacity = 0
    for member in sorted(members, key=lambda member: -member.capacity):
        if remaining <= 0:
            break
        remaining -= member.capacity
        min_capacity = member.capacity
    return [member for member in members if member.capacity >= min_capacity]
