"""Probes members directly and through others, and spreads what is learned (SWIM, Lifeguard)."""

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
from bergamotgate.wire.network import Network, PortState
from bergamotgate.wire.port import PeerPort

__all__ = ["Prober"]

PERIOD_S = 0.5
DIRECT_TIMEOUT_S = 0.15
INDIRECT_TIMEOUT_S = 0.25
SUSPICION_S = 1.5
SLEPT_FACTOR = 2.0
LOOK_TIMEOUT_S = 0.25
RELAYS = 3
SPREAD_TO = 3
SPREAD_DELAY_S = 0.005
REPEATS = 6
RECORDS_PER_DATAGRAM = 12
MISSING_PROBE_EVERY = 3
RECONFIRM_PEERS = 3


@dataclass
class _Repeat:
    """News that still rides on some datagrams."""

    record: MemberRecord
    left: int


@dataclass(frozen=True)
class _Question:
    """A probe that waits for its answer."""

    asked_at: float
    answered: asyncio.Future


class Prober:
    """The task that keeps the member table true."""

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
        self._tasks = TaskGroup("membership:")
        self._sequence = 0
        self._question_by_sequence: dict[int, _Question] = {}
        self._order: list[str] = []
        self._repeat_by_vm: dict[str, _Repeat] = {}
        self._to_spread: dict[str, MemberRecord] = {}
        self._spread_due = False
        self._vm_list: VmList | None = None
        self._seeds: tuple[str, ...] = ()
        self._round = 0
        port.subscribe(self._receive)
        members.on_change(self._changed)

    def start(self) -> None:
        """Start to probe."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop to probe."""
        await self._tasks.close()

    def use_vm_list(self, vm_list: VmList) -> None:
        """Take the candidates of a VM list; forget members that it no longer names."""
        self._vm_list = vm_list
        others = [vm for vm in vm_list.vm_by_name if vm != self._port.vm]
        self._confirmation.alone = not others
        gone = [m.vm for m in self._members.all() if m.vm not in vm_list.vm_by_name]
        self._members.forget(gone)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Greet these addresses for good, where there is no VM list to name candidates."""
        self._seeds = seeds

    def join(self, addresses: list[str]) -> None:
        """Ask peers for all they know."""
        for address in addresses:
            self._port.send(address, members=[self._members.own.record()], reply_wanted=True)

    def leave(self) -> None:
        """Tell everybody that this process has left."""
        self._members.leave()
        record = self._members.own.record()
        for member in self._members.reachable_others():
            self._port.send(member.peer, members=[record])

    def gossip_revisions(self) -> None:
        """Tell some members at once that the tables or the VM list changed."""
        for member in self._some_alive(SPREAD_TO):
            self._port.send(member.peer, members=[])

    async def reconfirm(self, wait_s: float) -> bool:
        """Ask several peers at once; return whether the view is fresh in the end."""
        peers = self._some_alive(RECONFIRM_PEERS)
        if not peers:
            return self._confirmation.is_fresh()
        questions = [self._ask(peer) for peer in peers]
        await asyncio.wait([q.answered for q in questions], timeout=wait_s)
        return self._confirmation.is_fresh()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(PERIOD_S * self._rng.uniform(0.9, 1.1))
            self._round += 1
            target = self._next_target()
            if target is not None:
                self._tasks.start(self._probe(target))
            if self._round % MISSING_PROBE_EVERY == 0:
                self._greet_missing()
                self._greet_seed()

    def _next_target(self) -> Member | None:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.reachable:
                return member
        reachable = self._members.reachable_others()
        self._order = [member.vm for member in reachable]
        self._rng.shuffle(self._order)
        return self._members.get(self._order.pop()) if self._order else None

    def _greet_missing(self) -> None:
        """Try one listed VM that is believed dead or was never heard of."""
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
        believed = self._members.get(chosen.vm)
        if believed is not None:
            records.append(believed.record())
        self._port.send(chosen.peer, members=records, reply_wanted=True)

    def _greet_seed(self) -> None:
        """Try one seed, or one member that is believed dead, that may live after all."""
        known = {m.peer: m for m in self._members.all()}
        own = self._members.own.peer
        addresses = {*self._seeds, *known} - {own}
        silent = [a for a in sorted(addresses) if a not in known or not known[a].reachable]
        if self._vm_list is not None or not silent:
            return
        chosen = self._rng.choice(silent)
        records = [self._members.own.record()]
        if chosen in known:
            records.append(known[chosen].record())
        self._port.send(chosen, members=records, reply_wanted=True)

    async def _probe(self, target: Member) -> None:
        started = self._clock.now()
        question = self._ask(target)
        if await self._answered(question, DIRECT_TIMEOUT_S):
            return
        self._tasks.start(self._look_for_end(target))
        sequence = self._sequence
        for relay in self._some_alive(RELAYS, without=target.vm):
            self._port.send(relay.peer, ping=Ping(sequence, target.vm, target.peer))
        if await self._answered(question, INDIRECT_TIMEOUT_S):
            return
        allowed = SLEPT_FACTOR * (DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S)
        if self._clock.now() - started > allowed:
            return  # this process slept, so the silence proves nothing
        believed = self._members.get(target.vm)
        if believed is None or believed.state is not MemberState.ALIVE:
            return
        suspect = replace(believed, state=MemberState.SUSPECT)
        self._members.merge(suspect)

    async def _look_for_end(self, target: Member) -> None:
        """Declare a process gone when its VM's kernel refuses a connection to it."""
        if await self._network.probe_port(target.peer, LOOK_TIMEOUT_S) is not PortState.REFUSED:
            return
        believed = self._members.get(target.vm)
        if believed is None or believed.boot != target.boot:
            return
        if believed.state is MemberState.GONE:
            return
        logger.info("membership: The process on VM {} has ended.", target.vm)
        self._members.merge(replace(believed, state=MemberState.GONE))

    async def _suspicion(self, suspect: Member) -> None:
        started = self._clock.now()
        await self._clock.sleep(SUSPICION_S)
        if self._clock.now() - started > SLEPT_FACTOR * SUSPICION_S:
            started = self._clock.now()
            await self._clock.sleep(SUSPICION_S)
        believed = self._members.get(suspect.vm)
        if believed is not None and believed.precedence == suspect.precedence:
            logger.info("membership: VM {} is dead.", suspect.vm)
            self._members.merge(replace(suspect, state=MemberState.DEAD))

    def _ask(self, target: Member) -> _Question:
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        question = _Question(self._clock.now(), future)
        self._question_by_sequence[self._sequence] = question
        future.add_done_callback(lambda _, seq=self._sequence: self._forget_question(seq))
        self._tasks.start(self._expire(question))
        believed = [target.record()] if target.state is not MemberState.ALIVE else []
        self._port.send(
            target.peer, ping=Ping(self._sequence, target.vm), members=believed + self._news()
        )
        return question

    async def _expire(self, question: _Question) -> None:
        await self._clock.sleep(DIRECT_TIMEOUT_S + 2 * INDIRECT_TIMEOUT_S)
        if not question.answered.done():
            question.answered.cancel()

    def _forget_question(self, sequence: int) -> None:
        self._question_by_sequence.pop(sequence, None)

    async def _answered(self, question: _Question, wait_s: float) -> bool:
        await asyncio.wait([question.answered], timeout=wait_s)
        return question.answered.done() and not question.answered.cancelled()

    def _receive(self, address: str, message: Datagram) -> None:
        self._learn(message)
        if message.ping is not None:
            self._receive_ping(address, message)
        if message.ack is not None:
            self._receive_ack(message)
        if message.reply_wanted:
            self._send_all(address)

    def _learn(self, message: Datagram) -> None:
        if message.sender == self._port.vm:
            self._metrics.identity_conflicts.labels(message.sender).inc()
            logger.error("membership: Another process uses the name {}.", message.sender)
            return
        for record in message.members or ():
            try:
                heard = Member.from_record(record)
            except ValueError:
                self._metrics.bad_messages.labels("member").inc()
                continue
            self._members.merge(heard)

    def _receive_ping(self, address: str, message: Datagram) -> None:
        ping = message.ping
        if ping.target == self._port.vm:
            ack = Ack(ping.sequence, self._port.vm, self._port.boot)
            self._port.send(address, ack=ack, members=self._about(message.sender) + self._news())
        elif ping.relay_to is not None:
            self._tasks.start(self._relay(address, ping))

    async def _relay(self, address: str, ping: Ping) -> None:
        target = self._members.get(ping.target)
        if target is None:
            return
        question = self._ask(target)
        if await self._answered(question, INDIRECT_TIMEOUT_S):
            ack = Ack(ping.sequence, ping.target, target.boot)
            self._port.send(address, ack=ack)

    def _receive_ack(self, message: Datagram) -> None:
        question = self._question_by_sequence.get(message.ack.sequence)
        if question is None or question.answered.done():
            return
        question.answered.set_result(True)
        if self._knows(message.tables, self._port.tables_mark) and self._knows(
            message.vm_list, self._port.vm_list_mark
        ):
            self._confirmation.confirm(question.asked_at)

    def _knows(self, theirs: RevisionMark | None, ours: RevisionMark | None) -> bool:
        """Whether what a peer has is not newer than what this process has."""
        if theirs is None:
            return True
        return ours is not None and theirs.revision <= ours.revision

    def _about(self, vm: str) -> list[MemberRecord]:
        """What is believed of a sender, when the sender should contradict it."""
        believed = self._members.get(vm)
        if believed is None or believed.state is MemberState.ALIVE:
            return []
        return [believed.record()]

    def _send_all(self, address: str) -> None:
        records = [member.record() for member in self._members.all()]
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            self._port.send(address, members=records[start : start + RECORDS_PER_DATAGRAM])

    def _changed(self, member: Member) -> None:
        self._metrics.members_alive.set(1 + len(self._members.reachable_others()))
        if member.state is MemberState.SUSPECT:
            self._tasks.start(self._suspicion(member))
        record = member.record()
        self._repeat_by_vm[member.vm] = _Repeat(record, REPEATS)
        self._to_spread[member.vm] = record
        if not self._spread_due:
            self._spread_due = True
            self._tasks.start(self._spread())

    async def _spread(self) -> None:
        await self._clock.sleep(SPREAD_DELAY_S)
        self._spread_due = False
        records = list(self._to_spread.values())
        self._to_spread.clear()
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            chunk = records[start : start + RECORDS_PER_DATAGRAM]
            for member in self._some_alive(SPREAD_TO):
                self._port.send(member.peer, members=chunk)

    def _news(self) -> list[MemberRecord]:
        """Recent changes that ride along, each a limited number of times."""
        chosen = list(self._repeat_by_vm.items())[: RECORDS_PER_DATAGRAM - 1]
        for vm, repeat in chosen:
            repeat.left -= 1
            if repeat.left <= 0:
                del self._repeat_by_vm[vm]
        return [repeat.record for _, repeat in chosen]

    def _some_alive(self, count: int, without: str = "") -> list[Member]:
        alive = [m for m in self._members.others((MemberState.ALIVE,)) if m.vm != without]
        return self._rng.sample(alive, min(count, len(alive)))
