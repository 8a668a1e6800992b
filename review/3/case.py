"""A replica drains just before the system starts; the second page of the first read is older."""

import asyncio
import json
import time

from review.standins.case import TROUBLE, Record, configuration, play
from review.standins.client import Client
from review.standins.deployment import ZONES, CouldNotRun, Deployment
from review.standins.store import PAGE_ITEMS

DRAIN_TIMEOUT_S = 3.0  # drainTimeoutMs of the settings
STABLE_WINDOW_S = 4.0  # stableWindowMs of the settings
# How old the first and each further page of a read with `staleOk` is.
PAGE_LAG_S = [0.0, 4.0]
LEAVES_AFTER_S = 14.0
SERVICE, LATER = "invoice-run", "tenant-portal"
ROUTE = {
    "name": "r-orders",
    "prefix": "/orders/",
    "routeType": "non_idempotent",
    "service": SERVICE,
    "timeoutMs": 3000,
    "targetLatencyMs": 800,
}


async def case(record: Record) -> bool:
    """Return whether the rule DRAIN held."""
    deployment = Deployment(work_ms=300.0, keep_alive_s=1)
    try:
        return await _case(record, deployment)
    finally:
        await deployment.close()


async def _case(record: Record, deployment: Deployment) -> bool:
    await deployment.start_store()
    store = deployment.store
    store.put("op/config", configuration(3, [ROUTE], [SERVICE]))
    for number in range(PAGE_ITEMS + 10):
        store.put(f"servers/a-{number:03}", _idle_entry(number))
    replicas = [await deployment.start_replica(SERVICE, zone) for zone in ZONES]
    await asyncio.sleep(max(PAGE_LAG_S) + 1)
    if TROUBLE:
        store.page_lag_s = PAGE_LAG_S
        record.say(f"pages of a read with staleOk are {PAGE_LAG_S} s old")
    leaving = replicas[0]
    acked_at = deployment.register(leaving, state="draining")
    record.say(f"{leaving.server} reports draining; acknowledged", acked_at)
    await deployment.start_gateways()
    in_touch_at = max(g.started_at for g in deployment.gateways) + STABLE_WINDOW_S
    record.say("all gateways are in touch", in_touch_at)
    client = Client(deployment)
    body = b'{"part": "filter 292"}'
    pressing = client.press("/orders/", 15, 18, deadline_ms=3000, method="POST", body=body)
    pressing = asyncio.ensure_future(pressing)
    await asyncio.sleep(acked_at + LEAVES_AFTER_S - time.monotonic())
    await deployment.leave(leaving)
    record.say(f"{leaving.server} has left")
    await pressing
    await client.finish()
    return _judge(record, deployment, client, leaving.server, acked_at, in_touch_at)


def _idle_entry(number: int) -> bytes:
    """A replica of a service that no route names yet."""
    entry = {
        "service": f"{LATER}~{number // 2}",
        "address": f"127.0.0.1:{9}",
        "zone": ZONES[number % 2],
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    return json.dumps(entry).encode()


def _judge(
    record: Record,
    deployment: Deployment,
    client: Client,
    leaving: str,
    acked_at: float,
    in_touch_at: float,
) -> bool:
    server_by_attempt = {s.attempt: s.server for s in deployment.seen if s.event == "began"}
    for o in client.outcomes:
        ran_at = server_by_attempt.get(o.attempt, "no replica")
        record.say(f"{o.attempt} {o.status} {o.error} {ran_at}", o.sent_at)
    if sum(o.status == 200 for o in client.outcomes) < 0.8 * len(client.outcomes):
        raise CouldNotRun("the deployment does not serve")
    taken_in_touch = {o.attempt for o in client.outcomes if o.sent_at > in_touch_at}
    late = [
        s
        for s in deployment.seen
        if s.event == "began"
        and s.server == leaving
        and s.attempt in taken_in_touch
        and s.at > acked_at + DRAIN_TIMEOUT_S
    ]
    lost = [o for o in client.outcomes if o.status not in (200, 503)]
    record.conclude(
        f"{len(late)} orders ran at the replica over {DRAIN_TIMEOUT_S} s after its ack; "
        f"{len(lost)} orders were lost when it left"
    )
    return not late


if __name__ == "__main__":
    play(__file__, case)
