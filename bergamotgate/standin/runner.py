"""Runs a scenario on a virtual fleet and reports violated invariants and missed expectations."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from bergamotgate.caller import Caller, CallerResult, NoAddress
from bergamotgate.clock import LoopClock
from bergamotgate.standin.deployments import Deployment, build_deployment, load_deployment
from bergamotgate.standin.fleet import Fleet, FleetVm
from bergamotgate.standin.fleetcaller import FleetCaller, FleetTransport
from bergamotgate.standin.invariants import (
    Evidence,
    NoWorkSpan,
    RequestRecord,
    Violation,
    check_invariants,
)
from bergamotgate.standin.measures import measure
from bergamotgate.standin.monitor import FleetMonitor
from bergamotgate.standin.scenario import Scenario
from bergamotgate.standin.server import CRASH_MARKER, StandinServer
from bergamotgate.standin.virtual import run_virtual

__all__ = ["Report", "run_scenario"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
STARTUP_S = 6.0
SETTLE_S = 3.0
NO_WORK_GRACE_S = 5.0
CALLERS_PER_ZONE = 2
DEFAULT_ROUTES = {
    "classes": {
        "urgent": {"deadline_ms": 400, "hedging": True, "repeatable": True},
        "patient": {"deadline_ms": 1500, "patience_ms": 300, "repeatable": True},
        "once": {"deadline_ms": 1000, "repeatable": False},
    },
    "routes": {
        "search": {"match": {"path": "/search"}, "class": "urgent", "pool": "catalogue"},
        "browse": {"match": {"path": "/browse"}, "class": "patient", "pool": "catalogue"},
        "book": {"match": {"path": "/book"}, "class": "once", "pool": "stock"},
    },
}


@dataclass
class Report:
    """Result of a scenario run.

    Attributes:
        violations: Violated invariants.
        measures: Measured quantities by name.
        failed_expectations: Descriptions of the expectations that failed, with the measured value.
        records: All requests that callers sent.
    """

    violations: list[Violation]
    measures: dict[str, float]
    failed_expectations: list[str]
    records: list[RequestRecord] = field(repr=False, default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated and every expectation was met."""
        return not self.violations and not self.failed_expectations

    def text(self) -> str:
        """The failures, the measures, failure counts by reason and the first affected requests."""
        lines = [f"BROKEN {violation}" for violation in self.violations[:10]]
        lines += [f"MISSED {expectation}" for expectation in self.failed_expectations]
        lines.append(" ".join(f"{name}={value:.4g}" for name, value in self.measures.items()))
        reasons = Counter(
            f"{record.route}:{record.result.reason}"
            for record in self.records
            if not record.result.answered
        )
        lines.append(" ".join(f"{name}={count}" for name, count in sorted(reasons.items())))
        affected = {violation.request for violation in self.violations[:3]}
        lines += [str(record) for record in self.records if record.number in affected]
        return "\n".join(lines)


def run_scenario(
    scenario: Scenario,
    seed: int,
    inject_faults: Callable[[Fleet], None] | None = None,
    naive: bool = False,
) -> Report:
    """Run a scenario on virtual time.

    Args:
        scenario: The scenario.
        seed: Seed of all random numbers.
        inject_faults: Makes the stand-ins violate invariants, to test that the checks detect it.
        naive: Whether requests go to the naive version on the same VMs instead.
    """
    return run_virtual(lambda: _ScenarioRun(scenario, seed, inject_faults, naive).run())


