"""The fleet beside the naive version: equal answers without faults, better ones with them."""

from pathlib import Path

from bergamotgate.standin.runner import Report, run_scenario
from bergamotgate.standin.scenario import read_scenario
from tests.support import check, make_load_tests

FOLDER = Path(__file__).resolve().parents[1] / "scenarios"
SEED = 1
P99_FACTOR = 3


def both(name: str) -> tuple[Report, Report]:
    scenario = read_scenario((FOLDER / f"{name}.txt").read_text())
    return run_scenario(scenario, SEED), run_scenario(scenario, SEED, naive=True)


def answers(report: Report) -> dict[bytes, tuple]:
    return {
        record.body: (record.result.snapshot, record.result.body_by_shard)
        for record in report.records
        if not record.once
    }


def test_without_faults_the_answers_are_equal():
    fleet, naive = both("calm")
    check.assertEqual(answers(naive), answers(fleet))


def test_stragglers_cost_the_naive_version_three_times_the_tail():
    fleet, naive = both("straggler")
    check.assertLessEqual(P99_FACTOR * fleet.measures["p99_ms"], naive.measures["p99_ms"])
    check.assertGreaterEqual(fleet.measures["whole"], naive.measures["whole"])


def test_under_faults_the_fleet_breaks_no_promise_that_the_naive_version_keeps():
    for name in ("server-crash", "overload-urgent"):
        fleet, naive = both(name)
        kept = {violation.invariant for violation in naive.violations}
        check.assertLessEqual({v.invariant for v in fleet.violations}, kept)
        check.assertGreaterEqual(fleet.measures["whole"], naive.measures["whole"])


load_tests = make_load_tests(globals())
