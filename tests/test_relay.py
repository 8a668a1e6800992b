"""Tests for relaying over real sockets: no faulty reply may reach a client as an answer."""

import asyncio
import random
from dataclasses import replace

from bergamotgate.clock import Clock, LoopClock, MonotonicClock
from bergamotgate.discovery import ServerRegistry
from bergamotgate.gateway.handler import QueryHandler
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.placement import ColdStartLimiter, RateLimiter, ServerChooser
from bergamotgate.platform.itemdecoder import PlatformItemDecoder
from bergamotgate.platform.replicacodec import PlatformCodec
from bergamotgate.publication import ItemTable, PublishedItem
from bergamotgate.quarantine import QuarantineBook
from bergamotgate.relay.budgets import ExtraBudgets, ExtraRules
from bergamotgate.relay.context import LoopLag, RelayContext
from bergamotgate.relay.crashes import CrashDetector
from bergamotgate.relay.messages import (
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    MergedAnswer,
    RemoteZoneSender,
)
from bergamotgate.relay.scatter import answer_due_at
from bergamotgate.relay.sender import Sender
from bergamotgate.relay.servers import ServerTracker
from bergamotgate.standin.replica import Fault, StandInReplica
from bergamotgate.wire.port import PeerPort
from tests.gateways import make_config, make_server
from tests.support import check, make_load_tests, real_time, virtual_time

WRONG_REPLY_FAULTS = (
    Fault.RESET_AFTER_RUN,
    Fault.HEAD_CUT,
    Fault.TRUNCATED,
    Fault.UNFRAMED_RESET,
    Fault.MALFORMED,
    Fault.STATUS_ZERO,
    Fault.STATUS_OUT_OF_RANGE,
    Fault.OTHER_PROTOCOL,
    Fault.CONTROL_IN_STATUS_LINE,
    Fault.BLANK_IN_FIELD_NAME,
    Fault.CONTROL_IN_FIELD_NAME,
    Fault.BLANK_BEFORE_COLON,
    Fault.TRANSFER_CODED,
    Fault.ENCODED,
    Fault.UNSIGNED,
    Fault.TWO_ENCODINGS,
    Fault.EMPTY_STAMP,
    Fault.LISTED_STAMP,
    Fault.TWO_STAMPS,
    Fault.TWO_ATTEMPTS,
    Fault.OTHER_ATTEMPT,
    Fault.NO_ATTEMPT,
    Fault.CLOSE_WITHOUT_RUN,
    Fault.ENDLESS_HEAD,
    Fault.ENDLESS_BODY,
)


def record(number: int) -> bytes:
    return number.to_bytes(16, "big")


class EqualShares:
    """Divides the rates of all servers equally among a number of VMs."""

    def __init__(self, vms: float):
        self.vms = vms

    def divisor(self, server, rate_per_s) -> float:
        return self.vms


class RelayFixture:
    """A query handler and the servers that it relays to."""

    def __init__(
        self,
        remote_sender: RemoteZoneSender | None = None,
        clock: Clock | None = None,
        vms: float = 1.0,
        **config,
    ):
        self.clock = clock or MonotonicClock()
        self.metrics = Metrics()
        self.registry = ServerRegistry(self.clock)
        self.servers = ServerTracker(self.registry, self.clock, self.metrics)
        cold = ColdStartLimiter("vm", lambda: ["vm"], self.clock)
        rng = random.Random(1)
        self.rates = RateLimiter(EqualShares(vms), self.clock, random.Random(1), self.metrics)
        is_delegated = remote_sender.reaches if remote_sender else lambda server: False
        chooser = ServerChooser(
            "a",
            self.registry,
            self.servers.load_of,
            cold,
            self.rates,
            is_delegated,
            lambda: 1,
            self.clock,
            rng,
        )
        budgets = ExtraBudgets(ExtraRules(0.2, 50, 10.0), lambda: 1, self.clock, True)
        port = PeerPort("vm", 1, self.metrics)
        self.quarantine = QuarantineBook(port, lambda: [], self.clock, self.metrics)
        crashes = CrashDetector(self.quarantine, self.servers.accepts_connections, self.clock)
        self.codec = PlatformCodec()
        sender = Sender(
            self.servers, self.rates, self.codec, crashes, self.clock, self.metrics, remote_sender
        )
        self.context = RelayContext(
            sender, chooser, self.servers, budgets, crashes, LoopLag(), self.clock, self.metrics
        )
        item = PublishedItem("op/config", 1, make_config(1, **config))
        self.catalogue = PlatformItemDecoder().decode(item)
        self.items = ItemTable(self.clock)
        self.make_handler()
        self.replicas: list[StandInReplica] = []

    def make_handler(self) -> None:
        """Replaces the handler by a new one, as after a process start."""
        rng = random.Random(1)
        self.handler = QueryHandler(
            lambda: self.catalogue, self.items, self.context, self.clock, rng, self.metrics
        )

    async def add_server(self, pool: str, zone: str = "a", **fields) -> StandInReplica:
        replica = StandInReplica(f"i-{len(self.replicas)}", **fields)
        await replica.start()
        self.replicas.append(replica)
        entry = make_server(pool, replica.address, zone)
        item = PublishedItem(f"servers/{replica.server}", 1, entry)
        self.registry.register(PlatformItemDecoder().decode(item))
        return replica

    async def send_request(self, path: str, method: str = "GET", body: bytes = b"", **fields):
        request = {
            "attempt": f"a{random.random()}",
            "method": method,
            "host": "x.example",
            "target": path,
            "path": path,
            "headers": (("X-Own", "1"),),
            "body": body,
            "client_timeout_s": 1.0,
            "arrived_at": self.clock.now(),
        }
        return await self.handler.handle(ClientRequest(**(request | fields)))

    async def close(self):
        for replica in self.replicas:
            await replica.close()
        self.servers.close_idle()
        await asyncio.sleep(0)


