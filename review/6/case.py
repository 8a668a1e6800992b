"""Servers spoil some of their answers: a header line ends with a blank."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

from rig import (
    ZONES,
    Received,
    Rig,
    Server,
    request_bytes,
    route,
    run_case,
    send_once,
)

SPOILING_SERVERS = 2  # of 4: a share of 0.5
SPOILED_SHARE = 0.04
CLIENTS = 20
REQUEST_INTERVAL_S = 0.5
LENGTH_S = 50.0
TIMEOUT_MS = 1000
CLIENT_WAITS_MS = 3000
# The rule: eight or more, and over a quarter, have no final answer this long after the timeout.
GRACE_S = 0.5
LEAST_COUNT = 8
LEAST_SHARE = 0.25


async def case(rig: Rig, folder: Path, trouble: bool) -> bool:
    """Run clients against servers of which some spoil answers; return whether the rule held."""
    rng = random.Random(6)
    spoiled: set[str] = set()
    spoiling: set[str] = set()

    async def respond(server: Server, request: Received, writer: asyncio.StreamWriter) -> bool:
        server.ran.append(request)
        rig.record.add("run", server=server.name, attempt=request.attempt)
        await asyncio.sleep(rng.uniform(0.005, 0.05))
        end = ""
        if trouble and server.name in spoiling and rng.random() < SPOILED_SHARE:
            spoiled.add(request.attempt)
            end = " "
            rig.record.add("spoiled", server=server.name, attempt=request.attempt)
        writer.write(server.response(request, extra=f"Server: counter/1{end}\r\n"))
        return True

    rig.servers = [
        Server(f"i-desk{n}", "desk", ZONES[n % 3], bytes([65 + n]) * 300, respond) for n in range(4)
    ]
    spoiling |= {server.name for server in rig.servers[:SPOILING_SERVERS]}
    common = {"timeoutMs": TIMEOUT_MS, "targetLatencyMs": 500}
    rig.routes = [
        route("book", "/book/", "desk", routeType="non_idempotent", **common),
        route("look", "/look/", "desk", **common),
    ]
    await rig.start(3, folder, settle_s=5.0)
    fronts = [daemon.front for daemon in rig.daemons]
    lasted: dict[str, float | None] = {}

    async def ask(attempt: str) -> None:
        kind = rng.choice((("POST", "/book/1", b"order"), ("GET", "/look/1", b"")))
        data = request_bytes(attempt, kind[1], CLIENT_WAITS_MS, kind[0], kind[2])
        sent_at = asyncio.get_running_loop().time()
        rig.record.add("sent", attempt=attempt, request=kind[0] + kind[1])
        try:
            reply = await send_once(rng.choice(fronts), data, CLIENT_WAITS_MS / 1000)
        except (OSError, ValueError) as error:
            rig.record.add("failed", attempt=attempt, error=repr(error))
            return
        took_s = asyncio.get_running_loop().time() - sent_at
        lasted[attempt] = took_s if reply is not None else None
        status = reply.status if reply is not None else "none"
        rig.record.add("answered", attempt=attempt, status=status, took_s=round(took_s, 3))

    async def run_client(number: int) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(number * REQUEST_INTERVAL_S / CLIENTS)
        until = loop.time() + LENGTH_S
        count = 0
        while loop.time() < until:
            next_at = loop.time() + REQUEST_INTERVAL_S
            count += 1
            await ask(f"c{number}-{count}")
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    await asyncio.gather(*(run_client(number) for number in range(CLIENTS)))
    timeout_s = TIMEOUT_MS / 1000
    long_ones = [a for a, took_s in lasted.items() if took_s is None or took_s > timeout_s]
    unanswered = [a for a in long_ones if lasted[a] is None or lasted[a] > timeout_s + GRACE_S]
    ran = {request.attempt for server in rig.servers for request in server.ran}
    rig.record.say(
        f"{len(lasted)} requests; {len(spoiled)} spoiled answers; {len(long_ones)} requests lasted "
        f"longer than timeoutMs; {len(unanswered)} of these had no answer {GRACE_S} s later, "
        f"{len(ran & set(unanswered))} of them had run"
    )
    return len(unanswered) < LEAST_COUNT or len(unanswered) <= LEAST_SHARE * len(long_ones)


run_case(case, Path(__file__).resolve().parent)
