"""Detects whether a backend server is in cold start, mostly from its observed behaviour.

A server counts as cold until enough consecutive answers arrived at normal speed. A new incarnation,
its own report of a cold start, a refused or broken connection, or a run of slow answers make it
cold again. Its report that it is warm is ignored, because reports lag.
"""

__all__ = ["Warmth"]

SLOW_FACTOR = 5.0
MIN_SLOW_S = 0.02
SLOW_RUN_LENGTH = 3
CANCELLED_SLOW_FACTOR = 2.0
CANCELLED_WEIGHT = 2
SERVICE_TIME_SMOOTHING = 0.1


class Warmth:
    """Cold-start state of one backend server, as seen by its owner.

    Attributes:
        warm_after: Number of consecutive answers after which the server counts as warm.
        incarnation: Identifier that changes at each restart of the server; empty if unknown.
    """

    def __init__(self, warm_after: int):
        self.warm_after = warm_after
        self._consecutive_answers = 0
        self._slow_score = 0
        self._mean_service_s: float | None = None
        self.incarnation = ""

    @property
    def is_warm(self) -> bool:
        """Whether the server can take requests in all its slots."""
        return self._consecutive_answers >= self.warm_after

    @property
    def may_be_cold(self) -> bool:
        """Whether the last request was slow, answered or cancelled, which may mean a cold start."""
        return self._slow_score > 0

    @property
    def mean_service_s(self) -> float:
        """Moving average of the service time in seconds; 0 if unknown."""
        return self._mean_service_s or 0.0

    @property
    def cancelled_slow_after_s(self) -> float:
        """Time after which a cancelled request counts as slow, in seconds."""
        if self._mean_service_s is None:
            return float("inf")
        return max(MIN_SLOW_S, CANCELLED_SLOW_FACTOR * self._mean_service_s)

    def mark_cold(self) -> None:
        """Mark the server as cold."""
        self._consecutive_answers = 0
        self._slow_score = 0

    def mark_warm(self, incarnation: str) -> None:
        """Mark the server as warm at an incarnation, as reported by its previous owner."""
        self.incarnation = incarnation
        self._consecutive_answers = self.warm_after

    def note_answer(self, incarnation: str, reports_cold: bool, service_s: float) -> None:
        """Update the state from one answer."""
        restarted = incarnation != self.incarnation and self.incarnation != ""
        self.incarnation = incarnation
        if restarted or reports_cold or self._is_slow_run(service_s):
            self.mark_cold()
            return
        self._consecutive_answers += 1

    def note_cancelled(self, waited_s: float) -> None:
        """Update the state from a request that was cancelled before its answer.

        Gateways cancel slow requests, so a server that became cold may never get to report it. Two
        slow ones in a row mark it as cold; a single one may be a stall.
        """
        if waited_s < self.cancelled_slow_after_s:
            return
        self._slow_score += CANCELLED_WEIGHT
        if self._slow_score >= SLOW_RUN_LENGTH:
            self.mark_cold()

    def _is_slow_run(self, service_s: float) -> bool:
        mean_s = self._mean_service_s
        if mean_s is None:
            self._mean_service_s = service_s
            return False
        slow = service_s > max(MIN_SLOW_S, SLOW_FACTOR * mean_s)
        self._slow_score = self._slow_score + 1 if slow else 0
        self._mean_service_s = mean_s + SERVICE_TIME_SMOOTHING * (service_s - mean_s)
        return self._slow_score >= SLOW_RUN_LENGTH
