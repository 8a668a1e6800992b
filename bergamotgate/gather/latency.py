"""Tracks recent latencies of a pool and derives the delay after which to hedge a sub-request."""

from hdrh.histogram import HdrHistogram

from bergamotgate.clock import Clock

__all__ = ["RecentLatency"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 5.0
REFRESH_INTERVAL_S = 0.25
HEDGE_PERCENTILE = 95.0
HEDGE_FACTOR = 1.6
DEFAULT_HEDGE_DELAY_S = 0.05
MIN_SAMPLES = 50


class RecentLatency:
    """Two rotating histograms, so that old latencies expire."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._rotated_at = clock.now()
        self._refreshed_at = float("-inf")
        self._hedge_delay_s = DEFAULT_HEDGE_DELAY_S

    def record(self, seconds: float) -> None:
        """Record one latency."""
        self._current.record_value(max(MIN_LATENCY_US, int(seconds * 1_000_000)))

    def hedge_delay_s(self) -> float:
        """Return the time in seconds after which a sub-request is hedged.

        It is a multiple of the 95th percentile of recent latencies.
        """
        now = self._clock.now()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._refresh(now)
        return self._hedge_delay_s

    def _refresh(self, now: float) -> None:
        if now - self._rotated_at >= WINDOW_S:
            self._rotated_at = now
            self._previous, self._current = self._current, self._previous
            self._current.reset()
        fuller = max(self._current, self._previous, key=lambda h: h.get_total_count())
        if fuller.get_total_count() >= MIN_SAMPLES:
            p95_us = fuller.get_value_at_percentile(HEDGE_PERCENTILE)
            self._hedge_delay_s = HEDGE_FACTOR * p95_us / 1_000_000
