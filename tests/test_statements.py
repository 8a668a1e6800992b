"""Tests that VMs heed servers that say that they leave or that they want a pause."""

import asyncio
import math
from dataclasses import replace

from bergamotgate.backend.http1 import RawReply
from bergamotgate.clock import LoopClock
from bergamotgate.discovery import (
    NO_STATEMENT,
    DiscoveredServer,
    ServerRegistry,
    ServerStanding,
    ServerStatement,
)
from bergamotgate.outcomes import NotRunReason, Unknown
from bergamotgate.platform.replicacodec import PlatformCodec
from bergamotgate.relay.messages import ClientRequest, FailedAnswer, MergedAnswer
from bergamotgate.standin.replica import Fault
from tests.support import check, make_load_tests, real_time, virtual_time
from tests.test_delegate import TwoVms
from tests.test_relay import RelayFixture, make_shards

SERVER = DiscoveredServer("i-1", "p", "10.1.1.1:80", "a", 2, ServerStanding.READY, 0, 1000)
LEAVING = ServerStatement(leaving=True)
MAX_PAUSE_S = 60.0
# A route that repeats requests to one pool: the sharded one without its shards.
POOL_ROUTE = {"gather": None, "service": "desk", "targetLatencyMs": 9000, "timeoutMs": 9000}


def make_registry() -> ServerRegistry:
    registry = ServerRegistry(LoopClock(), MAX_PAUSE_S)
    registry.register(SERVER)
    return registry


def decode_statement(status: int, *headers: tuple[str, str]) -> ServerStatement:
    request = ClientRequest("a", "GET", "x", "/", "/", (), b"", 1.0, 0.0)
    named = tuple((name.lower(), value) for name, value in headers)
    raw = RawReply(status, (("x-attempt-id", "a"), ("x-server-stamp", "s"), *named), b"")
    return PlatformCodec().decode(request, raw).statement


def test_statement_is_read_from_any_reply_of_the_server():
    for status in (200, 404, 500, 503):
        check.assertTrue(decode_statement(status, ("Server-Leaving", "1")).leaving, status)
    for value in ("0", "", "true", "2"):
        check.assertIs(NO_STATEMENT, decode_statement(200, ("Server-Leaving", value)), value)
    several = decode_statement(200, ("Server-Leaving", "1"), ("Server-Leaving", "0"))
    check.assertTrue(several.leaving)


def test_pause_is_read_from_status_503_only():
    check.assertEqual(6.0, decode_statement(503, ("Retry-After", "6")).pause_s)
    check.assertEqual(0.25, decode_statement(503, ("Retry-After", " 0.25 ")).pause_s)
    for status in (200, 429, 500):
        check.assertIs(NO_STATEMENT, decode_statement(status, ("Retry-After", "6")), status)
    date = "Fri, 04 Dec 2026 10:00:00 GMT"
    for value in ("-1", "soon", "nan", "inf", "", "0", date, "9" * 400):
        check.assertIs(NO_STATEMENT, decode_statement(503, ("Retry-After", value)), value)


def test_another_server_at_the_address_says_nothing_of_the_registered_one():
    misdirected = decode_statement(421, ("Server-Leaving", "1"), ("Retry-After", "6"))
    check.assertIs(NO_STATEMENT, misdirected)


@virtual_time
async def test_paused_server_is_usable_again_when_its_pause_has_ended():
    registry = make_registry()
    check.assertEqual([SERVER], registry.usable("p"))
    registry.note_statement(SERVER, ServerStatement(pause_s=6))
    registry.note_statement(SERVER, ServerStatement(pause_s=2))
    check.assertEqual([], registry.usable("p"))
    check.assertAlmostEqual(6, registry.pause_left_s("p"))
    await asyncio.sleep(5.9)
    check.assertFalse(registry.takes_work(SERVER))
    await asyncio.sleep(0.2)
    check.assertTrue(registry.takes_work(SERVER))
    check.assertEqual([SERVER], registry.usable("p"))
    check.assertEqual(math.inf, registry.pause_left_s("p"))


@virtual_time
async def test_pause_beyond_the_longest_one_is_cut():
    registry = make_registry()
    registry.note_statement(SERVER, ServerStatement(pause_s=86_400))
    await asyncio.sleep(MAX_PAUSE_S + 0.1)
    check.assertEqual([SERVER], registry.usable("p"))


@virtual_time
async def test_server_that_leaves_gets_nothing_for_the_rest_of_its_lifetime():
    registry = make_registry()
    registry.note_statement(SERVER, LEAVING)
    await asyncio.sleep(3600)
    # Its registration still says that it is ready, and changes in something else.
    registry.register(replace(SERVER, slots=3))
    check.assertEqual([], registry.usable("p"))
    check.assertEqual(math.inf, registry.pause_left_s("p"))


@virtual_time
async def test_statement_binds_only_the_lifetime_that_made_it():
    for later in (replace(SERVER, started_ms=2000), replace(SERVER, address="10.1.1.2:80")):
        registry = make_registry()
        registry.note_statement(SERVER, LEAVING)
        registry.register(later)
        check.assertEqual([later], registry.usable("p"))
        # The reply of the earlier lifetime may come late.
        registry.note_statement(SERVER, LEAVING)
        registry.note_statement(SERVER, ServerStatement(pause_s=6))
        check.assertEqual([later], registry.usable("p"))


async def add_desk(relay: RelayFixture, count: int = 3):
    return [await relay.add_server("desk", body=b"ok") for _ in range(count)]


