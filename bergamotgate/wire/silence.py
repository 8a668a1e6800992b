"""Finds out whether a peer that owes an answer still answers at all."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock

__all__ = ["LivenessMonitor"]

# A stream that is quiet for so long while an answer is due is asked for an echo.
WATCH_EVERY_S = 0.05
# No echo in this time means that the stream is dead; zones are milliseconds apart.
ECHO_TIMEOUT_S = 0.15


@dataclass(frozen=True)
class LivenessMonitor:
    """Watches one stream while it is needed.

    Attributes:
        clock: Time.
        is_needed: Whether an answer is due on an open link.
        heard_at: Time on the own clock at which anything came in last.
        ask_echo: Asks the peer for a sign of life.
        on_silent: Called when none came in time.
    """

    clock: Clock
    is_needed: Callable[[], bool]
    heard_at: Callable[[], float]
    ask_echo: Callable[[], None]
    on_silent: Callable[[], None]

    async def run(self, asked_at: float | None = None) -> None:
        """Watch until no answer is due.

        Args:
            asked_at: When an echo was asked for already, which is then awaited in any case.
        """
        while asked_at is not None or self.is_needed():
            before = self.clock.now()
            await self.clock.sleep(WATCH_EVERY_S)
            now = self.clock.now()
            slept = now - before > 2 * WATCH_EVERY_S
            heard = asked_at is not None and self.heard_at() >= asked_at
            if slept or heard or now - self.heard_at() < WATCH_EVERY_S:
                asked_at = None
            elif asked_at is None:
                asked_at = now
                self.ask_echo()
            elif now - asked_at > ECHO_TIMEOUT_S:
                self.on_silent()
                asked_at = None
