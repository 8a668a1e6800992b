"""Sets up the log: short sentences with a fixed prefix for each part."""

import json
import os
import sys
import time
from typing import Any

from loguru import logger

from bergamotgate.settings import LogFormat, LogLevel

__all__ = ["RateLimitedLineWriter", "set_up_logs", "set_up_structured_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[vm]} {message}"

# Lines that a process may write a second, and at once after a quiet time.
LINES_PER_S = 300.0
BURST_LINES = 600.0


def set_up_logs(vm: str, form: LogFormat, level: LogLevel) -> None:
    """Write the log to standard error."""
    logger.enable("bergamotgate")
    logger.remove()
    logger.configure(extra={"vm": vm})
    if form is LogFormat.JSON:
        logger.add(sys.stderr, level=level.upper(), serialize=True)
    else:
        logger.add(sys.stderr, level=level.upper(), format=TEXT_FORMAT)


def set_up_structured_logs(vm: str) -> None:
    """Write one JSON object a line to standard output, bounded and without ever waiting."""
    logger.enable("bergamotgate")
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    writer = RateLimitedLineWriter(sys.stdout.fileno(), vm)
    logger.add(writer.write, level="INFO", format="{message}", catch=False)


class RateLimitedLineWriter:
    """Writes log lines to a descriptor; drops and counts what is too much.

    Attributes:
        dropped: Lines dropped so far.
    """

    def __init__(self, descriptor: int, vm: str):
        self._descriptor = descriptor
        self._vm = vm
        self._saved = BURST_LINES
        self._filled_at = time.monotonic()
        self._rest = b""
        self.dropped = 0

    def write(self, message: Any) -> None:
        """Write one log record of loguru."""
        if not self._take():
            self.dropped += 1
            return
        record = message.record
        line: dict[str, Any] = {
            "at": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "vm": self._vm,
            "message": record["message"],
        }
        if self.dropped:
            line["dropped_before"] = self.dropped
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        line |= record["extra"]
        self._put(json.dumps(line, default=str).encode() + b"\n")

    def _take(self) -> bool:
        now = time.monotonic()
        filled = LINES_PER_S * (now - self._filled_at)
        self._filled_at = now
        self._saved = min(BURST_LINES, self._saved + filled)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _put(self, data: bytes) -> None:
        """Write without waiting; a line that was begun is finished before the next."""
        if self._rest and not self._flush():
            self.dropped += 1
            return
        self._rest = data
        self._flush()

    def _flush(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        self._rest = self._rest[written:]
        return not self._rest
