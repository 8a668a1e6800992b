"""Compares the fleet with the naive version: equal answers without faults, better under faults."""

from pathlib import Path

from bergamotgate.standin.runner import Report, run_scenario
from bergamotgate.standin.scenario import read_scenario
from tests.support import check, make_load_tests

SCENARIO_DIR = Path(__file__).resolve().parents[1] / "scenarios"
SEED = 1
P99_FACTOR = 3


def run_both(name: str) -> tuple[Report, Report]:
    scenario = read_scenario((SCENARIO_DIR / f"{name}.txt").read_text())
    return run_scenario(scenario, SEED), run_scenario(scenario, SEED, naive=True)


def answers_by_body(report: Report) -> dict[bytes, tuple]:
    return {
        record.body: (record.result.snapshot, record.result.body_by_shard)
        for record in report.records
        if not record.once
    }


def test_answers_are_equal_without_faults():
    fleet, naive = run_both("calm")
    check.assertEqual(answers_by_body(naive), answers_by_body(fleet))


def test_naive_version_has_three_times_the_p99_with_a_straggler():
    fleet, naive = run_both("straggler")
    check.assertLessEqual(P99_FACTOR * fleet.measures["p99_ms"], naive.measures["p99_ms"])
    check.assertGreaterEqual(fleet.measures["whole"], naive.measures["whole"])


def test_fleet_violates_no_invariant_that_the_naive_version_keeps():
    for name in ("server-crash", "overload-urgent"):
        fleet, naive = run_both(name)
        naive_violations = {violation.invariant for violation in naive.violations}
        check.assertLessEqual({v.invariant for v in fleet.violations}, naive_violations)
        check.assertGreaterEqual(fleet.measures["whole"], naive.measures["whole"])


load_tests = make_load_tests(globals())
