"""Runs scenario files: ``python -m bergamotgate.standin scenarios/calm.txt --seed 1``."""

import sys
import time
from pathlib import Path

import click
from loguru import logger

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import ScenarioError, read_scenario

EXIT_FAILED = 1
EXIT_UNREADABLE = 2


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Number of seeds to run.")
@click.option("--naive", is_flag=True, help="Send requests to the naive version instead.")
@click.option("--log", is_flag=True, help="Print the logs of the nodes.")
def main(files: tuple[Path, ...], seed: int, runs: int, naive: bool, log: bool) -> None:
    """Run scenario FILES on virtual time; exit with 1 if any expectation or invariant fails."""
    if log:
        logger.enable("bergamotgate")
    any_failed = False
    for path in files:
        try:
            scenario = read_scenario(path.read_text())
        except ScenarioError as error:
            click.echo(f"{path}: {error}", err=True)
            sys.exit(EXIT_UNREADABLE)
        for number in range(seed, seed + runs):
            started = time.monotonic()
            report = run_scenario(scenario, number, naive=naive)
            verdict = "good" if report.passed else "BAD"
            seconds = time.monotonic() - started
            click.echo(f"{path.stem} seed {number}: {verdict} ({seconds:.1f} s)\n{report.text()}")
            any_failed = any_failed or not report.passed
    sys.exit(EXIT_FAILED if any_failed else 0)


main()
