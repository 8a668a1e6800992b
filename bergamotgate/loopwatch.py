"""How long input waited for the event loop, while the loop was busy with something else."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

__all__ = ["LoopLagSelector", "run_with_selector"]

# A poll that took less than this did not wait: something had come while the loop was busy.
NO_WAIT_S = 0.0002


class LoopLagSelector(selectors.DefaultSelector):
    """A selector that notes when the loop polls for input."""

    def __init__(self) -> None:
        super().__init__()
        self._returned_at = time.monotonic()
        self._missed_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Poll, and note for how long nobody had."""
        asked_at = time.monotonic()
        busy_s = asked_at - self._returned_at
        events = super().select(timeout)
        self._returned_at = time.monotonic()
        waited = self._returned_at - asked_at >= NO_WAIT_S
        # What came meanwhile came at any moment of the busy time: half of it on average.
        self._missed_s = 0.0 if waited else busy_s / 2
        return events

    def waiting_s(self) -> float:
        """Seconds that input which is handled now has been waiting, on average."""
        return self._missed_s + time.monotonic() - self._returned_at


def run_with_selector(main: Coroutine[Any, Any, None], selector: LoopLagSelector) -> None:
    """Run a coroutine to its end on an event loop with this selector."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(main)
