"""Tests for server selection, load tracking and the fleet-wide limits on sub-requests."""

import asyncio
import random
from types import SimpleNamespace

from bergamotgate.clock import LoopClock
from bergamotgate.config.catalogue import PoolRules
from bergamotgate.discovery import DiscoveredServer, ServerRegistry, ServerStanding
from bergamotgate.metrics import Metrics
from bergamotgate.placement import (
    ColdStartLimiter,
    PoolExtraBudget,
    RateLimiter,
    RouteLatency,
    ServerChooser,
    ServerLoad,
)
from tests.support import check, make_load_tests, virtual_time

RULES = PoolRules("p", "/health", 25, 3.0, 0.0)
MEDIAN_S = 0.02


class FakeClock:
    """A clock that a test advances."""

    def __init__(self):
        self.time = 100.0

    def now(self) -> float:
        return self.time


def make_server(name: str, zone: str = "a", **fields) -> DiscoveredServer:
    entry = {
        "server": name,
        "pool": "p",
        "address": f"10.0.0.{len(name)}:80",
        "zone": zone,
        "slots": 2,
        "standing": ServerStanding.READY,
        "cold_ms": 0,
        "started_ms": 1,
    }
    return DiscoveredServer(**(entry | fields))


def make_chooser_fixture(*servers: DiscoveredServer, vms: int = 3) -> SimpleNamespace:
    """Returns a server chooser of a VM in zone a, with its clock, registry and server loads."""
    clock = FakeClock()
    registry = ServerRegistry(clock)
    load_by_server = {server.server: ServerLoad(clock, server.slots) for server in servers}
    for server in servers:
        registry.register(server)
    names = [f"vm-{n}" for n in range(vms)]
    rates = RateLimiter(
        SimpleNamespace(divisor=lambda server, rate_per_s: vms), clock, random.Random(1), Metrics()
    )
    chooser = ServerChooser(
        "a",
        registry,
        load_by_server.__getitem__,
        ColdStartLimiter("vm-0", lambda: names, clock),
        rates,
        lambda server: False,
        lambda: vms,
        clock,
        random.Random(1),
    )
    latency = RouteLatency(clock, MEDIAN_S)
    return SimpleNamespace(
        clock=clock,
        registry=registry,
        load_by_server=load_by_server,
        rates=rates,
        chooser=chooser,
        choose=lambda tried=(), rules=RULES: chooser.choose(rules, latency, tried),
    )


def test_local_zone_is_preferred_until_its_server_is_much_slower():
    fixture = make_chooser_fixture(make_server("near"), make_server("distant", "b"))
    check.assertEqual("near", fixture.choose().server)
    for _ in range(10):
        fixture.load_by_server["near"].note_reply(8 * MEDIAN_S, MEDIAN_S)
    check.assertEqual("distant", fixture.choose().server)


def test_stalled_server_is_skipped():
    fixture = make_chooser_fixture(make_server("near"), make_server("distant", "b"))
    fixture.load_by_server["near"].begin(1)
    fixture.clock.time += 0.1
    check.assertEqual("distant", fixture.choose().server)


def test_unresponsive_server_is_probed_by_one_request_at_a_time():
    fixture = make_chooser_fixture(make_server("near"), make_server("distant", "b"))
    load = fixture.load_by_server["near"]
    for number in range(2):
        load.begin(number)
        fixture.clock.time += 0.06
        load.note_cancelled(load.end(number), MEDIAN_S)
    check.assertEqual("distant", fixture.choose().server)
    fixture.clock.time += 15
    check.assertEqual("near", fixture.choose().server)
    load.begin(3)
    check.assertEqual("distant", fixture.choose().server)
    load.end(3)
    load.note_reply(MEDIAN_S, MEDIAN_S)
    check.assertEqual("near", fixture.choose().server)


def test_draining_servers_and_servers_in_a_zone_that_is_out_are_not_chosen():
    fixture = make_chooser_fixture(make_server("near"), make_server("distant", "b"))
    fixture.registry.register(make_server("near", standing=ServerStanding.DRAINING))
    check.assertEqual("distant", fixture.choose().server)
    fixture.registry.zones_out = frozenset({"b"})
    check.assertIsNone(fixture.choose())


def test_extra_requests_stay_within_the_stated_bound_in_any_window():
    clock = FakeClock()
    vms, share, allowance, window_s = 6, 0.2, 52, 10.0
    budgets = [PoolExtraBudget(clock, share, allowance, window_s, vms, 100.0) for _ in range(vms)]
    taken_at = []
    first_requests = 0
    for _ in range(4000):
        clock.time += 0.01
        for budget in budgets:
            budget.note_first()
            first_requests += 1
            while budget.take():
                taken_at.append(clock.time)
    first_requests_per_window = first_requests / 40 * window_s
    peak = max(sum(1 for t in taken_at if at <= t < at + window_s) for at in set(taken_at))
    check.assertLessEqual(peak, share * first_requests_per_window + allowance)
    check.assertGreater(peak, share * first_requests_per_window * 0.7)


def test_restarted_process_does_not_get_a_second_allowance():
    clock = FakeClock()
    budget = PoolExtraBudget(clock, 0.2, 52, 10.0, 1, clock.now())
    check.assertFalse(budget.take())
    clock.time += 1.0
    taken = 0
    while budget.take():
        taken += 1
    check.assertLessEqual(taken, 52 / 10)


def test_cold_server_rate_is_bounded_across_all_vms():
    for vms, cold_per_s in ((6, 4.0), (9, 10.0), (75, 4.0), (75, 40.0)):
        clock = FakeClock()
        names = [f"vm-{n}" for n in range(vms)]
        limiters = [ColdStartLimiter(name, lambda: names, clock) for name in names]  # noqa: B023
        sent = []
        for _ in range(500):
            clock.time += 0.01
            sent += [clock.time for limiter in limiters if limiter.take("s", cold_per_s)]
        peak = max(sum(1 for t in sent if at <= t < at + 1.0) for at in set(sent))
        check.assertLessEqual(peak, cold_per_s * 1.5 + 5, (vms, cold_per_s))
        check.assertGreater(len(sent) / 5, 0.4 * cold_per_s, (vms, cold_per_s))


@virtual_time
async def test_backoff_stays_at_its_limit_after_thousands_of_failures():
    load = ServerLoad(LoopClock(), slots=2)
    for _ in range(5000):
        load.note_failure()
    check.assertTrue(load.in_backoff(asyncio.get_running_loop().time()))


load_tests = make_load_tests(globals())
