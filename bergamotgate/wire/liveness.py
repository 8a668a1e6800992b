"""Detects a peer that has become unresponsive while a reply from it is due."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock

__all__ = ["LivenessMonitor"]

# An echo is sent when nothing was received for this time while a reply is due.
IDLE_CHECK_INTERVAL_S = 0.05
# A stream without an answer to its echo in this time counts as dead; the network delay between
# zones is a few milliseconds.
ECHO_TIMEOUT_S = 0.15


@dataclass(frozen=True)
class LivenessMonitor:
    """Monitors one stream while a reply is due.

    Attributes:
        clock: Source of monotonic time.
        is_reply_due: Returns whether a reply is due on an open link.
        last_received_at: Returns the time on ``clock`` at which data was last received.
        send_echo: Sends an echo request to the peer.
        on_unresponsive: Called when nothing was received within the echo timeout.
    """

    clock: Clock
    is_reply_due: Callable[[], bool]
    last_received_at: Callable[[], float]
    send_echo: Callable[[], None]
    on_unresponsive: Callable[[], None]

    async def run(self, echo_sent_at: float | None = None) -> None:
        """Monitor the stream until no reply is due.

        Args:
            echo_sent_at: Time at which an echo request was already sent, or None; its answer is
                awaited even if no reply is due.
        """
        while echo_sent_at is not None or self.is_reply_due():
            sleep_started_at = self.clock.now()
            await self.clock.sleep(IDLE_CHECK_INTERVAL_S)
            now = self.clock.now()
            overslept = now - sleep_started_at > 2 * IDLE_CHECK_INTERVAL_S
            received_since_echo = (
                echo_sent_at is not None and self.last_received_at() >= echo_sent_at
            )
            if (
                overslept
                or received_since_echo
                or now - self.last_received_at() < IDLE_CHECK_INTERVAL_S
            ):
                echo_sent_at = None
            elif echo_sent_at is None:
                echo_sent_at = now
                self.send_echo()
            elif now - echo_sent_at > ECHO_TIMEOUT_S:
                self.on_unresponsive()
                echo_sent_at = None
