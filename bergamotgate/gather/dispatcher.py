"""Sends sub-requests to the VM that owns the backend server, which may be this one."""

import itertools

from bergamotgate.admission.owner import Owner
from bergamotgate.admission.service import BatchService
from bergamotgate.clock import Clock
from bergamotgate.membership.members import MemberTable
from bergamotgate.metrics import Metrics
from bergamotgate.wire.generated.ttypes import Batch, Outcome, Reason, SubReply
from bergamotgate.wire.links import Links, OnReply, PeerProcess

__all__ = ["Dispatcher"]


class Dispatcher:
    """Routes batches of sub-requests to owners, locally or over peer links."""

    def __init__(
        self,
        own_vm: str,
        sender: str,
        members: MemberTable,
        links: Links,
        owner: Owner,
        clock: Clock,
        metrics: Metrics,
    ):
        self._own_vm = own_vm
        self._members = members
        self._links = links
        self._metrics = metrics
        self._attempts = itertools.count(1)
        self._on_reply_by_attempt: dict[int, OnReply] = {}
        self._local_service = BatchService(owner, clock, sender, self._deliver)

    def next_attempt(self) -> int:
        """Return an attempt number that is unique in this process."""
        return next(self._attempts)

    def send(self, vm: str, batch: Batch, on_reply: OnReply) -> None:
        """Send a batch to a VM; each sub-request gets exactly one reply."""
        self._metrics.batches.labels(batch.pool).inc()
        if vm == self._own_vm:
            for item in batch.items:
                self._on_reply_by_attempt[item.attempt] = on_reply
            self._local_service.submit(batch)
            return
        member = self._members.get(vm)
        if member is None:
            for item in batch.items:
                on_reply(SubReply(item.attempt, Outcome.NOT_RUN, Reason.CONNECT_FAILED, 0, 0))
            return
        self._links.link_to(PeerProcess(member.peer, member.boot)).submit(batch, on_reply)

    def cancel(self, vm: str, attempts: list[int]) -> None:
        """Cancel sub-requests at a VM."""
        if vm == self._own_vm:
            for attempt in attempts:
                self._on_reply_by_attempt.pop(attempt, None)
            self._local_service.cancel(attempts)
            return
        member = self._members.get(vm)
        if member is not None:
            self._links.link_to(PeerProcess(member.peer, member.boot)).cancel(attempts)

    def _deliver(self, replies: list[SubReply]) -> None:
        for reply in replies:
            on_reply = self._on_reply_by_attempt.pop(reply.attempt, None)
            if on_reply is None:
                self._metrics.late_replies.labels("local").inc()
            else:
                on_reply(reply)