async def make_shards(
    relay: RelayFixture, replicas_per_shard: int = 2
) -> list[list[StandInReplica]]:
    shards = relay.catalogue.routes[0].shards.pools
    return [
        [
            await relay.add_server(pool, body=record(n) + record(n + 100))
            for _ in range(replicas_per_shard)
        ]
        for n, pool in enumerate(shards)
    ]


@virtual_time
async def test_request_at_startup_waits_briefly_for_the_configuration():
    relay = RelayFixture(clock=LoopClock())
    catalogue, relay.catalogue = relay.catalogue, None
    relay.make_handler()
    answer_task = asyncio.ensure_future(relay.send_request("/nowhere"))
    await asyncio.sleep(0.05)
    relay.catalogue = catalogue
    check.assertEqual(NotRunReason.NO_ROUTE, (await answer_task).outcome.reason)
    relay.catalogue = None
    check.assertEqual(
        NotRunReason.NO_CONFIGURATION, (await relay.send_request("/nowhere")).outcome.reason
    )
    # The startup wait is over: from now on the handler refuses at once.
    answer_task = asyncio.ensure_future(relay.send_request("/nowhere"))
    await asyncio.sleep(0)
    check.assertTrue(answer_task.done())


@real_time
async def test_coverage_of_an_answer_is_recorded():
    relay = RelayFixture(targetLatencyMs=2000)
    shards = await make_shards(relay, 1)
    shards[0][0].fault = Fault.ERROR
    answer = await relay.send_request("/s/x", client_timeout_s=1.0)
    check.assertEqual(1, answer.missing)
    text = relay.metrics.text().decode()
    check.assertIn('bergamotgate_coverage_bucket{le="0.8",route="search"} 1.0', text)
    check.assertIn('bergamotgate_coverage_bucket{le="0.5",route="search"} 0.0', text)
    await relay.close()


@real_time
async def test_complete_answer_holds_the_greatest_records_of_all_shards():
    relay = RelayFixture(topK=4)
    await make_shards(relay)
    answer = await relay.send_request("/s/q?x=1")
    check.assertIsInstance(answer, MergedAnswer)
    check.assertEqual(0, answer.missing)
    check.assertEqual(b"".join(record(n) for n in (102, 101, 100, 2)), answer.body)
    received = next(r.received_requests[0] for r in relay.replicas if r.received_requests)
    check.assertEqual(
        ("GET", "/s/q?x=1", "1"), (received.method, received.target, received.headers["x-own"])
    )
    check.assertLessEqual(int(received.headers["x-deadline-ms"]), 1000)
    await relay.close()


@real_time
async def test_booking_that_may_have_run_is_not_reported_as_refused():
    """Guards against a server's 503 without the sign that it did not run the request."""
    relay = RelayFixture()
    replica = await relay.add_server("desk", fault=Fault.UNAVAILABLE_AFTER_RUN)
    answer = await relay.send_request("/b/1", "POST", b"order")
    check.assertIsInstance(answer, FailedAnswer)
    check.assertEqual(Unknown(UnknownReason.SERVER_ERROR), answer.outcome)
    check.assertEqual(1, replica.run_count)
    await relay.close()


