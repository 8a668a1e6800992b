"""Estimates latency of routes and load and relative speed of servers from observed requests."""

import math

from hdrh.histogram import HdrHistogram

from bergamotgate.clock import Clock

__all__ = ["RouteLatency", "ServerLoad"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 6.0
REFRESH_INTERVAL_S = 0.5
MIN_SAMPLES = 30

# Weight of a new observation of a server's slowness.
SLOWNESS_WEIGHT = 0.2
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 20.0
# Slowness decays towards 1 with this half-life, so that a server that was slow is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
# Backoff after a failure, doubled by each consecutive one.
BACKOFF_INITIAL_S = 0.25
BACKOFF_MAX_S = 4.0
# The backoff has reached its limit after so many doublings; more would overflow in the end.
MAX_BACKOFF_DOUBLINGS = 8
# A request cancelled after more than this many medians marks its server as unresponsive. From the
# threshold on, each such request without a successful reply in between counts as a failure.
UNRESPONSIVE_MEDIANS = 2.0
UNRESPONSIVE_THRESHOLD = 2


class RouteLatency:
    """Recent service times of one route, over all servers.

    Attributes:
        median_s: Median service time in seconds.
        p90_s: 90th percentile of the service time in seconds.
    """

    def __init__(self, clock: Clock, initial_median_s: float):
        self._clock = clock
        self._current = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._rotated_at = clock.now()
        self._refreshed_at = clock.now()
        self.median_s = initial_median_s
        self.p90_s = 2 * initial_median_s

    def record(self, seconds: float) -> None:
        """Record one service time."""
        self._current.record_value(max(MIN_LATENCY_US, int(seconds * 1_000_000)))
        now = self._clock.now()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._refresh(now)

    def _refresh(self, now: float) -> None:
        fuller = max(
            self._current, self._previous, key=lambda histogram: histogram.get_total_count()
        )
        if fuller.get_total_count() >= MIN_SAMPLES:
            self.median_s = fuller.get_value_at_percentile(50) / 1_000_000
            self.p90_s = fuller.get_value_at_percentile(90) / 1_000_000
        if now - self._rotated_at >= WINDOW_S:
            self._rotated_at = now
            self._previous, self._current = self._current, self._previous
            self._current.reset()


class ServerLoad:
    """Load and relative speed of one server as observed by this process.

    Attributes:
        in_flight: Start time of each request of this process in progress there, by its number.
        failures: Number of consecutive failures.
    """

    def __init__(self, clock: Clock, slots: int):
        self._clock = clock
        self._slots = max(1, slots)
        self._slowness = 1.0
        self._slowness_set_at = clock.now()
        self._backoff_until = float("-inf")
        self._unresponsive_count = 0
        self.in_flight: dict[object, float] = {}
        self.failures = 0

    @property
    def slowness(self) -> float:
        """Service time relative to the route's median; decays to 1 without new observations."""
        return self._slowness_at(self._clock.now())

    def _slowness_at(self, now: float) -> float:
        if self._slowness == 1.0:
            return 1.0
        age_s = now - self._slowness_set_at
        return 1.0 + (self._slowness - 1.0) * math.pow(0.5, age_s / SLOWNESS_HALF_LIFE_S)

    def begin(self, number: object) -> None:
        """Record that a request was sent."""
        self.in_flight[number] = self._clock.now()

    def end(self, number: object) -> float:
        """Record that a request ended; return its duration in seconds."""
        return self._clock.now() - self.in_flight.pop(number)

    def note_reply(self, took_s: float, median_s: float) -> None:
        """Update the estimates from a successful reply."""
        self.failures = 0
        self._unresponsive_count = 0
        self._backoff_until = float("-inf")
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, took_s / median_s))
        self._set_slowness(self.slowness + SLOWNESS_WEIGHT * (ratio - self.slowness))

    def note_cancelled(self, took_s: float, median_s: float) -> None:
        """Update the estimates from a cancelled request, which would have taken longer still.

        An unresponsive server is detected only by the requests cancelled there.
        """
        if took_s > UNRESPONSIVE_MEDIANS * median_s:
            self._unresponsive_count += 1
            if self._unresponsive_count >= UNRESPONSIVE_THRESHOLD:
                self.note_failure()
        ratio = min(MAX_SLOWNESS, took_s / median_s)
        if ratio > self.slowness:
            self._set_slowness(self.slowness + SLOWNESS_WEIGHT * (ratio - self.slowness))

    def note_failure(self) -> None:
        """Start a backoff that doubles with each consecutive failure, up to a limit."""
        self.failures += 1
        doublings = min(MAX_BACKOFF_DOUBLINGS, self.failures - 1)
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_INITIAL_S * 2**doublings)
        self._backoff_until = self._clock.now() + backoff_s

    def note_shed(self) -> None:
        """Start a short backoff after the server shed a request."""
        self._backoff_until = max(self._backoff_until, self._clock.now() + BACKOFF_INITIAL_S / 5)

    def in_backoff(self, now: float) -> bool:
        """Return whether to prefer other servers.

        After the backoff one request at a time probes the server until it replies.
        """
        if now < self._backoff_until:
            return True
        return self.failures > 0 and bool(self.in_flight)

    def expected_s(self, median_s: float, now: float) -> float:
        """Return the expected duration of a further request in seconds."""
        service_s = median_s * self._slowness_at(now)
        if not self.in_flight:
            return service_s
        waiting = max(0, len(self.in_flight) + 1 - self._slots)
        expected_s = service_s * (1 + waiting / self._slots)
        age_s = now - next(iter(self.in_flight.values()))
        # A server with an overdue request counts as stalled; without better information, the stall
        # is expected to last as long again.
        return expected_s + age_s if age_s > 3 * service_s else expected_s

    def _set_slowness(self, slowness: float) -> None:
        self._slowness = slowness
        self._slowness_set_at = self._clock.now()
