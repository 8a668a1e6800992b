"""Adaptive concurrency limit of a backend server, driven by the requests that it sheds."""

from bergamotgate.clock import Clock

__all__ = ["Pressure"]

SHED_BACKOFF_S = 0.05
DECREASE_FACTOR = 0.5
MIN_LIMIT = 1.0


class Pressure:
    """Additive-increase/multiplicative-decrease (AIMD) limit, capped by the server's slots."""

    def __init__(self, slots: int, clock: Clock):
        self._slots = slots
        self._clock = clock
        self._limit = float(slots)
        self._backoff_until = float("-inf")

    def resize(self, slots: int) -> None:
        """Change the number of slots; a limit reduced by shedding stays, capped by the slots."""
        at_maximum = self._limit == float(self._slots)
        self._limit = float(slots) if at_maximum else min(self._limit, float(slots))
        self._slots = slots

    def limit(self) -> int:
        """Maximum number of requests in progress; 0 during the backoff after a shed request."""
        return 0 if self.backoff_left_s() > 0 else int(self._limit)

    def backoff_left_s(self) -> float:
        """Remaining backoff in seconds, during which nothing should be sent."""
        return max(0.0, self._backoff_until - self._clock.now())

    def note_shed(self) -> None:
        """Decrease the limit and back off, as the server shed a request."""
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        self._backoff_until = self._clock.now() + SHED_BACKOFF_S

    def note_answer(self) -> None:
        """Increase the limit, as the server answered."""
        self._limit = min(float(self._slots), self._limit + 1 / self._limit)
