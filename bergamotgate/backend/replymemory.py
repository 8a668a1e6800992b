"""Limits the size of replies of backend servers, each and all of a process together."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["ReplyLimits", "ReplyMemory", "ReplyReceiver"]

# Smaller replies are not counted; they cost nothing to account for, and many of them are normal.
SMALL_REPLY_BYTES = 16 * 1024


@dataclass(frozen=True)
class ReplyLimits:
    """Limits on what replies may hold while they are incomplete.

    Attributes:
        head_bytes: Maximum size of a reply's status line and headers, informational replies
            included.
        body_bytes: Maximum size of a reply's body as transferred, with its framing and trailers.
        total_bytes: Maximum size of all incomplete replies together, small ones not counted.
    """

    head_bytes: int = 64 * 1024
    body_bytes: int = 4 * 1024 * 1024
    total_bytes: int = 16 * 1024 * 1024


class ReplyReceiver(Protocol):
    """A connection that receives a reply."""

    def end_oversized(self) -> None:
        """End the reply because it is too large; releases its memory."""


class ReplyMemory:
    """Accounts for the incomplete replies of a process.

    When the total is exceeded, the largest reply ends, so that servers that send without end do not
    cost the replies of others.

    Attributes:
        limits: The limits.
        held_bytes: Size of the replies that are counted now.
    """

    def __init__(self, limits: ReplyLimits):
        self.limits = limits
        self.held_bytes = 0
        self._size_by_receiver: dict[ReplyReceiver, int] = {}

    def hold(self, receiver: ReplyReceiver, size_bytes: int) -> None:
        """Record the present size of an incomplete reply; may end it, or larger ones."""
        if size_bytes <= SMALL_REPLY_BYTES:
            return
        self.held_bytes += size_bytes - self._size_by_receiver.get(receiver, 0)
        self._size_by_receiver[receiver] = size_bytes
        while self.held_bytes > self.limits.total_bytes:
            largest = max(self._size_by_receiver, key=self._size_by_receiver.__getitem__)
            largest.end_oversized()

    def release(self, receiver: ReplyReceiver) -> None:
        """Remove a reply that is complete or has ended."""
        self.held_bytes -= self._size_by_receiver.pop(receiver, 0)
