"""What the platform publishes reaches every VM, with few calls, and is never lost on the way."""

import asyncio
import random
from operator import ge

from bergamotgate.errors import PlatformUnavailable
from bergamotgate.publication.follower import FULL_STEP_RANKS
from tests.gateways import GatewayFleet, make_config, make_server
from tests.support import check, make_load_tests, virtual_time

IN_FORCE_S = 3.0
# A change must be in force everywhere after this time.
STATED_IN_FORCE_S = 5.0
# What the smallest VM, with a link of 15 Mbit/s, sends in half a second.
SMALL_LINK_BYTES = 15_000_000 / 8 / 2


@virtual_time
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
        check.assertEqual(7, node.local_view.catalogue.version, node.settings.vm)
        check.assertEqual(40, node.local_view.registry.count(), node.settings.vm)
    await fleet.close()


@virtual_time
async def test_many_servers_at_once_do_not_fill_a_small_vms_link():
    fleet = GatewayFleet(60)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(6.0)
    before = fleet.network.bytes_by_sender.copy()
    for number in range(405):
        server = make_server(f"shard-{number % 135}", f"10.1.{number % 3}.{number // 3}:80")
        fleet.source.publish(f"servers/i-{number * 7919:010x}", server)
    await asyncio.sleep(2.0)
    for node in fleet.nodes:
        check.assertEqual(405, node.local_view.registry.count(), node.settings.vm)
    most = max((fleet.network.bytes_by_sender - before).values())
    check.assertLess(most, SMALL_LINK_BYTES)
    await fleet.close()


@virtual_time
async def test_one_vm_polls_the_store_for_all():
    fleet = GatewayFleet(9)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(6.0)
    before = fleet.source.calls
    await asyncio.sleep(20)
    check.assertLessEqual(fleet.source.calls - before, 2 * 20)
    await fleet.close()


@virtual_time
async def test_views_never_go_back_and_agree_in_the_end_whatever_datagrams_are_lost():
    for seed in range(6):
        rng = random.Random(seed)
        fleet = GatewayFleet(9)
        fleet.source.publish("op/config", make_config(1))
        await fleet.start(4.0)
        fleet.faults.is_lost = lambda rng=rng: rng.random() < 0.25
        highest = [0] * 9
        living: set[str] = set()
        for step in range(30):
            for number in range(rng.choice((1, 5, 200))):
                server = f"servers/i-{rng.randrange(300)}"
                stays = rng.random() < 0.7
                living = living | {server} if stays else living - {server}
                address = f"10.1.{step}.{number}:80"
                fleet.source.publish(server, make_server("p", address) if stays else None)
            fleet.source.publish("op/config", make_config(2 + step))
            await asyncio.sleep(rng.uniform(0.05, 0.8))
            seen = [node.local_view.catalogue.version for node in fleet.nodes]
            check.assertTrue(all(map(ge, seen, highest)), (seed, seen, highest))
            highest = seen
        await asyncio.sleep(2 * STATED_IN_FORCE_S)
        for node in fleet.nodes:
            known = {item.key for item in node.items.present()} - {"op/config"}
            check.assertEqual(living, known, (seed, node.settings.vm))
            check.assertEqual(31, node.local_view.catalogue.version)
            check.assertEqual(len(living), node.local_view.registry.count())
        await fleet.close()


class TurnedAwaySource:
    """A store that answers some VMs only, and counts who asks."""

    def __init__(self, source, vm: str, away: bool, askers: set[str]):
        self._source = source
        self._vm = vm
        self._away = away
        self._askers = askers

    async def changes(self, after, wait_s):
        self._askers.add(self._vm)
        if self._away:
            raise PlatformUnavailable("store", "503")
        return await self._source.changes(after, wait_s)


@virtual_time
async def test_few_vms_take_over_when_the_store_turns_the_first_ones_away():
    fleet = GatewayFleet(60)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(6.0)
    askers: set[str] = set()
    for node in fleet.nodes:
        away = node._poll_rank() < FULL_STEP_RANKS
        node.follower._source = TurnedAwaySource(fleet.source, node.settings.vm, away, askers)
    await asyncio.sleep(20)
    # Those that are turned away, and as many again.
    check.assertLessEqual(len(askers), 2 * FULL_STEP_RANKS)
    for node in fleet.nodes:
        check.assertLess(node.items.age_s(), STATED_IN_FORCE_S)
    await fleet.close()


@virtual_time
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
        check.assertEqual(2, node.local_view.catalogue.version)
    await fleet.close()


load_tests = make_load_tests(globals())
