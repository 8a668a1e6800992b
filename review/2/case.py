"""An entry with bytes that cannot be read lies in the store; then the operator moves a route."""

import asyncio
import signal

from review.standins.case import TROUBLE, Record, configuration, play
from review.standins.client import Client
from review.standins.deployment import ZONES, CouldNotRun, Deployment

CONFIG_APPLY_S = 3.0  # configApplyMs of the settings
STABLE_WINDOW_S = 4.0  # stableWindowMs of the settings
GRACE_S = 6.0  # gracePeriodS of the settings
SERVED_AFTER_ACK_S = 13.0
READY_AGAIN_S = 12.0
UNREADABLE = b"[" * 4000
OLD, NEW = "service-records", "invoice-run"
ROUTE = {"name": "r-records", "prefix": "/records/", "timeoutMs": 2000, "targetLatencyMs": 300}


async def case(record: Record) -> bool:
    """Return whether the rule CONFIG held."""
    deployment = Deployment()
    try:
        return await _case(record, deployment)
    finally:
        await deployment.close()


async def _case(record: Record, deployment: Deployment) -> bool:
    await deployment.start_store()
    store = deployment.store
    store.put("op/config", configuration(3, [ROUTE | {"service": OLD}], [OLD, NEW]))
    for service in (OLD, NEW):
        for zone in ZONES:
            await deployment.start_replica(service, zone)
    await deployment.start_gateways()
    client = Client(deployment)
    pressing = asyncio.ensure_future(
        client.press("/records/", 20, STABLE_WINDOW_S + 6 + SERVED_AFTER_ACK_S)
    )
    await asyncio.sleep(STABLE_WINDOW_S)
    if TROUBLE:
        store.put("servers/i-import", UNREADABLE)
        record.say(f"another writer's entry: {len(UNREADABLE)} bytes that are no JSON")
    await asyncio.sleep(6)
    acked_at = store.put("op/config", configuration(5, [ROUTE | {"service": NEW}], [OLD, NEW]))
    record.say(f"the operator moves the route from {OLD} to {NEW}; acknowledged", acked_at)
    await pressing
    await client.finish()
    held = _judge(record, deployment, client, acked_at)
    await _restart_one(record, deployment)
    return held


def _judge(record: Record, deployment: Deployment, client: Client, acked_at: float) -> bool:
    service_by_attempt = {s.attempt: s.service for s in deployment.seen if s.event == "began"}
    for outcome in client.outcomes:
        ran_at = service_by_attempt.get(outcome.attempt, "no replica")
        record.say(f"{outcome.attempt} {outcome.status} {outcome.error} {ran_at}", outcome.sent_at)
    before = [o for o in client.outcomes if o.sent_at < acked_at]
    if sum(o.status == 200 for o in before) < 0.9 * len(before):
        raise CouldNotRun("the deployment does not serve")
    due = [o for o in client.outcomes if o.sent_at > acked_at + CONFIG_APPLY_S]
    late = [o for o in due if service_by_attempt.get(o.attempt) == OLD]
    record.conclude(
        f"{len(late)} of {len(due)} requests sent over {CONFIG_APPLY_S} s after the ack "
        f"ran at {OLD}"
    )
    return not late


async def _restart_one(record: Record, deployment: Deployment) -> None:
    """Restart one machine as for planned work; what is seen is recorded and not judged."""
    gateway = deployment.gateways[0]
    await deployment.end_gateway(gateway, signal.SIGTERM, GRACE_S)
    await deployment.start_gateway(gateway)
    try:
        async with asyncio.timeout(READY_AGAIN_S):
            await deployment.wait_ready([gateway])
        record.say(f"{gateway.name} is ready again after a restart")
    except TimeoutError:
        record.say(f"{gateway.name} is not ready {READY_AGAIN_S} s after a restart")
    for each in deployment.gateways:
        for line in deployment.log_of(each):
            if "Background task failed" in line:
                record.say(f"{each.name} logged {line}")


if __name__ == "__main__":
    play(__file__, case)
