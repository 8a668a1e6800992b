"""Tests for sub-requests sent through a delegate VM in the zone of their servers."""

import asyncio
import random

from bergamotgate.clock import MonotonicClock
from bergamotgate.delegate import DelegateClient, DelegateService
from bergamotgate.gateway.peers import PeerStreams
from bergamotgate.membership import Member, MemberState, MemberTable
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import Unknown
from bergamotgate.relay.messages import FailedAnswer, MergedAnswer
from bergamotgate.relay.records import GreatestRecords, useful_records
from bergamotgate.standin.memory import MemoryNetwork, NetworkFaults
from bergamotgate.standin.replica import Fault
from tests.support import check, make_load_tests, real_time
from tests.test_relay import RelayFixture, record

GATEWAY_PEER, DELEGATE_PEER = "10.0.0.1:1", "10.0.0.2:1"
ONE_WAY_S = 0.0014
# Longer than any step of these tests, so that no shard is dropped for missing its deadline.
LONG_TIMEOUT_MS = 20_000
LONG_TIMEOUT_S = LONG_TIMEOUT_MS / 1000
POLL_INTERVAL_S = 0.01


class EmptyPublication:
    """A publication without items."""

    def answer(self, request):
        return None


class TwoVms:
    """A gateway in zone a and a delegate in zone b that sends sub-requests to servers there."""

    def __init__(self, **route):
        config = {"targetLatencyMs": LONG_TIMEOUT_MS, "timeoutMs": LONG_TIMEOUT_MS} | route
        self.clock = MonotonicClock()
        self.faults = NetworkFaults({GATEWAY_PEER: "a", DELEGATE_PEER: "b"}, ONE_WAY_S, ONE_WAY_S)
        self.network = MemoryNetwork(self.faults)
        members = MemberTable(make_member("near", "a", GATEWAY_PEER))
        members.merge(make_member("far", "b", DELEGATE_PEER))
        self.delegate_client = DelegateClient(
            members, self.network.view_for(GATEWAY_PEER), self.clock, Metrics()
        )
        self.gateway = RelayFixture(self.delegate_client, **config)
        self.delegate = RelayFixture(**config)
        service = DelegateService(
            self.delegate.registry,
            self.delegate.servers,
            self.delegate.rates,
            self.delegate.codec,
            self.clock,
            self.delegate.metrics,
        )
        self.peers = PeerStreams(EmptyPublication(), service, self.delegate.metrics)

    async def start(self) -> None:
        await self.peers.open(self.network.view_for(DELEGATE_PEER), DELEGATE_PEER)

    async def add_server(self, pool: str, zone: str, **fields):
        """Starts a server and registers it at both VMs."""
        replica = await self.gateway.add_server(pool, zone=zone, **fields)
        self.delegate.registry.register(self.gateway.registry.get(replica.server))
        return replica

    async def add_shards(self, zones: str):
        """Adds a server per zone to each of the three shards.

        Args:
            zones: One letter per zone.

        Returns:
            Per shard, a list of its replicas in the order of `zones`.
        """
        pools = self.gateway.catalogue.routes[0].shards.pools
        return [
            [await self.add_server(pool, zone, body=record(n) + record(n + 100)) for zone in zones]
            for n, pool in enumerate(pools)
        ]

    async def send_request(self, path: str, **fields):
        return await self.gateway.send_request(
            path, **({"client_timeout_s": LONG_TIMEOUT_S} | fields)
        )

    def served_by_delegate(self) -> float:
        return self.delegate.metrics.delegated.labels("served")._value.get()

    async def close(self) -> None:
        await self.delegate_client.close()
        self.peers.close()
        self.delegate.servers.close_idle()
        await self.gateway.close()


def make_member(vm: str, zone: str, peer: str) -> Member:
    return Member(vm, zone, peer, f"{peer}0", 1, 0, MemberState.ALIVE)


async def wait_until(condition) -> None:
    """Polls until `condition` holds; after a timeout it returns, and the caller's check fails."""
    left_s = LONG_TIMEOUT_S / 2
    while not condition() and left_s > 0:
        await asyncio.sleep(POLL_INTERVAL_S)
        left_s -= POLL_INTERVAL_S


@real_time
async def test_remote_zone_servers_are_reached_through_a_delegate():
    vms = TwoVms()
    await vms.start()
    await vms.add_shards("b")
    answer = await vms.send_request("/s/x")
    check.assertIsInstance(answer, MergedAnswer)
    check.assertEqual(0, answer.missing)
    check.assertEqual(b"".join(map(record, (102, 101, 100, 2, 1))), answer.body)
    check.assertEqual(3, vms.served_by_delegate())
    await vms.close()


@real_time
async def test_local_zone_server_is_reached_directly():
    vms = TwoVms()
    await vms.start()
    await vms.add_shards("ab")
    answer = await vms.send_request("/s/x")
    check.assertEqual(0, answer.missing)
    check.assertEqual(0, vms.served_by_delegate())
    await vms.close()


