"""Detects requests that crash servers and refuses them on every VM for a while.

When a zone is lost, many runs of harmless requests lose their servers at once. A server lost during
a run that began without suspicion therefore only makes the request suspected: from then on it runs
on one shard as a canary before it is sent to the others. A server lost during a run that began as
suspected makes the whole fleet refuse the request.
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

STRIKE_TTL_S = 60.0
MAX_FINGERPRINTS = 10_000
STRIKES_PER_DATAGRAM = 16
MAX_COMPLETED = 100_000


@dataclass(frozen=True)
class Suspicion:
    """Quarantine state of a request at the start of a run.

    Attributes:
        run: Identifier of the run, unique in the fleet.
        suspected: Whether hedges and retries are disabled.
        needs_canary: Whether the request runs on one shard first.
        refused: Whether the request is refused without being run.
    """

    run: str
    suspected: bool
    needs_canary: bool
    refused: bool


@dataclass(frozen=True)
class _StrikeEntry:
    """Time of a run that lost a server, and whether the request was already suspected."""

    at: float
    suspected: bool


@dataclass
class _FingerprintRecord:
    """Strikes against one request, by run."""

    strike_by_run: dict[str, _StrikeEntry] = field(default_factory=dict)


class QuarantineBook:
    """Strikes against requests, shared with all peers."""

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
        self._record_by_fingerprint: OrderedDict[str, _FingerprintRecord] = OrderedDict()
        self._completed: OrderedDict[str, None] = OrderedDict()
        port.subscribe(self._receive)

    def assess(self, fingerprint: str, canary: Canary) -> Suspicion:
        """Assess a request that is about to run by its recent strikes."""
        strikes = self._recent_strikes(fingerprint)
        unproven = canary is Canary.UNKNOWN and fingerprint not in self._completed
        return Suspicion(
            run=f"{self._port.vm}-{self._port.boot}-{next(self._runs)}",
            suspected=bool(strikes),
            needs_canary=bool(strikes) or unproven,
            refused=any(strike.suspected for strike in strikes),
        )

    def note_server_lost(self, fingerprint: str, suspicion: Suspicion) -> Suspicion:
        """Record that a server was lost while it ran a request; send a new strike to all peers.

        Returns:
            The suspicion with which the run continues.
        """
        strike_by_run = self._record(fingerprint).strike_by_run
        if suspicion.run not in strike_by_run:
            entry = _StrikeEntry(self._clock.now(), suspicion.suspected)
            strike_by_run[suspicion.run] = entry
            self._metrics.strikes.labels("own").inc()
            strike = Strike(fingerprint, suspicion.run, entry.suspected, 0)
            for address in self._peers():
                self._port.send(address, strikes=[strike])
        return replace(suspicion, suspected=True)

    def note_completed(self, fingerprint: str) -> None:
        """Record that a request ran to completion without losing a server."""
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def refused_count(self) -> int:
        """Number of requests that are refused now."""
        fingerprints = list(self._record_by_fingerprint)
        return sum(
            1
            for fingerprint in fingerprints
            if any(s.suspected for s in self._recent_strikes(fingerprint))
        )

    def _recent_strikes(self, fingerprint: str) -> list[_StrikeEntry]:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return []
        oldest = self._clock.now() - STRIKE_TTL_S
        recent = {run: strike for run, strike in record.strike_by_run.items() if strike.at > oldest}
        record.strike_by_run = recent
        if not recent:
            del self._record_by_fingerprint[fingerprint]
        return list(recent.values())

    def _record(self, fingerprint: str) -> _FingerprintRecord:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            record = self._record_by_fingerprint[fingerprint] = _FingerprintRecord()
            if len(self._record_by_fingerprint) > MAX_FINGERPRINTS:
                self._record_by_fingerprint.popitem(last=False)
        return record

    def _send_all_strikes(self, address: str) -> None:
        """Send every unexpired strike to a process that joins."""
        now = self._clock.now()
        strikes = [
            Strike(fingerprint, run, entry.suspected, milliseconds(now - entry.at))
            for fingerprint, record in self._record_by_fingerprint.items()
            for run, entry in record.strike_by_run.items()
            if now - entry.at < STRIKE_TTL_S
        ]
        for start in range(0, len(strikes), STRIKES_PER_DATAGRAM):
            chunk = strikes[start : start + STRIKES_PER_DATAGRAM]
            self._port.send(address, strikes=chunk)

    def _receive(self, address: str, message: Datagram) -> None:
        if message.reply_wanted:
            self._send_all_strikes(address)
        for strike in message.strikes or ():
            strike_by_run = self._record(strike.fingerprint).strike_by_run
            if strike.run not in strike_by_run:
                struck_at = self._clock.now() - strike.age_ms / 1000
                strike_by_run[strike.run] = _StrikeEntry(struck_at, strike.suspected)
                self._metrics.strikes.labels("heard").inc()
