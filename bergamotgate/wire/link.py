"""A link to one peer process that reconnects after its connection is lost.

Unanswered sub-requests and calls are resent on a new connection to the same process, which
deduplicates them. A lost or unresponsive connection therefore causes neither a second execution nor
an unknown outcome as long as the peer process is alive.
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
from bergamotgate.wire.liveness import LivenessMonitor
from bergamotgate.wire.network import FrameStream, Network

__all__ = ["Link", "LinkContext", "OnReply", "PeerProcess"]

RECONNECT_DELAY_S = 0.02

OnReply = Callable[[SubReply], None]


@dataclass(frozen=True)
class PeerProcess:
    """The process at the other end of a link.

    Attributes:
        address: ``ip:port``.
        boot: Start time of the process in milliseconds since the Unix epoch; 0 matches any process
            at the address.
    """

    address: str
    boot: int = 0


@dataclass(frozen=True)
class LinkContext:
    """Dependencies that all links of a process share."""

    vm: str
    boot: int
    network: Network
    clock: Clock
    tasks: TaskGroup
    metrics: Metrics
    on_unresponsive: Callable[[], None]


@dataclass(frozen=True)
class _PendingSubRequest:
    """A sub-request that has no reply yet."""

    batch: Batch
    item: SubRequest
    expires_at: float
    on_reply: OnReply
    sent: bool


@dataclass(frozen=True)
class _PendingCall:
    """A call that has no reply yet."""

    frame: Frame
    reply_future: asyncio.Future


class Link:
    """Carries sub-requests and calls to one peer; a background task reads the replies.

    Attributes:
        closed: Whether the link has ended and everything pending has failed.
    """

    def __init__(self, peer: PeerProcess, context: LinkContext):
        self.peer = peer
        self.closed = False
        self._context = context
        self._clock = context.clock
        self._stream: FrameStream | None = None
        self._pending_by_attempt: dict[int, _PendingSubRequest] = {}
        self._call_by_id: dict[int, _PendingCall] = {}
        self._last_received_at = self._clock.now()
        self._echo_ids = itertools.count(1)
        self._monitoring = False
        context.tasks.start(self._run())

    def submit(self, batch: Batch, on_reply: OnReply) -> None:
        """Send sub-requests; each gets exactly one reply, which is an error if the link is lost."""
        expires_at = self._clock.now() + batch.budget_ms / 1000
        sent = self._stream is not None
        for item in batch.items:
            pending = _PendingSubRequest(batch, item, expires_at, on_reply, sent)
            self._pending_by_attempt[item.attempt] = pending
        self._send(Frame(version=WIRE_VERSION, batch=batch))
        self._start_monitor()

    def cancel(self, attempts: list[int]) -> None:
        """Tell the peer that the replies to these attempts are no longer needed."""
        for attempt in attempts:
            self._pending_by_attempt.pop(attempt, None)
        self._send(Frame(version=WIRE_VERSION, cancel=Cancel(attempts)))

    async def call(self, call_id: int, frame: Frame, timeout_s: float) -> Frame:
        """Send a call and wait for the frame with its reply.

        Raises:
            LinkLost: The link ended or no reply arrived in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._call_by_id[call_id] = _PendingCall(frame, future)
        self._send(frame)
        self._start_monitor()
        try:
            async with self._clock.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise LinkLost(self.peer.address) from error
        finally:
            self._call_by_id.pop(call_id, None)

    def check_liveness(self) -> None:
        """Check with an echo whether an idle connection still works."""
        if not self._monitoring and self._stream is not None:
            self._send_echo()
            self._start_monitor(echo_sent=True)

    def close(self) -> None:
        """End the link; everything pending fails."""
        if self.closed:
            return
        self.closed = True
        self._drop_stream()
        self._fail_pending()

    def _send(self, frame: Frame) -> None:
        if self._stream is None:
            return  # everything pending is sent once the link is connected
        try:
            self._stream.send(encode(frame))
        except LinkLost:
            self._drop_stream()

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _run(self) -> None:
        """Connect, send what is pending and read; reconnect while something is pending."""
        try:
            while not self.closed:
                self._stream = await self._context.network.connect(self.peer.address)
                self._start_stream()
                try:
                    await self._read(self._stream)
                except LinkLost:
                    self._drop_stream()
                if not self._pending_by_attempt and not self._call_by_id:
                    return
                await self._clock.sleep(RECONNECT_DELAY_S)
        except LinkLost:
            pass
        except FrameError as error:
            self._context.metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: Malformed frame from {}: {}", self.peer.address, error)
        finally:
            self.close()

    def _start_stream(self) -> None:
        self._last_received_at = self._clock.now()
        context = self._context
        hello = Hello(context.vm, context.boot, self.peer.boot)
        self._send(Frame(version=WIRE_VERSION, hello=hello))
        now = self._clock.now()
        for attempt, pending in sorted(self._pending_by_attempt.items()):
            if pending.expires_at > now:
                self._send(Frame(version=WIRE_VERSION, batch=_with_remaining_budget(pending, now)))
            self._pending_by_attempt[attempt] = replace(pending, sent=True)
        for call in self._call_by_id.values():
            self._send(call.frame)

    async def _read(self, stream: FrameStream) -> None:
        while True:
            data = await stream.receive()
            self._last_received_at = self._clock.now()
            self._dispatch(decode_frame(data))

    def _dispatch(self, frame: Frame) -> None:
        for reply in frame.replies or ():
            pending = self._pending_by_attempt.pop(reply.attempt, None)
            if pending is None:
                self._context.metrics.late_replies.labels("peer").inc()
            else:
                pending.on_reply(reply)
        call_reply = (
            frame.tables_reply or frame.vm_list_reply or frame.keeper_reply or frame.published_reply
        )
        if call_reply is None:
            return
        call = self._call_by_id.get(call_reply.call)
        if call is not None and not call.reply_future.done():
            call.reply_future.set_result(frame)

    def _start_monitor(self, echo_sent: bool = False) -> None:
        if not self._monitoring:
            self._monitoring = True
            self._context.tasks.start(self._monitor_liveness(echo_sent))

    async def _monitor_liveness(self, echo_sent: bool) -> None:
        monitor = LivenessMonitor(
            self._clock,
            self._is_reply_due,
            lambda: self._last_received_at,
            self._send_echo,
            self._drop_unresponsive_stream,
        )
        await monitor.run(self._clock.now() if echo_sent else None)
        self._monitoring = False

    def _is_reply_due(self) -> bool:
        return not self.closed and bool(self._pending_by_attempt or self._call_by_id)

    def _send_echo(self) -> None:
        self._send(Frame(version=WIRE_VERSION, echo=next(self._echo_ids)))

    def _drop_unresponsive_stream(self) -> None:
        if self._stream is None:
            return  # already reconnecting
        logger.warning("peers: The connection to {} is unresponsive.", self.peer.address)
        self._drop_stream()
        self._context.on_unresponsive()

    def _fail_pending(self) -> None:
        pending = list(self._pending_by_attempt.items())
        self._pending_by_attempt.clear()
        for attempt, entry in pending:
            outcome = Outcome.UNKNOWN if entry.sent else Outcome.NOT_RUN
            reason = Reason.LINK_LOST if entry.sent else Reason.CONNECT_FAILED
            entry.on_reply(SubReply(attempt, outcome, reason, 0, 0))
        for call in self._call_by_id.values():
            if not call.reply_future.done():
                call.reply_future.set_exception(LinkLost(self.peer.address))


def _with_remaining_budget(pending: _PendingSubRequest, now: float) -> Batch:
    """Return a batch with one pending sub-request and its remaining time budget."""
    batch = pending.batch
    remaining_ms = max(1, milliseconds(pending.expires_at - now))
    return Batch(
        pool=batch.pool,
        snapshot=batch.snapshot,
        budget_ms=remaining_ms,
        patience_ms=batch.patience_ms,
        age_ms=batch.age_ms + batch.budget_ms - remaining_ms,
        repeatable=batch.repeatable,
        body=batch.body,
        items=[pending.item],
        key=batch.key,
    )
