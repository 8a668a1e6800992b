"""Which VMs of a zone carry most of its work."""

from bergamotgate.membership.members import Member

__all__ = ["LARGEST_SHARE", "largest_members"]

# The largest VMs that hold this share of a zone's processor time serve its clients: a query over
# many shards is faster on a larger VM, and fewer VMs learn more of each server.
LARGEST_SHARE = 0.25


def largest_members(members: list[Member]) -> list[Member]:
    """The largest VMs that together have enough processor time; all where one does not say."""
    if not all(member.capacity for member in members):
        return members
    needed = LARGEST_SHARE * sum(member.capacity for member in members)
    least = 0
    for member in sorted(members, key=lambda member: -member.capacity):
        if needed <= 0:
            break
        needed -= member.capacity
        least = member.capacity
    return [member for member in members if member.capacity >= least]
