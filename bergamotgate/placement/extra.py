"""Limits extra requests to each pool: hedges and retries of this process share one budget.

The limit holds for all VMs together, in any window. Each VM may use the configured share of its own
first requests and its part of the fixed allowance. The fixed part starts empty and refills slowly,
so that a process that restarts does not get its part twice.
"""

from bergamotgate.clock import Clock

__all__ = ["PoolExtraBudget"]

# Shares of the configured limits that are used; the rest covers requests counted in other windows.
USED_SHARE = 0.8
USED_ALLOWANCE = 0.8


class PoolExtraBudget:
    """Token bucket of one pool; its fixed part has been refilling since ``accruing_since``.

    Attributes:
        extra: Number of extra requests so far.
    """

    def __init__(
        self,
        clock: Clock,
        share: float,
        allowance: float,
        window_s: float,
        effective_vms: float,
        accruing_since: float,
    ):
        self._clock = clock
        self._share = USED_SHARE * share
        self._window_s = window_s
        self._share_tokens = 0.0
        self._allowance_tokens = 0.0
        self._refilled_at = accruing_since
        self._allowance = allowance
        self._effective_vms = max(1.0, effective_vms)
        self.extra = 0

    def resize(self, effective_vms: float) -> None:
        """Set how many VMs with a part like this one's share the allowance."""
        self._effective_vms = max(1.0, effective_vms)

    def note_first(self) -> None:
        """Count a first request, which adds to the budget."""
        capacity = self._allowance_capacity
        self._share_tokens = min(max(1.0, capacity), self._share_tokens + self._share)

    def take(self) -> bool:
        """Take the token for one extra request; return whether there was one."""
        self._refill()
        if self._share_tokens >= 1.0:
            self._share_tokens -= 1.0
        elif self._allowance_tokens >= 1.0:
            self._allowance_tokens -= 1.0
        else:
            return False
        self.extra += 1
        return True

    def refund(self) -> None:
        """Return the token of a request that was never sent to a server."""
        self._share_tokens += 1.0
        self.extra -= 1

    @property
    def _allowance_capacity(self) -> float:
        """Bucket size, and tokens added in one window: each half of this VM's part."""
        return USED_ALLOWANCE * self._allowance / self._effective_vms / 2

    def _refill(self) -> None:
        now = self._clock.now()
        accrued = self._allowance_capacity * (now - self._refilled_at) / self._window_s
        self._refilled_at = now
        self._allowance_tokens = min(self._allowance_capacity, self._allowance_tokens + accrued)
