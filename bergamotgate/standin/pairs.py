"""Tests random pairs of faults under load: ``python -m bergamotgate.standin.pairs --seed 1``.

Each seed generates one scenario in the scenario language, so a failing one can be saved as a file.
"""

import random
import sys

import click
from loguru import logger

from bergamotgate.standin.runner import run_scenario
from bergamotgate.standin.scenario import read_scenario

__all__ = ["make_fault_pair", "main"]

BASE_SCENARIO = """fleet {vms} vms
pool catalogue 8 shards 2 replicas 2 slots 25 connections
pool stock 0 shards 3 replicas 6 slots 100 connections
load search 15 per second from 0 s to 16 s
load book 6 per second from 0 s to 16 s
"""
FAULT_TEMPLATES = (
    "at {t} s kill vm {vm}\nat {u} s start vm {vm}",
    "at {t} s kill vm {vm}\nat {u} s unlist vm {vm}",
    "at {t} s drain vm {vm}\nat {u} s start vm {vm}",
    "at {t} s pause vm {vm} for {d} s",
    "at {t} s cut off vm {vm}\nat {u} s heal",
    "at {t} s split a | b c\nat {u} s heal",
    "at {t} s split a b | c\nat {u} s heal",
    "at {t} s take zone {zone} out\nat {u} s bring zone {zone} back",
    "at {t} s service down\nat {u} s service up",
    "at {t} s service stale\nat {u} s service fresh",
    "at {t} s silence connections",
    "at {t} s turn cold catalogue-0{shard}a\nat {t} s turn cold catalogue-0{shard}b",
    "at {t} s crash server catalogue-0{shard}b\nat {u} s restart server catalogue-0{shard}b",
    "at {t} s crash server stock-00a\nat {u} s restart server stock-00a",
    "at {t} s slow catalogue-0{shard}a by 10",
    "at {t} s stall 2 percent for 0.3 s",
    "at {t} s lose 20 percent of datagrams\nat {u} s lose 0 percent of datagrams",
    "at {t} s build snapshot s2 with 12 shards in catalogue\n"
    "at {u} s publish snapshot s2 first in catalogue",
    "at {t} s send crashing request search 3 times",
    "at {t} s replace all vms",
    "at {t} s publish garbage",
    "at {t} s drain server catalogue-0{shard}a",
)


def make_fault_pair(seed: int) -> str:
    """Generate a scenario with two random faults; sometimes the first one occurs twice."""
    rng = random.Random(seed)
    faults = rng.sample(FAULT_TEMPLATES, 2)
    if rng.random() < 0.3:
        faults.append(faults[0])
    lines = [BASE_SCENARIO.format(vms=rng.choice((6, 6, 9)))]
    for fault in faults:
        start = round(rng.uniform(2, 6), 2)
        lines.append(
            fault.format(
                t=start,
                u=round(start + rng.uniform(0.5, 6), 2),
                d=round(rng.choice((0.3, 1.2, 2.9, 4, 8)) * rng.uniform(0.8, 1.2), 2),
                vm=rng.randrange(6),
                zone=rng.choice("abc"),
                shard=rng.randrange(8),
            )
        )
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Number of seeds to run.")
@click.option("--show", is_flag=True, help="Print the scenarios.")
def main(seed: int, runs: int, show: bool) -> None:
    """Run random pairs of faults; exit with 1 if an invariant is violated."""
    logger.remove()
    failed = 0
    for number in range(seed, seed + runs):
        text = make_fault_pair(number)
        report = run_scenario(read_scenario(text), number)
        if show or not report.passed:
            click.echo(
                f"seed {number}: {'good' if report.passed else 'BAD'}\n{text}{report.text()}"
            )
        failed += not report.passed
    click.echo(f"{runs} pairs, {failed} bad")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
