"""The local view of all members, and the rules that merge conflicting updates (SWIM)."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from bergamotgate.wire.generated.ttypes import MemberRecord

__all__ = ["Member", "MemberState", "MemberTable"]

# In milliseconds since 1970; keepers' tokens hold 18 digits.
MAX_BOOT_MS = 10**18 - 1
# 32 bits on the wire.
MAX_INCARNATION = 2**31 - 1


class MemberState(IntEnum):
    """State of a member; at equal incarnation the higher value wins.

    ``DEAD`` is an inference: the process did not answer probes. ``LEFT`` is the process's own
    announcement that it takes no more requests. ``GONE`` is proof that the process has ended: the
    kernel of its VM refuses connections to it.
    """

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4
    GONE = 5


@dataclass(frozen=True)
class Member:
    """The process on one VM.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        peer: ``ip:port`` for other VMs.
        http: ``ip:port`` for callers.
        boot: Milliseconds since 1970 at the start of the process; more if the VM had an earlier
            process with a later boot.
        incarnation: Raised by the process itself to refute updates about it.
        state: State in the local view.
        capacity: CPU capacity in hundredths of a core; 0 if the process does not report it.
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
        """Sort key of updates about one VM; the highest update wins."""
        return (self.boot, self.incarnation, int(self.state))

    def raised(self) -> "Member":
        """This member at the next incarnation; after the last one, at the next boot."""
        if self.incarnation < MAX_INCARNATION:
            return replace(self, incarnation=self.incarnation + 1)
        return replace(self, boot=self.boot + 1, incarnation=0)

    @property
    def reachable(self) -> bool:
        """Whether requests may be sent to the process."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def departed(self) -> bool:
        """Whether it is certain that the process takes no more requests."""
        return self.state in (MemberState.LEFT, MemberState.GONE)

    def record(self) -> MemberRecord:
        """Encode for the wire."""
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
        """Decode the wire format.

        Raises:
            ValueError: The state is not a MemberState, or no later process could pass the boot.
        """
        if record.boot >= MAX_BOOT_MS:
            raise ValueError(record.boot)
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
    """All members by VM name, including this process.

    Attributes:
        version: Incremented by each change.
        introduced: Whether a peer has told this process what it knows of its VM.
    """

    def __init__(self, own: Member, adopts_later_boot: bool = False):
        """Create a table that holds only this process.

        Args:
            own: This process.
            adopts_later_boot: Whether the process adopts a later boot time that peers report for
                its VM, whatever its address. If the wall clock was set back between an earlier
                process and this one, peers would otherwise ignore this process. Not for processes
                whose boot time others store: these pass a later boot, and only at their own
                address, where no other process can be running.
        """
        self._own_vm = own.vm
        self._adopts_later_boot = adopts_later_boot
        self._member_by_vm: dict[str, Member] = {own.vm: own}
        self._listeners: list[Callable[[Member], None]] = []
        self.version = 0
        self.introduced = False

    @property
    def own(self) -> Member:
        """This process."""
        return self._member_by_vm[self._own_vm]

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Register a callback for each member that changed."""
        self._listeners.append(listener)

    def get(self, vm: str) -> Member | None:
        """The member on a VM, or None."""
        return self._member_by_vm.get(vm)

    def all(self) -> tuple[Member, ...]:
        """All known members in any state."""
        return tuple(self._member_by_vm.values())

    def others(self, states: Iterable[MemberState]) -> list[Member]:
        """Members other than this process that are in one of the states."""
        wanted = frozenset(states)
        return [
            m for m in self._member_by_vm.values() if m.state in wanted and m.vm != self._own_vm
        ]

    def reachable_others(self) -> list[Member]:
        """Members other than this process to which requests may be sent."""
        return self.others((MemberState.ALIVE, MemberState.SUSPECT))

    def reachable(self, vm: str) -> bool:
        """Whether requests may be sent to a VM."""
        member = self._member_by_vm.get(vm)
        return member is not None and member.reachable

    def merge(self, update: Member) -> bool:
        """Merge an update; return whether it changed the table."""
        if update.vm == self._own_vm:
            return self._refute(update)
        known = self._member_by_vm.get(update.vm)
        if known is not None and update.precedence <= known.precedence:
            return False
        self._store(update)
        return True

    def leave(self) -> None:
        """Mark this process as left."""
        self._store(replace(self.own.raised(), state=MemberState.LEFT))

    def forget(self, vms: Iterable[str]) -> None:
        """Remove members that left the fleet permanently."""
        for vm in vms:
            if vm != self._own_vm and self._member_by_vm.pop(vm, None) is not None:
                self.version += 1

    def _refute(self, update: Member) -> bool:
        self.introduced = True
        own = self.own
        if update.precedence <= own.precedence:
            return False
        if update.boot == own.boot or self._adopts_later_boot:
            refuted = replace(own, boot=update.boot, incarnation=update.incarnation)
            self._store(refuted.raised())
            return True
        if update.peer != own.peer:
            return False  # the process at the other address may be running
        self._store(replace(own, boot=update.boot + 1, incarnation=0))
        return True

    def _store(self, member: Member) -> None:
        self._member_by_vm[member.vm] = member
        self.version += 1
        for listener in self._listeners:
            listener(member)
