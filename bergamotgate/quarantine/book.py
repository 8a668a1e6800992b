"""Recognises a request that crashes servers and refuses it for a while, on every VM.

A lost zone takes many servers at once from many runs of innocent requests. Servers lost to runs
that began without suspicion therefore only make a request suspect: from then on it goes to one
shard alone before the others get it. A server lost to a run that began under suspicion makes the
fleet refuse the request.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.tables import Canary
from bergamotgate.metrics import Metrics
from bergamotgate.wire.generated.ttypes import Datagram, Strike
from bergamotgate.wire.port import PeerPort

__all__ = ["QuarantineBook", "Suspicion"]

REMEMBER_S = 60.0
MAX_FINGERPRINTS = 10_000
STRIKES_PER_DATAGRAM = 16
MAX_GOOD = 100_000


@dataclass(frozen=True)
class Suspicion:
    """What is held against a request at the start of a run.

    Attributes:
        run: Name of the run, unique in the fleet.
        suspected: Whether it gets neither hedge nor retry.
        needs_canary: Whether it goes to one shard first.
        refused: Whether it is not run at all.
    """

    run: str
    suspected: bool
    needs_canary: bool
    refused: bool


@dataclass(frozen=True)
class _Struck:
    """A run that lost servers, and whether it began under suspicion."""

    at: float
    suspected: bool


@dataclass
class _Record:
    """Runs of a request that lost servers."""

    strike_by_run: dict[str, _Struck] = field(default_factory=dict)


class QuarantineBook:
    """Strikes against requests, heard and told."""

    def __init__(
        self,
        port: PeerPort,
        peers: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
    ):
        self._port = port
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._runs = itertools.count(1)
        self._record_by_fingerprint: OrderedDict[str, _Record] = OrderedDict()
        self._good: OrderedDict[str, None] = OrderedDict()
        port.subscribe(self._receive)

    def assess(self, fingerprint: str, canary: Canary) -> Suspicion:
        """What is held against a request that is about to run."""
        strikes = self._strikes(fingerprint)
        unknown = canary is Canary.UNKNOWN and fingerprint not in self._good
        return Suspicion(
            run=f"{self._port.vm}-{self._port.boot}-{next(self._runs)}",
            suspected=bool(strikes),
            needs_canary=bool(strikes) or unknown,
            refused=any(strike.suspected for strike in strikes),
        )

    def note_server_lost(self, fingerprint: str, suspicion: Suspicion) -> Suspicion:
        """Note that a server was lost while it ran a request; tell the peers of a new strike.

        Returns:
            The suspicion under which the same run goes on.
        """
        strike_by_run = self._record(fingerprint).strike_by_run
        if suspicion.run not in strike_by_run:
            struck = _Struck(self._clock.now(), suspicion.suspected)
            strike_by_run[suspicion.run] = struck
            self._metrics.strikes.labels("own").inc()
            strike = Strike(fingerprint, suspicion.run, struck.suspected, 0)
            for address in self._peers():
                self._port.send(address, strikes=[strike])
        return replace(suspicion, suspected=True)

    def note_completed(self, fingerprint: str) -> None:
        """Note that a request ran whole without harm."""
        self._good[fingerprint] = None
        self._good.move_to_end(fingerprint)
        if len(self._good) > MAX_GOOD:
            self._good.popitem(last=False)

    def refused_count(self) -> int:
        """Number of requests that are refused now."""
        known = list(self._record_by_fingerprint)
        return sum(1 for name in known if any(s.suspected for s in self._strikes(name)))

    def _strikes(self, fingerprint: str) -> list[_Struck]:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return []
        oldest = self._clock.now() - REMEMBER_S
        recent = {run: strike for run, strike in record.strike_by_run.items() if strike.at > oldest}
        record.strike_by_run = recent
        if not recent:
            del self._record_by_fingerprint[fingerprint]
        return list(recent.values())

    def _record(self, fingerprint: str) -> _Record:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            record = self._record_by_fingerprint[fingerprint] = _Record()
            if len(self._record_by_fingerprint) > MAX_FINGERPRINTS:
                self._record_by_fingerprint.popitem(last=False)
        return record

    def _tell_all(self, address: str) -> None:
        """Tell a process that joins of every strike that still counts."""
        now = self._clock.now()
        strikes = [
            Strike(name, run, struck.suspected, milliseconds(now - struck.at))
            for name, record in self._record_by_fingerprint.items()
            for run, struck in record.strike_by_run.items()
            if now - struck.at < REMEMBER_S
        ]
        for start in range(0, len(strikes), STRIKES_PER_DATAGRAM):
            chunk = strikes[start : start + STRIKES_PER_DATAGRAM]
            self._port.send(address, strikes=chunk)

    def _receive(self, address: str, message: Datagram) -> None:
        if message.reply_wanted:
            self._tell_all(address)
        for strike in message.strikes or ():
            strike_by_run = self._record(strike.fingerprint).strike_by_run
            if strike.run not in strike_by_run:
                struck_at = self._clock.now() - strike.age_ms / 1000
                strike_by_run[strike.run] = _Struck(struck_at, strike.suspected)
                self._metrics.strikes.labels("heard").inc()
