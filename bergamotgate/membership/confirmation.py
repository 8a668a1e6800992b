"""How old the view is on which a process acts.

A process that slept wakes with an old view. Only an answer to a question that it asked itself
proves how old the view is at most, so the time of the question counts, not the time of the answer.
"""

from bergamotgate.clock import Clock

__all__ = ["VIEW_FRESH_S", "ViewConfirmation"]

VIEW_FRESH_S = 3.0


class ViewConfirmation:
    """The time up to which the view is known to have been current.

    Attributes:
        alone: Whether the VM list names no other VM, so that nobody could know more.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._confirmed_at = float("-inf")
        self.alone = False

    def confirm(self, asked_at: float) -> None:
        """Note that a question asked at that time was answered with nothing newer."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def is_fresh(self) -> bool:
        """Whether work may be sent on the present view."""
        return self.alone or self._clock.now() - self._confirmed_at <= VIEW_FRESH_S
