"""Tests for request rates that servers state for all VMs together."""

import asyncio
import random

from bergamotgate.config.catalogue import Catalogue, Repeatability, Route, ShardSet
from bergamotgate.discovery import ServerRegistry
from bergamotgate.gateway.directory import ClientDirectory
from bergamotgate.gateway.shares import SenderShares
from bergamotgate.membership import Member, MemberState, MemberTable
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason
from bergamotgate.placement import RateLimiter
from bergamotgate.relay.messages import FailedAnswer, ForwardedAnswer, MergedAnswer
from tests.support import check, make_load_tests, real_time
from tests.test_delegate import TwoVms
from tests.test_placement import FakeClock, make_server
from tests.test_relay import EqualShares, RelayFixture, make_shards

# What the platform allows beyond the stated rate, as a factor and in requests, in any window.
ALLOWED_FACTOR, ALLOWED_EXTRA, WINDOW_S = 1.5, 5, 4.0
QUERIES = 60
QUERY_INTERVAL_S = 0.01


def allowed(rate_per_s: float, elapsed_s: float) -> float:
    return ALLOWED_FACTOR * rate_per_s * elapsed_s + ALLOWED_EXTRA


def busiest_window(times: list[float]) -> int:
    """Returns the largest number of times within one window."""
    return max(sum(start <= at < start + WINDOW_S for at in times) for start in times)


class LimitedFleet:
    """Rate limiters of several VMs that have been told one server's rate at the same time."""

    def __init__(self, vms: int, rate_per_s: float, seed: int = 1):
        self.clock = FakeClock()
        self.server = make_server("limited")
        self.shares = EqualShares(vms)
        self.limiters = [
            RateLimiter(self.shares, self.clock, random.Random(f"{seed}/{n}"), Metrics())
            for n in range(vms)
        ]
        self.state(rate_per_s)

    def state(self, rate_per_s: float | None) -> None:
        """Gives every VM a reply with that rate to a request sent now."""
        for limiter in self.limiters:
            limiter.note_reply(self.server, rate_per_s, self.clock.now())

    def run(self, seconds: float, demand_per_s: float, rng: random.Random) -> list[float]:
        """Lets random VMs send at a total rate; returns when the requests were sent."""
        sent_at, end = [], self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += rng.expovariate(demand_per_s)
            if rng.choice(self.limiters).take(self.server):
                sent_at.append(self.clock.time)
        return sent_at


