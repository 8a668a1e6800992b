"""Whether a backend server is cold, from what it does more than from what it says.

A server counts as cold until enough answers in a row came back at a usual speed. A new incarnation,
its own word, a refused or broken connection, or a run of slow answers make it cold again. Its word
that it is warm counts for nothing, as reports lag.
"""

__all__ = ["Warmth"]

SLOW_FACTOR = 5.0
SLOW_FLOOR_S = 0.02
SLOW_RUN = 3
LATE_FACTOR = 2.0
GIVEN_UP_WEIGHT = 2
SMOOTHING = 0.1


class Warmth:
    """Cold-start state of one backend server as its owner knows it.

    Attributes:
        warm_after: Answers in a row after which the server counts as warm.
        incarnation: Mark that the server changes at each restart; empty while unknown.
    """

    def __init__(self, warm_after: int):
        self.warm_after = warm_after
        self._answers_in_row = 0
        self._slow_in_row = 0
        self._usual_s: float | None = None
        self.incarnation = ""

    @property
    def is_warm(self) -> bool:
        """Whether the server bears its full slots."""
        return self._answers_in_row >= self.warm_after

    @property
    def may_be_cold(self) -> bool:
        """Whether the last answer was slow or was given up late, which may be a cold start."""
        return self._slow_in_row > 0

    @property
    def usual_s(self) -> float:
        """Usual service time in seconds; 0 while unknown."""
        return self._usual_s or 0.0

    @property
    def late_after_s(self) -> float:
        """Time after which an answer is late for this server, in seconds."""
        if self._usual_s is None:
            return float("inf")
        return max(SLOW_FLOOR_S, LATE_FACTOR * self._usual_s)

    def chill(self) -> None:
        """Take the server as cold."""
        self._answers_in_row = 0
        self._slow_in_row = 0

    def trust(self, incarnation: str) -> None:
        """Take the server as warm at an incarnation, by the word of its previous owner."""
        self.incarnation = incarnation
        self._answers_in_row = self.warm_after

    def note_answer(self, incarnation: str, reports_cold: bool, service_s: float) -> None:
        """Learn from one answer."""
        restarted = incarnation != self.incarnation and self.incarnation != ""
        self.incarnation = incarnation
        if restarted or reports_cold or self._is_slow_run(service_s):
            self.chill()
            return
        self._answers_in_row += 1

    def note_cancelled(self, waited_s: float) -> None:
        """Learn from an answer that nobody waits for any more.

        Gateways give up what is late, so a server that turned cold may never get to say so. Two
        late ones in a row are sign enough; one may be a stall.
        """
        if waited_s < self.late_after_s:
            return
        self._slow_in_row += GIVEN_UP_WEIGHT
        if self._slow_in_row >= SLOW_RUN:
            self.chill()

    def _is_slow_run(self, service_s: float) -> bool:
        usual_s = self._usual_s
        if usual_s is None:
            self._usual_s = service_s
            return False
        slow = service_s > max(SLOW_FLOOR_S, SLOW_FACTOR * usual_s)
        self._slow_in_row = self._slow_in_row + 1 if slow else 0
        self._usual_s = usual_s + SMOOTHING * (service_s - usual_s)
        return self._slow_in_row >= SLOW_RUN
