"""Probes members directly and indirectly, and gossips state changes (SWIM, Lifeguard)."""

import asyncio
import random
from dataclasses import dataclass, replace

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.membership.confirmation import ViewConfirmation
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.vmlist import VmList
from bergamotgate.metrics import Metrics
from bergamotgate.wire.generated.ttypes import Ack, Datagram, MemberRecord, Ping, RevisionMark
from bergamotgate.wire.marks import position_of
from bergamotgate.wire.network import Network, PortState
from bergamotgate.wire.port import PeerPort

__all__ = ["Prober"]

PROBE_PERIOD_S = 0.5
DIRECT_TIMEOUT_S = 0.15
INDIRECT_TIMEOUT_S = 0.25
SUSPICION_TIMEOUT_S = 1.5
PAUSE_FACTOR = 2.0
PROCESS_CHECK_TIMEOUT_S = 0.25
INDIRECT_PROBES = 3
GOSSIP_FANOUT = 3
# Of the members that a change is gossiped to, this many are in other availability zones: enough for
# a change to spread, while most copies of it stay where traffic costs little.
GOSSIP_FANOUT_OTHER_ZONES = 1
# In a smaller fleet traffic between zones is little, and members are chosen from all zones alike.
MIN_MEMBERS_FOR_ZONE_PREFERENCE = 16
GOSSIP_DELAY_S = 0.005
UPDATE_TRANSMISSIONS = 6
RECORDS_PER_DATAGRAM = 12
MISSING_CONTACT_PERIODS = 3
RECONFIRM_PEERS = 3


@dataclass
class _PendingUpdate:
    """An update that is still to be piggybacked on some datagrams."""

    record: MemberRecord
    transmissions_left: int


@dataclass(frozen=True)
class _PendingProbe:
    """A ping that waits for its ack."""

    sent_at: float
    acked: asyncio.Future


