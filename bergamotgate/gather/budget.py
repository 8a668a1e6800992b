"""Bounds the extra sub-requests of a pool: hedges and retries share one budget.

Each gateway may add a fixed share of its own first sub-requests, and a few more after its start. As
the shares are relative, they add up to the same share of the whole fleet's, whatever the number of
gateways.
"""

__all__ = ["EXTRA_SHARE", "ExtraBudget"]

EXTRA_SHARE = 0.05
MAX_SAVED = 20.0
FIRST_SAVED = 10.0


class ExtraBudget:
    """Token bucket that first sub-requests fill.

    Attributes:
        first: First sub-requests so far.
        extra: Extra sub-requests so far that reached backend servers.
    """

    def __init__(self, share: float = EXTRA_SHARE):
        self._share = share
        self._saved = FIRST_SAVED
        self.first = 0
        self.extra = 0

    def note_first(self, count: int) -> None:
        """Count first sub-requests."""
        self.first += count
        self._saved = min(MAX_SAVED, self._saved + self._share * count)

    def take(self) -> bool:
        """Take the right to one extra sub-request, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.extra += 1
        return True

    def give_back(self) -> None:
        """Return a right whose sub-request never reached a backend server."""
        self._saved = min(MAX_SAVED, self._saved + 1.0)
        self.extra -= 1
