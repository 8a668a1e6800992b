"""Each check of a promise turns red under a deliberate fault."""

import asyncio
import random

from bergamotgate.backend import BackendRequest
from bergamotgate.caller import CallerResult
from bergamotgate.clock import LoopClock
from bergamotgate.standin.invariants import Evidence, NoWorkSpan, RequestRecord, check_invariants
from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import read_scenario
from bergamotgate.standin.server import RunRecord, ServerLimits, StandinServer
from tests.support import check, make_load_tests, virtual_time

CALM = """
fleet 3 vms
pool catalogue 4 shards 2 replicas 2 slots 25 connections
pool stock 0 shards 3 replicas 6 slots 100 connections
load search 20 per second from 0 s to 3 s
load book 20 per second from 0 s to 3 s
"""


def promises_broken(sabotage) -> set[str]:
    report = run_scenario(read_scenario(CALM), seed=1, inject_faults=sabotage)
    return {violation.invariant for violation in report.violations}


def all_servers(fleet):
    return fleet.server_by_name.values()


def test_calm_run_breaks_nothing():
    check.assertEqual(set(), promises_broken(lambda fleet: None))


def test_a_second_run_is_seen():
    def run_twice(fleet):
        for server in all_servers(fleet):
            observed = server.observed
            observed.runs_by_key.update({"vm-0.1.9/x": 2})

    check.assertIn("at most once", promises_broken(run_twice))


def test_a_mixed_snapshot_is_seen():
    def mix(fleet):
        # The server answers from s2 but states s1, so that the node cannot notice.
        server = fleet.server_by_name["catalogue-00a"]
        server._answer = lambda request: f"s2/{request.shard}/00000000".encode()
        fleet.server_by_name["catalogue-00b"]._answer = server._answer

    check.assertIn("one snapshot", promises_broken(mix))


def test_a_stated_other_snapshot_never_reaches_the_caller():
    def swap(fleet):
        server = fleet.server_by_name["catalogue-00a"]
        server.snapshots.add("s0")
        server.behaviour.swaps_snapshots = True

    check.assertEqual(set(), promises_broken(swap))


def test_a_crossed_answer_is_seen():
    def cross(fleet):
        for server in all_servers(fleet):
            server._answer = lambda request: f"{request.snapshot}/{request.shard}/ffffffff".encode()

    check.assertIn("own answer", promises_broken(cross))


def test_a_false_not_run_is_seen():
    def lie(fleet):
        for server in all_servers(fleet):
            server.behaviour.lies_not_run = True

    check.assertIn("true not-run", promises_broken(lie))


def test_a_connection_too_many_is_seen():
    def few(fleet):
        for server in all_servers(fleet):
            server.limits = ServerLimits(2, 0)

    check.assertIn("connections", promises_broken(few))


def test_an_arrival_beyond_the_slots_is_seen():
    def narrow(fleet):
        for server in all_servers(fleet):
            server.limits = ServerLimits(0, 25)

    check.assertIn("slots", promises_broken(narrow))


@virtual_time
async def test_an_arrival_beyond_the_cold_allowance_is_seen():

    server = StandinServer("s", ServerLimits(4, 9), LoopClock(), random.Random(1))
    server.turn_cold()
    await asyncio.sleep(1)
    request = BackendRequest("i", "p", "", 0, 1000, True, "", b"x")
    await asyncio.gather(server.run(request), server.run(request))
    check.assertEqual([], check_invariants(Evidence((server,), ())))
    await asyncio.sleep(1)
    await asyncio.gather(server.run(request), server.run(request))
    broken = check_invariants(Evidence((server,), ()))
    check.assertEqual(["cold start"], [violation.invariant for violation in broken])


@virtual_time
async def test_work_in_a_zone_that_is_out_is_seen():

    server = StandinServer("s", ServerLimits(4, 9), LoopClock(), random.Random(1))
    server.observed.runs.append(RunRecord(7.0, "i", "", "", 0, b"x"))
    span = NoWorkSpan("zone out", frozenset({"s"}), 5.0, 9.0)
    broken = check_invariants(Evidence((server,), (), (span,)))
    check.assertEqual(["zone out"], [violation.invariant for violation in broken])


def make_record(**fields) -> RequestRecord:
    result = CallerResult(True, "answered", snapshot="s1", **fields)
    return RequestRecord(1, "search", b"x", False, 0.0, 1.0, result)


def test_coverage_that_hides_a_gap_is_seen():
    record = make_record(answered_shards=1, total_shards=2, body_by_shard=((0, "s1/0/8cdc1683"),))
    broken = check_invariants(Evidence((), (record,)))
    check.assertEqual(["true coverage"], [violation.invariant for violation in broken])


def test_coverage_against_another_map_is_seen():
    record = make_record(answered_shards=1, total_shards=1, body_by_shard=((0, "s1/0/8cdc1683"),))
    evidence = Evidence((), (record,), (), {"search/s1": 2})
    check.assertEqual(["true coverage"], [v.invariant for v in check_invariants(evidence)])


load_tests = make_load_tests(globals())
