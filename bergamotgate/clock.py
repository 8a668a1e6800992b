"""Time, randomness and background tasks, as the parts of a node take them."""

import asyncio
import time
from collections.abc import Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from loguru import logger

__all__ = ["Clock", "LoopClock", "MonotonicClock", "TaskGroup", "milliseconds", "wall_milliseconds"]


class Clock(Protocol):
    """Monotonic time in seconds."""

    def now(self) -> float:
        """Seconds since an arbitrary start; goes on while the process is stopped."""

    async def sleep(self, seconds: float) -> None:
        """Return after so many seconds."""

    def timeout(self, seconds: float) -> AbstractAsyncContextManager:
        """Context that raises ``TimeoutError`` after so many seconds."""


class LoopClock:
    """The time of the running event loop."""

    def now(self) -> float:
        """Seconds of the event loop's clock."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the event loop."""
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> AbstractAsyncContextManager:
        """The event loop's own timeout."""
        return asyncio.timeout(seconds)


class MonotonicClock(LoopClock):
    """The same time as the event loop's, read without looking for the loop."""

    def now(self) -> float:
        """Seconds of the monotonic clock."""
        return time.monotonic()


class TaskGroup:
    """Background tasks that end together and whose failures are logged, never lost."""

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._tasks: set[asyncio.Task] = set()
        self.failures = 0

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine in the background and return its task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failures += 1
        logger.opt(exception=task.exception()).error("{} A task failed.", self._prefix)


def milliseconds(seconds: float) -> int:
    """Whole milliseconds in a span of seconds."""
    return int(seconds * 1000)


def wall_milliseconds() -> int:
    """Milliseconds since 1970, for the boot mark of a process."""
    return int(time.time() * 1000)
