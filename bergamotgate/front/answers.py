"""Renders answers and refusals as HTTP status, headers and JSON body."""

import json
from dataclasses import dataclass, field

from bergamotgate.gather.answer import QueryAnswer
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown, UnknownReason

__all__ = ["CallerAnswer", "MAX_ANSWER_BYTES", "redirect", "render"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
STATUS_ANSWERED = 200
STATUS_REDIRECT = 307
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504

STATUS_BY_REASON = {
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_DEADLINE: 400,
    NotRunReason.BAD_KEY: 400,
    NotRunReason.KEY_REQUIRED: 400,
    NotRunReason.KEY_REUSED: 409,
    NotRunReason.TOKEN_EXPIRED: 410,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.QUARANTINED: 422,
}


@dataclass(frozen=True)
class CallerAnswer:
    """An HTTP response to a caller.

    Attributes:
        status: HTTP status.
        body: JSON text.
        result: Metric label: ``whole``, ``gaps`` (shards are missing), ``redirect`` or the reason
            of a refusal.
        headers: Headers besides ``Content-Type``.
    """

    status: int
    body: bytes
    result: str
    headers: dict[str, str] = field(default_factory=dict)


def render(result: QueryAnswer | Refusal) -> CallerAnswer:
    """Render the answer or refusal of a query."""
    if isinstance(result, QueryAnswer):
        return _render_answer(result)
    outcome = "not_run" if isinstance(result, NotRun) else "unknown"
    default_status = STATUS_NOT_RUN if isinstance(result, NotRun) else STATUS_UNKNOWN
    status = STATUS_BY_REASON.get(result.reason, default_status)
    fields = {"status": "refused", "outcome": outcome, "reason": str(result.reason)}
    return CallerAnswer(status, json.dumps(fields).encode(), str(result.reason))


def redirect(url: str) -> CallerAnswer:
    """Redirect a caller to another VM; the request did not run here."""
    fields = {"status": "redirect", "outcome": "not_run", "location": url}
    body = json.dumps(fields).encode()
    return CallerAnswer(STATUS_REDIRECT, body, "redirect", {"Location": url})


def _render_answer(answer: QueryAnswer) -> CallerAnswer:
    answered = len(answer.body_by_shard)
    if sum(map(len, answer.body_by_shard.values())) > MAX_ANSWER_BYTES:
        return render(Unknown(UnknownReason.ANSWER_TOO_LARGE))
    fields = {
        "status": "answered",
        "snapshot": answer.snapshot,
        "coverage": {
            "answered": answered,
            "total": answer.total,
            "missing": [{"shard": m.shard, "reason": m.reason} for m in answer.missing],
        },
        "parts": [
            {"shard": shard, "body": body.decode(errors="replace")}
            for shard, body in sorted(answer.body_by_shard.items())
        ],
    }
    headers = {"X-Coverage": f"{answered}/{answer.total}", "X-Snapshot": answer.snapshot}
    result = "gaps" if answer.missing else "whole"
    return CallerAnswer(STATUS_ANSWERED, json.dumps(fields).encode(), result, headers)
