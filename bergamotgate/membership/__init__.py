"""Membership of the fleet: which VMs are alive, found by probes between the VMs."""

from bergamotgate.membership.confirmation import VIEW_FRESH_S, ViewConfirmation
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.prober import Prober

__all__ = [
    "Member",
    "MemberState",
    "MemberTable",
    "Prober",
    "VIEW_FRESH_S",
    "ViewConfirmation",
]
