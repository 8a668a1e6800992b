"""The store comes back from an older copy; later a zone is evacuated, as once before the loss."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

from rig import (
    ZONES,
    Rig,
    Server,
    connect,
    now_s,
    read_reply,
    request_bytes,
    respond_soundly,
    route,
    run_case,
)

from bergamotgate.standin.store import StoreFault

ZONE = ZONES[0]
KEY = f"op/evacuate/{ZONE}"
FIRST_ERA = 4
CLIENTS = 12
PAUSE_S = 0.1
# Times of the operator and of the store, in seconds.
SHORT_S = 2.0
AWAY_S = 1.0
OUT_S = 40.0
# evacuateMs, and maxStretchMs, by which a store that is not stable may stretch it at most.
EVACUATE_S = 5.0 + 12.0


async def case(rig: Rig, folder: Path, trouble: bool) -> bool:
    """Evacuate a zone after the loss; return whether the rule held."""
    rig.store.source.era = FIRST_ERA
    rig.servers = [
        Server(f"i-{zone}-{n}", "desk", zone, bytes([65 + n]) * 300, respond_soundly)
        for zone in ZONES
        for n in range(2)
    ]
    rig.routes = [route("look", "/look/", "desk")]
    await rig.start(3, folder, settle_s=5.0)
    fronts = [daemon.front for daemon in rig.daemons]
    statuses: dict[int | str, int] = {}
    stopped = asyncio.Event()

    async def run_client(number: int) -> None:
        count = 0
        while not stopped.is_set():
            reader, writer = await connect(fronts[number % len(fronts)])
            try:
                while not stopped.is_set():
                    count += 1
                    attempt = f"c{number}-{count}"
                    writer.write(request_bytes(attempt, "/look/1", 2000))
                    async with asyncio.timeout(4):
                        reply = await read_reply(reader)
                    statuses[reply.status] = statuses.get(reply.status, 0) + 1
                    await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_S)
            except (OSError, ValueError, TimeoutError) as error:
                name = type(error).__name__
                statuses[name] = statuses.get(name, 0) + 1
            finally:
                writer.close()

    clients = [asyncio.ensure_future(run_client(number)) for number in range(CLIENTS)]
    copy = rig.store.source.revision
    write(rig, b"{}")
    await asyncio.sleep(SHORT_S)
    write(rig, None)
    await asyncio.sleep(SHORT_S)
    if trouble:
        rig.store.fault = StoreFault.UNAVAILABLE
        await asyncio.sleep(AWAY_S)
        lost = rig.store.source.restore(copy)
        rig.store.fault = StoreFault.NONE
        rig.record.add("store_is_back", revision=copy, lost_changes=len(lost))
    # What was lost cancels out. The operator wants the zone out once more, and the store is back.
    write(rig, b"{}")
    acked_at = now_s()
    await asyncio.sleep(OUT_S)
    write(rig, None)
    until = now_s()
    stopped.set()
    await asyncio.gather(*clients)
    in_zone = [q for s in rig.servers if s.zone == ZONE for q in s.ran]
    late = [q for q in in_zone if acked_at + EVACUATE_S < q.at < until]
    for request in late:
        rig.record.add("ran", attempt=request.attempt, after_ack_s=round(request.at - acked_at, 2))
    last_s = max((round(request.at - acked_at, 1) for request in late), default=0)
    rig.record.say(f"answers by status: {statuses}")
    rig.record.say(
        f"{len(late)} requests reached servers of {ZONE} later than {EVACUATE_S} s after its "
        f"evacuation was acknowledged, the last one {last_s} s after it"
    )
    return not late


def write(rig: Rig, value: bytes | None) -> None:
    """Write or remove the evacuation, and record it."""
    revision = rig.store.source.publish(KEY, value)
    rig.record.add("operator", key=KEY, removed=value is None, revision=revision)


run_case(case, Path(__file__).resolve().parent)
