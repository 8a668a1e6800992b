"""Requests to and replies from backend servers, and the connection interface that carries them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = [
    "BackendConnection",
    "BackendConnector",
    "BackendNotRunReason",
    "BackendReply",
    "BackendRequest",
]


class BackendNotRunReason(StrEnum):
    """Why a backend server did not run a request, as the server reports it."""

    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_MISSING = "snapshot_missing"
    EXPIRED = "expired"


@dataclass(frozen=True)
class BackendRequest:
    """A sub-request as sent to a backend server.

    Attributes:
        identifier: Unique to this attempt; the reply repeats it.
        pool: Name of the pool.
        snapshot: Version of the index to answer from; empty for none.
        shard: Number of the shard.
        budget_ms: Time left until the deadline, after which the answer is of no use.
        repeatable: Whether the request may reach the server more than once.
        key: The caller's idempotency key; empty for none.
        body: Body of the caller's request.
    """

    identifier: str
    pool: str
    snapshot: str
    shard: int
    budget_ms: int
    repeatable: bool
    key: str
    body: bytes


@dataclass(frozen=True)
class BackendReply:
    """A reply of a backend server.

    Attributes:
        not_run: Why the server did not run the request, or None if it ran.
        failed: Whether the request ran and failed.
        snapshot: Version of the index that produced the answer.
        incarnation: Identifies the server process; changes at each restart.
        cold: Whether the server reports that it is in cold start.
        body: Body of the answer.
    """

    not_run: BackendNotRunReason | None
    failed: bool
    snapshot: str
    incarnation: str
    cold: bool
    body: bytes


class BackendConnection(Protocol):
    """At most one open connection to a backend server, for one request at a time.

    Attributes:
        used: Whether an exchange has succeeded on it.
    """

    used: bool

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply.

        Raises:
            ConnectionRefused: Nothing was sent.
            ConnectionDied: The connection closed before the reply was complete.
            ExchangeTimedOut: No reply arrived within the request's budget.
            WrongReply: The reply belongs to another request or is corrupt.
        """

    def close(self) -> None:
        """Close the connection; an exchange in progress fails with ``ConnectionDied``."""


class BackendConnector(Protocol):
    """Creates connections to backend servers."""

    def open(self, address: str) -> BackendConnection:
        """Return a connection that is opened by its first exchange."""
