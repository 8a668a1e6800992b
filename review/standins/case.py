"""What all scripts share: the configuration, the record, and the exit status."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.client import HOST
from review.standins.deployment import MAX_CONNECTIONS, CouldNotRun

__all__ = ["TROUBLE", "Record", "configuration", "play"]

BROKEN, HELD, NOT_RUN = 1, 0, 2
# A script runs for 120 s at most.
LONGEST_S = 112.0
# TROUBLE=0 plays the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Case = Callable[["Record"], Awaitable[bool]]


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, folder: Path):
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def say(self, text: str, at: float | None = None) -> None:
        """Write a line with the time since the start."""
        seconds = (time.monotonic() if at is None else at) - self._began_at
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line that the terminal shows too."""
        self.say(text)
        print(text)


def play(script: str, case: Case) -> None:
    """Run a case, which returns whether the rule held, and exit as the issue says."""
    record = Record(Path(script).resolve().parent)
    record.say("with the disruption" if TROUBLE else "without the disruption")
    sys.exit(asyncio.run(_status(case, record)))


async def _status(case: Case, record: Record) -> int:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            held = await case(record)
    except (CouldNotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.conclude(f"could not run: {error!r}")
        return NOT_RUN
    record.conclude("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def configuration(
    version: int, routes: list[dict], services: list[str], cold_per_s: float = 0.0
) -> bytes:
    """A configuration as the operator writes it."""
    defaults = {"hostname": HOST, "routeType": "idempotent", "priority": 1, "maxAttempts": 2}
    return json.dumps(
        {
            "version": version,
            "routes": [defaults | route for route in routes],
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConnections": MAX_CONNECTIONS,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 3.0,
                    "coldPerS": cold_per_s,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()
