"""Stand-in of one replica: a process of its own that tells on its output what it sees.

``python3 -m review.standins.replica --id ID --slots N --work-ms MS --records N`` listens on a free
loopback port. Each line of its output is a JSON object; ``at`` is the machine's steady clock.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import time

from review.standins.http import Message, read_message, render

QUEUE = 24
COLD_S = 3.0  # `coldStartS` of the configuration


class Replica:
    """Serves requests as the page PROTOCOL says under "Replicas"."""

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        self._connections = 0
        self._cold_until = float("-inf")
        self._arrived_cold: list[float] = []
        rng = random.Random(options.id)
        self._body = b"".join(rng.randbytes(16) for _ in range(options.records))

    async def run(self) -> None:
        """Listen until the process is ended."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self._turn_cold)
        _tell("listening", port=server.sockets[0].getsockname()[1])
        await server.serve_forever()

    def _turn_cold(self) -> None:
        self._cold_until = time.monotonic() + COLD_S

    def _crash_if_overrun(self) -> None:
        """Crash if a cold replica has got more requests within a second than it bears."""
        now = time.monotonic()
        if now >= self._cold_until:
            self._arrived_cold.clear()
            return
        self._arrived_cold = [at for at in self._arrived_cold if at > now - 1] + [now]
        if len(self._arrived_cold) > self._options.cold_bears:
            os.kill(os.getpid(), signal.SIGKILL)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connections >= self._options.max_connections:
            _tell("turned_away", attempt="", path="")
            _reset(writer)
            return
        self._connections += 1
        try:
            with contextlib.suppress(ConnectionError, TimeoutError):
                await self._serve_requests(reader, writer)
        finally:
            self._connections -= 1
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection until it ends or stays idle for too long."""
        while True:
            async with asyncio.timeout(self._options.keep_alive_s):
                request = await read_message(reader)
            if request is None or not await self._answer(request, reader, writer):
                return

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection may be kept."""
        method, path, _ = request.start
        if path == "/health":
            writer.write(render("HTTP/1.1 200 OK", {"X-Instance-Id": self._options.id}))
            return True
        attempt = request.headers.get("x-attempt-id", "")
        facts = {"attempt": attempt, "method": method, "path": path}
        _tell("arrived", **facts)
        echo = {"X-Attempt-Id": attempt, "Keep-Alive": f"timeout={self._options.keep_alive_s}"}
        expected = request.headers.get("x-target-instance", self._options.id)
        if expected != self._options.id:
            echo |= {"X-Instance-Id": self._options.id, "X-Not-Executed": "1"}
            writer.write(render("HTTP/1.1 421 Misdirected Request", echo))
            return True
        self._crash_if_overrun()
        if self._waiting >= QUEUE:
            echo |= {"X-Not-Executed": "1"}
            writer.write(render("HTTP/1.1 503 Service Unavailable", echo))
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            _tell("began", **facts)
            if self._options.crash_path and path.startswith(self._options.crash_path):
                os.kill(os.getpid(), signal.SIGKILL)
            if await _closed_within(reader, self._options.work_ms / 1000):
                _tell("dropped", **facts)
                return False
        echo |= {"X-Server-Stamp": f"{self._options.id}.{attempt}"}
        writer.write(render("HTTP/1.1 200 OK", echo, self._body))
        await writer.drain()
        _tell("answered", **facts)
        return True


async def _closed_within(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Work for so long; return whether the caller has closed its connection meanwhile."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if reader.at_eof():
            return True
        await asyncio.sleep(min(0.01, max(0.0, until - time.monotonic())))
    return False


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a RST, by a linger time of zero."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _tell(event: str, **facts: object) -> None:
    line = json.dumps({"at": time.monotonic(), "event": event} | facts)
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def main() -> None:
    """Read the options and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--records", type=int, default=8)
    parser.add_argument("--crash-path", default="")
    parser.add_argument("--cold-bears", type=int, default=1_000_000)
    parser.add_argument("--keep-alive-s", type=int, default=10)
    parser.add_argument("--max-connections", type=int, default=52)
    asyncio.run(Replica(parser.parse_args()).run())


if __name__ == "__main__":
    main()
