"""Callers of the soak, and the check of what they and the servers saw."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from bergamotgate.standin.replica import StandInReplica

__all__ = ["Call", "SoakCaller", "check_calls"]

PATIENCE_MS = 1500
WAIT_S = 3.0
PAUSE_S = 0.02
BOOKING_SHARE = 0.3
NOT_RUN = (429, 503)


@dataclass(frozen=True)
class Call:
    """One attempt and what came of it.

    Attributes:
        attempt: Its identifier.
        booking: Whether it may run at most once.
        status: Status code; 0 when the connection ended without an answer.
        digests: Signatures of the parts, or of the server.
        missing: Stated number of missing shards.
        body: The answer's body.
    """

    attempt: str
    booking: bool
    status: int
    digests: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""

    @property
    def outcome(self) -> str:
        """Short name for counting."""
        return f"{'booking' if self.booking else 'search'}_{self.status}"


class SoakCaller:
    """Sends requests one after the other, on a kept connection until that ends."""

    def __init__(self, number: int, fronts: list[str], rng: random.Random):
        self._number = number
        self._fronts = fronts
        self._rng = rng
        self._running = True
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.calls: list[Call] = []

    def stop(self) -> None:
        """End after the request that is under way."""
        self._running = False

    async def run(self) -> None:
        """Send requests until stopped."""
        while self._running:
            attempt = f"c{self._number}-{len(self.calls)}"
            booking = self._rng.random() < BOOKING_SHARE
            self.calls.append(await self._call(attempt, booking))
            await asyncio.sleep(PAUSE_S)

    async def _call(self, attempt: str, booking: bool) -> Call:
        method, path = ("POST", "/b/1") if booking else ("GET", "/s/q")
        body = b"order" if booking else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {PATIENCE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(WAIT_S):
                reader, writer = await self._connected()
                writer.write(head.encode() + body)
                return await self._read(reader, attempt, booking)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._drop()
            return Call(attempt, booking, 0)

    async def _connected(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is None:
            host, port = self._rng.choice(self._fronts).split(":")
            self._connection = await asyncio.open_connection(host, int(port))
        return self._connection

    async def _read(self, reader: asyncio.StreamReader, attempt: str, booking: bool) -> Call:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers["content-length"]))
        if headers.get("connection") == "close":
            self._drop()
        stamps = headers.get("x-part-stamps") or headers.get("x-server-stamp") or ""
        digests = tuple(stamp.strip() for stamp in stamps.split(",") if stamp.strip())
        missing = int(headers.get("x-missing-parts", "0"))
        return Call(attempt, booking, int(head[0].split(" ")[1]), digests, missing, body)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def check_calls(calls: list[Call], replicas: list[StandInReplica], shards: int) -> list[str]:
    """Every promise that the answers or the servers' own records contradict, in words."""
    replica_by_server = {replica.server: replica for replica in replicas}
    runs = Counter(attempt for replica in replicas for attempt in replica.run_attempts)
    known = {call.attempt for call in calls}
    broken = [f"{attempt} ran though nobody sent it" for attempt in runs if attempt not in known]
    for call in calls:
        if call.booking and runs[call.attempt] > 1:
            broken.append(f"booking {call.attempt} ran {runs[call.attempt]} times")
        if call.booking and call.status in NOT_RUN and runs[call.attempt]:
            broken.append(f"booking {call.attempt} was refused as not run and ran")
        if call.status == 200:
            broken += _check_answer(call, replica_by_server, shards)
    return broken


def _check_answer(
    call: Call, replica_by_server: dict[str, StandInReplica], shards: int
) -> list[str]:
    owners = [digest.partition(".")[0] for digest in call.digests]
    if any(not digest.endswith(f".{call.attempt}") for digest in call.digests):
        return [f"{call.attempt} got another request's answer"]
    bodies = [replica_by_server[owner].body for owner in owners]
    if call.booking:
        return [] if bodies == [call.body] else [f"{call.attempt} got a changed body"]
    records = [body[at : at + 16] for body in bodies for at in range(0, len(body), 16)]
    broken = []
    if len(owners) + call.missing != shards or len(set(owners)) != len(owners):
        broken.append(f"{call.attempt} states its coverage wrongly: {call.digests}, {call.missing}")
    if call.body != b"".join(sorted(records, reverse=True)[:6]):
        broken.append(f"{call.attempt} lacks records of its own parts")
    return broken
