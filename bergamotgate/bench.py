"""Measures the costs of control traffic and queries, and the slopes used in docs/CAPACITY.md.

``make bench`` prints a table and writes ``report/index.html`` with plots. Times are CPU time of
this process; ratios and counts also hold on other machines.
"""

import asyncio
import html
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import click
from loguru import logger
from matplotlib import pyplot

from bergamotgate.benchstate import measure_exchange, measure_large_state
from bergamotgate.front.handler import CallerRequest
from bergamotgate.standin.deployments import PoolSpec, build_deployment
from bergamotgate.standin.fleet import Fleet
from bergamotgate.standin.runner import DEFAULT_ROUTES, run_scenario
from bergamotgate.standin.scenario import read_scenario
from bergamotgate.standin.virtual import run_virtual
from bergamotgate.wire.codec import WIRE_VERSION, decode_frame, encode
from bergamotgate.wire.generated.ttypes import Batch, Frame, SubRequest

__all__ = ["main"]

FLEET_SIZES = (3, 6, 9, 24, 48)
IDLE_S = 20.0
JOIN_S = 8.0
QUERIES = 300
QUERY_INTERVAL_S = 0.05
CODEC_ROUNDS = 3000
BATCH_ITEMS = 8
SCENARIOS = ("calm", "straggler", "zone-out-and-back", "overload-urgent")
SCENARIO_FOLDER = Path(__file__).resolve().parents[1] / "scenarios"
MAX_CONTROL_BYTES_PER_S = 29_000
MAX_CONTROL_CPU_SHARE = 0.032


@dataclass(frozen=True)
class ControlCost:
    """Cost of the control traffic of an idle node.

    Attributes:
        vms: Number of VMs in the fleet.
        bytes_per_s: Datagram bytes that one node sends and receives per second.
        datagrams_per_s: Datagrams that one node sends and receives per second.
        cpu_share: Share of a core that one node uses, including the simulated network.
        service_calls_per_s: Calls of the whole fleet to the platform per second.
        change_s: Time from a publication until it is in force on every VM, in seconds.
    """

    vms: int
    bytes_per_s: float
    datagrams_per_s: float
    cpu_share: float
    service_calls_per_s: float
    change_s: float


@dataclass(frozen=True)
class QueryCost:
    """Cost of one query.

    Attributes:
        shards: Number of shards that the query covers.
        batches: Batches sent to owners per query.
        sub_requests: Sub-requests sent per query.
        cpu_ms: CPU time of the whole fleet per query, including stand-in services and servers,
            in milliseconds.
    """

    shards: int
    batches: float
    sub_requests: float
    cpu_ms: float


def measure_control(vms: int) -> ControlCost:
    """Run an idle fleet and measure its control traffic."""
    return run_virtual(lambda: _run_idle_fleet(vms))


async def _run_idle_fleet(vms: int) -> ControlCost:
    specs = (PoolSpec("catalogue", 20, 2, 2, 25, 0.006), PoolSpec("stock", 0, 3, 6, 100, 0.001))
    fleet = Fleet(build_deployment(DEFAULT_ROUTES, specs), vms)
    await fleet.start(JOIN_S)
    before = _control_totals(fleet)
    calls = fleet.configuration.calls + fleet.vm_list.calls
    began = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu_s = time.process_time() - began
    after = _control_totals(fleet)
    calls = fleet.configuration.calls + fleet.vm_list.calls - calls
    change_s = await _publish_change(fleet)
    per_node = [(a - b) / vms / IDLE_S for a, b in zip(after, before, strict=True)]
    return ControlCost(vms, *per_node, cpu_s / IDLE_S / vms, calls / IDLE_S, change_s)


def _control_totals(fleet: Fleet) -> tuple[float, float]:
    totals = [0.0, 0.0]
    for vm in fleet.vms:
        for direction in ("sent", "received"):
            metrics = vm.node.metrics
            totals[0] += metrics.control_bytes.labels(direction)._value.get()
            totals[1] += metrics.control_messages.labels(direction)._value.get()
    return totals[0], totals[1]


