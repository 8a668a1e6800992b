"""Tests that each invariant check detects an injected violation."""

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

CALM_SCENARIO = """
fleet 3 vms
pool catalogue 4 shards 2 replicas 2 slots 25 connections
pool stock 0 shards 3 replicas 6 slots 100 connections
load search 20 per second from 0 s to 3 s
load book 20 per second from 0 s to 3 s
"""


def broken_invariants(inject_faults) -> set[str]:
    report = run_scenario(read_scenario(CALM_SCENARIO), seed=1, inject_faults=inject_faults)
    return {violation.invariant for violation in report.violations}


def all_servers(fleet):
    return fleet.server_by_name.values()


def test_run_without_faults_violates_nothing():
    check.assertEqual(set(), broken_invariants(lambda fleet: None))


def test_second_run_is_detected():
    def run_twice(fleet):
        for server in all_servers(fleet):
            observed = server.observed
            observed.runs_by_key.update({"vm-0.1.9/x": 2})

    check.assertIn("at most once", broken_invariants(run_twice))


def test_mixed_snapshots_are_detected():
    def answer_from_other_snapshot(fleet):
        # The server answers from s2 but declares s1, so that the node cannot detect it.
        server = fleet.server_by_name["catalogue-00a"]
        server._answer = lambda request: f"s2/{request.shard}/00000000".encode()
        fleet.server_by_name["catalogue-00b"]._answer = server._answer

    check.assertIn("one snapshot", broken_invariants(answer_from_other_snapshot))


def test_answer_from_a_declared_other_snapshot_never_reaches_the_caller():
    def serve_other_snapshot(fleet):
        server = fleet.server_by_name["catalogue-00a"]
        server.snapshots.add("s0")
        server.behaviour.returns_wrong_snapshot = True

    check.assertEqual(set(), broken_invariants(serve_other_snapshot))


def test_answer_to_another_request_is_detected():
    def answer_for_other_body(fleet):
        for server in all_servers(fleet):
            server._answer = lambda request: f"{request.snapshot}/{request.shard}/ffffffff".encode()

    check.assertIn("own answer", broken_invariants(answer_for_other_body))


def test_false_not_run_is_detected():
    def report_false_not_run(fleet):
        for server in all_servers(fleet):
            server.behaviour.reports_false_not_run = True

    check.assertIn("true not-run", broken_invariants(report_false_not_run))


def test_connection_over_the_limit_is_detected():
    def lower_connection_limit(fleet):
        for server in all_servers(fleet):
            server.limits = ServerLimits(2, 0)

    check.assertIn("connections", broken_invariants(lower_connection_limit))


def test_arrival_over_the_slots_is_detected():
    def remove_slots(fleet):
        for server in all_servers(fleet):
            server.limits = ServerLimits(0, 25)

    check.assertIn("slots", broken_invariants(remove_slots))


@virtual_time
async def test_arrival_over_the_cold_start_limit_is_detected():

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
async def test_work_in_a_zone_that_is_out_is_detected():

    server = StandinServer("s", ServerLimits(4, 9), LoopClock(), random.Random(1))
    server.observed.runs.append(RunRecord(7.0, "i", "", "", 0, b"x"))
    span = NoWorkSpan("zone out", frozenset({"s"}), 5.0, 9.0)
    broken = check_invariants(Evidence((server,), (), (span,)))
    check.assertEqual(["zone out"], [violation.invariant for violation in broken])


def make_record(**fields) -> RequestRecord:
    result = CallerResult(True, "answered", snapshot="s1", **fields)
    return RequestRecord(1, "search", b"x", False, 0.0, 1.0, result)


def test_coverage_that_hides_a_missing_shard_is_detected():
    record = make_record(answered_shards=1, total_shards=2, body_by_shard=((0, "s1/0/8cdc1683"),))
    broken = check_invariants(Evidence((), (record,)))
    check.assertEqual(["true coverage"], [violation.invariant for violation in broken])


def test_coverage_with_a_wrong_shard_total_is_detected():
    record = make_record(answered_shards=1, total_shards=1, body_by_shard=((0, "s1/0/8cdc1683"),))
    evidence = Evidence((), (record,), (), {"search/s1": 2})
    check.assertEqual(["true coverage"], [v.invariant for v in check_invariants(evidence)])


load_tests = make_load_tests(globals())