@real_time
async def test_paused_server_gets_nothing_while_others_serve_every_request():
    relay = RelayFixture()
    paused, *others = await add_desk(relay)
    paused.pause = "60"
    answers = [await relay.send_request("/b/1", "POST", b"order") for _ in range(60)]
    check.assertEqual({200}, {answer.reply.status for answer in answers})
    check.assertLessEqual(len(paused.received_requests), 1)
    check.assertEqual(60, sum(replica.run_count for replica in others))
    await relay.close()


@real_time
async def test_server_that_leaves_gets_nothing_after_its_word_was_passed_on():
    relay = RelayFixture()
    leaving, *_ = await add_desk(relay)
    leaving.leaving = True
    for _ in range(60):
        answer = await relay.send_request("/b/1", "POST", b"order")
        check.assertEqual(200, answer.reply.status)
    check.assertLessEqual(len(leaving.received_requests), 1)
    await relay.close()


@real_time
async def test_failure_of_a_server_that_leaves_counts_as_its_word():
    relay = RelayFixture(**POOL_ROUTE)
    leaving, *_ = await add_desk(relay)
    leaving.leaving, leaving.fault = True, Fault.ERROR
    for _ in range(20):
        check.assertEqual(200, (await relay.send_request("/s/1")).reply.status)
    check.assertLessEqual(len(leaving.received_requests), 1)
    await relay.close()


@real_time
async def test_refusal_of_a_paused_server_leaves_the_tries_for_failures():
    relay = RelayFixture(**POOL_ROUTE, maxAttempts=2)
    replicas = await add_desk(relay)
    replicas[0].pause, replicas[1].fault = "60", Fault.ERROR
    # Load from elsewhere lets them be chosen in this order.
    for number, replica in enumerate(replicas):
        for other in range(number):
            relay.servers.load_of(replica.server).begin(f"other-{other}")
    answer = await relay.send_request("/s/1")
    check.assertEqual([1, 1, 1], [len(replica.received_requests) for replica in replicas])
    check.assertEqual(200, answer.reply.status)
    await relay.close()


@real_time
async def test_request_is_refused_at_once_until_the_first_server_is_back():
    relay = RelayFixture()
    replicas = await add_desk(relay, 2)
    for replica in replicas:
        replica.pause = "60"
    await relay.send_request("/b/1", "POST", b"order")
    asked = sum(len(replica.received_requests) for replica in replicas)
    waits_s = set()
    for _ in range(20):
        answer = await relay.send_request("/b/1", "POST", b"order")
        check.assertIsInstance(answer, FailedAnswer)
        check.assertIs(NotRunReason.SERVERS_PAUSED, answer.outcome.reason)
        waits_s.add(round(answer.retry_after_s))
    check.assertEqual(asked, sum(len(replica.received_requests) for replica in replicas))
    check.assertGreater(min(waits_s), 30)
    check.assertGreater(len(waits_s), 5)
    await relay.close()


@real_time
async def test_request_that_returns_when_it_was_told_is_served():
    relay = RelayFixture()
    (replica,) = await add_desk(relay, 1)
    replica.pause = "0.3"
    await relay.send_request("/b/1", "POST", b"order")
    replica.pause = None
    answer = await relay.send_request("/b/1", "POST", b"order")
    if isinstance(answer, FailedAnswer):
        await asyncio.sleep(answer.retry_after_s)
        answer = await relay.send_request("/b/1", "POST", b"order")
    check.assertEqual(200, answer.reply.status)
    await relay.close()


@real_time
async def test_booking_that_a_paused_server_may_have_run_is_not_sent_again():
    relay = RelayFixture()
    replicas = await add_desk(relay)
    for replica in replicas:
        replica.pause, replica.pause_runs = "60", True
    answer = await relay.send_request("/b/1", "POST", b"order")
    check.assertEqual(1, sum(replica.run_count for replica in replicas))
    check.assertIsInstance(answer.outcome, Unknown)
    ran = next(replica for replica in replicas if replica.run_count)
    check.assertFalse(relay.registry.takes_work(relay.registry.get(ran.server)))
    await relay.close()


@real_time
async def test_query_avoids_paused_and_leaving_servers_of_its_shards():
    relay = RelayFixture(targetLatencyMs=9000, timeoutMs=9000)
    shards = await make_shards(relay)
    shards[0][0].pause, shards[1][0].leaving = "60", True
    for _ in range(10):
        answer = await relay.send_request("/s/x", client_timeout_s=9.0)
        check.assertIsInstance(answer, MergedAnswer)
        check.assertEqual(0, answer.missing)
    check.assertLessEqual(len(shards[0][0].received_requests), 1)
    check.assertLessEqual(len(shards[1][0].received_requests), 1)
    await relay.close()


@real_time
async def test_query_over_paused_shards_is_refused_until_enough_are_back():
    relay = RelayFixture(targetLatencyMs=500)
    shards = await make_shards(relay, 1)
    for (replica,) in shards[:2]:
        server = relay.registry.get(replica.server)
        relay.registry.note_statement(server, ServerStatement(pause_s=60))
    answer = await relay.send_request("/s/x")
    check.assertIs(NotRunReason.SERVERS_PAUSED, answer.outcome.reason)
    check.assertGreater(answer.retry_after_s, 30)
    check.assertEqual([], [r for r in relay.replicas if r.received_requests])
    await relay.close()


@real_time
async def test_delegate_keeps_requests_from_paused_and_leaving_servers():
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("bb")
    shards[0][0].pause, shards[1][0].leaving = "60", True
    for _ in range(10):
        answer = await vms.send_request("/s/x")
        check.assertEqual(0, answer.missing)
    check.assertLessEqual(len(shards[0][0].received_requests), 1)
    check.assertLessEqual(len(shards[1][0].received_requests), 1)
    await vms.close()


load_tests = make_load_tests(globals())
