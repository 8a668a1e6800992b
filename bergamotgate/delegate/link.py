"""Implements the gateway's stream to one delegate.

Nothing is delivered twice: if the stream is lost or unresponsive, every pending sub-request ends as
lost.
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
    RateDeclined,
    RecordFilter,
    SendFailure,
    ServerReply,
)
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode, encode_compressed
from bergamotgate.wire.generated import ttypes
from bergamotgate.wire.liveness import LivenessMonitor
from bergamotgate.wire.network import FrameStream, Network

__all__ = ["QUERY_ID_CACHE_SIZE", "DelegateLink", "DelegatedExchange"]

# Number of queries whose head is assumed to be cached at the delegate; its own cache is larger.
QUERY_ID_CACHE_SIZE = 256

FAILURE_BY_END = {
    ttypes.DelegatedEnd.NOT_SENT: SendFailure.NOT_SENT,
    ttypes.DelegatedEnd.DIED: SendFailure.CONNECTION_LOST,
    ttypes.DelegatedEnd.GARBLED: SendFailure.MALFORMED,
    ttypes.DelegatedEnd.TIMED_OUT: SendFailure.TIMED_OUT,
    ttypes.DelegatedEnd.WRONG_REPLY: SendFailure.WRONG_REPLY,
}


@dataclass(frozen=True, slots=True)
class _QueuedSubRequest:
    """A sub-request waiting to be sent.

    Attributes:
        number: Unique on this link.
        request: The client's query.
        server: Identifier of the server.
        budget_s: Seconds after which the reply is of no use.
        record_filter: Records of the reply to return.
    """

    number: int
    request: ClientRequest
    server: str
    budget_s: float
    record_filter: RecordFilter


class DelegatedExchange:
    """A pending sub-request; ends with exactly one callback, or none after ``cancel``.

    Attributes:
        via: Name of the delegate's VM.
    """

    def __init__(self, link: "DelegateLink", number: int):
        self.via = link.vm
        self._link = link
        self._number = number

    def cancel(self) -> None:
        """Cancel it; the delegate closes its connection to the server."""
        self._link.cancel(self._number)


class DelegateLink:
    """Carries sub-requests to one delegate; one task reads the replies.

    Attributes:
        vm: Name of the delegate's VM.
        closed: Whether the link is closed.
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
        self._query_ids = itertools.count(1)
        self._echo_ids = itertools.count(1)
        self._query_id_by_attempt: OrderedDict[str, int] = OrderedDict()
        self._on_end_by_number: dict[int, OnEnd] = {}
        self._queued: list[_QueuedSubRequest] = []
        self._cancels: list[int] = []
        self._flush_due = False
        self._watching = False
        self._last_received_at = clock.now()
        tasks.start(self._run())

    def send(
        self,
        request: ClientRequest,
        server: str,
        budget_s: float,
        record_filter: RecordFilter,
        on_end: OnEnd,
    ) -> DelegatedExchange:
        """Queue a sub-request; those queued in one event-loop iteration share a frame."""
        number = next(self._numbers)
        self._on_end_by_number[number] = on_end
        self._queued.append(_QueuedSubRequest(number, request, server, budget_s, record_filter))
        self._flush_soon()
        if not self._watching:
            self._watching = True
            self._tasks.start(self._watch_responsiveness())
        return DelegatedExchange(self, number)

    def cancel(self, number: int) -> None:
        """Cancel a sub-request."""
        if self._on_end_by_number.pop(number, None) is not None:
            self._cancels.append(number)
            self._flush_soon()

    def close(self) -> None:
        """Close the link.

        Pending sub-requests end as lost, or as not sent if the link was never connected.
        """
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
            self._last_received_at = self._clock.now()
            self._flush()
            while True:
                frame = decode_frame(await stream.receive())
                self._last_received_at = self._clock.now()
                for reply in frame.delegated_replies or ():
                    self._complete(reply)
        except LinkLost:
            self._fail("is lost")
        except FrameError as error:
            self._metrics.bad_messages.labels("frame").inc()
            self._fail(f"carries malformed frames: {error}")
        finally:
            self.close()

    def _fail(self, problem: str) -> None:
        if not self.closed:
            logger.bind(via=self.vm, pending=len(self._on_end_by_number)).warning(
                "delegate: The stream to {} {}.", self.vm, problem
            )
            self._on_lost(self.vm)
            self.close()

    def _complete(self, reply: ttypes.DelegatedReply) -> None:
        on_end = self._on_end_by_number.pop(reply.number, None)
        if on_end is None:
            self._metrics.late_replies.labels("delegate").inc()
            return
        on_end(_decode_result(reply))

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Send the queued sub-requests and cancels; without a connection yet they stay queued."""
        self._flush_due = False
        if self._stream is None or self.closed or not (self._queued or self._cancels):
            return
        sub_requests, self._queued = self._queued, []
        cancels, self._cancels = self._cancels, []
        delegated_requests = self._build_requests(
            [
                sub_request
                for sub_request in sub_requests
                if sub_request.number in self._on_end_by_number
            ]
        )
        frame = ttypes.Frame(
            version=WIRE_VERSION,
            delegated_asks=delegated_requests or None,
            delegated_cancels=cancels or None,
        )
        try:
            self._stream.send(encode_compressed(frame))
        except LinkLost:
            self._fail("is lost")

    def _build_requests(self, sub_requests: list[_QueuedSubRequest]) -> list[ttypes.DelegatedAsk]:
        sub_requests_by_attempt: dict[str, list[_QueuedSubRequest]] = {}
        for sub_request in sub_requests:
            sub_requests_by_attempt.setdefault(sub_request.request.attempt, []).append(sub_request)
        return [self._build_request(group) for group in sub_requests_by_attempt.values()]

    def _build_request(self, sub_requests: list[_QueuedSubRequest]) -> ttypes.DelegatedAsk:
        first = sub_requests[0]
        query_id = self._query_id_by_attempt.get(first.request.attempt)
        known = query_id is not None
        if not known:
            query_id = self._assign_query_id(first.request.attempt)
        return ttypes.DelegatedAsk(
            query=query_id,
            head=None if known else _head(first.request),
            budget_ms=max(1, milliseconds(first.budget_s)),
            top_records=first.record_filter.limit,
            floor=min(sub_request.record_filter.floor for sub_request in sub_requests) or None,
            parts=[
                ttypes.DelegatedPart(sub_request.number, sub_request.server)
                for sub_request in sub_requests
            ],
        )

    def _assign_query_id(self, attempt: str) -> int:
        query_id = next(self._query_ids)
        self._query_id_by_attempt[attempt] = query_id
        if len(self._query_id_by_attempt) > QUERY_ID_CACHE_SIZE:
            self._query_id_by_attempt.popitem(last=False)
        return query_id

    async def _watch_responsiveness(self) -> None:
        watch = LivenessMonitor(
            self._clock,
            lambda: not self.closed and bool(self._on_end_by_number),
            lambda: self._last_received_at,
            self._send_echo,
            lambda: self._fail("is unresponsive"),
        )
        await watch.run()
        self._watching = False

    def _send_echo(self) -> None:
        if self._stream is None:
            return
        try:
            self._stream.send(encode(ttypes.Frame(version=WIRE_VERSION, echo=next(self._echo_ids))))
        except LinkLost:
            self._fail("is lost")


def _head(request: ClientRequest) -> ttypes.DelegatedQuery:
    return ttypes.DelegatedQuery(
        attempt=request.attempt,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=[ttypes.HeaderField(name, value) for name, value in request.headers],
        body=request.body,
    )


def _decode_result(reply: ttypes.DelegatedReply) -> ServerReply | SendFailure | RateDeclined:
    if reply.retry_ms is not None:
        return RateDeclined(reply.retry_ms / 1000)
    if reply.end != ttypes.DelegatedEnd.REPLIED:
        return FAILURE_BY_END.get(reply.end, SendFailure.WRONG_REPLY)
    return ServerReply(
        status=reply.status or 0,
        headers=(),
        body=reply.records or b"",
        digest=reply.digest,
        not_run=bool(reply.not_run),
        misdirected=bool(reply.misdirected),
        rate_limit=reply.rate_limit,
    )
