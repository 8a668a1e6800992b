"""The extra budgets of all pools."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.placement.extra import PoolExtraBudget

__all__ = ["ExtraBudgets", "ExtraRules"]


@dataclass(frozen=True)
class ExtraRules:
    """What the operators allow beyond the first requests at each pool, for the whole fleet.

    Attributes:
        share: Extra requests for each first request.
        allowance: Extra requests beside that, in one window.
        window_s: Length of the window in seconds.
    """

    share: float
    allowance: float
    window_s: float


class ExtraBudgets:
    """One budget for each pool, made when it is first used.

    What was saved since the start of the process is there from the first use; all of it if no
    earlier process of this VM can have used a part.
    """

    def __init__(
        self, rules: ExtraRules, sharers: Callable[[], float], clock: Clock, first_start: bool
    ):
        """Make the budgets.

        Args:
            rules: What the operators allow.
            sharers: How many VMs with as many clients as this one would make up the fleet.
            clock: Time.
            first_start: Whether no earlier process of this VM can have used a part.
        """
        self._rules = rules
        self._sharers = sharers
        self._clock = clock
        self._saving_since = clock.now() - (rules.window_s if first_start else 0.0)
        self._budget_by_pool: dict[str, PoolExtraBudget] = {}

    def of(self, pool: str) -> PoolExtraBudget:
        """The budget of a pool."""
        budget = self._budget_by_pool.get(pool)
        if budget is None:
            rules = self._rules
            budget = PoolExtraBudget(
                self._clock,
                rules.share,
                rules.allowance,
                rules.window_s,
                self._sharers(),
                self._saving_since,
            )
            self._budget_by_pool[pool] = budget
        return budget

    def resize(self) -> None:
        """Take in that the number of VMs, or which of them serve clients, may have changed."""
        sharers = self._sharers()
        for budget in self._budget_by_pool.values():
            budget.resize(sharers)
