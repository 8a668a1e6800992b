"""Gateways as a fleet: finding each other, restarts, pauses, where clients are sent."""

import asyncio
import random
from dataclasses import replace

from bergamotgate.clock import LoopClock
from bergamotgate.discovery import ServerRegistry
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.gateway.directory import ClientDirectory
from bergamotgate.gateway.pauses import PauseWatch
from bergamotgate.membership import Member, MemberState, MemberTable
from tests.gateways import GatewayFleet, make_config, make_server
from tests.support import check, make_load_tests, virtual_time

FOUND_S = 5.0


def alive_by(node) -> set[str]:
    return {m.vm for m in node.members.all() if m.state is MemberState.ALIVE}


@virtual_time
async def test_vms_find_each_other_through_seeds_and_through_one_that_is_dead():
    fleet = GatewayFleet(7)
    for node in fleet.nodes[1:]:
        await node.start()
    await asyncio.sleep(FOUND_S)
    for node in fleet.nodes[1:]:
        check.assertEqual({f"vm-{n}" for n in range(2, 8)}, alive_by(node))
    await fleet.close()


@virtual_time
async def test_a_process_whose_time_of_day_was_set_back_is_heard():
    fleet = GatewayFleet(4)
    await fleet.start(FOUND_S)
    fleet.nodes[3].prober.leave()
    await asyncio.sleep(0.5)
    await fleet.restart(3, boot_offset_ms=-60_000)
    await asyncio.sleep(FOUND_S)
    for node in fleet.nodes:
        check.assertIn("vm-4", alive_by(node), node.settings.vm)
    await fleet.close()


@virtual_time
async def test_a_killed_vm_is_not_named_to_clients_for_long():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(FOUND_S)
    dead = fleet.nodes[5]
    await dead.close()
    fleet.network.remove_node(dead.settings.peer)
    await asyncio.sleep(4.0)
    for node in fleet.nodes[:5]:
        for zone in ("a", "b", "c"):
            check.assertNotIn(dead.settings.front, node.directory.addresses(zone))
    await fleet.close()


@virtual_time
async def test_clients_are_sent_to_their_own_zone_only_where_it_holds_servers():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    for number, zone in enumerate(("a", "a", "b", "b")):
        entry = make_server(f"shard-{number % 3}", f"10.1.0.{number}:80", zone)
        fleet.source.publish(f"servers/i-{number}", entry)
    await fleet.start(FOUND_S)
    zone_by_front = {node.settings.front: node.settings.zone for node in fleet.nodes}
    directory = fleet.nodes[0].directory
    for _ in range(20):
        check.assertEqual({"a"}, {zone_by_front[f] for f in directory.addresses("a")})
        check.assertNotIn("c", {zone_by_front[f] for f in directory.addresses("c")})
    await fleet.close()


@virtual_time
async def test_a_lapsed_registration_is_kept_until_the_server_can_be_back():
    fleet = GatewayFleet(3)
    fleet.source.publish("op/config", make_config(1))
    for number in range(2):
        entry = make_server("desk", f"10.1.0.{number}:80")
        fleet.source.publish(f"servers/i-{number}", entry)
    await fleet.start(FOUND_S)
    fleet.source.down = True
    await asyncio.sleep(6.0)
    fleet.source.publish("servers/i-0", None)
    fleet.source.publish("servers/i-1", None)
    fleet.source.down = False
    await asyncio.sleep(1.5)
    fleet.source.publish("servers/i-0", make_server("desk", "10.1.0.0:80"))
    counts = [node.local_view.registry.count() for node in fleet.nodes]
    check.assertEqual([2, 2, 2], counts)
    await asyncio.sleep(5.0)
    for node in fleet.nodes:
        check.assertIsNotNone(node.local_view.registry.get("i-0"))
        check.assertIsNone(node.local_view.registry.get("i-1"))
    await fleet.close()


@virtual_time
async def test_a_registration_that_vanishes_while_the_store_is_well_is_gone_at_once():
    fleet = GatewayFleet(3)
    fleet.source.publish("op/config", make_config(1))
    fleet.source.publish("servers/i-0", make_server("desk", "10.1.0.0:80"))
    await fleet.start(8.0)
    fleet.source.publish("servers/i-0", None)
    await asyncio.sleep(2.0)
    check.assertEqual([0, 0, 0], [node.local_view.registry.count() for node in fleet.nodes])
    await fleet.close()


@virtual_time
async def test_a_vm_that_the_store_turns_away_follows_by_its_peers():
    fleet = GatewayFleet(5)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(FOUND_S)
    polled = []
    for node in fleet.nodes[:2]:
        source = node.follower._source

        class TurnedAway:
            async def changes(self, after, wait_s):
                polled.append(after)
                raise PlatformUnavailable("store", "503")

            read_all = changes

        node.follower._source = TurnedAway()
        check.assertIs(source, fleet.source)
    await asyncio.sleep(3.0)
    fleet.source.publish("op/config", make_config(2))
    await asyncio.sleep(3.0)
    versions = [node.local_view.catalogue.version for node in fleet.nodes]
    check.assertEqual([2] * 5, versions)
    await fleet.close()


@virtual_time
async def test_a_suspended_machine_is_noticed_though_the_steady_clock_omits_it():
    suspended = [0.0]
    paused = []
    watch = PauseWatch(LoopClock(), paused.append, lambda: suspended[0])
    task = asyncio.ensure_future(watch.run())
    await asyncio.sleep(1.0)
    check.assertEqual([], paused)
    suspended[0] = 5.0
    await asyncio.sleep(0.3)
    check.assertEqual(1, len(paused))
    check.assertGreaterEqual(paused[0], 4.9)
    task.cancel()


def test_vms_that_clients_are_sent_to_share_nearly_all_of_an_allowance():
    vms = [
        Member(f"vm-{n}", "abc"[n % 3], "", f"f-{n}", 1, 0, MemberState.ALIVE) for n in range(60)
    ]
    sized = [replace(vm, capacity=215 if n < 6 else 52) for n, vm in enumerate(vms)]
    for fleet, least_of_entry in ((sized, 0.9 / 6), (vms, 1 / 60)):
        parts = []
        for own in fleet:
            members = MemberTable(own, adopts_later_boot=True)
            for other in fleet:
                members.merge(other)
            registry = ServerRegistry(LoopClock())
            directory = ClientDirectory(members, registry, lambda: None, random.Random(1))
            parts.append(1 / directory.effective_fleet_size())
        check.assertAlmostEqual(1.0, sum(parts))
        check.assertGreaterEqual(parts[0] + 1e-9, least_of_entry)


load_tests = make_load_tests(globals())