class Prober:
    """Failure detector that keeps the member table current."""

    def __init__(
        self,
        members: MemberTable,
        port: PeerPort,
        network: Network,
        clock: Clock,
        rng: random.Random,
        confirmation: ViewConfirmation,
        metrics: Metrics,
    ):
        self._members = members
        self._port = port
        self._network = network
        self._clock = clock
        self._rng = rng
        self._confirmation = confirmation
        self._metrics = metrics
        self._tasks = TaskGroup("membership:", metrics.task_failures.labels("membership").inc)
        self._sequence = 0
        self._probe_by_sequence: dict[int, _PendingProbe] = {}
        self._probe_order: list[str] = []
        self._pending_update_by_vm: dict[str, _PendingUpdate] = {}
        self._record_to_gossip_by_vm: dict[str, MemberRecord] = {}
        self._gossip_scheduled = False
        self._vm_list: VmList | None = None
        self._seeds: tuple[str, ...] = ()
        self._round = 0
        port.subscribe(self._receive)
        members.on_change(self._on_member_change)

    def start(self) -> None:
        """Start probing."""
        self._tasks.keep_running(self._run, self._clock)

    async def close(self) -> None:
        """Stop probing."""
        await self._tasks.close()

    def use_vm_list(self, vm_list: VmList) -> None:
        """Use the candidates of a new VM list; remove members that it no longer names."""
        self._vm_list = vm_list
        others = [vm for vm in vm_list.vm_by_name if vm != self._port.vm]
        self._confirmation.alone = not others
        unlisted = [m.vm for m in self._members.all() if m.vm not in vm_list.vm_by_name]
        self._members.forget(unlisted)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Keep contacting these addresses while there is no VM list that names candidates."""
        self._seeds = seeds

    def join(self, addresses: list[str]) -> None:
        """Request the full membership state of peers."""
        for address in addresses:
            self._port.send(address, members=[self._members.own.record()], reply_wanted=True)

    def leave(self) -> None:
        """Announce to all reachable members that this process has left."""
        self._members.leave()
        record = self._members.own.record()
        for member in self._members.reachable_others():
            self._port.send(member.peer, members=[record])

    def gossip_revisions(self) -> None:
        """Announce new revisions of the tables or the VM list to a few members at once."""
        for member in self._gossip_targets():
            self._port.send(member.peer, members=[])

    async def reconfirm(self, wait_s: float) -> bool:
        """Ping several peers concurrently; return whether the view is fresh afterwards."""
        peers = self._sample_alive(RECONFIRM_PEERS)
        if not peers:
            return self._confirmation.is_fresh()
        probes = [self._send_ping(peer) for peer in peers]
        await asyncio.wait([probe.acked for probe in probes], timeout=wait_s)
        return self._confirmation.is_fresh()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(PROBE_PERIOD_S * self._rng.uniform(0.9, 1.1))
            self._round += 1
            target = self._next_target()
            if target is not None:
                self._tasks.start(self._probe(target))
            if self._round % MISSING_CONTACT_PERIODS == 0:
                self._contact_missing_vm()
                self._contact_seed()

    def _next_target(self) -> Member | None:
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.reachable:
                return member
        reachable = self._members.reachable_others()
        self._probe_order = [member.vm for member in reachable]
        self._rng.shuffle(self._probe_order)
        return self._members.get(self._probe_order.pop()) if self._probe_order else None

    def _contact_missing_vm(self) -> None:
        """Contact one listed VM that is unknown or not reachable in the local view."""
        if self._vm_list is None:
            return
        missing = [
            vm
            for vm in self._vm_list.vm_by_name.values()
            if vm.vm != self._port.vm and not self._members.reachable(vm.vm)
        ]
        if not missing:
            return
        chosen = self._rng.choice(missing)
        records = [self._members.own.record()]
        known = self._members.get(chosen.vm)
        if known is not None:
            records.append(known.record())
        self._port.send(chosen.peer, members=records, reply_wanted=True)

    def _contact_seed(self) -> None:
        """Contact one seed or member that is unknown or not reachable, in case it is alive."""
        member_by_peer = {m.peer: m for m in self._members.all()}
        own = self._members.own.peer
        addresses = {*self._seeds, *member_by_peer} - {own}
        unreachable = [
            a
            for a in sorted(addresses)
            if a not in member_by_peer or not member_by_peer[a].reachable
        ]
        if self._vm_list is not None or not unreachable:
            return
        chosen = self._rng.choice(unreachable)
        records = [self._members.own.record()]
        if chosen in member_by_peer:
            records.append(member_by_peer[chosen].record())
        self._port.send(chosen, members=records, reply_wanted=True)

    async def _probe(self, target: Member) -> None:
        started = self._clock.now()
        probe = self._send_ping(target)
        if await self._wait_for_ack(probe, DIRECT_TIMEOUT_S):
            return
        self._tasks.start(self._check_process_ended(target))
        sequence = self._sequence
        for relay in self._sample_alive(INDIRECT_PROBES, exclude=target.vm):
            self._port.send(relay.peer, ping=Ping(sequence, target.vm, target.peer))
        if await self._wait_for_ack(probe, INDIRECT_TIMEOUT_S):
            return
        allowed = PAUSE_FACTOR * (DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S)
        if self._clock.now() - started > allowed:
            return  # this process was suspended, so the missing ack proves nothing
        known = self._members.get(target.vm)
        if known is None or known.state is not MemberState.ALIVE:
            return
        suspected = replace(known, state=MemberState.SUSPECT)
        self._members.merge(suspected)

    async def _check_process_ended(self, target: Member) -> None:
        """Mark a process as gone when the kernel of its VM refuses a connection to it."""
        if (
            await self._network.probe_port(target.peer, PROCESS_CHECK_TIMEOUT_S)
            is not PortState.REFUSED
        ):
            return
        known = self._members.get(target.vm)
        if known is None or known.boot != target.boot:
            return
        if known.state is MemberState.GONE:
            return
        logger.info("membership: The process on VM {} has ended.", target.vm)
        self._members.merge(replace(known, state=MemberState.GONE))

    async def _expire_suspicion(self, suspected: Member) -> None:
        started = self._clock.now()
        await self._clock.sleep(SUSPICION_TIMEOUT_S)
        if self._clock.now() - started > PAUSE_FACTOR * SUSPICION_TIMEOUT_S:
            started = self._clock.now()
            await self._clock.sleep(SUSPICION_TIMEOUT_S)
        known = self._members.get(suspected.vm)
        if known is not None and known.precedence == suspected.precedence:
            logger.info("membership: VM {} is declared dead.", suspected.vm)
            self._members.merge(replace(suspected, state=MemberState.DEAD))

    def _send_ping(self, target: Member) -> _PendingProbe:
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        probe = _PendingProbe(self._clock.now(), future)
        self._probe_by_sequence[self._sequence] = probe
        future.add_done_callback(lambda _, seq=self._sequence: self._discard_probe(seq))
        self._tasks.start(self._expire_probe(probe))
        target_records = [target.record()] if target.state is not MemberState.ALIVE else []
        self._port.send(
            target.peer,
            ping=Ping(self._sequence, target.vm),
            members=target_records + self._piggybacked_updates(),
        )
        return probe

    async def _expire_probe(self, probe: _PendingProbe) -> None:
        await self._clock.sleep(DIRECT_TIMEOUT_S + 2 * INDIRECT_TIMEOUT_S)
        if not probe.acked.done():
            probe.acked.cancel()

    def _discard_probe(self, sequence: int) -> None:
        self._probe_by_sequence.pop(sequence, None)

    async def _wait_for_ack(self, probe: _PendingProbe, wait_s: float) -> bool:
        await asyncio.wait([probe.acked], timeout=wait_s)
        return probe.acked.done() and not probe.acked.cancelled()

    def _receive(self, address: str, message: Datagram) -> None:
        self._merge_records(message)
        if message.ping is not None:
            self._receive_ping(address, message)
        if message.ack is not None:
            self._receive_ack(message)
        if message.reply_wanted:
            self._send_full_state(address)

    def _merge_records(self, message: Datagram) -> None:
        if message.sender == self._port.vm:
            self._metrics.identity_conflicts.labels(message.sender).inc()
            logger.error("membership: Another process uses the name {}.", message.sender)
            return
        for record in message.members or ():
            try:
                update = Member.from_record(record)
            except ValueError:
                self._metrics.bad_messages.labels("member").inc()
                continue
            self._members.merge(update)

    def _receive_ping(self, address: str, message: Datagram) -> None:
        ping = message.ping
        if ping.target == self._port.vm:
            ack = Ack(ping.sequence, self._port.vm, self._port.boot)
            self._port.send(
                address,
                ack=ack,
                members=self._record_to_refute(message) + self._piggybacked_updates(),
            )
        elif ping.relay_to is not None:
            self._tasks.start(self._probe_for_peer(address, message))

    async def _probe_for_peer(self, address: str, message: Datagram) -> None:
        ping = message.ping
        target = self._members.get(ping.target)
        if target is None:
            return
        probe = self._send_ping(target)
        if await self._wait_for_ack(probe, INDIRECT_TIMEOUT_S):
            ack = Ack(ping.sequence, ping.target, target.boot)
            self._port.send(address, ack=ack, members=self._record_to_refute(message))

    def _receive_ack(self, message: Datagram) -> None:
        probe = self._probe_by_sequence.get(message.ack.sequence)
        if probe is None or probe.acked.done():
            return
        probe.acked.set_result(True)
        if self._is_up_to_date(message.tables, self._port.tables_mark) and self._is_up_to_date(
            message.vm_list, self._port.vm_list_mark
        ):
            self._confirmation.confirm(probe.sent_at)

    def _is_up_to_date(self, peer_mark: RevisionMark | None, own_mark: RevisionMark | None) -> bool:
        """Whether a peer's revision is not newer than that of this process."""
        if peer_mark is None:
            return True
        return own_mark is not None and position_of(peer_mark) <= position_of(own_mark)

    def _record_to_refute(self, message: Datagram) -> list[MemberRecord]:
        """The record of a sender that is not seen as alive, or is seen as another process."""
        known = self._members.get(message.sender)
        if known is None or (known.state is MemberState.ALIVE and known.boot <= message.boot):
            return []
        return [known.record()]

    def _send_full_state(self, address: str) -> None:
        records = [member.record() for member in self._members.all()]
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            self._port.send(address, members=records[start : start + RECORDS_PER_DATAGRAM])

    def _on_member_change(self, member: Member) -> None:
        self._metrics.members_alive.set(1 + len(self._members.reachable_others()))
        if member.state is MemberState.SUSPECT:
            self._tasks.start(self._expire_suspicion(member))
        record = member.record()
        self._pending_update_by_vm[member.vm] = _PendingUpdate(record, UPDATE_TRANSMISSIONS)
        self._record_to_gossip_by_vm[member.vm] = record
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._tasks.start(self._gossip_changes())

    async def _gossip_changes(self) -> None:
        await self._clock.sleep(GOSSIP_DELAY_S)
        self._gossip_scheduled = False
        records = list(self._record_to_gossip_by_vm.values())
        self._record_to_gossip_by_vm.clear()
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            chunk = records[start : start + RECORDS_PER_DATAGRAM]
            for member in self._gossip_targets():
                self._port.send(member.peer, members=chunk)

    def _piggybacked_updates(self) -> list[MemberRecord]:
        """Recent updates to piggyback on a datagram, each a limited number of times."""
        chosen = list(self._pending_update_by_vm.items())[: RECORDS_PER_DATAGRAM - 1]
        for vm, pending in chosen:
            pending.transmissions_left -= 1
            if pending.transmissions_left <= 0:
                del self._pending_update_by_vm[vm]
        return [pending.record for _, pending in chosen]

    def _gossip_targets(self) -> list[Member]:
        """Choose members at random, one in another zone and the others in this VM's own zone.

        Where one of the groups is too small, the other one makes up for it.
        """
        alive = self._members.others((MemberState.ALIVE,))
        if len(alive) < MIN_MEMBERS_FOR_ZONE_PREFERENCE:
            return self._sample_alive(GOSSIP_FANOUT)
        self._rng.shuffle(alive)
        own_zone = self._members.own.zone
        near = [member for member in alive if member.zone == own_zone]
        far = [member for member in alive if member.zone != own_zone]
        far_count = max(GOSSIP_FANOUT_OTHER_ZONES, GOSSIP_FANOUT - len(near))
        chosen = far[:far_count]
        return chosen + near[: GOSSIP_FANOUT - len(chosen)]

    def _sample_alive(self, count: int, exclude: str = "") -> list[Member]:
        alive = [m for m in self._members.others((MemberState.ALIVE,)) if m.vm != exclude]
        return self._rng.sample(alive, min(count, len(alive)))
