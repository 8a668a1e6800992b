"""Checks the users' promises against what stand-ins and callers really saw."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotgate.caller import CallerResult
from bergamotgate.standin.server import StandinServer, answer_body

__all__ = ["Evidence", "NoWorkSpan", "RequestRecord", "Violation", "check_invariants"]


@dataclass(frozen=True)
class RequestRecord:
    """One request of a caller.

    Attributes:
        number: Number in the scenario.
        route: Name of the route.
        body: Body, unique in the scenario.
        once: Whether it may not be repeated.
        sent_at: When it was sent first, in seconds.
        done_at: When the caller had its result, in seconds.
        result: The result.
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
    """A promise that broke.

    Attributes:
        invariant: Short name of the promise.
        detail: What was seen.
        request: Number of the request concerned, or None.
    """

    invariant: str
    detail: str
    request: int | None = None

    def __str__(self) -> str:
        return f"{self.invariant}: {self.detail}"


@dataclass(frozen=True)
class NoWorkSpan:
    """A time in which servers should get no new work.

    Attributes:
        invariant: Short name of the promise.
        servers: Names of the servers.
        start: Start in seconds, with the allowed delay.
        end: End in seconds.
    """

    invariant: str
    servers: frozenset[str]
    start: float
    end: float


@dataclass(frozen=True)
class Evidence:
    """Everything that was seen from outside.

    Attributes:
        servers: All stand-in servers.
        records: All requests.
        no_work_spans: Times in which servers should get no new work.
        shards_by_snapshot: Number of shards by pool route and version.
    """

    servers: tuple[StandinServer, ...]
    records: tuple[RequestRecord, ...]
    no_work_spans: tuple[NoWorkSpan, ...] = ()
    shards_by_snapshot: dict[str, int] | None = None


def check_invariants(evidence: Evidence) -> list[Violation]:
    """Every violation that the evidence shows."""
    found: list[Violation] = []
    found += _limits(evidence.servers)
    found += _at_most_once(evidence.servers)
    found += _answers(evidence)
    found += _true_not_run(evidence)
    found += _no_new_work(evidence)
    return found


def _limits(servers: Iterable[StandinServer]) -> Iterable[Violation]:
    for server in servers:
        observed = server.observed
        if observed.over_connections:
            yield Violation("connections", f"{server.name}: {observed.most_connections} open")
        if observed.over_slots:
            yield Violation("slots", f"{server.name}: {observed.over_slots} arrivals too many")
        if observed.over_cold:
            yield Violation("cold start", f"{server.name}: {observed.over_cold} arrivals too many")


def _at_most_once(servers: Iterable[StandinServer]) -> Iterable[Violation]:
    runs: Counter = Counter()
    for server in servers:
        runs.update(server.observed.runs_by_key)
    for key, count in runs.items():
        if count > 1:
            yield Violation("at most once", f"key {key} ran {count} times")


def _answers(evidence: Evidence) -> Iterable[Violation]:
    """One snapshot, true coverage, and each caller's own answer."""
    for record in evidence.records:
        result = record.result
        if not result.answered:
            continue
        for shard, body in result.body_by_shard:
            if body != answer_body(result.snapshot, shard, record.body):
                version, _, rest = body.partition("/")
                invariant = "own answer" if version == result.snapshot else "one snapshot"
                yield Violation(invariant, f"shard {shard} answered {body}", record.number)
        yield from _coverage(evidence, record)


def _coverage(evidence: Evidence, record: RequestRecord) -> Iterable[Violation]:
    result = record.result
    known = (evidence.shards_by_snapshot or {}).get(f"{record.route}/{result.snapshot}")
    if known is not None and known != result.total_shards:
        detail = f"{result.total_shards} shards stated, the version has {known}"
        yield Violation("true coverage", detail, record.number)
    shards = {shard for shard, _ in result.body_by_shard}
    missing = {shard for shard, _ in result.missing}
    complete = shards | missing == set(range(result.total_shards)) and not shards & missing
    if len(shards) != result.answered_shards or not complete:
        detail = f"{len(shards)} bodies and {len(missing)} missing of {result.total_shards}"
        yield Violation("true coverage", detail, record.number)


def _true_not_run(evidence: Evidence) -> Iterable[Violation]:
    """No refused request ran; a body that several requests share counts only in its own time."""
    ran_at: dict[bytes, list[float]] = {}
    for server in evidence.servers:
        for run in server.observed.runs:
            ran_at.setdefault(run.body, []).append(run.at)
    uses = Counter(record.body for record in evidence.records)
    for record in evidence.records:
        if record.result.outcome != "not_run":
            continue
        end = record.done_at if uses[record.body] > 1 else float("inf")
        if any(record.sent_at <= at <= end for at in ran_at.get(record.body, ())):
            detail = f"{record.result.reason}, but a server ran it"
            yield Violation("true not-run", detail, record.number)


def _no_new_work(evidence: Evidence) -> Iterable[Violation]:
    for span in evidence.no_work_spans:
        for server in evidence.servers:
            if server.name not in span.servers:
                continue
            late = [run for run in server.observed.runs if span.start < run.at < span.end]
            if late:
                detail = f"{server.name} got {len(late)} sub-requests, first at {late[0].at:.2f} s"
                yield Violation(span.invariant, detail)
