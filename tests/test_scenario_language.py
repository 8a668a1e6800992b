"""Tests for the scenario language: parsing, errors, reproducible runs and expectations."""

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import ScenarioError, read_scenario
from tests.support import check, make_load_tests

SMALL_SCENARIO = """
# A comment.
fleet 3 vms
pool catalogue 2 shards 2 replicas 2 slots 25 connections snapshots s1 s2 takes 20 ms
class urgent deadline_ms=300 wanted=0.5 hedging=no
load search 5 per second from 0 s to 2 s
at 1 s take zone b out
at 1.5 s pause vm 2 for 0.5 s
expect whole >= 0.5 of search from 0 s to 2 s
expect lost = 0
"""


def test_every_statement_is_parsed():
    scenario = read_scenario(SMALL_SCENARIO)
    check.assertEqual(3, scenario.vms)
    check.assertEqual(("s1", "s2"), scenario.pools[0].snapshots)
    check.assertEqual({"catalogue": 0.02}, scenario.service_s_by_pool)
    check.assertEqual(False, scenario.class_options["urgent"]["hedging"])
    check.assertEqual(["zone_out", "pause"], [action.kind for action in scenario.actions])
    check.assertEqual("search", scenario.expectations[0].route)
    check.assertEqual(2.0, scenario.end)


def test_syntax_error_names_its_line():
    with check.assertRaisesRegex(ScenarioError, "line 2"):
        read_scenario("fleet 3 vms\nfleet many vms\n")


def test_same_seed_repeats_the_run():
    first, second = (run_scenario(read_scenario(SMALL_SCENARIO), 5) for _ in range(2))
    check.assertEqual(first.measures, second.measures)
    check.assertEqual(first.records, second.records)


def test_failed_expectation_is_reported():
    report = run_scenario(read_scenario(SMALL_SCENARIO + "expect p50_ms <= 1\n"), 5)
    check.assertIn("p50_ms <= 1", report.failed_expectations[-1])
    check.assertFalse(report.passed)


load_tests = make_load_tests(globals())
