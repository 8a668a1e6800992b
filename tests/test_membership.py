"""Tests for what membership costs between availability zones, on virtual time."""

import asyncio
from collections import Counter

from bergamotgate.membership.members import MemberState
from bergamotgate.wire.codec import decode_datagram
from tests.gateways import GatewayFleet
from tests.support import check, make_load_tests, virtual_time

VMS = 36
# A third of the gossip leaves the zone, probes go anywhere; both carry compressed records.
MAX_JOIN_BYTES_BETWEEN_ZONES_PER_PAIR = 250


class DatagramCounter:
    """Counts the bytes of datagrams with member records that leave their zone."""

    def __init__(self, fleet: GatewayFleet):
        self._zone_by_peer = {n.settings.peer: n.settings.zone for n in fleet.nodes}
        self._deliver = fleet.network.deliver
        self.bytes_between_zones = 0
        self.gossiped_vm = ""
        self.gossip_by_reach: Counter[str] = Counter()
        fleet.network.deliver = self._count

    def _count(self, source: str, target: str, data: bytes) -> None:
        near = self._zone_by_peer[source] == self._zone_by_peer[target]
        message = decode_datagram(data)
        if message.members:
            self.bytes_between_zones += 0 if near else len(data)
            if message.ping is None and [r.vm for r in message.members] == [self.gossiped_vm]:
                self.gossip_by_reach["near" if near else "far"] += (
                    message.sender != self.gossiped_vm
                )
        self._deliver(source, target, data)


@virtual_time
async def test_a_fleet_that_starts_sends_little_between_zones_for_membership():
    fleet = GatewayFleet(VMS)
    counter = DatagramCounter(fleet)
    await fleet.start(settle_s=6.0)
    for node in fleet.nodes:
        check.assertEqual(VMS - 1, len(node.members.others((MemberState.ALIVE,))))
    check.assertLess(
        counter.bytes_between_zones / (VMS * VMS), MAX_JOIN_BYTES_BETWEEN_ZONES_PER_PAIR
    )
    await fleet.close()


@virtual_time
async def test_gossip_stays_mostly_in_its_zone_and_still_reaches_all_zones():
    fleet = GatewayFleet(VMS)
    await fleet.start(settle_s=6.0)
    counter = DatagramCounter(fleet)
    left = counter.gossiped_vm = fleet.nodes[0].settings.vm
    await fleet.nodes[0].leave()
    await asyncio.sleep(1.0)
    for node in fleet.nodes[1:]:
        check.assertFalse(node.members.reachable(left))
    gossip = counter.gossip_by_reach
    check.assertGreater(gossip["far"], 0)
    check.assertLess(gossip["far"], gossip["near"])
    await fleet.close()


load_tests = make_load_tests(globals())
