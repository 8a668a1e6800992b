"""Each file in scenarios/ is a test, with a fixed seed."""

import unittest
from pathlib import Path

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import read_scenario

FOLDER = Path(__file__).resolve().parents[1] / "scenarios"
SEED = 1


class ScenarioCase(unittest.FunctionTestCase):
    """A scenario under the name of its file."""

    def __init__(self, path: Path):
        super().__init__(self.play_file)
        self.path = path

    def id(self) -> str:
        return f"{__name__}.{self.path.stem}"

    def play_file(self) -> None:
        report = run_scenario(read_scenario(self.path.read_text()), SEED)
        rerun = f"python -m bergamotgate.standin scenarios/{self.path.name} --seed {SEED}"
        self.assertTrue(report.passed, f"\n{report.text()}\nrerun: {rerun}")


def load_tests(loader, standard, pattern):
    return unittest.TestSuite(ScenarioCase(path) for path in sorted(FOLDER.glob("*.txt")))
