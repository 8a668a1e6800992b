"""What this process has seen of a server's speed and load."""

import math

from hdrh.histogram import HdrHistogram

from bergamotgate.clock import Clock

__all__ = ["RouteLatency", "ServerLoad"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
WINDOW_S = 6.0
REFRESH_S = 0.5
FEWEST_SAMPLES = 30

# Weight of a new observation of a server's slowness.
LEARN_WEIGHT = 0.2
LEAST_SLOWNESS = 0.3
MOST_SLOWNESS = 20.0
# An old observation of slowness loses half its weight in this time, so that the server is tried.
FORGET_HALF_LIFE_S = 3.0
# First pause after a failure, doubled by each further one in a row.
AVOID_FIRST_S = 0.25
AVOID_MOST_S = 4.0
# A request that was given up after this many medians counts as silence of its server.
SILENT_FACTOR = 2.0
SILENCES_TO_AVOID = 2


class RouteLatency:
    """Recent service times of one route, over all servers.

    Attributes:
        median_s: Half of the replies took no longer.
        late_s: Ninety in a hundred replies took no longer.
    """

    def __init__(self, clock: Clock, first_guess_s: float):
        self._clock = clock
        self._current = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._previous = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._turned_at = clock.now()
        self._refreshed_at = clock.now()
        self.median_s = first_guess_s
        self.late_s = 2 * first_guess_s

    def record(self, seconds: float) -> None:
        """Take in one service time."""
        self._current.record_value(max(LOWEST_US, int(seconds * 1_000_000)))
        now = self._clock.now()
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._refresh(now)

    def _refresh(self, now: float) -> None:
        fuller = max(self._current, self._previous, key=lambda h: h.get_total_count())
        if fuller.get_total_count() >= FEWEST_SAMPLES:
            self.median_s = fuller.get_value_at_percentile(50) / 1_000_000
            self.late_s = fuller.get_value_at_percentile(90) / 1_000_000
        if now - self._turned_at >= WINDOW_S:
            self._turned_at = now
            self._previous, self._current = self._current, self._previous
            self._current.reset()


class ServerLoad:
    """One server as this process sees it.

    Attributes:
        in_flight: Start times of the requests that this process has there.
        failures: Failures in a row.
    """

    def __init__(self, clock: Clock, slots: int):
        self._clock = clock
        self._slots = max(1, slots)
        self._slowness = 1.0
        self._learned_at = clock.now()
        self._avoid_until = float("-inf")
        self._silences = 0
        self.in_flight: dict[object, float] = {}
        self.failures = 0

    @property
    def slowness(self) -> float:
        """Service time relative to the route's median; old observations fade to 1."""
        return self._slowness_at(self._clock.now())

    def _slowness_at(self, now: float) -> float:
        if self._slowness == 1.0:
            return 1.0
        age = now - self._learned_at
        return 1.0 + (self._slowness - 1.0) * math.pow(0.5, age / FORGET_HALF_LIFE_S)

    def begin(self, attempt: object) -> None:
        """Note that a request was sent."""
        self.in_flight[attempt] = self._clock.now()

    def end(self, attempt: object) -> float:
        """Note that a request ended; return how long it took in seconds."""
        return self._clock.now() - self.in_flight.pop(attempt)

    def note_reply(self, took_s: float, median_s: float) -> None:
        """Learn from a reply."""
        self.failures = 0
        self._silences = 0
        self._avoid_until = float("-inf")
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, took_s / median_s))
        self._learn(self.slowness + LEARN_WEIGHT * (ratio - self.slowness))

    def note_cancelled(self, took_s: float, median_s: float) -> None:
        """Learn from a request that was given up: it would have taken longer still.

        A server that answers nothing at all shows only by what is given up there.
        """
        if took_s > SILENT_FACTOR * median_s:
            self._silences += 1
            if self._silences >= SILENCES_TO_AVOID:
                self.note_failure()
        ratio = min(MOST_SLOWNESS, took_s / median_s)
        if ratio > self.slowness:
            self._learn(self.slowness + LEARN_WEIGHT * (ratio - self.slowness))

    def note_failure(self) -> None:
        """Avoid the server for a while, longer with each failure in a row."""
        self.failures += 1
        pause_s = min(AVOID_MOST_S, AVOID_FIRST_S * 2 ** (self.failures - 1))
        self._avoid_until = self._clock.now() + pause_s

    def note_shed(self) -> None:
        """Avoid a server that is full for a moment."""
        self._avoid_until = max(self._avoid_until, self._clock.now() + AVOID_FIRST_S / 5)

    def avoided(self, now: float) -> bool:
        """Whether other servers should be tried first; after a failure one request tries it."""
        if now < self._avoid_until:
            return True
        return self.failures > 0 and bool(self.in_flight)

    def expected_s(self, median_s: float, now: float) -> float:
        """Time that a further request is expected to take."""
        usual_s = median_s * self._slowness_at(now)
        if not self.in_flight:
            return usual_s
        waiting = max(0, len(self.in_flight) + 1 - self._slots)
        expected_s = usual_s * (1 + waiting / self._slots)
        age_s = now - next(iter(self.in_flight.values()))
        # A server whose request is overdue stands still, for as long again as far as is known.
        return expected_s + age_s if age_s > 3 * usual_s else expected_s

    def _learn(self, slowness: float) -> None:
        self._slowness = slowness
        self._learned_at = self._clock.now()
