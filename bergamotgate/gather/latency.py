"""Recent latencies of a pool, and the quantile after which a sub-request counts as late."""

from hdrh.histogram import HdrHistogram

from bergamotgate.clock import Clock

__all__ = ["RecentLatency"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
WINDOW_S = 5.0
REFRESH_S = 0.25
LATE_PERCENTILE = 95.0
LATE_FACTOR = 1.6
DEFAULT_LATE_S = 0.05
FEWEST_SAMPLES = 50


class RecentLatency:
    """Two histograms that take turns, so that old latencies are forgotten."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._previous = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._turned_at = clock.now()
        self._refreshed_at = float("-inf")
        self._late_s = DEFAULT_LATE_S

    def record(self, seconds: float) -> None:
        """Take in one latency."""
        self._current.record_value(max(LOWEST_US, int(seconds * 1_000_000)))

    def late_after_s(self) -> float:
        """Seconds after which a sub-request is slower than most recent ones."""
        now = self._clock.now()
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._refresh(now)
        return self._late_s

    def _refresh(self, now: float) -> None:
        if now - self._turned_at >= WINDOW_S:
            self._turned_at = now
            self._previous, self._current = self._current, self._previous
            self._current.reset()
        fuller = max(self._current, self._previous, key=lambda h: h.get_total_count())
        if fuller.get_total_count() >= FEWEST_SAMPLES:
            usual_us = fuller.get_value_at_percentile(LATE_PERCENTILE)
            self._late_s = LATE_FACTOR * usual_us / 1_000_000
