"""A stream to one peer process that survives the loss of its connection.

What has no answer yet is delivered again on a new connection to the same process, which recognises
what it has seen. A lost or silent connection therefore costs neither a second run nor an unknown
outcome, as long as the process at the other end lives.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated.ttypes import (
    Batch,
    Cancel,
    Frame,
    Hello,
    Outcome,
    Reason,
    SubReply,
    SubRequest,
)
from bergamotgate.wire.network import FrameStream, Network
from bergamotgate.wire.silence import LivenessMonitor

__all__ = ["Link", "LinkContext", "OnReply", "PeerProcess"]

REDIAL_S = 0.02

OnReply = Callable[[SubReply], None]


@dataclass(frozen=True)
class PeerProcess:
    """The process at the other end of a link.

    Attributes:
        address: ``ip:port``.
        boot: Start of the process, in milliseconds since 1970; 0 for any process at the address.
    """

    address: str
    boot: int = 0


@dataclass(frozen=True)
class LinkContext:
    """What all links of a process share."""

    vm: str
    boot: int
    network: Network
    clock: Clock
    tasks: TaskGroup
    metrics: Metrics
    on_silence: Callable[[], None]


@dataclass(frozen=True)
class _Pending:
    """A sub-request without reply."""

    batch: Batch
    item: SubRequest
    expires_at: float
    on_reply: OnReply
    sent: bool


@dataclass(frozen=True)
class _Call:
    """A question without answer."""

    frame: Frame
    answered: asyncio.Future


class Link:
    """Carries sub-requests and questions to one peer; one task reads it.

    Attributes:
        closed: Whether it has ended; what was pending then learned so.
    """

    def __init__(self, peer: PeerProcess, context: LinkContext):
        self.peer = peer
        self.closed = False
        self._context = context
        self._clock = context.clock
        self._stream: FrameStream | None = None
        self._pending_by_attempt: dict[int, _Pending] = {}
        self._call_by_number: dict[int, _Call] = {}
        self._received_at = self._clock.now()
        self._echo = itertools.count(1)
        self._watching = False
        context.tasks.start(self._run())

    def submit(self, batch: Batch, on_reply: OnReply) -> None:
        """Send sub-requests; each gets exactly one reply or a sign that the link is lost."""
        expires_at = self._clock.now() + batch.budget_ms / 1000
        sent = self._stream is not None
        for item in batch.items:
            pending = _Pending(batch, item, expires_at, on_reply, sent)
            self._pending_by_attempt[item.attempt] = pending
        self._send(Frame(version=WIRE_VERSION, batch=batch))
        self._watch()

    def cancel(self, attempts: list[int]) -> None:
        """Tell the peer that nobody waits for these attempts any more."""
        for attempt in attempts:
            self._pending_by_attempt.pop(attempt, None)
        self._send(Frame(version=WIRE_VERSION, cancel=Cancel(attempts)))

    async def call(self, number: int, frame: Frame, wait_s: float) -> Frame:
        """Send a question and wait for the frame that answers it.

        Raises:
            LinkLost: The link ended or no answer came in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._call_by_number[number] = _Call(frame, future)
        self._send(frame)
        self._watch()
        try:
            async with self._clock.timeout(wait_s):
                return await future
        except TimeoutError as error:
            raise LinkLost(self.peer.address) from error
        finally:
            self._call_by_number.pop(number, None)

    def check(self) -> None:
        """Find out whether an idle connection still works."""
        if not self._watching and self._stream is not None:
            self._ask_echo()
            self._watch(checking=True)

    def close(self) -> None:
        """End the link; what is pending learns that it is lost."""
        if self.closed:
            return
        self.closed = True
        self._drop_stream()
        self._fail_pending()

    def _send(self, frame: Frame) -> None:
        if self._stream is None:
            return  # what is pending goes out once there is a connection
        try:
            self._stream.send(encode(frame))
        except LinkLost:
            self._drop_stream()

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _run(self) -> None:
        """Connect, deliver what is pending, read; again while something is pending."""
        try:
            while not self.closed:
                self._stream = await self._context.network.connect(self.peer.address)
                self._greet()
                try:
                    await self._read(self._stream)
                except LinkLost:
                    self._drop_stream()
                if not self._pending_by_attempt and not self._call_by_number:
                    return
                await self._clock.sleep(REDIAL_S)
        except LinkLost:
            pass
        except FrameError as error:
            self._context.metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: {} sends unreadable frames: {}", self.peer.address, error)
        finally:
            self.close()

    def _greet(self) -> None:
        self._received_at = self._clock.now()
        context = self._context
        hello = Hello(context.vm, context.boot, self.peer.boot)
        self._send(Frame(version=WIRE_VERSION, hello=hello))
        now = self._clock.now()
        for attempt, pending in sorted(self._pending_by_attempt.items()):
            if pending.expires_at > now:
                self._send(Frame(version=WIRE_VERSION, batch=_shortened(pending, now)))
            self._pending_by_attempt[attempt] = replace(pending, sent=True)
        for call in self._call_by_number.values():
            self._send(call.frame)

    async def _read(self, stream: FrameStream) -> None:
        while True:
            data = await stream.receive()
            self._received_at = self._clock.now()
            self._dispatch(decode_frame(data))

    def _dispatch(self, frame: Frame) -> None:
        for reply in frame.replies or ():
            pending = self._pending_by_attempt.pop(reply.attempt, None)
            if pending is None:
                self._context.metrics.late_replies.labels("peer").inc()
            else:
                pending.on_reply(reply)
        answer = (
            frame.tables_reply or frame.vm_list_reply or frame.keeper_reply or frame.published_reply
        )
        if answer is None:
            return
        call = self._call_by_number.get(answer.call)
        if call is not None and not call.answered.done():
            call.answered.set_result(frame)

    def _watch(self, checking: bool = False) -> None:
        if not self._watching:
            self._watching = True
            self._context.tasks.start(self._watch_silence(checking))

    async def _watch_silence(self, checking: bool) -> None:
        watch = LivenessMonitor(
            self._clock,
            self._is_answer_due,
            lambda: self._received_at,
            self._ask_echo,
            self._end_silent_stream,
        )
        await watch.run(self._clock.now() if checking else None)
        self._watching = False

    def _is_answer_due(self) -> bool:
        return not self.closed and bool(self._pending_by_attempt or self._call_by_number)

    def _ask_echo(self) -> None:
        self._send(Frame(version=WIRE_VERSION, echo=next(self._echo)))

    def _end_silent_stream(self) -> None:
        if self._stream is None:
            return  # it is being connected anew
        logger.warning("peers: The connection to {} went silent.", self.peer.address)
        self._drop_stream()
        self._context.on_silence()

    def _fail_pending(self) -> None:
        pending = list(self._pending_by_attempt.items())
        self._pending_by_attempt.clear()
        for attempt, entry in pending:
            outcome = Outcome.UNKNOWN if entry.sent else Outcome.NOT_RUN
            reason = Reason.LINK_LOST if entry.sent else Reason.CONNECT_FAILED
            entry.on_reply(SubReply(attempt, outcome, reason, 0, 0))
        for call in self._call_by_number.values():
            if not call.answered.done():
                call.answered.set_exception(LinkLost(self.peer.address))


def _shortened(pending: _Pending, now: float) -> Batch:
    """One pending sub-request with the time that it has left."""
    batch = pending.batch
    left_ms = max(1, milliseconds(pending.expires_at - now))
    return Batch(
        pool=batch.pool,
        snapshot=batch.snapshot,
        budget_ms=left_ms,
        patience_ms=batch.patience_ms,
        age_ms=batch.age_ms + batch.budget_ms - left_ms,
        repeatable=batch.repeatable,
        body=batch.body,
        items=[pending.item],
        key=batch.key,
    )
