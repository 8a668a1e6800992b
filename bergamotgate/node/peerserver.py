"""Serves the streams that peers open: one task for each."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from loguru import logger

from bergamotgate.admission.owner import Owner
from bergamotgate.admission.service import BatchService
from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.spread import TableStore
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.node.catchup import answer_frame
from bergamotgate.platform.liststore import VmListStore
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated.ttypes import Frame, KeeperCall, KeeperReply, SubReply
from bergamotgate.wire.network import FrameStream, Listener, Network

__all__ = ["PeerServer"]

OnKeeperCall = Callable[[KeeperCall], Awaitable[KeeperReply]]


class PeerServer:
    """Accepts peers and answers what they send."""

    def __init__(
        self,
        name: str,
        owner: Owner,
        tables: TableStore,
        vm_lists: VmListStore,
        on_keeper_call: OnKeeperCall,
        clock: Clock,
        metrics: Metrics,
    ):
        self._name = name
        self._owner = owner
        self._tables = tables
        self._vm_lists = vm_lists
        self._on_keeper_call = on_keeper_call
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskGroup("peers:")
        self._streams: set[FrameStream] = set()
        self._numbers = itertools.count(1)
        self._listener: Listener | None = None

    async def open(self, network: Network, address: str) -> None:
        """Start to listen."""
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
        sender = f"{self._name}-{next(self._numbers)}"
        service = BatchService(
            self._owner, self._clock, sender, lambda replies: _send_replies(stream, replies)
        )
        try:
            while True:
                self._receive(stream, service, decode_frame(await stream.receive()))
        except LinkLost:
            pass
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            logger.warning("peers: A frame from {} is unreadable: {}", stream.peer, error)
        except asyncio.CancelledError:
            pass
        finally:
            service.cancel_repeatable()
            self._streams.discard(stream)
            stream.close()

    def _receive(self, stream: FrameStream, service: BatchService, frame: Frame) -> None:
        if frame.batch is not None:
            service.submit(frame.batch)
        if frame.cancel is not None:
            service.cancel(frame.cancel.attempts)
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
        return  # the reading side sees the loss too and ends the stream


def _send_replies(stream: FrameStream, replies: list[SubReply]) -> None:
    _send(stream, Frame(version=WIRE_VERSION, replies=replies))
