"""Stand-in of clients: they ask the directory where to connect, and keep to the page PROTOCOL."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field

from review.standins.deployment import Deployment
from review.standins.http import Message, read_message, render

__all__ = ["HOST", "Client", "Outcome"]

HOST = "filters.example"
CONNECT_S = 1.0


@dataclass(frozen=True)
class Outcome:
    """One attempt of a client.

    Attributes:
        attempt: Its identifier.
        path: Its path.
        front: The machine to which it was sent.
        sent_at: When it was sent, by the machine's steady clock.
        ended_at: When it was answered or given up.
        status: Status of the answer; 0 when there was none.
        headers: Headers of the answer.
        body: Body of the answer.
        error: Why there was no answer.
    """

    attempt: str
    path: str
    front: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Client:
    """Sends requests, each on a connection of its own, and keeps what came of them.

    Attributes:
        outcomes: All attempts, in the order in which they ended.
    """

    def __init__(self, deployment: Deployment, seed: int = 1):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task] = set()
        self.outcomes: list[Outcome] = []

    async def addresses(self) -> list[str]:
        """Ask up to three machines where to connect."""
        gateways = list(self._deployment.gateways)
        self._rng.shuffle(gateways)
        for gateway in gateways[:3]:
            try:
                async with asyncio.timeout(1.0):
                    address = f"127.0.0.1:{gateway.ports['directory']}"
                    target = f"/api/resolve?name={HOST}&region=eu-baltic&zone=tln-a"
                    reply = await _exchange(
                        address, render(f"GET {target} HTTP/1.1", {"Host": "d"})
                    )
            except (OSError, TimeoutError):
                continue
            if reply.start[1] == "200":
                return json.loads(reply.body)["addrs"]
        return []

    async def send(
        self,
        path: str,
        deadline_ms: int = 2000,
        method: str = "GET",
        body: bytes = b"",
        front: str = "",
    ) -> Outcome:
        """Make one attempt at a machine; at any of those that the directory names by default."""
        if not front:
            named = await self.addresses()
            front = self._rng.choice(named) if named else self._deployment.gateways[0].front
        attempt = uuid.uuid4().hex[:16]
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)}
        data = render(f"{method} {path} HTTP/1.1", headers, body)
        sent_at = time.monotonic()
        status, reply, error = 0, Message(["", "0", ""]), ""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reply = await _exchange(front, data)
                status = int(reply.start[1])
        except TimeoutError:
            error = "no answer within the time limit"
        except OSError as problem:
            error = repr(problem)
        outcome = Outcome(
            attempt,
            path,
            front,
            sent_at,
            time.monotonic(),
            status,
            reply.headers,
            reply.body,
            error,
        )
        self.outcomes.append(outcome)
        return outcome

    def send_soon(self, path: str, **options: object) -> None:
        """Make an attempt in the background."""
        task = asyncio.ensure_future(self.send(path, **options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def press(self, prefix: str, per_s: float, seconds: float, **options: object) -> None:
        """Send requests with a path of their own each at a steady rate."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.send_soon(f"{prefix}{uuid.uuid4().hex[:8]}", **options)
            await asyncio.sleep(1 / per_s)

    async def finish(self) -> None:
        """Wait for what was sent."""
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _exchange(address: str, data: bytes) -> Message:
    host, port = address.split(":")
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        reply = await read_message(reader)
    finally:
        writer.close()
    if reply is None:
        raise ConnectionError("the connection ended without an answer")
    return reply
