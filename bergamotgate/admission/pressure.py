"""How many requests a backend server bears at a time, learned from what it sheds."""

from bergamotgate.clock import Clock

__all__ = ["Pressure"]

REST_AFTER_SHED_S = 0.05
DECREASE = 0.5
LEAST = 1.0


class Pressure:
    """Additive increase and multiplicative decrease below the server's slots."""

    def __init__(self, slots: int, clock: Clock):
        self._slots = slots
        self._clock = clock
        self._limit = float(slots)
        self._rest_until = float("-inf")

    def resize(self, slots: int) -> None:
        """Take a new number of slots; what sheds taught stays, within them."""
        untaught = self._limit == float(self._slots)
        self._limit = float(slots) if untaught else min(self._limit, float(slots))
        self._slots = slots

    def limit(self) -> int:
        """Requests that may be in progress now; 0 for a short while after a shed one."""
        return 0 if self.rest_left_s() > 0 else int(self._limit)

    def rest_left_s(self) -> float:
        """Seconds for which nothing should be sent."""
        return max(0.0, self._rest_until - self._clock.now())

    def note_shed(self) -> None:
        """Learn that the server refused a request."""
        self._limit = max(LEAST, self._limit * DECREASE)
        self._rest_until = self._clock.now() + REST_AFTER_SHED_S

    def note_answer(self) -> None:
        """Learn that the server answered."""
        self._limit = min(float(self._slots), self._limit + 1 / self._limit)