@real_time
async def test_wrong_reply_is_never_merged_and_the_shard_is_retried():
    for fault in (*WRONG_REPLY_FAULTS, Fault.ERROR, Fault.SHED, Fault.MISDIRECTED):
        relay = RelayFixture()
        shards = await make_shards(relay)
        for replica in shards[0]:
            replica.faults = []
        for replica in shards[0][:1]:
            replica.fault = fault
        for _ in range(4):
            answer = await relay.send_request("/s/q")
            check.assertIsInstance(answer, MergedAnswer, fault)
            check.assertTrue(all(d.startswith("i-") for d in answer.digests), fault)
            check.assertFalse([d for d in answer.digests if d.startswith("i-0.")], fault)
            check.assertEqual(3 - answer.missing, len(set(answer.digests)), fault)
        await relay.close()


@real_time
async def test_extra_bytes_after_a_reply_reach_no_other_request():
    for fault in (Fault.EXTRA_REPLY, Fault.DELAYED_EXTRA_REPLY):
        relay = RelayFixture(routeType="idempotent")
        await make_shards(relay, replicas_per_shard=1)
        for replica in relay.replicas:
            replica.fault = fault
        for _ in range(5):
            attempt = f"b{random.random()}"
            answer = await relay.send_request("/s/q", attempt=attempt)
            check.assertIsInstance(answer, MergedAnswer, fault)
            check.assertTrue(all(d.endswith(attempt) for d in answer.digests), answer.digests)
        await relay.close()


@real_time
async def test_body_without_length_is_complete_on_a_clean_close():
    relay = RelayFixture()
    await make_shards(relay)
    for replica in relay.replicas:
        replica.fault = Fault.UNFRAMED
    answer = await relay.send_request("/s/q")
    check.assertEqual(0, answer.missing)
    await relay.close()


@real_time
async def test_unresponsive_shard_is_counted_missing_near_the_latency_objective():
    relay = RelayFixture()
    shards = await make_shards(relay)
    for replica in shards[1]:
        replica.fault = Fault.NO_REPLY
    started_at = relay.clock.now()
    answer = await relay.send_request("/s/q")
    check.assertEqual((1, 2), (answer.missing, len(answer.digests)))
    check.assertLess(relay.clock.now() - started_at, 0.15 + 0.5)
    await relay.close()


async def query_with_a_shard_down(withdraw: bool, queries: int = 20) -> RelayFixture:
    """Plays queries while both servers of one shard refuse connections or are withdrawn."""
    relay = RelayFixture(targetLatencyMs=60_000, timeoutMs=120_000)
    shards = await make_shards(relay)
    for replica in shards[1]:
        await replica.close()
        if withdraw:
            relay.registry.withdraw(replica.server, False)
    for _ in range(queries):
        request = relay.send_request("/s/q", client_timeout_s=120.0)
        answer = await asyncio.wait_for(request, 30.0)
        check.assertEqual((1, 2), (answer.missing, len(answer.digests)))
    return relay


@real_time
async def test_a_query_does_not_wait_for_a_shard_whose_servers_refuse_connections():
    relay = await query_with_a_shard_down(withdraw=False)
    failed = relay.metrics.connections.labels("shard-1", "failed")._value.get()
    check.assertLessEqual(failed, 2 * 20 + 20, "refused connections are tried in a loop")
    await relay.close()


@real_time
async def test_a_query_does_not_wait_for_a_shard_without_servers():
    relay = await query_with_a_shard_down(withdraw=True)
    await relay.close()


@real_time
async def test_a_shard_whose_servers_refused_is_tried_anew():
    relay = RelayFixture(targetLatencyMs=1000, timeoutMs=120_000, minShardShare=1.0)
    shards = await make_shards(relay, replicas_per_shard=1)
    await shards[1][0].close()
    answer_task = asyncio.ensure_future(relay.send_request("/s/q", client_timeout_s=120.0))
    while not shards[0][0].run_count:
        await asyncio.sleep(0.01)
    await relay.add_server("shard-1", body=record(1))
    answer = await asyncio.wait_for(answer_task, 60.0)
    check.assertEqual(0, answer.missing)
    await relay.close()


@real_time
async def test_too_few_shards_are_an_unknown_outcome():
    relay = RelayFixture(minShardShare=0.9, timeoutMs=300)
    shards = await make_shards(relay)
    for replica in shards[1]:
        replica.fault = Fault.NO_REPLY
    answer = await relay.send_request("/s/q")
    check.assertEqual(FailedAnswer(Unknown(UnknownReason.TIMED_OUT)), answer)
    await relay.close()


