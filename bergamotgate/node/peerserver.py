"""Serves the streams that peers open, with one task per stream."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.admission.owner import Owner
from bergamotgate.admission.service import BatchService
from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.tablestore import TableStore
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.membership.liststore import VmListStore
from bergamotgate.metrics import Metrics
from bergamotgate.node.catchup import answer_frame
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated.ttypes import Frame, Hello, KeeperCall, KeeperReply, SubReply
from bergamotgate.wire.network import FrameStream, Listener, Network

__all__ = ["PeerServer"]

RECONNECT_GRACE_S = 1.0

OnKeeperCall = Callable[[KeeperCall], Awaitable[KeeperReply]]


@dataclass
class _Session:
    """One gateway process and its current stream."""

    service: BatchService
    stream: FrameStream


class PeerServer:
    """Accepts streams from peers and handles their frames.

    Attributes:
        boot: The boot of this process that peers must expect.
    """

    def __init__(
        self,
        boot: int,
        owner: Owner,
        tables: TableStore,
        vm_lists: VmListStore,
        on_keeper_call: OnKeeperCall,
        clock: Clock,
        metrics: Metrics,
    ):
        self.boot = boot
        self._owner = owner
        self._tables = tables
        self._vm_lists = vm_lists
        self._on_keeper_call = on_keeper_call
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("peers:")
        self._streams: set[FrameStream] = set()
        self._session_by_sender: dict[str, _Session] = {}
        self._listener: Listener | None = None

    async def open(self, network: Network, address: str) -> None:
        """Start listening."""
        self._listener = await network.listen(address, self._serve)

    async def close(self) -> None:
        """Close all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._streams):
            stream.close()
        await self._tasks.close()

    async def _serve(self, stream: FrameStream) -> None:
        self._streams.add(stream)
        session: _Session | None = None
        try:
            while True:
                frame = decode_frame(await stream.receive())
                if frame.hello is not None and frame.hello.to_boot:
                    session = self._begin_session(stream, frame.hello)
                self._receive(stream, session, frame)
        except LinkLost:
            pass
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: Malformed frame from {}: {}", stream.peer, error)
        except asyncio.CancelledError:
            pass
        finally:
            self._streams.discard(stream)
            stream.close()
            if session is not None and session.stream is stream:
                self._tasks.start(self._end_session(session, stream))

    def _begin_session(self, stream: FrameStream, hello: Hello) -> _Session:
        """Find the session of a gateway process, or begin one.

        Raises:
            LinkLost: The gateway expects an earlier process at this address, which may already have
                run the sub-requests that the gateway would send again.
        """
        if hello.to_boot != self.boot:
            raise LinkLost(stream.peer)
        sender = f"{hello.vm}-{hello.boot}"
        session = self._session_by_sender.get(sender)
        if session is None:
            service = BatchService(self._owner, self._clock, sender, lambda replies: None)
            session = _Session(service, stream)
            self._session_by_sender[sender] = session
        session.stream = stream
        session.service.on_replies = lambda replies: _send_replies(stream, replies)
        return session

    async def _end_session(self, session: _Session, stream: FrameStream) -> None:
        """Cancel the repeatable jobs of a gateway that does not reconnect in time."""
        await self._clock.sleep(RECONNECT_GRACE_S)
        if session.stream is stream:
            session.service.cancel_repeatable()

    def _receive(self, stream: FrameStream, session: _Session | None, frame: Frame) -> None:
        if session is not None and frame.batch is not None:
            session.service.submit(frame.batch)
        if session is not None and frame.cancel is not None:
            session.service.cancel(frame.cancel.attempts)
        if frame.echo is not None:
            _send(stream, Frame(version=WIRE_VERSION, echo_reply=frame.echo))
        if frame.keeper_call is not None:
            self._tasks.start(self._answer_keeper_call(stream, frame.keeper_call))
        answer = answer_frame(frame, self._tables, self._vm_lists)
        if answer is not None:
            _send(stream, answer)

    async def _answer_keeper_call(self, stream: FrameStream, call: KeeperCall) -> None:
        reply = await self._on_keeper_call(call)
        _send(stream, Frame(version=WIRE_VERSION, keeper_reply=reply))


def _send(stream: FrameStream, frame: Frame) -> None:
    try:
        stream.send(encode(frame))
    except LinkLost:
        return  # the receive loop detects the lost link too and closes the stream


def _send_replies(stream: FrameStream, replies: list[SubReply]) -> None:
    _send(stream, Frame(version=WIRE_VERSION, replies=replies))
