"""Tracks how stale the local view of a process may be.

A process that was suspended resumes with a stale view. Only the response to a request of its own
bounds the age of the view, so the age counts from the request, not from the response.
"""

from bergamotgate.clock import Clock

__all__ = ["VIEW_FRESH_S", "ViewConfirmation"]

VIEW_FRESH_S = 3.0


class ViewConfirmation:
    """The latest time at which the local view is known to have been current.

    Attributes:
        alone: Whether the VM list names no other VM, so that no peer can have a newer view.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._confirmed_at = float("-inf")
        self.alone = False

    def confirm(self, requested_at: float) -> None:
        """Record that the response to a request sent at that time showed nothing newer."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def is_fresh(self) -> bool:
        """Whether the local view is recent enough to send requests by it."""
        return self.alone or self._clock.now() - self._confirmed_at <= VIEW_FRESH_S
