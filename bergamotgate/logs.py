"""Sets up logging: short sentences, each with the fixed prefix of its component."""

import json
import os
import sys
import time
from typing import Any

from loguru import logger

from bergamotgate.settings import LogFormat, LogLevel

__all__ = ["RateLimitedLineWriter", "set_up_logs", "set_up_structured_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[vm]} {message}"

# Rate and capacity of the token bucket that limits the lines of a process.
LINES_PER_S = 300.0
BURST_LINES = 600.0


def set_up_logs(vm: str, log_format: LogFormat, level: LogLevel) -> None:
    """Write the log to standard error."""
    logger.enable("bergamotgate")
    logger.remove()
    logger.configure(extra={"vm": vm})
    if log_format is LogFormat.JSON:
        logger.add(sys.stderr, level=level.upper(), serialize=True)
    else:
        logger.add(sys.stderr, level=level.upper(), format=TEXT_FORMAT)


def set_up_structured_logs(vm: str) -> None:
    """Write one JSON object per line to standard output, rate-limited and without blocking."""
    logger.enable("bergamotgate")
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    writer = RateLimitedLineWriter(sys.stdout.fileno(), vm)
    logger.add(writer.write, level="INFO", format="{message}", catch=False)


class RateLimitedLineWriter:
    """Writes log lines to a non-blocking descriptor; drops and counts what cannot be written.

    A line is dropped when the rate limit is reached, or while an earlier line cannot be written
    completely. Each later line reports how many were dropped before it.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int, vm: str):
        self._descriptor = descriptor
        self._vm = vm
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self.dropped = 0

    def write(self, message: Any) -> None:
        """Write one loguru message; its record becomes a JSON object."""
        if not self._take_token():
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
        self._write_data(json.dumps(line, default=str).encode() + b"\n")

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = LINES_PER_S * (now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_data(self, data: bytes) -> None:
        """Write without blocking; a partly written line is completed before the next."""
        if self._unwritten and not self._flush():
            self.dropped += 1
            return
        self._unwritten = data
        self._flush()

    def _flush(self) -> bool:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # Logging must not fail the caller: the pipe is full or closed, or the disk is full.
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten
