"""Bounds the extra requests at each pool: hedges and retries of this process share one budget.

The bound holds for all VMs together, in any window. Each VM takes the stated share of its own
first requests, and its part of the fixed allowance. The fixed part fills slowly from nothing, so
that a process that starts again does not have its part twice.
"""

from bergamotgate.clock import Clock

__all__ = ["PoolExtraBudget"]

# Parts of the stated bounds that are used; the rest covers requests counted in other windows.
USED_SHARE = 0.8
USED_ALLOWANCE = 0.8


class PoolExtraBudget:
    """Token bucket of one pool; its fixed part fills from ``saving_since`` on.

    Attributes:
        extra: Extra requests so far.
    """

    def __init__(
        self,
        clock: Clock,
        share: float,
        allowance: float,
        window_s: float,
        sharers: float,
        saving_since: float,
    ):
        self._clock = clock
        self._share = USED_SHARE * share
        self._window_s = window_s
        self._saved_share = 0.0
        self._saved_allowance = 0.0
        self._filled_at = saving_since
        self._allowance = allowance
        self._sharers = max(1.0, sharers)
        self.extra = 0

    def resize(self, sharers: float) -> None:
        """Take in how many VMs with a part like this one's share the allowance."""
        self._sharers = max(1.0, sharers)

    def note_first(self) -> None:
        """Count a first request."""
        most = self._part
        self._saved_share = min(max(1.0, most), self._saved_share + self._share)

    def take(self) -> bool:
        """Take the right to one extra request, if there is one."""
        self._fill()
        if self._saved_share >= 1.0:
            self._saved_share -= 1.0
        elif self._saved_allowance >= 1.0:
            self._saved_allowance -= 1.0
        else:
            return False
        self.extra += 1
        return True

    def give_back(self) -> None:
        """Return a right whose request never reached a server."""
        self._saved_share += 1.0
        self.extra -= 1

    @property
    def _part(self) -> float:
        """What may be saved, and again be filled in one window: half of this VM's part."""
        return USED_ALLOWANCE * self._allowance / self._sharers / 2

    def _fill(self) -> None:
        now = self._clock.now()
        filled = self._part * (now - self._filled_at) / self._window_s
        self._filled_at = now
        self._saved_allowance = min(self._part, self._saved_allowance + filled)
