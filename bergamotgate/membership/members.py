"""What one VM believes of the others, and how contradicting beliefs are settled."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from bergamotgate.wire.generated.ttypes import MemberRecord

__all__ = ["Member", "MemberState", "MemberTable"]


class MemberState(IntEnum):
    """State of a member; at equal incarnation the higher one wins.

    ``DEAD`` is a belief: the process gave no answer. ``LEFT`` is its own word that it takes no more
    work. ``GONE`` is proof that it has ended: the kernel of its VM refuses connections to it.
    """

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4
    GONE = 5


@dataclass(frozen=True)
class Member:
    """One VM's process.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        peer: ``ip:port`` for other VMs.
        http: ``ip:port`` for callers.
        boot: Milliseconds since 1970 at the start of the process.
        incarnation: Raised by the process itself to contradict what is said of it.
        state: What is believed of it.
        capacity: Processor time that it has, in hundredths of a core; 0 when it does not say.
    """

    vm: str
    zone: str
    peer: str
    http: str
    boot: int
    incarnation: int
    state: MemberState
    capacity: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The higher one of two beliefs about a VM wins."""
        return (self.boot, self.incarnation, int(self.state))

    @property
    def reachable(self) -> bool:
        """Whether work may be sent there."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def departed(self) -> bool:
        """Whether it certainly takes no more work."""
        return self.state in (MemberState.LEFT, MemberState.GONE)

    def record(self) -> MemberRecord:
        """The message form."""
        return MemberRecord(
            self.vm,
            self.zone,
            self.peer,
            self.http,
            self.boot,
            self.incarnation,
            int(self.state),
            self.capacity,
        )

    @staticmethod
    def from_record(record: MemberRecord) -> "Member":
        """Read the message form.

        Raises:
            ValueError: The state is not known.
        """
        return Member(
            record.vm,
            record.zone,
            record.peer,
            record.http,
            record.boot,
            record.incarnation,
            MemberState(record.state),
            record.capacity or 0,
        )


class MemberTable:
    """All members by name, the process itself among them.

    Attributes:
        version: Grows with each change.
    """

    def __init__(self, own: Member, adopts_later_boot: bool = False):
        """Start with the process itself.

        Args:
            own: The process itself.
            adopts_later_boot: Whether the process adopts a later boot time that peers report for
                its VM. If the wall clock was set back between an earlier process and this one,
                peers would otherwise ignore this process. Not for processes whose boot time others
                store.
        """
        self._own_vm = own.vm
        self._adopts_later_boot = adopts_later_boot
        self._member_by_vm: dict[str, Member] = {own.vm: own}
        self._listeners: list[Callable[[Member], None]] = []
        self.version = 0

    @property
    def own(self) -> Member:
        """The process itself."""
        return self._member_by_vm[self._own_vm]

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Call back with each member that changed."""
        self._listeners.append(listener)

    def get(self, vm: str) -> Member | None:
        """The member of that name, or None."""
        return self._member_by_vm.get(vm)

    def all(self) -> tuple[Member, ...]:
        """Every member ever heard of."""
        return tuple(self._member_by_vm.values())

    def others(self, states: Iterable[MemberState]) -> list[Member]:
        """Members other than the process itself that are in one of the states."""
        wanted = frozenset(states)
        return [
            m for m in self._member_by_vm.values() if m.state in wanted and m.vm != self._own_vm
        ]

    def reachable_others(self) -> list[Member]:
        """Members other than the process itself to which work may be sent."""
        return self.others((MemberState.ALIVE, MemberState.SUSPECT))

    def reachable(self, vm: str) -> bool:
        """Whether work may be sent to a VM."""
        member = self._member_by_vm.get(vm)
        return member is not None and member.reachable

    def merge(self, heard: Member) -> bool:
        """Take in a belief; return whether it changed anything."""
        if heard.vm == self._own_vm:
            return self._contradict(heard)
        known = self._member_by_vm.get(heard.vm)
        if known is not None and heard.precedence <= known.precedence:
            return False
        self._store(heard)
        return True

    def leave(self) -> None:
        """Declare the process itself as having left."""
        own = self.own
        self._store(replace(own, incarnation=own.incarnation + 1, state=MemberState.LEFT))

    def forget(self, vms: Iterable[str]) -> None:
        """Drop members that have gone for good."""
        for vm in vms:
            if vm != self._own_vm and self._member_by_vm.pop(vm, None) is not None:
                self.version += 1

    def _contradict(self, heard: Member) -> bool:
        own = self.own
        if heard.precedence <= own.precedence:
            return False
        if heard.boot != own.boot and not self._adopts_later_boot:
            return False
        self._store(replace(own, boot=heard.boot, incarnation=heard.incarnation + 1))
        return True

    def _store(self, member: Member) -> None:
        self._member_by_vm[member.vm] = member
        self.version += 1
        for listener in self._listeners:
            listener(member)
