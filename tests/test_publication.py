"""What the platform publishes reaches every VM, with few calls, and is never lost on the way."""

import asyncio

from tests.gateways import GatewayFleet, make_config, make_server
from tests.support import cases, check, virtual

IN_FORCE_S = 3.0


@virtual
async def test_every_vm_has_a_new_configuration_and_every_server_soon():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start()
    for number in range(40):
        fleet.source.publish(f"servers/i-{number}", make_server("shard-0", f"10.1.0.{number}:80"))
        await asyncio.sleep(0.03)
    padding = "p" * 20_000
    fleet.source.publish("op/config", make_config(7, prefix=f"/{padding}/"))
    await asyncio.sleep(IN_FORCE_S)
    for node in fleet.nodes:
        check.assertEqual(7, node.beliefs.catalogue.version, node.settings.vm)
        check.assertEqual(40, node.beliefs.registry.count(), node.settings.vm)
    await fleet.close()


@virtual
async def test_one_vm_polls_the_store_for_all():
    fleet = GatewayFleet(9)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(6.0)
    before = fleet.source.calls
    await asyncio.sleep(20)
    check.assertLessEqual(fleet.source.calls - before, 2 * 20)
    await fleet.close()


@virtual
async def test_a_lost_history_is_read_anew_and_current():
    fleet = GatewayFleet(3)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(5.0)
    fleet.source.stale_by = 2
    fleet.source.hold_watches = True
    fleet.source.publish("op/config", make_config(2))
    await asyncio.sleep(1.0)
    fleet.source.forget_history()
    fleet.source.hold_watches = False
    await asyncio.sleep(IN_FORCE_S)
    for node in fleet.nodes:
        check.assertEqual(2, node.beliefs.catalogue.version)
    await fleet.close()


load_tests = cases(globals())
