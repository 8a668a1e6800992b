"""Which VMs are alive, by probes among the VMs themselves."""

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