@real_time
async def test_all_vms_together_keep_to_the_rate_that_a_server_states():
    rate_per_s = 2.0
    vms = TwoVms()
    await vms.start()
    shards = await vms.add_shards("bb")
    limited = shards[0][0]
    limited.stated_rate = str(rate_per_s)
    for _ in range(QUERIES // 10):  # both VMs are told
        await asyncio.gather(vms.send_request("/s/x"), vms.delegate.send_request("/s/x"))
    told_at, told = vms.clock.now(), len(limited.received_requests)
    tasks = []
    for _ in range(QUERIES):
        tasks += [asyncio.ensure_future(vm.send_request("/s/x")) for vm in (vms, vms.delegate)]
        await asyncio.sleep(QUERY_INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    elapsed_s = vms.clock.now() - told_at
    received = len(limited.received_requests) - told
    check.assertLessEqual(received, allowed(rate_per_s, elapsed_s))
    check.assertEqual({0}, {answer.missing for answer in answers})
    await vms.close()


def test_stated_rate_is_neither_passed_nor_left_unused_whatever_the_fleet_and_the_load():
    rng = random.Random(3)
    for vms, rate_per_s in ((1, 0.4), (1, 12.5), (2, 40.0), (6, 8.8), (8, 5.0), (45, 30.0)):
        for demand_factor, min_used in ((1.0, 0.3), (2.0, 0.5), (10.0, 0.8)):
            fleet = LimitedFleet(vms, rate_per_s)
            fleet.run(10.0, demand_factor * rate_per_s, rng)
            sent_at = fleet.run(40.0, demand_factor * rate_per_s, rng)
            case = (vms, rate_per_s, demand_factor)
            check.assertLessEqual(busiest_window(sent_at), allowed(rate_per_s, WINDOW_S), case)
            check.assertGreater(len(sent_at), min_used * rate_per_s * 40.0, case)


def test_requests_that_were_not_sent_are_not_caught_up_with_later():
    rng = random.Random(4)
    for vms, rate_per_s in ((1, 12.5), (6, 8.8), (45, 7.5)):
        fleet = LimitedFleet(vms, rate_per_s)
        fleet.clock.time += 60.0
        sent_at = fleet.run(WINDOW_S, 50 * rate_per_s, rng)
        check.assertLessEqual(len(sent_at), allowed(rate_per_s, WINDOW_S), (vms, rate_per_s))


def test_rate_is_heeded_until_a_reply_to_a_later_request_states_none():
    fleet = LimitedFleet(1, 1.0)
    (limiter,) = fleet.limiters
    fleet.clock.time += 2.0
    limiter.note_reply(fleet.server, None, fleet.clock.time - 2.5)
    check.assertEqual({"limited": 1.0}, limiter.stated())
    limiter.note_reply(fleet.server, None, fleet.clock.time)
    check.assertEqual({}, limiter.stated())
    check.assertTrue(all(limiter.take(fleet.server) for _ in range(50)))


def test_server_that_states_zero_is_asked_rarely_so_that_the_end_of_its_limit_shows():
    fleet = LimitedFleet(3, 0.0)
    sent_at = fleet.run(120.0, 50.0, random.Random(5))
    check.assertTrue(5 <= len(sent_at) <= 30, len(sent_at))


def test_raised_rate_and_larger_part_take_effect_at_once():
    fleet = LimitedFleet(1, 0.2)
    (limiter,) = fleet.limiters
    while limiter.take(fleet.server):
        pass
    check.assertGreater(limiter.delay_s(fleet.server), 1.0)
    fleet.state(20.0)
    check.assertLess(limiter.delay_s(fleet.server), 0.1)
    fleet.shares.vms = 0.5
    check.assertLess(limiter.delay_s(fleet.server), 0.05)


def make_shares(
    own: Member, others: list[Member], sharded: bool = True, server_zones: str = "a"
) -> SenderShares:
    clock = FakeClock()
    members = MemberTable(own)
    for member in others:
        members.merge(member)
    registry = ServerRegistry(clock)
    for zone in server_zones:
        registry.register(make_server("limited" if zone == "a" else f"free-{zone}", zone))
    shards = ShardSet(("p",), 5, 0.9) if sharded else None
    route = Route("r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.1, 2, 0, (), shards)
    catalogue = Catalogue(1, (route,), {})
    directory = ClientDirectory(members, registry, lambda: catalogue, random.Random(1))
    return SenderShares(members, registry, directory, lambda: catalogue, clock)


def make_member(number: int, zone: str, capacity: int, state=MemberState.ALIVE) -> Member:
    return Member(f"vm-{number}", zone, f"10.0.0.{number}:1", "10.0.0.9:2", 1, 0, state, capacity)


def test_any_number_is_heeded_as_a_rate():
    fleet = [make_member(n, "a", 107) for n in range(3)]
    for rate_per_s, served in ((0.0, False), (5e-324, False), (1e9, True), (1.7e308, True)):
        clock = FakeClock()
        shares = make_shares(fleet[0], fleet)
        limiter = RateLimiter(shares, clock, random.Random(1), Metrics())
        server = make_server("limited")
        taken = []
        for _ in range(10):
            limiter.note_reply(server, rate_per_s, clock.now())
            clock.time += 0.5
            taken.append(limiter.take(server))
        check.assertEqual(served, all(taken), rate_per_s)


def test_parts_of_all_vms_add_up_to_the_stated_rate_at_most():
    rng = random.Random(6)
    for sharded in (True, False):
        for count, rate_per_s in ((1, 0.2), (2, 9.0), (6, 3.0), (9, 0.2), (20, 1.0), (61, 5.0)):
            fleet = [
                make_member(n, rng.choice("abc"), rng.choice((54, 107, 215))) for n in range(count)
            ]
            parts = [
                1 / make_shares(own, fleet, sharded).divisor(make_server("limited"), rate_per_s)
                for own in fleet
            ]
            case = (sharded, count, rate_per_s)
            check.assertLessEqual(sum(parts), 1.0 + 1e-9, case)
            check.assertGreater(sum(parts), 0.85, case)
            largest = max(parts) * rate_per_s
            check.assertGreater(largest, 0.89 * min(rate_per_s, 0.45), case)


def test_rate_of_a_server_goes_to_the_vms_whose_requests_prefer_it():
    fleet = [make_member(n, "abc"[n % 3], 100) for n in range(6)]
    server = make_server("limited")

    def part_by_zone(server_zones: str) -> dict[str, float]:
        parts = {zone: 0.0 for zone in "abc"}
        for own in fleet:
            shares = make_shares(own, fleet, sharded=False, server_zones=server_zones)
            parts[own.zone] += 1 / shares.divisor(server, 1.0)
        return parts

    check.assertGreater(part_by_zone("abc")["a"], 0.85)
    parts = part_by_zone("ab")
    check.assertGreater(parts["a"] + parts["c"], 0.85)
    check.assertLess(parts["b"], 0.1)


def test_vm_that_leaves_hands_its_part_to_the_others():
    leaving, staying = make_member(1, "a", 100), make_member(2, "a", 100)
    left = make_member(1, "a", 100, MemberState.LEFT)
    server = make_server("limited")
    check.assertEqual(2, make_shares(staying, [leaving]).divisor(server, 9.0))
    check.assertEqual(1, make_shares(staying, [left]).divisor(server, 9.0))
    check.assertGreater(make_shares(left, [staying]).divisor(server, 9.0), 5)


@real_time
async def test_query_is_refused_at_once_when_stated_rates_allow_too_few_shards():
    relay = RelayFixture(minShardShare=1.0)
    shards = await make_shards(relay, 1)
    for (replica,) in shards[:2]:
        replica.stated_rate = "0.2"
    check.assertIsInstance(await relay.send_request("/s/x"), MergedAnswer)
    received = [len(replica.received_requests) for (replica,) in shards]
    answer = await relay.send_request("/s/x")
    check.assertIsInstance(answer, FailedAnswer)
    check.assertEqual(NotRun(NotRunReason.RATE_LIMITED), answer.outcome)
    check.assertGreater(answer.retry_after_s, 0)
    check.assertEqual(received, [len(replica.received_requests) for (replica,) in shards])
    await relay.close()


@real_time
async def test_query_does_not_wait_for_a_shard_whose_stated_rate_allows_no_request_in_time():
    relay = RelayFixture(targetLatencyMs=20_000, timeoutMs=20_000)
    shards = await make_shards(relay, 1)
    shards[0][0].stated_rate = "0.01"
    check.assertEqual(0, (await relay.send_request("/s/x", client_timeout_s=20.0)).missing)
    # The slots lie 5 s apart at least; two queries in a row cannot both have one.
    relay.rates._shares.vms = 1000
    answer = await relay.send_request("/s/x", client_timeout_s=20.0)
    check.assertEqual(1, answer.missing)
    check.assertLess(answer_time_s(relay), 10.0)
    await relay.close()


def answer_time_s(relay: RelayFixture) -> float:
    """Returns the total time of the requests that were answered."""
    latency = relay.metrics.request_latency.labels("search")
    return latency._sum.get()


@real_time
async def test_single_request_waits_for_its_slot_and_is_refused_when_none_is_in_time():
    relay = RelayFixture()
    server = await relay.add_server("desk", body=b"x", stated_rate="20")
    check.assertIsInstance(await relay.send_request("/b/x"), ForwardedAnswer)
    answers = await asyncio.gather(*(relay.send_request("/b/x") for _ in range(40)))
    refused = [a for a in answers if isinstance(a, FailedAnswer)]
    served = [a for a in answers if isinstance(a, ForwardedAnswer)]
    check.assertEqual(1 + len(served), server.run_count)
    check.assertTrue(served and refused)
    for answer in refused:
        check.assertEqual(NotRun(NotRunReason.RATE_LIMITED), answer.outcome)
        check.assertGreater(answer.retry_after_s, 0)
    await relay.close()


@real_time
async def test_refused_request_returns_when_any_vm_may_have_the_next_slot():
    relay = RelayFixture(minShardShare=1.0)
    shards = await make_shards(relay, 1)
    desk = await relay.add_server("desk", body=b"x")
    for replica in (desk, shards[0][0]):
        replica.stated_rate = "2"
    relay.rates._shares.vms = 1000
    for path in ("/b/x", "/s/x"):
        await relay.send_request(path)
        refused = await relay.send_request(path)
        check.assertEqual(NotRun(NotRunReason.RATE_LIMITED), refused.outcome, path)
        check.assertLessEqual(refused.retry_after_s, 0.5, path)
    await relay.close()


load_tests = make_load_tests(globals())
