"""Provides the state and helpers that the runs of all requests share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import Catalogue, PoolRules, Route
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason
from bergamotgate.placement.chooser import ServerChooser
from bergamotgate.placement.extra import PoolExtraBudget
from bergamotgate.relay.budgets import ExtraBudgets
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.messages import FailedAnswer
from bergamotgate.relay.sender import Sender
from bergamotgate.relay.servers import ServerTracker

__all__ = [
    "DEADLINE_MARGIN_S",
    "QUARANTINED_RETRY_S",
    "LoopLag",
    "RelayContext",
    "Wakeup",
    "client_deadline",
    "pool_rules",
    "refuse_for_pause",
    "refuse_for_rate",
]

# Time between the final answer and the client's timeout.
DEADLINE_MARGIN_S = 0.030
# A request that crashed servers is rejected for longer than a caller waits.
QUARANTINED_RETRY_S = 30.0

# Shortest advice to a caller whose request was refused for the stated rate of the servers.
MIN_RATE_RETRY_S = 0.05

# Connection limit of a pool that the configuration does not describe.
DEFAULT_MAX_CONNECTIONS = 16
# Weights of a new lag observation, and the maximum lag that is taken into account.
LAG_RISE_WEIGHT = 0.3
LAG_FALL_WEIGHT = 0.02
MAX_LAG_S = 0.05


@dataclass(frozen=True)
class RelayContext:
    """Components shared by the runs of all requests."""

    sender: Sender
    chooser: ServerChooser
    servers: ServerTracker
    budgets: ExtraBudgets
    crashes: CrashDetector
    lag: "LoopLag"
    clock: Clock
    metrics: Metrics

    def budget(self, pool: str) -> PoolExtraBudget:
        """Return the extra budget of a pool."""
        return self.budgets.for_pool(pool)

    def send_extra(
        self, pool: str, send: Callable[[], bool], on_budget_exhausted: Callable[[], None]
    ) -> bool:
        """Send an extra sub-request if the pool's budget allows it; return whether it was sent.

        The budget token is returned when there is no server to send to.
        """
        budget = self.budget(pool)
        if not budget.take():
            self.metrics.retries.labels(pool, "no_budget").inc()
            on_budget_exhausted()
            return False
        if send():
            return True
        budget.refund()
        return False


def refuse_for_rate(delay_s: float) -> FailedAnswer:
    """Refuse a request that the stated rates of the servers allow only after a delay."""
    return FailedAnswer(NotRun(NotRunReason.RATE_LIMITED), max(MIN_RATE_RETRY_S, delay_s))


def refuse_for_pause(delay_s: float) -> FailedAnswer:
    """Refuse a request whose servers all want a pause, until the first of them is back."""
    return FailedAnswer(NotRun(NotRunReason.SERVERS_PAUSED), delay_s)


def pool_rules(catalogue: Catalogue, pool: str) -> PoolRules:
    """Return the rules of a pool; conservative defaults if the catalogue has none."""
    rules = catalogue.rules_by_pool.get(pool)
    return rules or PoolRules(pool, "/health", DEFAULT_MAX_CONNECTIONS, 0.0, 0.0)


class LoopLag:
    """Estimates how late timers of the event loop fire on a busy VM.

    Attributes:
        typical_s: Expected lag in seconds; rises quickly and falls slowly.
    """

    def __init__(self) -> None:
        self.typical_s = 0.0

    def record(self, lag_s: float) -> None:
        """Record by how many seconds a timer fired late."""
        weight = LAG_RISE_WEIGHT if lag_s > self.typical_s else LAG_FALL_WEIGHT
        self.typical_s += weight * (min(lag_s, MAX_LAG_S) - self.typical_s)


class Wakeup:
    """Lets one task wait for a callback or a point in time, whichever comes first."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake the task."""
        self._event.set()

    async def wait_until(self, at: float, now: float) -> bool:
        """Wait; return whether ``set`` was called before the time ``at``."""
        if at <= now:
            return self._event.is_set()
        handle = asyncio.get_running_loop().call_later(at - now, self._on_timeout)
        self._timed_out = False
        await self._event.wait()
        handle.cancel()
        if not self._timed_out:
            self._event.clear()
            return True
        self._event.clear()
        return False

    def _on_timeout(self) -> None:
        self._timed_out = True
        self._event.set()


def client_deadline(arrived_at: float, client_timeout_s: float | None, route: Route) -> float:
    """Return the time on the local clock by which the client must have its answer."""
    wait_s = route.timeout_s if client_timeout_s is None else min(client_timeout_s, route.timeout_s)
    return arrived_at + wait_s