class _ScenarioRun:
    """A single run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        inject_faults: Callable[[Fleet], None] | None,
        naive: bool,
    ):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._deployment = _deployment(scenario)
        self._fleet = Fleet(self._deployment, scenario.vms, seed, naive)
        self._inject_faults = inject_faults
        self._records: list[RequestRecord] = []
        self._no_work_spans: list[NoWorkSpan] = []
        self._drain_tasks: list[asyncio.Task] = []
        self._last_number = 0
        self._load_start = 0.0
        self._monitor = FleetMonitor(self._fleet)

    async def run(self) -> Report:
        """Start the fleet, apply loads and actions, and evaluate the result."""
        await self._fleet.start(STARTUP_S)
        for pool, seconds in self._scenario.service_s_by_pool.items():
            for name in self._deployment.pools["pools"][pool]["servers"]:
                self._server(name).behaviour.service_s = seconds
        if self._inject_faults is not None:
            self._inject_faults(self._fleet)
        self._load_start = self._now()
        monitoring = asyncio.ensure_future(self._monitor.run())
        loads = [asyncio.ensure_future(self._run_load(load)) for load in self._scenario.loads]
        events = [
            asyncio.ensure_future(self._run_action(action)) for action in self._scenario.actions
        ]
        await asyncio.gather(*events, *loads)
        await asyncio.sleep(SETTLE_S)
        monitoring.cancel()
        return self._report()

    async def _run_load(self, load) -> None:
        await asyncio.sleep(load.start)
        callers = self._callers()
        tasks = []
        for number in range(round((load.end - load.start) * load.per_second)):
            self._last_number += 1
            caller = self._rng.choice(callers)
            body = f"{load.route}-{load.start:g}-{number}".encode()
            request = self._send(caller, load.route, body, self._last_number)
            tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(1 / load.per_second)
        await asyncio.gather(*tasks)

    def _callers(self) -> list[Caller]:
        transport = FleetTransport(self._fleet)
        addresses = [vm.http for vm in self._fleet.vms]
        return [
            FleetCaller(addresses, zone, transport, LoopClock(), self._rng)
            for zone in self._deployment.zones
            for _ in range(CALLERS_PER_ZONE)
        ]

    async def _send(self, caller: Caller, route: str, body: bytes, number: int) -> None:
        routes = self._deployment.routes
        entry = routes["routes"][route]
        urgency = routes["classes"][entry["class"]]
        once = not urgency["repeatable"]
        sent_at = self._now()
        try:
            result = await caller.send(
                entry["match"].get("method", "POST"),
                entry["match"]["path"],
                body,
                urgency["deadline_ms"],
                once,
            )
        except NoAddress:
            result = CallerResult(False, "unknown", "no_answer")
        self._records.append(RequestRecord(number, route, body, once, sent_at, self._now(), result))

    async def _run_action(self, action) -> None:
        await asyncio.sleep(action.at)
        outcome = getattr(self, f"_do_{action.kind}")(*action.arguments)
        if asyncio.iscoroutine(outcome):
            await outcome

    def _do_zone_out(self, zone: str) -> None:
        self._deployment.pools["zones"][zone] = "out"
        self._publish()
        self._expect_no_work("zone out", self._servers_in(zone))

    def _do_zone_back(self, zone: str) -> None:
        self._deployment.pools["zones"][zone] = "in"
        self._end_no_work(self._servers_in(zone))
        self._publish()

    def _do_drain_server(self, name: str) -> None:
        for pool in self._deployment.pools["pools"].values():
            if name in pool["servers"]:
                pool["servers"][name]["standing"] = "leaving"
        self._publish()
        self._expect_no_work("server leaving", {name})

    def _do_kill(self, number: int) -> None:
        self._fleet.kill_vm(self._vm(number))

    def _do_start_vm(self, number: int) -> None:
        vm = self._vm(number)
        if vm.node is not None:
            self._fleet.kill_vm(vm)
        self._fleet.standing_by_vm[vm.name] = "live"
        self._fleet.publish_vm_list()
        self._fleet.start_vm(vm)

    def _do_unlist(self, number: int) -> None:
        self._fleet.standing_by_vm.pop(self._vm(number).name, None)
        self._fleet.publish_vm_list()

    def _do_drain(self, number: int) -> None:
        vm = self._vm(number)
        if vm.node is None:
            return
        self._drain_tasks.append(asyncio.ensure_future(self._fleet.drain_vm(vm)))

    async def _do_replace_all(self) -> None:
        for vm in self._fleet.vms:
            if vm.node is not None:
                self._fleet.kill_vm(vm)
        await asyncio.sleep(1.0)
        for vm in self._fleet.vms:
            if vm.node is None:
                self._fleet.start_vm(vm)

    async def _do_pause(self, number: int, seconds: float) -> None:
        vm = self._vm(number)
        self._fleet.pause_vm(vm)
        await asyncio.sleep(seconds)
        self._fleet.resume_vm(vm)

    def _do_split(self, *sides: tuple[str, ...]) -> None:
        self._fleet.faults.partition_zones(sides)

    def _do_cut_off(self, number: int) -> None:
        """Cut one VM off from the other VMs; callers and backend servers still reach every VM."""
        self._fleet.faults.isolate_peers({self._vm(number).peer})

    def _do_heal(self) -> None:
        self._fleet.faults.heal()

    def _do_silence(self) -> None:
        self._fleet.faults.blackhole_connections()

    def _do_service(self, state: str) -> None:
        for service in (self._fleet.configuration, self._fleet.vm_list):
            service.down = state == "down"
            if state == "stale":
                service.stale = True
            elif state == "fresh":
                service.refresh()

    def _do_turn_cold(self, name: str) -> None:
        self._server(name).turn_cold()

    def _do_crash(self, name: str) -> None:
        self._server(name).crash()

    def _do_restart(self, name: str) -> None:
        self._server(name).restart()

    def _do_slow(self, name: str, factor: str) -> None:
        self._server(name).behaviour.slow_factor = float(factor)

    def _do_stall(self, percent: str, seconds: float) -> None:
        for server in self._fleet.server_by_name.values():
            server.behaviour.stall_share = float(percent) / 100
            server.behaviour.stall_s = seconds

    def _do_snapshot_build(self, snapshot: str, shards: int, pool_name: str) -> None:
        """Add an index snapshot with another number of shards on the same servers."""
        pool = self._deployment.pools["pools"][pool_name]
        if any(entry["name"] == snapshot for entry in pool["snapshots"]):
            return
        names = sorted(pool["servers"])
        servers_by_shard = [
            [names[(2 * shard + replica) % len(names)] for replica in range(2)]
            for shard in range(shards)
        ]
        pool["snapshots"].append({"name": snapshot, "shards": servers_by_shard})
        for name in names:
            self._server(name).snapshots.add(snapshot)
        self._publish()

    def _do_forget_snapshot(self, snapshot: str, server: str) -> None:
        self._server(server).snapshots.discard(snapshot)

    def _do_snapshot_first(self, snapshot: str, pool_name: str) -> None:
        pool = self._deployment.pools["pools"][pool_name]
        pool["snapshots"].sort(key=lambda entry: entry["name"] != snapshot)
        self._publish()

    def _do_garbage(self) -> None:
        self._fleet.tables_revision += 1
        tables = self._fleet.published_tables()
        self._fleet.configuration.publish(replace(tables, routes="{ garbage"))

    async def _do_crashing(self, route: str, times: int) -> None:
        """Send a crashing request repeatedly from one caller; restart crashed servers each time."""
        caller = self._callers()[0]
        for _ in range(times):
            self._last_number += 1
            await self._send(caller, route, CRASH_MARKER, self._last_number)
            await asyncio.sleep(0.3)
            for server in self._fleet.server_by_name.values():
                if not server.up:
                    server.restart()

    def _do_lose(self, percent: str) -> None:
        share = float(percent) / 100
        rng = random.Random(self._rng.random())
        self._fleet.faults.is_lost = lambda: rng.random() < share

    def _publish(self) -> None:
        self._fleet.publish_tables()
        self._monitor.note_published(self._fleet.tables_revision)

    def _expect_no_work(self, invariant: str, servers: set[str]) -> None:
        start = self._now() + NO_WORK_GRACE_S
        self._no_work_spans.append(NoWorkSpan(invariant, frozenset(servers), start, float("inf")))

    def _end_no_work(self, servers: set[str]) -> None:
        """End the open spans in which any of these servers should get no new work."""
        now = self._now()
        self._no_work_spans = [
            (
                NoWorkSpan(span.invariant, span.servers, span.start, now)
                if span.servers & servers and span.end > now
                else span
            )
            for span in self._no_work_spans
        ]

    def _servers_in(self, zone: str) -> set[str]:
        return {
            name
            for pool in self._deployment.pools["pools"].values()
            for name, server in pool["servers"].items()
            if server["zone"] == zone
        }

    def _server(self, name: str) -> StandinServer:
        return self._fleet.server_by_name[name]

    def _vm(self, number: int) -> FleetVm:
        return self._fleet.vms[int(number)]

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _report(self) -> Report:
        servers = tuple(self._fleet.server_by_name.values())
        evidence = Evidence(
            servers, tuple(self._records), tuple(self._no_work_spans), self._shard_counts()
        )
        violations = check_invariants(evidence) + self._monitor.violations
        measures = self._measures(servers, self._records)
        failed_expectations = []
        for expectation in self._scenario.expectations:
            start, end = self._load_start + expectation.start, self._load_start + expectation.end
            records = [
                record
                for record in self._records
                if start <= record.sent_at < end and expectation.route in ("", record.route)
            ]
            value = self._measures(servers, records)[expectation.metric]
            if not expectation.holds(value):
                failed_expectations.append(f"{expectation}, measured {value:.4g}")
        return Report(violations, measures, failed_expectations, self._records)

    def _measures(
        self, servers: tuple[StandinServer, ...], records: list[RequestRecord]
    ) -> dict[str, float]:
        cut_drains = sum(not drain.result() for drain in self._drain_tasks if drain.done())
        return measure(servers, records, self._monitor) | {"drain_cut": float(cut_drains)}

    def _shard_counts(self) -> dict[str, int]:
        counts = {}
        for route, entry in self._deployment.routes["routes"].items():
            pool = self._deployment.pools["pools"][entry["pool"]]
            for snapshot in pool.get("snapshots", []):
                counts[f"{route}/{snapshot['name']}"] = len(snapshot["shards"])
        return counts


def _deployment(scenario: Scenario) -> Deployment:
    if scenario.tables:
        folder = EXAMPLES / scenario.tables
        texts = [(folder / f"{name}.jsonc").read_text() for name in ("routes", "pools")]
        return load_deployment(*texts)
    routes = {
        "classes": {name: dict(options) for name, options in DEFAULT_ROUTES["classes"].items()},
        "routes": {},
    }
    for name, options in scenario.class_options.items():
        routes["classes"].setdefault(name, {}).update(_nest_coverage(options))
    pools = {spec.name for spec in scenario.pools}
    for name, entry in DEFAULT_ROUTES["routes"].items():
        if entry["pool"] in pools:
            routes["routes"][name] = entry
    return build_deployment(routes, tuple(scenario.pools), scenario.zones)


def _nest_coverage(options: dict) -> dict:
    """Move the coverage options into a ``coverage`` object of their own."""
    coverage = {name: options[name] for name in ("wanted", "settle_ms", "below") if name in options}
    rest = {name: value for name, value in options.items() if name not in coverage}
    return rest | ({"coverage": coverage} if coverage else {})
