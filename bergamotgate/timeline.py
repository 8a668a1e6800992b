"""Reads the structured logs of a fleet and tells what happened to one request."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "build_timeline", "read_log"]

# What a process came to believe this long before a request may explain what it decided.
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
    """One structured line.

    Attributes:
        at: Seconds since 1970.
        vm: VM that wrote it.
        message: Sentence with the prefix of its part.
        fields: Everything else that the line says.
    """

    at: float
    vm: str
    message: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(f"{name}={json.dumps(value)}" for name, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.message} {fields}".rstrip()


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Read a log; lines that hold no structured record are passed over.

    A record may stand behind a prefix that a collector put before it.
    """
    found = (_read_line(line) for line in lines)
    return [line for line in found if line is not None]


def build_timeline(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """All lines of a request, and what its VMs came to believe shortly before, in order of time.

    Args:
        request: Identifier of one attempt of a client.
        lines: Lines of any number of VMs.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if line.fields.get("id") == request]
    if not own:
        return []
    vms = {line.vm for line in own}
    began = own[0].at - own[-1].fields.get("took_ms", 0) / 1000
    context = [
        line
        for line in lines
        if line.vm in vms
        and began - CONTEXT_S <= line.at <= own[-1].at
        and "id" not in line.fields
        and line.message.startswith(CONTEXT_PREFIXES)
    ]
    return sorted(context + own, key=lambda line: line.at)


def _read_line(line: str) -> LogLine | None:
    _, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        record = json.loads(brace + rest)
        at, vm, message = record.pop("at"), record.pop("vm"), record.pop("message")
    except (ValueError, KeyError):
        return None
    record.pop("level", None)
    return LogLine(float(at), str(vm), str(message), record)
