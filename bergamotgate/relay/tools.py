"""What every relayed request works with."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import Catalogue, PoolRules, Route
from bergamotgate.metrics import Metrics
from bergamotgate.placement.chooser import ServerChooser
from bergamotgate.placement.extra import PoolExtraBudget
from bergamotgate.relay.budgets import ExtraBudgets
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.sender import Sender
from bergamotgate.relay.servers import ServerTracker

__all__ = [
    "DEADLINE_MARGIN_S",
    "QUARANTINED_RETRY_S",
    "LoopLag",
    "RelayContext",
    "Wakeup",
    "longest_until",
    "rules_of",
]

# The final answer leaves this long before the client gives up.
DEADLINE_MARGIN_S = 0.030
# A request that lost servers is refused for longer than a caller waits.
QUARANTINED_RETRY_S = 30.0

# A pool that no configuration describes is used with these rules.
UNDESCRIBED_CONNECTIONS = 16
# Weights of a new observation of the lag, and the greatest that counts.
LAG_RISE = 0.3
LAG_FALL = 0.02
MAX_LAG_S = 0.05


@dataclass(frozen=True)
class RelayContext:
    """Shared by the runs of all requests."""

    sender: Sender
    chooser: ServerChooser
    servers: ServerTracker
    budgets: ExtraBudgets
    crashes: CrashDetector
    lag: "LoopLag"
    clock: Clock
    metrics: Metrics

    def budget(self, pool: str) -> PoolExtraBudget:
        """The extra budget of a pool."""
        return self.budgets.of(pool)

    def send_extra(
        self, pool: str, send: Callable[[], bool], on_no_budget: Callable[[], None]
    ) -> bool:
        """Send beyond the first sub-request if the pool's budget allows it; return whether it was.

        A right that was taken is given back when there was no server to send to.
        """
        budget = self.budget(pool)
        if not budget.take():
            self.metrics.retries.labels(pool, "no_budget").inc()
            on_no_budget()
            return False
        if send():
            return True
        budget.give_back()
        return False


def rules_of(catalogue: Catalogue, pool: str) -> PoolRules:
    """Rules of a pool, with careful ones where the catalogue has none."""
    rules = catalogue.rules_by_pool.get(pool)
    return rules or PoolRules(pool, "/health", UNDESCRIBED_CONNECTIONS, 0.0, 0.0)


class LoopLag:
    """How late this process acts after a time it waited for, on a busy VM.

    Attributes:
        usual_s: Lateness to reckon with; rises at once and falls slowly.
    """

    def __init__(self) -> None:
        self.usual_s = 0.0

    def record(self, late_s: float) -> None:
        """Take in how late a timer was."""
        weight = LAG_RISE if late_s > self.usual_s else LAG_FALL
        self.usual_s += weight * (min(late_s, MAX_LAG_S) - self.usual_s)


class Wakeup:
    """Lets one task wait for a callback or for a time, whichever comes first."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake the task."""
        self._event.set()

    async def wait_until(self, at: float, now: float) -> bool:
        """Return whether it was woken before that time."""
        if at <= now:
            return self._event.is_set()
        handle = asyncio.get_running_loop().call_later(at - now, self._time_is_up)
        self._timed_out = False
        await self._event.wait()
        handle.cancel()
        if not self._timed_out:
            self._event.clear()
            return True
        self._event.clear()
        return False

    def _time_is_up(self) -> None:
        self._timed_out = True
        self._event.set()


def longest_until(request_arrived_at: float, client_timeout_s: float | None, route: Route) -> float:
    """Time on the own clock at which the client must have its answer."""
    wait_s = route.timeout_s if client_timeout_s is None else min(client_timeout_s, route.timeout_s)
    return request_arrived_at + wait_s
