"""Measures event loop lag: how long input waited while the loop ran other callbacks."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

__all__ = ["LoopLagSelector", "run_with_selector"]

# A poll that returns faster did not block: input had arrived while the loop was busy.
MAX_NONBLOCKING_POLL_S = 0.0002


class LoopLagSelector(selectors.DefaultSelector):
    """Selector that records when the event loop polls for input."""

    def __init__(self) -> None:
        super().__init__()
        self._poll_ended_at = time.monotonic()
        self._estimated_lag_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Poll, and estimate how long the returned events have waited."""
        poll_began_at = time.monotonic()
        busy_s = poll_began_at - self._poll_ended_at
        events = super().select(timeout)
        self._poll_ended_at = time.monotonic()
        blocked = self._poll_ended_at - poll_began_at >= MAX_NONBLOCKING_POLL_S
        # Input arrives at any moment of the busy time, so it has waited half of it on average.
        self._estimated_lag_s = 0.0 if blocked else busy_s / 2
        return events

    def waiting_s(self) -> float:
        """Mean time in seconds for which the input that is handled now has waited."""
        return self._estimated_lag_s + time.monotonic() - self._poll_ended_at


def run_with_selector(main: Coroutine[Any, Any, None], selector: LoopLagSelector) -> None:
    """Run a coroutine to completion on an event loop with the given selector."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(main)
