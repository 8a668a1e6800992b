"""Reconstructs the timeline of one request from the structured logs of a fleet."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bergamotgate.jsontext import read_json

__all__ = ["LogLine", "build_timeline", "read_log"]

# Changes of the local view up to this long before a request may explain how it was handled.
CONTEXT_S = 5.0
CONTEXT_PREFIXES = (
    "config:",
    "delegate:",
    "discovery:",
    "gateway: This VM",
    "membership:",
    "publication:",
)


@dataclass(frozen=True)
class LogLine:
    """One structured log line.

    Attributes:
        at: Seconds since 1970.
        vm: VM that wrote it.
        message: Sentence with the prefix of its component.
        fields: All other fields of the line.
    """

    at: float
    vm: str
    message: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(f"{name}={json.dumps(value)}" for name, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.message} {fields}".rstrip()


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Parse a log; lines without a structured record are skipped.

    A record may follow a prefix that a log collector added.
    """
    parsed = (_read_line(line) for line in lines)
    return [line for line in parsed if line is not None]


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and the local view changes of its VMs, in order of time.

    Only changes from ``CONTEXT_S`` before the request until its last line are included.

    Args:
        request_id: Identifier of one attempt of a client.
        lines: Log lines of any number of VMs.
    """
    lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in lines if line.fields.get("id") == request_id]
    if not request_lines:
        return []
    vms = {line.vm for line in request_lines}
    began_at = request_lines[0].at - request_lines[-1].fields.get("took_ms", 0) / 1000
    context = [
        line
        for line in lines
        if line.vm in vms
        and began_at - CONTEXT_S <= line.at <= request_lines[-1].at
        and "id" not in line.fields
        and line.message.startswith(CONTEXT_PREFIXES)
    ]
    return sorted(context + request_lines, key=lambda line: line.at)


def _read_line(line: str) -> LogLine | None:
    _, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        record = read_json(brace + rest)
        at, vm, message = record.pop("at"), record.pop("vm"), record.pop("message")
    except (ValueError, KeyError):
        return None
    record.pop("level", None)
    return LogLine(float(at), str(vm), str(message), record)
