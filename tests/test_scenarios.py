"""Runs each file in scenarios/ as a test with a fixed seed."""

import unittest
from pathlib import Path

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import read_scenario

SCENARIO_DIR = Path(__file__).resolve().parents[1] / "scenarios"
SEED = 1


class ScenarioCase(unittest.FunctionTestCase):
    """A scenario test identified by the name of its file."""

    def __init__(self, path: Path):
        super().__init__(self.run_file)
        self.path = path

    def id(self) -> str:
        return f"{__name__}.{self.path.stem}"

    def run_file(self) -> None:
        report = run_scenario(read_scenario(self.path.read_text()), SEED)
        command = f"python -m bergamotgate.standin scenarios/{self.path.name} --seed {SEED}"
        self.assertTrue(report.passed, f"\n{report.text()}\nrerun: {command}")


def load_tests(loader, standard, pattern):
    return unittest.TestSuite(ScenarioCase(path) for path in sorted(SCENARIO_DIR.glob("*.txt")))
