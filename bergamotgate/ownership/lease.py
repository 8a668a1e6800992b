"""Leases that the first owner of a group obtains from the second.

The first owner requests a lease every REQUEST_INTERVAL_S. While its last granted request is younger
than LEASE_S, the second owner does not use the servers and the first may use all their slots. The
times of the request (at the first) and of the grant (at the second) are compared only with the
local clock of each, so clocks need not be synchronized; the request is always the earlier of the
two, so the lease ends at the first before it ends at the second.
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
REQUEST_INTERVAL_S = 0.4
MAX_PENDING_REQUESTS = 64
WARM_REPORT_TTL_S = 10.0


@dataclass(frozen=True)
class WarmServer:
    """A backend server that its owner reports as warm.

    Attributes:
        pool: Name of the pool.
        server: Name of the server.
        incarnation: Identifier that the server changes at each restart.
    """

    pool: str
    server: str
    incarnation: str

    def text(self) -> str:
        """Encode for the wire."""
        return f"{self.pool}\n{self.server}\n{self.incarnation}"

    @staticmethod
    def from_text(text: str) -> "WarmServer":
        """Decode the wire format.

        Raises:
            ValueError: The text does not have three parts.
        """
        pool, server, incarnation = text.split("\n")
        return WarmServer(pool, server, incarnation)


@dataclass(frozen=True)
class _WarmReport:
    """The latest list of warm servers from a first owner."""

    received_at: float
    incarnation_by_server: dict[tuple[str, str], str]


def _parse_warm_servers(texts: list[str]) -> dict[tuple[str, str], str]:
    incarnation_by_server = {}
    for text in texts:
        with contextlib.suppress(ValueError):
            warm = WarmServer.from_text(text)
            incarnation_by_server[(warm.pool, warm.server)] = warm.incarnation
    return incarnation_by_server


class LeaseBook:
    """Leases that this process requested and granted."""

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
        self._request_by_sequence: dict[int, tuple[str, float]] = {}
        self._lease_start_by_vm: dict[str, float] = {}
        self._granted_at_by_vm: dict[str, float] = {}
        self._dead_since_by_vm: dict[str, float] = {}
        self._warm_report_by_first: dict[str, _WarmReport] = {}
        self._listeners: list[Callable[[], None]] = []
        port.subscribe(self._receive)
        members.on_change(self._on_member_change)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a callback for the start of a lease, so that queued jobs can run."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start requesting leases."""
        self._tasks.keep_running(self._run, self._clock)

    async def close(self) -> None:
        """Stop requesting leases."""
        await self._tasks.close()

    def holds_lease_from(self, second: str) -> bool:
        """Whether the lease from a second owner is in force."""
        requested_at = self._lease_start_by_vm.get(second)
        return requested_at is not None and self._clock.now() - requested_at < LEASE_S

    def free_since(self, first: str) -> float | None:
        """Time since which no lease from this process to an unreachable first owner is in force.

        Returns:
            Seconds on this process's clock, not before the first owner was found unreachable; in
            the future while a lease is in force. None while the first owner is reachable.
        """
        member = self._members.get(first)
        if member is not None and member.reachable:
            return None
        dead_since = self._dead_since_by_vm.setdefault(first, self._clock.now())
        granted_at = self._granted_at_by_vm.get(first, float("-inf"))
        return max(dead_since, granted_at + LEASE_S)

    def reported_warm_incarnation(self, pool: str, server: str) -> str | None:
        """Incarnation at which a first owner recently reported a server as warm, or None."""
        now = self._clock.now()
        for report in self._warm_report_by_first.values():
            incarnation = report.incarnation_by_server.get((pool, server))
            if incarnation is not None and now - report.received_at < WARM_REPORT_TTL_S:
                return incarnation
        return None

    async def _run(self) -> None:
        while True:
            for second in self._second_owners():
                self._request_lease(second)
            await self._clock.sleep(REQUEST_INTERVAL_S)

    def _second_owners(self) -> set[str]:
        rankings = self._directory.own_groups().values()
        return {r.second for r in rankings if r.first == self._port.vm and r.second is not None}

    def _request_lease(self, second: str) -> None:
        member = self._members.get(second)
        if member is None:
            return
        self._sequence += 1
        self._request_by_sequence[self._sequence] = (second, self._clock.now())
        self._request_by_sequence.pop(self._sequence - MAX_PENDING_REQUESTS, None)
        warm = [server.text() for server in self._warm_servers()]
        self._port.send(
            member.peer, lease_ask=LeaseAsk(self._sequence, self._vm_list_digest(), warm)
        )

    def _vm_list_digest(self) -> str:
        mark = self._port.vm_list_mark
        return mark.digest if mark is not None else ""

    def _receive(self, address: str, message: Datagram) -> None:
        if message.lease_ask is not None:
            self._receive_request(address, message)
        if message.lease_grant is not None:
            self._receive_grant(message)

    def _receive_request(self, address: str, message: Datagram) -> None:
        request = message.lease_ask
        if request.vm_list_digest != self._vm_list_digest():
            return  # owners may rank differently under another VM list: grant no lease
        self._granted_at_by_vm[message.sender] = self._clock.now()
        self._warm_report_by_first[message.sender] = _WarmReport(
            self._clock.now(), _parse_warm_servers(request.warm)
        )
        self._port.send(address, lease_grant=LeaseGrant(request.sequence, request.vm_list_digest))

    def _receive_grant(self, message: Datagram) -> None:
        second, requested_at = self._request_by_sequence.pop(
            message.lease_grant.sequence, ("", 0.0)
        )
        if second != message.sender or message.lease_grant.vm_list_digest != self._vm_list_digest():
            return
        held_before = self.holds_lease_from(second)
        self._lease_start_by_vm[second] = requested_at
        if not held_before:
            for listener in self._listeners:
                listener()

    def _on_member_change(self, member: object) -> None:
        known = self._members.get(member.vm)
        if known is not None and known.state is MemberState.DEAD:
            self._dead_since_by_vm.setdefault(known.vm, self._clock.now())
        elif known is not None and known.reachable:
            self._dead_since_by_vm.pop(known.vm, None)
