"""Placing: which server gets a sub-request, what is bounded fleet-wide, and what is learned."""

import random
from types import SimpleNamespace

from bergamotgate.config.catalogue import PoolRules
from bergamotgate.discovery import DiscoveredServer, ServerRegistry, ServerStanding
from bergamotgate.placement import (
    ColdStartLimiter,
    PoolExtraBudget,
    RouteLatency,
    ServerChooser,
    ServerLoad,
)
from tests.support import check, make_load_tests

RULES = PoolRules("p", "/health", 25, 3.0, 0.0)
MEDIAN_S = 0.02


class FakeClock:
    """Time that a test moves."""

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


def make_choice(*servers: DiscoveredServer, vms: int = 3) -> SimpleNamespace:
    """A chooser of a VM in zone a, with the load of each server."""
    clock = FakeClock()
    registry = ServerRegistry(clock)
    load_by_server = {server.server: ServerLoad(clock, server.slots) for server in servers}
    for server in servers:
        registry.register(server)
    names = [f"vm-{n}" for n in range(vms)]
    chooser = ServerChooser(
        "a",
        registry,
        load_by_server.__getitem__,
        ColdStartLimiter("vm-0", lambda: names, clock),
        lambda: vms,
        clock,
        random.Random(1),
    )
    latency = RouteLatency(clock, MEDIAN_S)
    return SimpleNamespace(
        clock=clock,
        registry=registry,
        load=load_by_server,
        choose=lambda tried=(), rules=RULES: chooser.choose(rules, latency, tried),
    )


def test_the_own_zone_goes_first_until_its_server_is_much_slower():
    choice = make_choice(make_server("near"), make_server("distant", "b"))
    check.assertEqual("near", choice.choose().server)
    for _ in range(10):
        choice.load["near"].note_reply(8 * MEDIAN_S, MEDIAN_S)
    check.assertEqual("distant", choice.choose().server)


def test_a_server_that_stands_still_is_passed_over():
    choice = make_choice(make_server("near"), make_server("distant", "b"))
    choice.load["near"].begin(1)
    choice.clock.time += 0.1
    check.assertEqual("distant", choice.choose().server)


def test_a_silent_server_is_tried_by_one_request_at_a_time():
    choice = make_choice(make_server("near"), make_server("distant", "b"))
    load = choice.load["near"]
    for number in range(2):
        load.begin(number)
        choice.clock.time += 0.06
        load.note_cancelled(load.end(number), MEDIAN_S)
    check.assertEqual("distant", choice.choose().server)
    choice.clock.time += 15
    check.assertEqual("near", choice.choose().server)
    load.begin(3)
    check.assertEqual("distant", choice.choose().server)
    load.end(3)
    load.note_reply(MEDIAN_S, MEDIAN_S)
    check.assertEqual("near", choice.choose().server)


def test_a_draining_server_and_one_in_a_zone_that_is_out_get_nothing():
    choice = make_choice(make_server("near"), make_server("distant", "b"))
    choice.registry.register(make_server("near", standing=ServerStanding.DRAINING))
    check.assertEqual("distant", choice.choose().server)
    choice.registry.zones_out = frozenset({"b"})
    check.assertIsNone(choice.choose())


def test_extra_requests_stay_within_the_stated_bound_in_any_window():
    clock = FakeClock()
    vms, share, allowance, window_s = 6, 0.2, 52, 10.0
    budgets = [PoolExtraBudget(clock, share, allowance, window_s, vms, 100.0) for _ in range(vms)]
    taken_at = []
    firsts = 0
    for _ in range(4000):
        clock.time += 0.01
        for budget in budgets:
            budget.note_first()
            firsts += 1
            while budget.take():
                taken_at.append(clock.time)
    firsts_a_window = firsts / 40 * window_s
    most = max(sum(1 for t in taken_at if at <= t < at + window_s) for at in set(taken_at))
    check.assertLessEqual(most, share * firsts_a_window + allowance)
    check.assertGreater(most, share * firsts_a_window * 0.7)


def test_a_process_that_starts_again_does_not_have_its_allowance_twice():
    clock = FakeClock()
    budget = PoolExtraBudget(clock, 0.2, 52, 10.0, 1, clock.now())
    check.assertFalse(budget.take())
    clock.time += 1.0
    taken = 0
    while budget.take():
        taken += 1
    check.assertLessEqual(taken, 52 / 10)


def test_a_cold_server_gets_no_more_than_it_bears_from_all_vms_together():
    for vms, cold_per_s in ((6, 4.0), (9, 10.0), (75, 4.0), (75, 40.0)):
        clock = FakeClock()
        names = [f"vm-{n}" for n in range(vms)]
        fleet = [ColdStartLimiter(name, lambda: names, clock) for name in names]  # noqa: B023
        sent = []
        for _ in range(500):
            clock.time += 0.01
            sent += [clock.time for vm in fleet if vm.take("s", cold_per_s)]
        most = max(sum(1 for t in sent if at <= t < at + 1.0) for at in set(sent))
        check.assertLessEqual(most, cold_per_s * 1.5 + 5, (vms, cold_per_s))
        check.assertGreater(len(sent) / 5, 0.4 * cold_per_s, (vms, cold_per_s))


load_tests = make_load_tests(globals())
