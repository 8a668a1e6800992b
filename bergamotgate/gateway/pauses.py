"""Detects that this process did not run for a while: stopped, starved of CPU or suspended.

After such a pause the local view may be stale, and kept connections may be dead.
"""

import time
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, milliseconds

__all__ = ["PauseWatch", "suspended_s"]

CHECK_INTERVAL_S = 0.1
# Far above timer delays under load, well below the age at which a view counts as stale.
MIN_PAUSE_S = 1.0


def suspended_s() -> float:
    """Seconds for which the machine was suspended since boot; the monotonic clock omits them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class PauseWatch:
    """Detects pauses by comparing the actual duration of a short sleep with the requested one."""

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
        """Check for pauses until cancelled."""
        while True:
            before = self._clock.now() + self._suspended()
            await self._clock.sleep(CHECK_INTERVAL_S)
            paused_s = self._clock.now() + self._suspended() - before - CHECK_INTERVAL_S
            if paused_s >= MIN_PAUSE_S:
                logger.bind(paused_ms=milliseconds(paused_s)).warning("gateway: This VM paused.")
                self._on_pause(paused_s)
