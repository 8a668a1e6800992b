"""The gateway's stream to one VM that asks servers for it.

Nothing is delivered twice: when the stream is lost or silent, every part that is pending ends so.
"""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import FrameError, LinkLost
from bergamotgate.metrics import Metrics
from bergamotgate.relay.messages import (
    ClientRequest,
    OnEnd,
    RecordFilter,
    SendFailure,
    ServerReply,
)
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.network import FrameStream, Network
from bergamotgate.wire.silence import SilenceWatch

__all__ = ["REMEMBERED_QUERIES", "DelegateLink", "DelegatedExchange"]

# Queries whose common part the other end still has; it remembers more than it is sent.
REMEMBERED_QUERIES = 256

FAILURE_BY_END = {
    ttypes.DelegatedEnd.NOT_SENT: SendFailure.NOT_SENT,
    ttypes.DelegatedEnd.DIED: SendFailure.DIED,
    ttypes.DelegatedEnd.GARBLED: SendFailure.GARBLED,
    ttypes.DelegatedEnd.TIMED_OUT: SendFailure.TIMED_OUT,
    ttypes.DelegatedEnd.WRONG_REPLY: SendFailure.WRONG_REPLY,
}


@dataclass(frozen=True, slots=True)
class _Order:
    """A part that is to be asked for.

    Attributes:
        number: Unique on this link.
        request: The query.
        server: Identifier of the server.
        budget_s: Seconds until the reply is of no use.
        need: Which records are of use.
    """

    number: int
    request: ClientRequest
    server: str
    budget_s: float
    record_filter: RecordFilter


class DelegatedExchange:
    """One part on its way; ends with exactly one call back, none after ``cancel``.

    Attributes:
        via: Name of the VM that asks the server.
    """

    def __init__(self, link: "DelegateLink", number: int):
        self.via = link.vm
        self._link = link
        self._number = number

    def cancel(self) -> None:
        """Give it up; the other VM closes its connection to the server."""
        self._link.cancel(self._number)