@real_time
async def test_lost_delegate_costs_no_answer_and_is_avoided():
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("b")
    for (replica,) in shards:
        replica.service_s = 0.05
    answer_task = asyncio.ensure_future(vms.send_request("/s/x"))
    await asyncio.sleep(0.02)
    vms.peers.close()
    vms.network.remove_node(DELEGATE_PEER)
    check.assertEqual(0, (await answer_task).missing)
    check.assertEqual(0, (await vms.send_request("/s/y")).missing)
    await vms.close()


@real_time
async def test_unresponsive_stream_falls_back_to_direct_requests():
    vms = TwoVms()
    await vms.start()
    await vms.add_shards("b")
    check.assertEqual(0, (await vms.send_request("/s/x")).missing)
    vms.faults.blackhole_connections()
    check.assertEqual(0, (await vms.send_request("/s/y")).missing)
    check.assertEqual(1, vms.delegate_client._metrics.delegated.labels("lost")._value.get())
    await vms.close()


@real_time
async def test_cancelled_query_is_cancelled_at_the_servers():
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("b")
    for (replica,) in shards:
        replica.service_s = LONG_TIMEOUT_S
    answer_task = asyncio.ensure_future(vms.send_request("/s/x"))
    await wait_until(lambda: all(replica.run_count for (replica,) in shards))
    answer_task.cancel()
    await asyncio.gather(answer_task, return_exceptions=True)
    await wait_until(lambda: all(replica.aborted_runs for (replica,) in shards))
    check.assertEqual([1, 1, 1], [replica.aborted_runs for (replica,) in shards])
    await vms.close()


@real_time
async def test_delegate_does_not_forward_wrong_replies():
    for fault in (
        Fault.OTHER_ATTEMPT,
        Fault.NO_ATTEMPT,
        Fault.ENDLESS_BODY,
        Fault.MALFORMED,
        Fault.STATUS_ZERO,
        Fault.OTHER_PROTOCOL,
        Fault.CONTROL_IN_STATUS_LINE,
        Fault.BLANK_IN_FIELD_NAME,
        Fault.CONTROL_IN_FIELD_NAME,
        Fault.BLANK_BEFORE_COLON,
        Fault.TRANSFER_CODED,
        Fault.HEAD_CUT,
        Fault.TRUNCATED,
        Fault.UNSIGNED,
        Fault.TWO_ENCODINGS,
        Fault.EMPTY_STAMP,
        Fault.LISTED_STAMP,
        Fault.TWO_STAMPS,
        Fault.TWO_ATTEMPTS,
        Fault.ERROR,
    ):
        vms = TwoVms(maxAttempts=1, minShardShare=1.0)
        await vms.start()
        shards = await vms.add_shards("b")
        shards[1][0].fault = fault
        answer = await vms.send_request("/s/x", client_timeout_s=0.3)
        check.assertIsInstance(answer, FailedAnswer, fault)
        check.assertIsInstance(answer.outcome, Unknown)
        await vms.close()


@real_time
async def test_delegate_sends_nothing_to_a_server_it_knows_is_gone():
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("ba")
    gone_replica = shards[0][0]
    vms.gateway.registry.withdraw(shards[0][1].server, False)
    vms.delegate.registry.withdraw(gone_replica.server, False)
    answer = await vms.send_request("/s/x", client_timeout_s=2.0)
    check.assertEqual(1, answer.missing)
    check.assertEqual([], gone_replica.received_requests)
    await vms.close()


@real_time
async def test_stated_rates_reach_the_gateway_through_a_delegate():
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("b")
    shards[1][0].stated_rate = "12.5"
    await vms.send_request("/s/x")
    check.assertEqual({shards[1][0].server: 12.5}, vms.gateway.rates.stated())
    await vms.close()


@real_time
async def test_hedge_that_a_delegate_declines_for_the_stated_rate_costs_no_budget():
    vms = TwoVms(targetLatencyMs=200)
    await vms.start()
    shards = await vms.add_shards("ab")
    limited = shards[0][1]
    limited.stated_rate = "0.2"
    server = vms.delegate.registry.get(limited.server)
    vms.delegate.rates.note_reply(server, 0.2, vms.clock.now())
    while vms.delegate.rates.take(server):
        pass
    shards[0][0].service_s = LONG_TIMEOUT_S
    answer = await vms.send_request("/s/x", client_timeout_s=2.0)
    check.assertEqual(1, answer.missing)
    check.assertEqual([], limited.received_requests)
    declined = vms.gateway.metrics.rate_limited.labels("shard-0", "declined")
    check.assertGreaterEqual(declined._value.get(), 1)
    check.assertEqual(0, vms.gateway.context.budget("shard-0").extra)
    await vms.close()


def test_records_below_the_floor_do_not_change_the_answer():
    rng = random.Random(5)
    for _ in range(300):
        count = rng.randrange(1, 8)
        parts = [
            b"".join(record(rng.randrange(40)) for _ in range(rng.randrange(9))) + b"rest"
            for _ in range(6)
        ]
        unfiltered, filtered = GreatestRecords(count), GreatestRecords(count)
        for part in parts:
            unfiltered.add(part)
            filtered.add(useful_records(part, count, filtered.floor))
        check.assertEqual(unfiltered.body(), filtered.body())


load_tests = make_load_tests(globals())
