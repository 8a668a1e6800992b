"""Defines requests, replies and answers independently of the protocols that carry them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.discovery import NO_STATEMENT, DiscoveredServer, ServerStatement
from bergamotgate.outcomes import NotRun, Unknown

__all__ = [
    "Answer",
    "ClientRequest",
    "DelegatedSubRequest",
    "FailedAnswer",
    "ForwardedAnswer",
    "MergedAnswer",
    "OnEnd",
    "PendingSubRequest",
    "RateDeclined",
    "RecordFilter",
    "RemoteZoneSender",
    "SendEnd",
    "SendFailure",
    "SendResult",
    "ServerCodec",
    "ServerReply",
    "WrongReplyReason",
]

# Statuses by which a caller is told that its request has not run and will not run.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One attempt of a client's request.

    Attributes:
        attempt: The client's identifier of this attempt.
        method: HTTP method.
        host: Host name without port.
        target: Path and query as the client sent them.
        path: Path without query.
        headers: End-to-end headers to forward.
        body: Complete body.
        client_timeout_s: Seconds that the client waits; None when it did not state a limit.
        arrived_at: Time on the local clock at which the request was read.
        waited_s: Seconds that the client had waited by then, for its connection and the network.
        return_delay_s: Network delay of the answer to the client in seconds.
    """

    attempt: str
    method: str
    host: str
    target: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client_timeout_s: float | None
    arrived_at: float
    waited_s: float = 0.0
    return_delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A backend server's complete reply to a request.

    Attributes:
        status: Status code.
        headers: All headers, names in lower case.
        body: Complete body.
        digest: The server's signature of the reply; None without one.
        not_run: Whether the server states that it did not run the request.
        misdirected: Whether the address belongs to another server now.
        rate_limit: Requests per second that the server takes from all VMs together; None if it
            states no limit.
        statement: What the server says of itself.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: str | None
    not_run: bool
    misdirected: bool
    rate_limit: float | None = None
    statement: ServerStatement = NO_STATEMENT

    @property
    def success(self) -> bool:
        """Whether the status is 2xx and the server signed the reply."""
        return 200 <= self.status < 300 and self.digest is not None

    @property
    def promises_more_than_it_proves(self) -> bool:
        """Whether a caller would take it for a refusal, though the request may have run."""
        return self.status in REFUSAL_STATUSES and not self.not_run

    @property
    def refused_for_pause(self) -> bool:
        """Whether the server did not run the request, as it leaves or wants a pause."""
        return self.not_run and self.statement is not NO_STATEMENT

    @property
    def tells_rate_limit(self) -> bool:
        """Whether the reply tells if the server limits its rate.

        A refusal or an error without a rate does not: a server in need may send it from a place
        that does not know of the limit.
        """
        if self.misdirected:
            return False
        return self.rate_limit is not None or not (self.not_run or self.status >= 500)


class WrongReplyReason(StrEnum):
    """Why a reply was rejected as not being the server's reply to the request."""

    OTHER_ATTEMPT = "other_attempt"
    NO_ATTEMPT = "no_attempt"
    ENCODED = "encoded"
    UNSIGNED = "unsigned"
    REPEATED_FIELD = "repeated_field"


class SendFailure(StrEnum):
    """How a sub-request ended without a usable reply."""

    NOT_SENT = "not_sent"
    CONNECTION_LOST = "died"
    MALFORMED = "garbled"
    TIMED_OUT = "timed_out"
    WRONG_REPLY = "wrong_reply"
    OVERSIZED = "oversized"
    DELEGATE_LOST = "delegate_lost"
    DELEGATE_UNREACHABLE = "delegate_unreachable"
    RATE_LIMITED = "rate_limited"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not reach the server."""
        return self in (
            SendFailure.NOT_SENT,
            SendFailure.DELEGATE_UNREACHABLE,
            SendFailure.RATE_LIMITED,
        )

    @property
    def concerns_server(self) -> bool:
        """Whether the failure counts against the server."""
        return self not in (
            SendFailure.DELEGATE_LOST,
            SendFailure.DELEGATE_UNREACHABLE,
            SendFailure.RATE_LIMITED,
        )


@dataclass(frozen=True, slots=True)
class RateDeclined:
    """A delegate did not send a sub-request: its part of the server's stated rate is used up.

    Attributes:
        retry_s: Seconds after which it may send the next one.
    """

    retry_s: float


SendResult = ServerReply | SendFailure
# The end of one sub-request: its reply, raw or decoded, or why there is none.
SendEnd = RawReply | ExchangeFailure | ServerReply | SendFailure | RateDeclined
OnEnd = Callable[[SendEnd], None]


@dataclass(frozen=True, slots=True)
class RecordFilter:
    """Selects the records of a shard's reply that can still be part of the answer.

    Attributes:
        limit: Maximum number of records; the greatest are kept.
        floor: Exclusive lower bound; empty for no bound.
    """

    limit: int
    floor: bytes


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """A server's reply, forwarded unchanged."""

    reply: ServerReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """An answer merged from the replies of many shards.

    Attributes:
        body: The greatest records, greatest first.
        digests: Signatures of the replies that the answer contains.
        missing: Number of shards that the answer lacks.
    """

    body: bytes
    digests: tuple[str, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """An error answer.

    Attributes:
        outcome: Reason, and whether the request is known not to have run.
        retry_after_s: Seconds after which the client should retry; None for no advice.
    """

    outcome: NotRun | Unknown
    retry_after_s: float | None = None


Answer = ForwardedAnswer | MergedAnswer | FailedAnswer


class PendingSubRequest(Protocol):
    """A sub-request without a result yet."""

    def cancel(self) -> None:
        """Cancel it; its callback is not called after that."""


class DelegatedSubRequest(PendingSubRequest, Protocol):
    """A sub-request sent through a delegate.

    Attributes:
        via: Name of the delegate's VM.
    """

    via: str


class RemoteZoneSender(Protocol):
    """Sends sub-requests to servers of other availability zones through delegates there."""

    def send(
        self,
        request: ClientRequest,
        server: DiscoveredServer,
        budget_s: float,
        record_filter: RecordFilter,
        on_end: OnEnd,
    ) -> DelegatedSubRequest | None:
        """Send a sub-request; None if its zone is this VM's own or has no delegate."""

    def reaches(self, server: DiscoveredServer) -> bool:
        """Return whether sub-requests to a server go through a delegate now."""


class ServerCodec(Protocol):
    """Encodes sub-requests to backend servers and decodes their replies."""

    def encode(self, request: ClientRequest, server: DiscoveredServer, budget_ms: int) -> bytes:
        """Return the complete request for one server, with its time budget in milliseconds."""

    def decode(self, request: ClientRequest, raw: RawReply) -> ServerReply | WrongReplyReason:
        """Return the reply, or why it was rejected."""
