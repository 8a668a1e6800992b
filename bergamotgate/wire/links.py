"""Streams to peers: sub-requests, calls, and the watch over links that went silent."""

import asyncio
import itertools
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated.ttypes import Batch, Cancel, Frame, Outcome, Reason, SubReply
from bergamotgate.wire.network import FrameStream, Network

__all__ = ["Link", "Links", "OnReply"]

WATCH_EVERY_S = 0.05
ECHO_TIMEOUT_S = 0.15

OnReply = Callable[[SubReply], None]


class Link:
    """One stream to a peer, with one task that reads it."""

    def __init__(
        self, network: Network, address: str, clock: Clock, tasks: TaskGroup, metrics: Metrics
    ):
        self.address = address
        self.closed = False
        self._network = network
        self._clock = clock
        self._tasks = tasks
        self._metrics = metrics
        self._stream: FrameStream | None = None
        self._unsent: list[bytes] = []
        self._on_reply_by_attempt: dict[int, OnReply] = {}
        self._future_by_call: dict[int, asyncio.Future] = {}
        self._received_at = clock.now()
        self._echo = itertools.count(1)
        self._watching = False
        tasks.start(self._run())

    def submit(self, batch: Batch, on_reply: OnReply) -> None:
        """Send sub-requests; each gets exactly one reply or a sign that the link is lost."""
        for item in batch.items:
            self._on_reply_by_attempt[item.attempt] = on_reply
        self._send(Frame(version=WIRE_VERSION, batch=batch))
        self._watch()

    def cancel(self, attempts: list[int]) -> None:
        """Tell the peer that nobody waits for these attempts any more."""
        for attempt in attempts:
            self._on_reply_by_attempt.pop(attempt, None)
        self._send(Frame(version=WIRE_VERSION, cancel=Cancel(attempts)))

    def forget(self, attempts: list[int]) -> None:
        """Wait no longer for these attempts."""
        for attempt in attempts:
            self._on_reply_by_attempt.pop(attempt, None)

    async def call(self, number: int, frame: Frame, wait_s: float) -> Frame:
        """Send a question and wait for the frame that answers it.

        Raises:
            LinkLost: The link broke or no answer came in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._future_by_call[number] = future
        self._send(frame)
        self._watch()
        try:
            async with self._clock.timeout(wait_s):
                return await future
        except TimeoutError as error:
            raise LinkLost(self.address) from error
        finally:
            self._future_by_call.pop(number, None)

    def close(self) -> None:
        """Close the stream; what waits on it learns that the link is lost."""
        if self.closed:
            return
        self.closed = True
        sent = self._stream is not None
        if self._stream is not None:
            self._stream.close()
        self._fail_waiting(sent)

    def _send(self, frame: Frame) -> None:
        data = encode(frame)
        if self._stream is None:
            self._unsent.append(data)
            return
        try:
            self._stream.send(data)
        except LinkLost:
            self.close()

    async def _run(self) -> None:
        try:
            self._stream = await self._network.connect(self.address)
            self._received_at = self._clock.now()
            for data in self._unsent:
                self._stream.send(data)
            self._unsent.clear()
            while not self.closed:
                data = await self._stream.receive()
                self._received_at = self._clock.now()
                self._dispatch(decode_frame(data))
        except LinkLost:
            pass
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: A frame from {} is unreadable: {}", self.address, error)
        finally:
            self.close()

    def _dispatch(self, frame: Frame) -> None:
        for reply in frame.replies or ():
            on_reply = self._on_reply_by_attempt.pop(reply.attempt, None)
            if on_reply is None:
                self._metrics.late_replies.labels("peer").inc()
            else:
                on_reply(reply)
        answer = frame.tables_reply or frame.vm_list_reply or frame.keeper_reply
        if answer is None:
            return
        future = self._future_by_call.get(answer.call)
        if future is not None and not future.done():
            future.set_result(frame)

    def _watch(self) -> None:
        if not self._watching:
            self._watching = True
            self._tasks.start(self._watch_silence())

    async def _watch_silence(self) -> None:
        """Ask a silent peer for an echo while something waits; none in time ends the link."""
        asked_at: float | None = None
        while self._on_reply_by_attempt or self._future_by_call:
            before = self._clock.now()
            await self._clock.sleep(WATCH_EVERY_S)
            now = self._clock.now()
            slept = now - before > 2 * WATCH_EVERY_S
            if slept or now - self._received_at < WATCH_EVERY_S or self.closed:
                asked_at = None
            elif asked_at is None:
                asked_at = now
                self._send(Frame(version=WIRE_VERSION, echo=next(self._echo)))
            elif self._received_at < asked_at and now - asked_at > ECHO_TIMEOUT_S:
                logger.warning("peers: The link to {} went silent.", self.address)
                self.close()
        self._watching = False

    def _fail_waiting(self, sent: bool) -> None:
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        reason = Reason.LINK_LOST if sent else Reason.CONNECT_FAILED
        waiting = list(self._on_reply_by_attempt.items())
        self._on_reply_by_attempt.clear()
        for attempt, on_reply in waiting:
            on_reply(SubReply(attempt, outcome, reason, 0, 0))
        for future in self._future_by_call.values():
            if not future.done():
                future.set_exception(LinkLost(self.address))


class Links:
    """Links by address, opened when first used and again after they were lost."""

    def __init__(self, network: Network, clock: Clock, metrics: Metrics):
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("peers:")
        self._link_by_address: dict[str, Link] = {}
        self._calls = itertools.count(1)

    def to(self, address: str) -> Link:
        """The open link to an address."""
        link = self._link_by_address.get(address)
        if link is None or link.closed:
            link = Link(self._network, address, self._clock, self._tasks, self._metrics)
            self._link_by_address[address] = link
        return link

    def next_call(self) -> int:
        """A number for a question, unique in this process."""
        return next(self._calls)

    def keep_only(self, addresses: set[str]) -> None:
        """Close links to addresses that are no longer listed."""
        for address in self._link_by_address.keys() - addresses:
            self._link_by_address.pop(address).close()

    async def close(self) -> None:
        """Close all links."""
        for link in self._link_by_address.values():
            link.close()
        await self._tasks.close()
