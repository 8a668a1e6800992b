"""Computes the quantities that scenario expectations refer to."""

from bergamotgate.standin.invariants import RequestRecord
from bergamotgate.standin.monitor import FleetMonitor
from bergamotgate.standin.server import CRASH_MARKER, StandinServer

__all__ = ["measure"]

LOST_REASONS = ("no_answer",)


def measure(
    servers: tuple[StandinServer, ...], records: list[RequestRecord], monitor: FleetMonitor
) -> dict[str, float]:
    """Return measured quantities by name, leaving out requests that crash servers.

    Args:
        servers: All simulated servers; counted over the whole run.
        records: Requests to measure.
        monitor: Observations of the VMs; counted over the whole run.
    """
    records = [r for r in records if CRASH_MARKER not in r.body]
    total = max(1, len(records))
    latencies = sorted(r.done_at - r.sent_at for r in records) or [0.0]
    results = [r.result for r in records]
    refusals = [r.done_at - r.sent_at for r in records if r.result.outcome == "not_run"]
    runs = sum(len(server.observed.runs) for server in servers)
    required_runs = sum(r.total_shards for r in results if r.answered) or 1
    return {
        "whole": sum(r.whole for r in results) / total,
        "answered": sum(r.answered for r in results) / total,
        "lost": sum(r.reason in LOST_REASONS for r in results) / total,
        "unknown": sum(r.outcome == "unknown" for r in results) / total,
        "refused": sum(r.outcome == "not_run" for r in results) / total,
        "goodput": sum(r.whole for r in results) / _span_s(records),
        "refusal_ms": 1000 * max(refusals, default=0.0),
        "p50_ms": 1000 * latencies[len(latencies) // 2],
        "p99_ms": 1000 * latencies[int(len(latencies) * 0.99)],
        "extra": max(0.0, runs / required_runs - 1),
        "agree_s": monitor.longest_disagreement_s,
        "in_force_s": monitor.slowest_in_force_s,
        "crashes": sum(server.observed.crashes for server in servers),
    }


def _span_s(records: list[RequestRecord]) -> float:
    """Seconds from the first to the last request, at least one."""
    sent_times = [record.sent_at for record in records]
    return max(1.0, max(sent_times) - min(sent_times)) if sent_times else 1.0
