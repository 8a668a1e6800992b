"""What is exchanged with a backend server, one request at a time on a connection."""

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
    """A backend server's own word that it did not run a request."""

    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_MISSING = "snapshot_missing"
    EXPIRED = "expired"


@dataclass(frozen=True)
class BackendRequest:
    """One sub-request as a backend server gets it.

    Attributes:
        identifier: Unique to this attempt; the reply repeats it.
        pool: Name of the pool.
        snapshot: Version of the index to answer from; empty for none.
        shard: Number of the shard.
        budget_ms: Time left until the answer is worthless.
        repeatable: Whether the request may reach the server more than once.
        key: The caller's idempotency key; empty for none.
        body: The caller's body.
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
    """What a backend server answered.

    Attributes:
        not_run: The server's word that it did not run the request, or None when it ran.
        failed: Whether it ran and failed.
        snapshot: Version of the index that the answer comes from.
        incarnation: Changes at each restart of the server.
        cold: The server's word that it is in cold start.
        body: The answer.
    """

    not_run: BackendNotRunReason | None
    failed: bool
    snapshot: str
    incarnation: str
    cold: bool
    body: bytes


class BackendConnection(Protocol):
    """At most one open connection to one backend server."""

    used: bool

    async def exchange(self, request: BackendRequest) -> BackendReply:
        """Send a request and wait for its reply.

        Raises:
            ConnectionRefused: Nothing was sent.
            ConnectionDied: The connection closed before the whole reply.
            ExchangeTimedOut: No reply within the request's budget.
            WrongReply: The reply belongs to another request or is not whole.
        """

    def close(self) -> None:
        """Close the connection; a running exchange ends with ``ConnectionDied``."""


class BackendConnector(Protocol):
    """Makes connections."""

    def open(self, address: str) -> BackendConnection:
        """A connection that opens at its first exchange."""
