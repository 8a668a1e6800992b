"""Plays scenarios: ``python -m bergamotgate.standin scenarios/calm.txt --seed 1``."""

import sys
import time
from pathlib import Path

import click
from loguru import logger

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import ScenarioError, read_scenario

EXIT_BROKEN = 1
EXIT_UNREADABLE = 2


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Number of seeds to play.")
@click.option("--naive", is_flag=True, help="Play the naive version instead.")
@click.option("--log", is_flag=True, help="Show the nodes' logs.")
def main(files: tuple[Path, ...], seed: int, runs: int, naive: bool, log: bool) -> None:
    """Play scenario FILES on virtual time; exit with 1 when anything did not hold."""
    if log:
        logger.enable("bergamotgate")
    bad = False
    for path in files:
        try:
            scenario = read_scenario(path.read_text())
        except ScenarioError as error:
            click.echo(f"{path}: {error}", err=True)
            sys.exit(EXIT_UNREADABLE)
        for number in range(seed, seed + runs):
            started = time.monotonic()
            report = run_scenario(scenario, number, naive=naive)
            word = "good" if report.passed else "BAD"
            seconds = time.monotonic() - started
            click.echo(f"{path.stem} seed {number}: {word} ({seconds:.1f} s)\n{report.text()}")
            bad = bad or not report.passed
    sys.exit(EXIT_BROKEN if bad else 0)


main()