async def _publish_change(fleet: Fleet) -> float:
    """Publish changed tables; return the seconds until they are in force on every VM."""
    fleet.deployment.pools["zones"]["a"] = "in"
    fleet.publish_tables()
    published_at = fleet.loop.time()
    while any(vm.node.tables.revision < fleet.tables_revision for vm in fleet.vms):
        await asyncio.sleep(0.005)
    return fleet.loop.time() - published_at


def measure_query(shards: int, vms: int = 6) -> QueryCost:
    """Run a steady load and measure the cost of a query."""
    return run_virtual(lambda: _run_busy_fleet(shards, vms))


async def _run_busy_fleet(shards: int, vms: int) -> QueryCost:
    specs = (PoolSpec("catalogue", shards, 2, 2, 25, 0.006),)
    routes = DEFAULT_ROUTES | {"routes": {"search": DEFAULT_ROUTES["routes"]["search"]}}
    fleet = Fleet(build_deployment(routes, specs), vms)
    await fleet.start(JOIN_S)
    await _send_queries(fleet, QUERIES // 4)
    batches, sub_requests = _query_totals(fleet)
    began = time.process_time()
    await _send_queries(fleet, QUERIES)
    cpu_s = time.process_time() - began
    idle_began = time.process_time()
    await asyncio.sleep(QUERIES * QUERY_INTERVAL_S)
    idle_s = time.process_time() - idle_began
    batches_after, sub_requests_after = _query_totals(fleet)
    return QueryCost(
        shards,
        (batches_after - batches) / QUERIES,
        (sub_requests_after - sub_requests) / QUERIES,
        1000 * (cpu_s - idle_s) / QUERIES,
    )


async def _send_queries(fleet: Fleet, count: int) -> None:
    pending = []
    for number in range(count):
        vm = fleet.vms[number % len(fleet.vms)]
        request = CallerRequest("POST", "/search", f"bench-{number}".encode())
        pending.append(asyncio.ensure_future(fleet.send_request(vm, request)))
        await asyncio.sleep(QUERY_INTERVAL_S)
    await asyncio.gather(*pending)


def _query_totals(fleet: Fleet) -> tuple[float, float]:
    batches = sub_requests = 0.0
    for vm in fleet.vms:
        for metric in vm.node.metrics.registry.collect():
            total = sum(s.value for s in metric.samples if s.name.endswith("_total"))
            if metric.name == "bergamotgate_batches":
                batches += total
            elif metric.name == "bergamotgate_sub_requests":
                sub_requests += total
    return batches, sub_requests


def measure_codec() -> float:
    """Return the CPU microseconds to encode and decode one sub-request in a batch."""
    items = [SubRequest(n, f"catalogue-{n:02d}a", n, True) for n in range(BATCH_ITEMS)]
    batch = Batch("catalogue", "s1", 150, 0, True, b"x" * 100, items, None, 0)
    frame = Frame(version=WIRE_VERSION, batch=batch)
    began = time.process_time()
    for _ in range(CODEC_ROUNDS):
        decode_frame(encode(frame))
    return 1e6 * (time.process_time() - began) / CODEC_ROUNDS / BATCH_ITEMS


def slope(points: list[tuple[float, float]]) -> float:
    """Return the growth of y per unit of x between the last two points."""
    (x1, y1), (x2, y2) = points[-2:]
    return (y2 - y1) / (x2 - x1)


@click.command()
@click.option("--report", type=click.Path(path_type=Path), default=Path("report"))
@click.option("--quick", is_flag=True, help="Skip the largest fleets and the scenarios.")
def main(report: Path, quick: bool) -> None:
    """Measure costs, print a table and write a report."""
    logger.remove()
    sizes = FLEET_SIZES[:3] if quick else FLEET_SIZES
    lines = ["control of an idle node"]
    control_costs = []
    for vms in sizes:
        cost = measure_control(vms)
        control_costs.append(cost)
        excess = "" if cost.bytes_per_s <= MAX_CONTROL_BYTES_PER_S else "  MISSES 29 KB/s"
        excess += "" if cost.cpu_share <= MAX_CONTROL_CPU_SHARE else "  MISSES 3.2% of a core"
        lines.append(
            f"  {vms:3d} VMs  {cost.bytes_per_s:7.0f} B/s  {cost.datagrams_per_s:6.1f} datagrams/s"
            f"  {100 * cost.cpu_share:5.2f}% of a core  {cost.service_calls_per_s:5.2f} calls/s"
            f" in all  change in force in {cost.change_s:.3f} s{excess}"
        )
    bytes_by_vms = [(c.vms, c.bytes_per_s) for c in control_costs]
    calls_by_vms = [(c.vms, c.service_calls_per_s) for c in control_costs]
    lines.append(
        f"  slopes: {slope(bytes_by_vms):.1f} B/s a VM, {slope(calls_by_vms):.4f} calls/s a VM"
    )
    lines.append("data of a query on 6 VMs")
    queries = [measure_query(shards) for shards in (10, 20, 40)]
    for cost in queries:
        lines.append(
            f"  {cost.shards} shards  {cost.batches:.1f} batches  {cost.sub_requests:.1f}"
            f" sub-requests  {cost.cpu_ms:.2f} ms CPU of the fleet and its stand-ins"
        )
    per_shard = slope([(c.shards, c.cpu_ms) for c in queries])
    lines.append(f"  slope: {1000 * per_shard:.0f} us CPU a sub-request")
    lines.append(f"  codec: {measure_codec():.1f} us CPU a sub-request, encoded and decoded")
    connection_us, library_us = asyncio.run(measure_exchange())
    lines.append(
        f"  HTTP exchange: {connection_us:.0f} us CPU,"
        f" {connection_us / library_us:.2f} of the bare library's"
    )
    lines.append("state of a node at 710 VMs")
    lines += [f"  {name}: {value:g}" for name, value in asdict(measure_large_state()).items()]
    if not quick:
        lines += _scenario_lines()
    click.echo("\n".join(lines))
    _write_report(report, lines, control_costs)


def _scenario_lines() -> list[str]:
    lines = ["scenarios: fleet / naive version"]
    for name in SCENARIOS:
        scenario = read_scenario((SCENARIO_FOLDER / f"{name}.txt").read_text())
        fleet, naive = run_scenario(scenario, 1), run_scenario(scenario, 1, naive=True)
        shown = ("p50_ms", "p99_ms", "whole", "extra", "goodput")
        cells = [f"{m} {fleet.measures[m]:.3g} / {naive.measures[m]:.3g}" for m in shown]
        cells.append(f"broken {len(fleet.violations)} / {len(naive.violations)}")
        lines.append(f"  {name}: " + ", ".join(cells))
    return lines


def _write_report(folder: Path, lines: list[str], control_costs: list[ControlCost]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    _plot(
        folder, "bytes", "control bytes a second of a node", control_costs, lambda c: c.bytes_per_s
    )
    _plot(
        folder,
        "calls",
        "platform calls a second in all",
        control_costs,
        lambda c: c.service_calls_per_s,
    )
    text = html.escape("\n".join(lines))
    images = "".join(f'<img src="{name}.svg" alt="{name}">' for name in ("bytes", "calls"))
    page = f"<!doctype html><meta charset=utf-8><title>bench</title><pre>{text}</pre>{images}"
    (folder / "index.html").write_text(page)
    print(f"report: {folder / 'index.html'}", file=sys.stderr)


def _plot(
    folder: Path,
    name: str,
    title: str,
    control_costs: list[ControlCost],
    value: Callable[[ControlCost], float],
) -> None:
    figure, axes = pyplot.subplots(figsize=(5, 3))
    axes.plot([c.vms for c in control_costs], [value(c) for c in control_costs], marker="o")
    axes.set_xlabel("VMs")
    axes.set_title(title)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(folder / f"{name}.svg")
    pyplot.close(figure)


if __name__ == "__main__":
    main()
