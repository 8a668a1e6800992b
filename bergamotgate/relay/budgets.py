"""Keeps the budget for retries and hedges of each pool."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.placement.extra import PoolExtraBudget

__all__ = ["ExtraBudgets", "ExtraRules"]


@dataclass(frozen=True)
class ExtraRules:
    """Fleet-wide limits on extra requests (retries and hedges) to each pool.

    Attributes:
        share: Extra requests allowed for each first request.
        allowance: Extra requests allowed in addition, in one window.
        window_s: Length of the window in seconds.
    """

    share: float
    allowance: float
    window_s: float


class ExtraBudgets:
    """One budget for each pool, created on first use.

    A new budget holds what has accrued since the process started. It starts full if no earlier
    process of this VM can have spent any of it.
    """

    def __init__(
        self, rules: ExtraRules, effective_vms: Callable[[], float], clock: Clock, first_start: bool
    ):
        """Initialize without budgets.

        Args:
            rules: Limits for the whole fleet.
            effective_vms: Returns how many VMs with as many clients as this one make up the fleet.
            clock: Source of the current time.
            first_start: Whether no earlier process of this VM can have spent part of a budget.
        """
        self._rules = rules
        self._effective_vms = effective_vms
        self._clock = clock
        self._accruing_since = clock.now() - (rules.window_s if first_start else 0.0)
        self._budget_by_pool: dict[str, PoolExtraBudget] = {}

    def for_pool(self, pool: str) -> PoolExtraBudget:
        """Return the budget of a pool."""
        budget = self._budget_by_pool.get(pool)
        if budget is None:
            rules = self._rules
            budget = PoolExtraBudget(
                self._clock,
                rules.share,
                rules.allowance,
                rules.window_s,
                self._effective_vms(),
                self._accruing_since,
            )
            self._budget_by_pool[pool] = budget
        return budget

    def resize(self) -> None:
        """Adapt the budgets to a change in the number of VMs or in which of them serve clients."""
        effective_vms = self._effective_vms()
        for budget in self._budget_by_pool.values():
            budget.resize(effective_vms)
