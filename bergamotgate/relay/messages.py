"""What goes between clients, this process and backend servers, in the project's own terms."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from bergamotgate.backend.http1 import ExchangeFailure, RawReply
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.outcomes import NotRun, Unknown

__all__ = [
    "Answer",
    "ClientRequest",
    "DelegatedPart",
    "FailedAnswer",
    "ForwardedAnswer",
    "MergedAnswer",
    "OnEnd",
    "RecordsNeed",
    "RemoteZoneSender",
    "SendFailure",
    "SendResult",
    "SentPart",
    "ServerCodec",
    "ServerReply",
    "WrongReplyReason",
]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One attempt of a client.

    Attributes:
        attempt: The client's identifier of this attempt.
        method: HTTP method.
        host: Host name without port.
        target: Path and query as the client wrote them.
        path: Path without query.
        headers: End-to-end headers to forward.
        body: Whole body.
        client_timeout_s: Seconds that the client waits; None when it did not say.
        arrived_at: Time on the own clock at which the request was read.
        waited_s: Seconds that the client had waited by then, for its connection and the way here.
        return_delay_s: Seconds that the answer takes to the client.
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
    """A backend server's whole reply to the request that was sent.

    Attributes:
        status: Status code.
        headers: All headers, names in lower case.
        body: Whole body.
        digest: The server's signature of the reply; None without one.
        not_run: The server's own word that it did not run the request.
        misdirected: Whether another server has this address now.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: str | None
    not_run: bool
    misdirected: bool

    @property
    def success(self) -> bool:
        """Whether the server ran the request well and signed the reply."""
        return 200 <= self.status < 300 and self.digest is not None


class WrongReplyReason(StrEnum):
    """Why a reply is not the server's reply to the request that was sent."""

    OTHER_ATTEMPT = "other_attempt"
    ENCODED = "encoded"
    UNSIGNED = "unsigned"


class SendFailure(StrEnum):
    """How a sub-request ended without a usable reply."""

    NOT_SENT = "not_sent"
    DIED = "died"
    GARBLED = "garbled"
    TIMED_OUT = "timed_out"
    WRONG_REPLY = "wrong_reply"
    DELEGATE_LOST = "delegate_lost"
    DELEGATE_UNREACHABLE = "delegate_unreachable"

    @property
    def surely_not_run(self) -> bool:
        """Whether nothing reached the server."""
        return self in (SendFailure.NOT_SENT, SendFailure.DELEGATE_UNREACHABLE)

    @property
    def blames_server(self) -> bool:
        """Whether it says something of the server, and not of a VM on the way."""
        return self not in (SendFailure.DELEGATE_LOST, SendFailure.DELEGATE_UNREACHABLE)


SendResult = ServerReply | SendFailure
# Gets what came of one part: the reply as it was framed or as it was read, or why there is none.
OnEnd = Callable[[RawReply | ExchangeFailure | ServerReply | SendFailure], None]


@dataclass(frozen=True, slots=True)
class RecordsNeed:
    """Which records of a part can still be of use.

    Attributes:
        top: The greatest so many.
        floor: Only those that are greater than this one; empty for all.
    """

    top: int
    floor: bytes


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """A server's reply, to be handed on unchanged."""

    reply: ServerReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The answer of many shards.

    Attributes:
        body: The greatest records, greatest first.
        digests: Signatures of the parts that are in.
        missing: Number of shards that are not in.
    """

    body: bytes
    digests: tuple[str, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """No answer.

    Attributes:
        outcome: Why, and what that proves.
        retry_after_s: When the client should come back; None without advice.
    """

    outcome: NotRun | Unknown
    retry_after_s: float | None = None


Answer = ForwardedAnswer | MergedAnswer | FailedAnswer


class SentPart(Protocol):
    """A sub-request on its way."""

    def cancel(self) -> None:
        """Give it up; nothing is called back then."""


class DelegatedPart(SentPart, Protocol):
    """A sub-request on its way through another VM.

    Attributes:
        via: Name of that VM.
    """

    via: str


class RemoteZoneSender(Protocol):
    """Asks servers of other zones through VMs there."""

    def send(
        self,
        request: ClientRequest,
        server: DiscoveredServer,
        budget_s: float,
        need: RecordsNeed,
        on_end: OnEnd,
    ) -> DelegatedPart | None:
        """Ask a server; None if it is near, or no VM is near it."""


class ServerCodec(Protocol):
    """Writes sub-requests to backend servers and reads their replies."""

    def encode(self, request: ClientRequest, server: DiscoveredServer, budget_ms: int) -> bytes:
        """The whole request for one server, with the time that it may take."""

    def decode(self, request: ClientRequest, raw: RawReply) -> ServerReply | WrongReplyReason:
        """The reply, or why it does not belong to the request."""
