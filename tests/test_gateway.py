"""Tests for a gateway fleet: discovery, restarts, pauses and the client directory."""

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
from tests.test_placement import make_server as make_discovered_server

DISCOVERY_S = 5.0


def alive_vms(node) -> set[str]:
    return {m.vm for m in node.members.all() if m.state is MemberState.ALIVE}


@virtual_time
async def test_vms_discover_each_other_with_one_seed_down():
    fleet = GatewayFleet(7)
    for node in fleet.nodes[1:]:
        await node.start()
    await asyncio.sleep(DISCOVERY_S)
    for node in fleet.nodes[1:]:
        check.assertEqual({f"vm-{n}" for n in range(2, 8)}, alive_vms(node))
    await fleet.close()


@virtual_time
async def test_restart_with_an_earlier_wall_clock_rejoins():
    fleet = GatewayFleet(4)
    await fleet.start(DISCOVERY_S)
    fleet.nodes[3].prober.leave()
    await asyncio.sleep(0.5)
    await fleet.restart(3, boot_offset_ms=-60_000)
    await asyncio.sleep(DISCOVERY_S)
    for node in fleet.nodes:
        check.assertIn("vm-4", alive_vms(node), node.settings.vm)
    await fleet.close()


@virtual_time
async def test_killed_vm_soon_leaves_the_client_directory():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(DISCOVERY_S)
    killed = fleet.nodes[5]
    await killed.close()
    fleet.network.remove_node(killed.settings.peer)
    await asyncio.sleep(4.0)
    for node in fleet.nodes[:5]:
        for zone in ("a", "b", "c"):
            check.assertNotIn(killed.settings.front, node.directory.addresses(zone))
    await fleet.close()


@virtual_time
async def test_clients_are_sent_to_their_own_zone_only_if_it_has_servers():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    for number, zone in enumerate(("a", "a", "b", "b")):
        entry = make_server(f"shard-{number % 3}", f"10.1.0.{number}:80", zone)
        fleet.source.publish(f"servers/i-{number}", entry)
    await fleet.start(DISCOVERY_S)
    zone_by_front = {node.settings.front: node.settings.zone for node in fleet.nodes}
    directory = fleet.nodes[0].directory
    for _ in range(20):
        check.assertEqual({"a"}, {zone_by_front[f] for f in directory.addresses("a")})
        check.assertNotIn("c", {zone_by_front[f] for f in directory.addresses("c")})
    await fleet.close()


@virtual_time
async def test_registration_lost_in_a_store_outage_is_kept_for_the_grace_period():
    fleet = GatewayFleet(3)
    fleet.source.publish("op/config", make_config(1))
    for number in range(2):
        entry = make_server("desk", f"10.1.0.{number}:80")
        fleet.source.publish(f"servers/i-{number}", entry)
    await fleet.start(DISCOVERY_S)
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
async def test_registration_deleted_while_the_store_is_up_is_removed_at_once():
    fleet = GatewayFleet(3)
    fleet.source.publish("op/config", make_config(1))
    fleet.source.publish("servers/i-0", make_server("desk", "10.1.0.0:80"))
    await fleet.start(8.0)
    fleet.source.publish("servers/i-0", None)
    await asyncio.sleep(2.0)
    check.assertEqual([0, 0, 0], [node.local_view.registry.count() for node in fleet.nodes])
    await fleet.close()


@virtual_time
async def test_vm_rejected_by_the_store_gets_updates_from_peers():
    fleet = GatewayFleet(5)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(DISCOVERY_S)
    polls = []
    for node in fleet.nodes[:2]:
        source = node.follower._source

        class RejectingSource:
            async def changes(self, after, wait_s):
                polls.append(after)
                raise PlatformUnavailable("store", "503")

            read_all = changes

        node.follower._source = RejectingSource()
        check.assertIs(source, fleet.source)
    await asyncio.sleep(3.0)
    fleet.source.publish("op/config", make_config(2))
    await asyncio.sleep(3.0)
    versions = [node.local_view.catalogue.version for node in fleet.nodes]
    check.assertEqual([2] * 5, versions)
    await fleet.close()


@virtual_time
async def test_suspend_is_detected_although_the_monotonic_clock_stops():
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


@virtual_time
async def test_all_vms_hear_at_once_that_the_limit_of_a_server_has_ended():
    fleet = GatewayFleet(6)
    fleet.source.publish("op/config", make_config(1))
    await fleet.start(DISCOVERY_S)
    server = make_discovered_server("limited", pool="desk")
    for node in fleet.nodes:
        node.rates.note_reply(server, 1.0, asyncio.get_running_loop().time())
    await asyncio.sleep(1.0)
    # Most VMs have so small a part of this rate that their own next request is far away.
    waiting = [node for node in fleet.nodes if node.rates.delay_s(server) > 5.0]
    check.assertGreater(len(waiting), 3)
    other = next(node for node in fleet.nodes if node not in waiting)
    other.rates.note_reply(server, None, asyncio.get_running_loop().time())
    await asyncio.sleep(0.1)
    check.assertEqual([0.0] * 6, [node.rates.delay_s(server) for node in fleet.nodes])
    await fleet.close()


def test_vms_in_the_client_directory_share_nearly_all_of_a_budget():
    vms = [
        Member(f"vm-{n}", "abc"[n % 3], "", f"f-{n}", 1, 0, MemberState.ALIVE) for n in range(60)
    ]
    fleet_with_larger_vms = [replace(vm, capacity=215 if n < 6 else 52) for n, vm in enumerate(vms)]
    for fleet, min_share in ((fleet_with_larger_vms, 0.9 / 6), (vms, 1 / 60)):
        shares = []
        for own in fleet:
            members = MemberTable(own, adopts_later_boot=True)
            for other in fleet:
                members.merge(other)
            registry = ServerRegistry(LoopClock())
            directory = ClientDirectory(members, registry, lambda: None, random.Random(1))
            shares.append(1 / directory.effective_fleet_size())
        check.assertAlmostEqual(1.0, sum(shares))
        check.assertGreaterEqual(shares[0] + 1e-9, min_share)


load_tests = make_load_tests(globals())
