"""Notices that this process stood still: frozen, starved or suspended with its machine.

Whatever it believes may be out of date then, and kept connections may be dead.
"""

import time
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, milliseconds

__all__ = ["PauseWatch", "suspended_s"]

CHECK_EVERY_S = 0.1
# Far beyond what load does to a timer, well below the age at which a view counts as old.
LEAST_PAUSE_S = 1.0


def suspended_s() -> float:
    """Seconds for which the machine was suspended since its start; the steady clock omits them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class PauseWatch:
    """The task that compares how long a short sleep took with how long it should take."""

    def __init__(
        self,
        clock: Clock,
        on_pause: Callable[[float], None],
        suspended: Callable[[], float] = suspended_s,
    ):
        self._clock = clock
        self._on_pause = on_pause
        self._suspended = suspended

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            before = self._clock.now() + self._suspended()
            await self._clock.sleep(CHECK_EVERY_S)
            paused_s = self._clock.now() + self._suspended() - before - CHECK_EVERY_S
            if paused_s >= LEAST_PAUSE_S:
                logger.bind(paused_ms=milliseconds(paused_s)).warning("gateway: This VM paused.")
                self._on_pause(paused_s)