@real_time
async def test_a_query_whose_shards_have_no_servers_is_refused_at_once():
    relay = RelayFixture()
    started_at = relay.clock.now()
    answer = await relay.send_request("/s/q")
    check.assertEqual(NotRun(NotRunReason.NO_SERVER), answer.outcome)
    check.assertIsNotNone(answer.retry_after_s)
    check.assertLess(relay.clock.now() - started_at, 0.1)
    await relay.close()


@real_time
async def test_non_idempotent_request_is_sent_once_and_reports_unknown():
    for fault in WRONG_REPLY_FAULTS:
        relay = RelayFixture()
        for _ in range(3):
            await relay.add_server("desk", body=b"booked", fault=fault)
        answer = await relay.send_request("/b/1", "POST", b"order")
        check.assertIsInstance(answer, FailedAnswer, fault)
        check.assertIsInstance(answer.outcome, Unknown, fault)
        check.assertEqual(1, sum(len(r.received_requests) for r in relay.replicas), fault)
        await relay.close()


@real_time
async def test_request_that_a_server_did_not_run_is_sent_to_another():
    for fault in (Fault.SHED, Fault.MISDIRECTED):
        relay = RelayFixture()
        replicas = [await relay.add_server("desk", body=b"booked") for _ in range(2)]
        replicas[0].fault = fault
        answers = [await relay.send_request("/b/1", "POST", b"order") for _ in range(3)]
        check.assertEqual([200] * 3, [a.reply.status for a in answers], fault)
        check.assertEqual(3, replicas[1].run_count)
        await relay.close()


@real_time
async def test_all_servers_full_is_not_run_with_a_retry_time():
    relay = RelayFixture()
    for _ in range(2):
        await relay.add_server("desk", fault=Fault.SHED)
    answer = await relay.send_request("/b/1", "POST", b"order")
    check.assertEqual(NotRun(NotRunReason.ALL_DECLINED), answer.outcome)
    check.assertIsNotNone(answer.retry_after_s)
    check.assertEqual(0, sum(r.run_count for r in relay.replicas))
    await relay.close()


@real_time
async def test_running_work_is_neither_given_up_nor_repeated_when_its_server_is_withdrawn():
    for path, method in (("/b/1", "POST"), ("/s/q", "GET")):
        relay = RelayFixture(targetLatencyMs=2000)
        await relay.add_server("desk", body=b"booked", service_s=0.2)
        for pool in relay.catalogue.routes[0].shards.pools:
            await relay.add_server(pool, body=record(1), service_s=0.2)
        answer_task = asyncio.ensure_future(relay.send_request(path, method))
        await asyncio.sleep(0.1)
        for replica in relay.replicas:
            relay.registry.withdraw(replica.server, False)
        answer = await answer_task
        check.assertNotIsInstance(answer, FailedAnswer, path)
        runs = [replica.run_count for replica in relay.replicas if replica.received_requests]
        check.assertEqual([1] * len(runs), runs, path)
        await relay.close()


@real_time
async def test_server_error_of_a_non_idempotent_request_is_forwarded_unchanged():
    relay = RelayFixture()
    await relay.add_server("desk", body=b"no stock", fault=Fault.ERROR)
    answer = await relay.send_request("/b/1", "POST", b"order")
    check.assertIsInstance(answer, ForwardedAnswer)
    check.assertEqual((500, b"no stock"), (answer.reply.status, answer.reply.body))
    await relay.close()


@real_time
async def test_client_disconnect_cancels_the_work_at_the_servers():
    relay = RelayFixture()
    shards = await make_shards(relay)
    for replica in relay.replicas:
        replica.service_s = 5.0
    answer_task = asyncio.ensure_future(relay.send_request("/s/q"))
    await asyncio.sleep(0.05)
    answer_task.cancel()
    await asyncio.wait({answer_task})
    await asyncio.sleep(0.05)
    runs = sum(r.run_count for r in relay.replicas)
    check.assertGreaterEqual(runs, len(shards))
    check.assertEqual(runs, sum(r.aborted_runs for r in relay.replicas))
    await relay.close()


