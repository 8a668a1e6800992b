"""Checks the invariants guaranteed to users against what stand-in servers and callers observed."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotgate.caller import CallerResult
from bergamotgate.standin.server import StandinServer, answer_body

__all__ = ["Evidence", "NoWorkSpan", "RequestRecord", "Violation", "check_invariants"]


@dataclass(frozen=True)
class RequestRecord:
    """A request of a caller and its result.

    Attributes:
        number: Number of the request in the scenario run.
        route: Name of the route.
        body: Request body; unique in the run, except for crashing requests.
        once: Whether the request must run at most once.
        sent_at: Time of the first attempt, in seconds.
        done_at: Time at which the caller had the result, in seconds.
        result: Result as the caller reports it.
    """

    number: int
    route: str
    body: bytes
    once: bool
    sent_at: float
    done_at: float
    result: CallerResult


@dataclass(frozen=True)
class Violation:
    """A violated invariant.

    Attributes:
        invariant: Short name of the invariant.
        detail: What was observed.
        request: Number of the affected request, or None.
    """

    invariant: str
    detail: str
    request: int | None = None

    def __str__(self) -> str:
        return f"{self.invariant}: {self.detail}"


@dataclass(frozen=True)
class NoWorkSpan:
    """A span of time in which servers should get no new work.

    Attributes:
        invariant: Short name of the invariant.
        servers: Names of the servers.
        start: Start in seconds, after the grace period.
        end: End in seconds.
    """

    invariant: str
    servers: frozenset[str]
    start: float
    end: float


@dataclass(frozen=True)
class Evidence:
    """Everything that servers and callers observed during a run.

    Attributes:
        servers: All stand-in servers.
        records: All requests.
        no_work_spans: Spans in which servers should get no new work.
        shards_by_snapshot: Number of shards by ``route/snapshot``.
    """

    servers: tuple[StandinServer, ...]
    records: tuple[RequestRecord, ...]
    no_work_spans: tuple[NoWorkSpan, ...] = ()
    shards_by_snapshot: dict[str, int] | None = None


def check_invariants(evidence: Evidence) -> list[Violation]:
    """Return all violations that the evidence shows."""
    violations: list[Violation] = []
    violations += _check_limits(evidence.servers)
    violations += _check_at_most_once(evidence.servers)
    violations += _check_answers(evidence)
    violations += _check_not_run(evidence)
    violations += _check_no_new_work(evidence)
    return violations


def _check_limits(servers: Iterable[StandinServer]) -> Iterable[Violation]:
    for server in servers:
        observed = server.observed
        if observed.over_connections:
            yield Violation(
                "connections", f"{server.name}: {observed.most_connections} open at once"
            )
        if observed.over_slots:
            yield Violation(
                "slots", f"{server.name}: {observed.over_slots} requests over the limit"
            )
        if observed.over_cold_slots:
            yield Violation(
                "cold start", f"{server.name}: {observed.over_cold_slots} requests over the limit"
            )


def _check_at_most_once(servers: Iterable[StandinServer]) -> Iterable[Violation]:
    runs: Counter = Counter()
    for server in servers:
        runs.update(server.observed.runs_by_key)
    for key, count in runs.items():
        if count > 1:
            yield Violation("at most once", f"key {key} ran {count} times")


def _check_answers(evidence: Evidence) -> Iterable[Violation]:
    """Check that an answer is the caller's own, from one snapshot, and states its true coverage."""
    for record in evidence.records:
        result = record.result
        if not result.answered:
            continue
        for shard, body in result.body_by_shard:
            if body != answer_body(result.snapshot, shard, record.body):
                snapshot, _, rest = body.partition("/")
                invariant = "own answer" if snapshot == result.snapshot else "one snapshot"
                yield Violation(invariant, f"shard {shard} answered {body}", record.number)
        yield from _check_coverage(evidence, record)


def _check_coverage(evidence: Evidence, record: RequestRecord) -> Iterable[Violation]:
    result = record.result
    expected_shards = (evidence.shards_by_snapshot or {}).get(f"{record.route}/{result.snapshot}")
    if expected_shards is not None and expected_shards != result.total_shards:
        detail = f"{result.total_shards} shards stated, the snapshot has {expected_shards}"
        yield Violation("true coverage", detail, record.number)
    shards = {shard for shard, _ in result.body_by_shard}
    missing = {shard for shard, _ in result.missing}
    complete = shards | missing == set(range(result.total_shards)) and not shards & missing
    if len(shards) != result.answered_shards or not complete:
        detail = f"{len(shards)} bodies and {len(missing)} missing of {result.total_shards}"
        yield Violation("true coverage", detail, record.number)


def _check_not_run(evidence: Evidence) -> Iterable[Violation]:
    """Check that no request reported as not run ran.

    Where several requests share a body, only runs while the request was in progress count.
    """
    run_times_by_body: dict[bytes, list[float]] = {}
    for server in evidence.servers:
        for run in server.observed.runs:
            run_times_by_body.setdefault(run.body, []).append(run.at)
    count_by_body = Counter(record.body for record in evidence.records)
    for record in evidence.records:
        if record.result.outcome != "not_run":
            continue
        end = record.done_at if count_by_body[record.body] > 1 else float("inf")
        if any(record.sent_at <= at <= end for at in run_times_by_body.get(record.body, ())):
            detail = f"{record.result.reason}, but a server ran it"
            yield Violation("true not-run", detail, record.number)


def _check_no_new_work(evidence: Evidence) -> Iterable[Violation]:
    for span in evidence.no_work_spans:
        for server in evidence.servers:
            if server.name not in span.servers:
                continue
            runs = [run for run in server.observed.runs if span.start < run.at < span.end]
            if runs:
                detail = f"{server.name} got {len(runs)} sub-requests, first at {runs[0].at:.2f} s"
                yield Violation(span.invariant, detail)