class DelegateLink:
    """Carries parts to one process; one task reads what comes back.

    Attributes:
        vm: Name of the VM at the other end.
        closed: Whether it has ended.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        network: Network,
        clock: Clock,
        tasks: TaskGroup,
        metrics: Metrics,
        on_lost: Callable[[str], None],
    ):
        self.vm = vm
        self.closed = False
        self._address = address
        self._network = network
        self._clock = clock
        self._tasks = tasks
        self._metrics = metrics
        self._on_lost = on_lost
        self._stream: FrameStream | None = None
        self._numbers = itertools.count(1)
        self._queries = itertools.count(1)
        self._echoes = itertools.count(1)
        self._query_by_attempt: OrderedDict[str, int] = OrderedDict()
        self._on_end_by_number: dict[int, OnEnd] = {}
        self._orders: list[_Order] = []
        self._cancels: list[int] = []
        self._flush_due = False
        self._watching = False
        self._heard_at = clock.now()
        tasks.start(self._run())

    def send(
        self,
        request: ClientRequest,
        server: str,
        budget_s: float,
        record_filter: RecordFilter,
        on_end: OnEnd,
    ) -> DelegatedExchange:
        """Ask for a part; parts of one moment travel together."""
        number = next(self._numbers)
        self._on_end_by_number[number] = on_end
        self._orders.append(_Order(number, request, server, budget_s, record_filter))
        self._flush_soon()
        if not self._watching:
            self._watching = True
            self._tasks.start(self._watch_silence())
        return DelegatedExchange(self, number)

    def cancel(self, number: int) -> None:
        """Give up a part."""
        if self._on_end_by_number.pop(number, None) is not None:
            self._cancels.append(number)
            self._flush_soon()

    def close(self) -> None:
        """End the link; what is pending ends as lost, or as not sent if nothing ever left."""
        if self.closed:
            return
        self.closed = True
        connected = self._stream is not None
        if connected:
            self._stream.close()
        failure = SendFailure.DELEGATE_LOST if connected else SendFailure.DELEGATE_UNREACHABLE
        pending, self._on_end_by_number = self._on_end_by_number, {}
        for on_end in pending.values():
            on_end(failure)

    async def _run(self) -> None:
        try:
            stream = await self._network.connect(self._address)
            if self.closed:
                stream.close()
                return
            self._stream = stream
            self._heard_at = self._clock.now()
            self._flush()
            while True:
                frame = decode_frame(await stream.receive())
                self._heard_at = self._clock.now()
                for reply in frame.delegated_replies or ():
                    self._take(reply)
        except LinkLost:
            self._lose("is lost")
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            self._lose(f"carries unreadable frames: {error}")
        finally:
            self.close()

    def _lose(self, what: str) -> None:
        if not self.closed:
            logger.bind(via=self.vm, pending=len(self._on_end_by_number)).warning(
                "delegate: The stream to {} {}.", self.vm, what
            )
            self._on_lost(self.vm)
            self.close()

    def _take(self, reply: ttypes.DelegatedReply) -> None:
        on_end = self._on_end_by_number.pop(reply.number, None)
        if on_end is None:
            self._metrics.late_replies.labels("delegate").inc()
            return
        on_end(_result(reply))

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Send what has gathered; before there is a connection it waits."""
        self._flush_due = False
        if self._stream is None or self.closed or not (self._orders or self._cancels):
            return
        orders, self._orders = self._orders, []
        cancels, self._cancels = self._cancels, []
        asks = self._asks([order for order in orders if order.number in self._on_end_by_number])
        frame = ttypes.Frame(
            version=WIRE_VERSION, delegated_asks=asks or None, delegated_cancels=cancels or None
        )
        try:
            self._stream.send(encode(frame))
        except LinkLost:
            self._lose("is lost")

    def _asks(self, orders: list[_Order]) -> list[ttypes.DelegatedAsk]:
        orders_by_attempt: dict[str, list[_Order]] = {}
        for order in orders:
            orders_by_attempt.setdefault(order.request.attempt, []).append(order)
        return [self._ask(group) for group in orders_by_attempt.values()]

    def _ask(self, orders: list[_Order]) -> ttypes.DelegatedAsk:
        first = orders[0]
        query = self._query_by_attempt.get(first.request.attempt)
        known = query is not None
        if not known:
            query = self._remember(first.request.attempt)
        return ttypes.DelegatedAsk(
            query=query,
            head=None if known else _head(first.request),
            budget_ms=max(1, milliseconds(first.budget_s)),
            top_records=first.record_filter.limit,
            floor=min(order.record_filter.floor for order in orders) or None,
            parts=[ttypes.DelegatedPart(order.number, order.server) for order in orders],
        )

    def _remember(self, attempt: str) -> int:
        query = next(self._queries)
        self._query_by_attempt[attempt] = query
        if len(self._query_by_attempt) > REMEMBERED_QUERIES:
            self._query_by_attempt.popitem(last=False)
        return query

    async def _watch_silence(self) -> None:
        watch = SilenceWatch(
            self._clock,
            lambda: not self.closed and bool(self._on_end_by_number),
            lambda: self._heard_at,
            self._ask_echo,
            lambda: self._lose("went silent"),
        )
        await watch.run()
        self._watching = False

    def _ask_echo(self) -> None:
        if self._stream is None:
            return
        try:
            self._stream.send(encode(ttypes.Frame(version=WIRE_VERSION, echo=next(self._echoes))))
        except LinkLost:
            self._lose("is lost")


def _head(request: ClientRequest) -> ttypes.DelegatedQuery:
    return ttypes.DelegatedQuery(
        attempt=request.attempt,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=[ttypes.HeaderField(name, value) for name, value in request.headers],
        body=request.body,
    )


def _result(reply: ttypes.DelegatedReply) -> ServerReply | SendFailure:
    if reply.end != ttypes.DelegatedEnd.REPLIED:
        return FAILURE_BY_END.get(reply.end, SendFailure.WRONG_REPLY)
    return ServerReply(
        status=reply.status or 0,
        headers=(),
        body=reply.records or b"",
        digest=reply.digest,
        not_run=bool(reply.not_run),
        misdirected=bool(reply.misdirected),
    )