@real_time
async def test_refused_connection_does_not_count_as_an_attempt():
    relay = RelayFixture(maxAttempts=1)
    replicas = [await relay.add_server("desk", body=b"booked") for _ in range(2)]
    await replicas[0].close()
    answers = [await relay.send_request("/b/1", "POST", b"order") for _ in range(3)]
    check.assertEqual([200] * 3, [a.reply.status for a in answers])
    await relay.close()


@real_time
async def test_request_that_crashes_servers_is_quarantined_before_it_crashes_many():
    relay = RelayFixture(maxAttempts=2)
    shards = await make_shards(relay, replicas_per_shard=3)
    crashed = []

    def crash(replica: StandInReplica) -> None:
        crashed.append(replica.server)
        asyncio.ensure_future(replica.close())

    for replica in relay.replicas:
        replica.fault = Fault.CLOSE_WITHOUT_RUN
        replica.on_run = crash
    answers = []
    for _ in range(6):
        answers.append(await relay.send_request("/s/poison", client_timeout_s=0.5))
        await asyncio.sleep(0.15)
    check.assertEqual(NotRun(NotRunReason.QUARANTINED), answers[-1].outcome)
    check.assertLessEqual(len(crashed), 2 * len(shards) + 1)
    check.assertEqual(1, relay.quarantine.refused_count())
    await relay.close()


@real_time
async def test_lost_answers_of_live_servers_quarantine_no_request():
    relay = RelayFixture()
    await make_shards(relay)
    for replica in relay.replicas:
        replica.faults = [Fault.RESET_AFTER_RUN] * 3
    for _ in range(6):
        await relay.send_request("/s/q")
        await asyncio.sleep(0.1)
    check.assertEqual(0, relay.quarantine.refused_count())
    answer = await relay.send_request("/s/q")
    check.assertEqual(0, answer.missing)
    await relay.close()


@real_time
async def test_request_reaches_no_more_servers_than_its_route_allows():
    for fault in WRONG_REPLY_FAULTS:
        relay = RelayFixture(maxAttempts=2)
        shards = await make_shards(relay, replicas_per_shard=4)
        for replica in relay.replicas:
            replica.fault = fault
        await relay.send_request("/s/q", client_timeout_s=0.4)
        for replicas in shards:
            check.assertLessEqual(sum(1 for r in replicas if r.received_requests), 2, fault)
        await relay.close()


def test_answer_deadline_leaves_time_to_reach_the_client_within_the_objective():
    request = ClientRequest("a", "GET", "h", "/", "/", (), b"", None, 100.0, 0.009, 0.003)
    check.assertLess(answer_due_at(request, 0.057, 0.002) + 0.003, 100.0 - 0.009 + 0.057)
    check.assertGreater(answer_due_at(request, 0.057, 0.002), 100.0 + 0.03)
    # A query keeps two fifths of its latency objective however long its client has waited.
    long_waiting = replace(request, waited_s=5.0)
    check.assertGreater(answer_due_at(long_waiting, 0.057, 0.002), 100.0 + 0.4 * 0.057)


@real_time
async def test_stated_rate_is_learned_from_any_reply_and_ends_with_one_without_it():
    relay = RelayFixture()
    server = await relay.add_server("desk", body=b"x", stated_rate="7.5")
    for fault in (Fault.SHED, Fault.ERROR, Fault.NONE):
        relay.rates.forget(server.server)
        server.fault = fault
        await relay.send_request("/b/x", client_timeout_s=0.3)
        check.assertEqual({server.server: 7.5}, relay.rates.stated(), fault)
    server.stated_rate = None
    await relay.send_request("/b/x")
    check.assertEqual({}, relay.rates.stated())
    await relay.close()


@real_time
async def test_refusal_or_error_without_a_rate_does_not_end_the_limit():
    relay = RelayFixture()
    server = await relay.add_server("desk", body=b"x", stated_rate="50")
    await relay.send_request("/b/x")
    server.stated_rate = None
    for fault in (Fault.SHED, Fault.ERROR):
        server.fault = fault
        await relay.send_request("/b/x", client_timeout_s=0.3)
        check.assertEqual({server.server: 50.0}, relay.rates.stated(), fault)
    await relay.close()


@real_time
async def test_stated_rate_that_is_no_number_is_ignored():
    relay = RelayFixture()
    server = await relay.add_server("desk", body=b"x")
    for text in ("", "many", "nan", "inf", "-1", "1,5", "0x10"):
        server.stated_rate = text
        answer = await relay.send_request("/b/x")
        check.assertEqual(200, answer.reply.status, text)
        check.assertEqual({}, relay.rates.stated(), text)
    await relay.close()


load_tests = make_load_tests(globals())
