"""Clocks and groups of background tasks that the components of a node share."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from loguru import logger

__all__ = ["Clock", "LoopClock", "MonotonicClock", "TaskGroup", "milliseconds", "wall_milliseconds"]

# Pause before a long-lived task that failed starts again; doubled by each further failure.
MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 2.0
# A task that ran for so long before it failed starts again after the shortest pause.
STABLE_RUN_S = 10.0


class Clock(Protocol):
    """Monotonic time in seconds."""

    def now(self) -> float:
        """Seconds since an arbitrary start; also advances while the process is stopped."""

    async def sleep(self, seconds: float) -> None:
        """Return after the given number of seconds."""

    def timeout(self, seconds: float) -> AbstractAsyncContextManager:
        """Context manager that raises ``TimeoutError`` after the given number of seconds."""


class LoopClock:
    """Clock of the running event loop."""

    def now(self) -> float:
        """Time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the event loop."""
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> AbstractAsyncContextManager:
        """Timeout on the event loop."""
        return asyncio.timeout(seconds)


class MonotonicClock(LoopClock):
    """Same time as the event loop's, read without looking up the running loop."""

    def now(self) -> float:
        """Time of the monotonic clock in seconds."""
        return time.monotonic()


class TaskGroup:
    """Background tasks that are cancelled together; logs the exception of each failed one.

    Attributes:
        failures: Number of failures of tasks.
    """

    def __init__(self, prefix: str, on_failure: Callable[[], None] = lambda: None):
        """Create an empty group.

        Args:
            prefix: Begins each log line of the group.
            on_failure: Called for each failure, to count it.
        """
        self._prefix = prefix
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()
        self.failures = 0

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Start a coroutine in the background and return its task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def keep_running(
        self, run: Callable[[], Coroutine[Any, Any, None]], clock: Clock
    ) -> asyncio.Task:
        """Start a long-lived coroutine function, and start it again whenever it fails."""
        return self.start(self._restart_after_failures(run, clock))

    async def _restart_after_failures(
        self, run: Callable[[], Coroutine[Any, Any, None]], clock: Clock
    ) -> None:
        pause_s = MIN_RESTART_PAUSE_S
        while True:
            started_at = clock.now()
            try:
                return await run()
            except Exception as error:
                self._note_failure(error)
            if clock.now() - started_at >= STABLE_RUN_S:
                pause_s = MIN_RESTART_PAUSE_S
            await clock.sleep(pause_s)
            pause_s = min(MAX_RESTART_PAUSE_S, 2 * pause_s)

    async def close(self) -> None:
        """Cancel the tasks that still run and wait until they have ended."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._note_failure(task.exception())

    def _note_failure(self, error: BaseException) -> None:
        self.failures += 1
        self._on_failure()
        logger.opt(exception=error).error("{} Background task failed.", self._prefix)


def milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds, rounded down."""
    return int(seconds * 1000)


def wall_milliseconds() -> int:
    """Milliseconds since 1970; a process uses the value at its start as its boot number."""
    return int(time.time() * 1000)
