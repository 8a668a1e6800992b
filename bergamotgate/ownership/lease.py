"""Leases between the first and the second VM of a group.

The first asks the second twice a second. While the last granted question is younger than the
lease, the second has promised to stay away, and the first may use the whole limits. The times of
the question (at the first) and of the grant (at the second) are compared only with each process's
own clock, so clocks need not agree; the first always counts from the earlier moment.
"""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.membership.members import MemberState, MemberTable
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.wire.generated.ttypes import Datagram, LeaseAsk, LeaseGrant
from bergamotgate.wire.port import PeerPort

__all__ = ["LEASE_S", "LeaseBook", "WarmServer"]

LEASE_S = 1.5
ASK_EVERY_S = 0.4
KEPT_QUESTIONS = 64
WARM_WORD_S = 10.0


@dataclass(frozen=True)
class WarmServer:
    """A backend server that its owner found warm.

    Attributes:
        pool: Name of the pool.
        server: Name of the server.
        incarnation: Mark that the server changes at each restart.
    """

    pool: str
    server: str
    incarnation: str

    def text(self) -> str:
        """The message form."""
        return f"{self.pool}\n{self.server}\n{self.incarnation}"

    @staticmethod
    def from_text(text: str) -> "WarmServer":
        """Read the message form.

        Raises:
            ValueError: It does not have three parts.
        """
        pool, server, incarnation = text.split("\n")
        return WarmServer(pool, server, incarnation)


@dataclass(frozen=True)
class _WarmWord:
    """What a first owner said last of its warm servers."""

    heard_at: float
    incarnation_by_server: dict[tuple[str, str], str]


def _read_warm(texts: list[str]) -> dict[tuple[str, str], str]:
    found = {}
    for text in texts:
        with contextlib.suppress(ValueError):
            warm = WarmServer.from_text(text)
            found[(warm.pool, warm.server)] = warm.incarnation
    return found


class LeaseBook:
    """Leases that this process asked for and granted."""

    def __init__(
        self,
        directory: OwnerDirectory,
        members: MemberTable,
        port: PeerPort,
        clock: Clock,
        warm_servers: Callable[[], list[WarmServer]],
    ):
        self._directory = directory
        self._members = members
        self._port = port
        self._clock = clock
        self._warm_servers = warm_servers
        self._tasks = TaskGroup("ownership:")
        self._sequence = 0
        self._asked_at_by_sequence: dict[int, tuple[str, float]] = {}
        self._lease_from_by_vm: dict[str, float] = {}
        self._granted_at_by_vm: dict[str, float] = {}
        self._dead_since_by_vm: dict[str, float] = {}
        self._word_by_first: dict[str, _WarmWord] = {}
        self._changed: list[Callable[[], None]] = []
        port.subscribe(self._receive)
        members.on_change(self._notice)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call back when a lease begins, so that waiting work can start."""
        self._changed.append(listener)

    def start(self) -> None:
        """Start to ask for leases."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop to ask for leases."""
        await self._tasks.close()

    def holds(self, second: str) -> bool:
        """Whether a second VM has promised to stay away at this moment."""
        asked_at = self._lease_from_by_vm.get(second)
        return asked_at is not None and self._clock.now() - asked_at < LEASE_S

    def free_since(self, first: str) -> float | None:
        """When this process became free of its promise to a first VM.

        Returns:
            Seconds on this process's clock; None while the first is believed alive.
        """
        member = self._members.get(first)
        if member is not None and member.reachable:
            return None
        dead_since = self._dead_since_by_vm.setdefault(first, self._clock.now())
        granted_at = self._granted_at_by_vm.get(first, float("-inf"))
        return max(dead_since, granted_at + LEASE_S)

    def reported_warm_incarnation(self, pool: str, server: str) -> str | None:
        """Incarnation at which a server was warm by the word of its first owner, or None."""
        now = self._clock.now()
        for word in self._word_by_first.values():
            incarnation = word.incarnation_by_server.get((pool, server))
            if incarnation is not None and now - word.heard_at < WARM_WORD_S:
                return incarnation
        return None

    async def _run(self) -> None:
        while True:
            for second in self._seconds():
                self._ask(second)
            await self._clock.sleep(ASK_EVERY_S)

    def _seconds(self) -> set[str]:
        rankings = self._directory.own_groups().values()
        return {r.second for r in rankings if r.first == self._port.vm and r.second is not None}

    def _ask(self, second: str) -> None:
        member = self._members.get(second)
        if member is None:
            return
        self._sequence += 1
        self._asked_at_by_sequence[self._sequence] = (second, self._clock.now())
        self._asked_at_by_sequence.pop(self._sequence - KEPT_QUESTIONS, None)
        warm = [server.text() for server in self._warm_servers()]
        self._port.send(member.peer, lease_ask=LeaseAsk(self._sequence, self._list_digest(), warm))

    def _list_digest(self) -> str:
        mark = self._port.vm_list_mark
        return mark.digest if mark is not None else ""

    def _receive(self, address: str, message: Datagram) -> None:
        if message.lease_ask is not None:
            self._receive_ask(address, message)
        if message.lease_grant is not None:
            self._receive_grant(message)

    def _receive_ask(self, address: str, message: Datagram) -> None:
        ask = message.lease_ask
        if ask.vm_list_digest != self._list_digest():
            return  # the two may rank differently, so no promise can be given
        self._granted_at_by_vm[message.sender] = self._clock.now()
        self._word_by_first[message.sender] = _WarmWord(self._clock.now(), _read_warm(ask.warm))
        self._port.send(address, lease_grant=LeaseGrant(ask.sequence, ask.vm_list_digest))

    def _receive_grant(self, message: Datagram) -> None:
        second, asked_at = self._asked_at_by_sequence.pop(message.lease_grant.sequence, ("", 0.0))
        if second != message.sender or message.lease_grant.vm_list_digest != self._list_digest():
            return
        held = self.holds(second)
        self._lease_from_by_vm[second] = asked_at
        if not held:
            for listener in self._changed:
                listener()

    def _notice(self, member: object) -> None:
        known = self._members.get(member.vm)
        if known is not None and known.state is MemberState.DEAD:
            self._dead_since_by_vm.setdefault(known.vm, self._clock.now())
        elif known is not None and known.reachable:
            self._dead_since_by_vm.pop(known.vm, None)
