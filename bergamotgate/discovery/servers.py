"""One discovered backend server, as its own registration describes it."""

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["DiscoveredServer", "ServerStanding"]


class ServerStanding(Enum):
    """What a server says of itself."""

    READY = auto()
    DRAINING = auto()


@dataclass(frozen=True)
class DiscoveredServer:
    """A registration of one lifetime of a backend server.

    Attributes:
        server: Identifier, unique among the servers that are registered.
        pool: Name of the pool that it serves.
        address: ``ip:port``; may be used again by another server later.
        zone: Availability zone.
        slots: Requests that it processes at the same time.
        standing: Whether it takes work.
        cold_ms: Milliseconds for which it stays cold, as of the registration.
        started_ms: Start of this lifetime in milliseconds since 1970; 0 when not stated.
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
