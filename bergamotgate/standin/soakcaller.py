"""Sends requests for the soak test and checks the answers against the servers' records."""

import asyncio
import random
import re
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from bergamotgate.standin.replica import StandInReplica

__all__ = ["Call", "SoakCaller", "check_calls", "check_rate"]

DEADLINE_MS = 1500
TIMEOUT_S = 3.0
PAUSE_S = 0.02
BOOKING_SHARE = 0.3
NOT_RUN_STATUSES = (429, 503)
# What a server that states a rate may get in any window, as a factor and in requests, once it has
# stated the rate for so long.
RATE_WINDOW_S = 4.0
RATE_SETTLE_S = 4.0
RATE_FACTOR = 1.5
RATE_EXTRA = 5
# The head of an answer by RFC 9110 and 9112; statuses of 1xx are never asked for.
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
HEAD = re.compile(rb"HTTP/1\.1 [2-5][0-9]{2} %b\r\n(?:%b:%b\r\n)+\r\n" % (_TEXT, _TOKEN, _TEXT))


@dataclass(frozen=True)
class Call:
    """One attempt and its result.

    Attributes:
        attempt: Identifier of the attempt.
        booking: Whether the request must run at most once.
        status: HTTP status code; 0 if there was no answer.
        digests: Stamps of the answer's parts or of its server, as ``server.attempt``.
        missing: Number of missing shards that the answer reports.
        body: Body of the answer.
        broken: Whether what arrived is no answer.
    """

    attempt: str
    booking: bool
    status: int
    digests: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""
    broken: bool = False

    @property
    def outcome(self) -> str:
        """Label for counting, such as ``search_200``."""
        return f"{'booking' if self.booking else 'search'}_{self.status}"


class SoakCaller:
    """Sends requests one after the other over a persistent connection.

    Attributes:
        calls: All attempts so far.
    """

    def __init__(self, number: int, fronts: list[str], rng: random.Random):
        self._number = number
        self._fronts = fronts
        self._rng = rng
        self._running = True
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.calls: list[Call] = []

    def stop(self) -> None:
        """Stop after the request in progress."""
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
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await self._get_connection()
                writer.write(head.encode() + body)
                return await self._read(reader, attempt, booking)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._close_connection()
            return Call(attempt, booking, 0)

    async def _get_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is None:
            host, port = self._rng.choice(self._fronts).split(":")
            self._connection = await asyncio.open_connection(host, int(port))
        return self._connection

    async def _read(self, reader: asyncio.StreamReader, attempt: str, booking: bool) -> Call:
        received = await reader.readuntil(b"\r\n\r\n")
        if not HEAD.fullmatch(received):
            self._close_connection()
            return Call(attempt, booking, 0, broken=True)
        head = received.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers["content-length"]))
        if headers.get("connection") == "close":
            self._close_connection()
        stamps = headers.get("x-part-stamps") or headers.get("x-server-stamp") or ""
        digests = tuple(stamp.strip() for stamp in stamps.split(",") if stamp.strip())
        missing = int(headers.get("x-missing-parts", "0"))
        return Call(attempt, booking, int(head[0].split(" ")[1]), digests, missing, body)

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def check_calls(
    calls: list[Call],
    replicas: list[StandInReplica],
    shards: int,
    other_attempts: Collection[str] = (),
) -> list[str]:
    """Return descriptions of all violations that the answers or the servers' records show.

    Args:
        calls: All attempts of the callers.
        replicas: All servers.
        shards: Number of shards of a search.
        other_attempts: Identifiers of attempts that were sent beside the callers.
    """
    replica_by_server = {replica.server: replica for replica in replicas}
    runs = Counter(attempt for replica in replicas for attempt in replica.run_attempts)
    sent_attempts = {call.attempt for call in calls} | set(other_attempts)
    violations = [
        f"{attempt} ran although no caller sent it"
        for attempt in runs
        if attempt not in sent_attempts
    ]
    for call in calls:
        if call.broken:
            violations.append(f"{call.attempt} received bytes that are no answer")
        if call.booking and runs[call.attempt] > 1:
            violations.append(f"booking {call.attempt} ran {runs[call.attempt]} times")
        if call.booking and call.status in NOT_RUN_STATUSES and runs[call.attempt]:
            violations.append(f"booking {call.attempt} was reported as not run but ran")
        if call.status == 200:
            violations += _check_answer(call, replica_by_server, shards)
    return violations


def check_rate(replica: StandInReplica, rate_per_s: float, stated_at: float) -> list[str]:
    """Return a violation if a server got more requests than the rate that it states allows."""
    settled_at = stated_at + RATE_SETTLE_S
    times = [r.received_at for r in replica.received_requests if r.received_at >= settled_at]
    most = max((sum(0 <= at - start < RATE_WINDOW_S for at in times) for start in times), default=0)
    if most <= RATE_FACTOR * rate_per_s * RATE_WINDOW_S + RATE_EXTRA:
        return []
    return [f"{replica.server} got {most} requests in {RATE_WINDOW_S} s at {rate_per_s} per second"]


def _check_answer(
    call: Call, replica_by_server: dict[str, StandInReplica], shards: int
) -> list[str]:
    servers = [digest.partition(".")[0] for digest in call.digests]
    if any(not digest.endswith(f".{call.attempt}") for digest in call.digests):
        return [f"{call.attempt} received the answer to another request"]
    bodies = [replica_by_server[server].body for server in servers]
    if call.booking:
        return [] if bodies == [call.body] else [f"{call.attempt} received a modified body"]
    records = [body[at : at + 16] for body in bodies for at in range(0, len(body), 16)]
    violations = []
    if len(servers) + call.missing != shards or len(set(servers)) != len(servers):
        violations.append(f"{call.attempt} reports wrong coverage: {call.digests}, {call.missing}")
    if call.body != b"".join(sorted(records, reverse=True)[:6]):
        violations.append(f"{call.attempt} received records other than the top ones of its parts")
    return violations
