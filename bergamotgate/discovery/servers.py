"""A discovered backend server, as its own registration describes it."""

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["DiscoveredServer", "ServerStanding"]


class ServerStanding(Enum):
    """State that a server reports of itself."""

    READY = auto()
    DRAINING = auto()


@dataclass(frozen=True)
class DiscoveredServer:
    """The registration of one lifetime of a backend server.

    Attributes:
        server: Identifier, unique among the servers that are registered.
        pool: Name of the pool that it serves.
        address: ``ip:port``; may be reused by another server later.
        zone: Availability zone.
        slots: Number of requests that it processes concurrently.
        standing: Whether it takes new requests.
        cold_ms: Milliseconds for which it stays cold, as of the registration.
        started_ms: Start of this lifetime in milliseconds since 1970; 0 when not reported.
    """

    server: str
    pool: str
    address: str
    zone: str
    slots: int
    standing: ServerStanding
    cold_ms: int
    started_ms: int

    def same_lifetime(self, other: "DiscoveredServer") -> bool:
        """Whether another registration is of the same process at the same address."""
        return (self.server, self.address, self.pool, self.started_ms) == (
            other.server,
            other.address,
            other.pool,
            other.started_ms,
        )
