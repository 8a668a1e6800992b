"""What servers say of themselves in replies: that they leave, or that they want a pause.

A statement holds for the lifetime of the server that made it, and for this VM: another VM learns it
from a reply of its own. A server that leaves gets no more requests in its lifetime. One that wants
a pause gets none until the pause has ended; a later statement replaces an earlier one if it ends
later.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock

__all__ = ["DEFAULT_MAX_PAUSE_S", "NO_STATEMENT", "ServerStatement", "ServerStatements"]

# Longest pause that is honoured; a server whose statement is wrong is tried again after it.
DEFAULT_MAX_PAUSE_S = 300.0


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """What one reply says of its server.

    Attributes:
        leaving: Whether the server is about to stop.
        pause_s: Seconds for which the server wants no request from this VM; 0 if it names none.
    """

    leaving: bool = False
    pause_s: float = 0.0


NO_STATEMENT = ServerStatement()


class ServerStatements:
    """Statements of the registered servers that keep requests from them now."""

    def __init__(self, clock: Clock, max_pause_s: float, on_change: Callable[[str], None]):
        """Create an empty collection.

        Args:
            clock: Source of the current time.
            max_pause_s: Longest pause in seconds that is honoured.
            on_change: Called with a server when it begins or ceases to accept requests.
        """
        self._clock = clock
        self._max_pause_s = max_pause_s
        self._on_change = on_change
        self._blocked_until_by_server: dict[str, float] = {}
        self._next_end_at = math.inf

    def note(self, server: str, statement: ServerStatement) -> bool:
        """Record a statement; return whether it keeps requests away that were sent before."""
        pause_s = min(statement.pause_s, self._max_pause_s)
        until = math.inf if statement.leaving else self._clock.now() + pause_s
        known = self._blocked_until_by_server.get(server)
        if until <= max(known or 0.0, self._clock.now()):
            return False
        self._blocked_until_by_server[server] = until
        self._next_end_at = min(self._blocked_until_by_server.values())
        if known is None:
            self._on_change(server)
        return known is None or until == math.inf

    def forget(self, server: str) -> None:
        """Drop the statements of a lifetime that has ended."""
        if self._blocked_until_by_server.pop(server, None) is not None:
            self._next_end_at = min(self._blocked_until_by_server.values(), default=math.inf)

    def wait_s(self, server: str) -> float:
        """Return the seconds until a server accepts requests; infinite if it leaves."""
        until = self._blocked_until_by_server.get(server)
        return 0.0 if until is None else max(0.0, until - self._clock.now())

    def expire(self) -> None:
        """Let servers whose pause has ended accept requests again."""
        if self._next_end_at == math.inf or (now := self._clock.now()) < self._next_end_at:
            return
        ended = [s for s, until in self._blocked_until_by_server.items() if until <= now]
        for server in ended:
            self.forget(server)
            self._on_change(server)
