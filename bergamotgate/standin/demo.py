"""Demonstration: runs both teams' deployments with real daemons on loopback and checks them."""

import asyncio
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from bergamotgate.caller import Caller, CallerResult, NoAddress
from bergamotgate.clock import LoopClock
from bergamotgate.standin.deployments import Deployment, load_deployment
from bergamotgate.standin.http import BackendHttp, PlatformHttp
from bergamotgate.standin.server import ServerLimits, StandinServer

__all__ = ["main"]

TEAMS = ("spokewise", "tuulevahetus")
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
VM_COUNT = 6
ZONES = ("a", "b", "c")
PLATFORM_PORT = 20900
PEER_PORT = 20700
HTTP_PORT = 20800
QUERIES_PER_S = 15
MEMBERSHIP_SETTLE_S = 4.0
WARM_UP_S = 4.0
STEP_S = 4.0
PAUSE_S = 5.0
ZONE_DRAIN_S = 5.0
VM_LIST_DELAY_S = 2.0
STOP_TIMEOUT_S = 15
SERVICE_S = 0.008
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000


@dataclass
class LoadResults:
    """Results of the requests, as callers saw them.

    Attributes:
        requests: Number of requests.
        complete: Number of complete answers.
        partial: Number of answers with missing shards.
        refused: Number of refusals by reason and outcome.
        lost: Number of requests without an answer after all attempts.
        required_sub_requests: Number of sub-requests that the answers required.
        latency: Latency in microseconds.
    """

    requests: int = 0
    complete: int = 0
    partial: int = 0
    refused: Counter = field(default_factory=Counter)
    lost: int = 0
    required_sub_requests: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, 2)
    )

    def add(self, result: CallerResult, seconds: float) -> None:
        """Count one result."""
        self.requests += 1
        self.required_sub_requests += result.total_shards
        self.latency.record_value(int(seconds * 1_000_000))
        if result.whole:
            self.complete += 1
        elif result.answered:
            self.partial += 1
        elif result.reason == "no_answer":
            self.lost += 1
        else:
            self.refused[f"{result.reason} ({result.outcome})"] += 1


class Demo:
    """Runs one team's deployment under load through a zone outage, a stop, a pause and a kill."""

    def __init__(self, team: str, folder: Path):
        self._team = team
        self._folder = folder
        texts = [(EXAMPLES / team / f"{name}.jsonc").read_text() for name in ("routes", "pools")]
        self._deployment: Deployment = load_deployment(*texts)
        self._revision = 1
        self._clock = LoopClock()
        self._backends = self._make_backends()
        self._vms = [self._make_vm(number) for number in range(VM_COUNT)]
        self._platform = PlatformHttp(self._tables(), {"revision": 1, "vms": self._vms})
        self._daemon_by_vm: dict[str, subprocess.Popen] = {}
        self._results = LoadResults()
        self._violations: list[str] = []
        self._rng = random.Random(7)

    async def run(self) -> list[str]:
        """Run all steps; return descriptions of the violated invariants."""
        for backend in self._backends.values():
            backend.open()
        self._platform.open(f"127.0.0.1:{PLATFORM_PORT}")
        try:
            for vm in self._vms:
                self._start_daemon(vm)
            await asyncio.sleep(MEMBERSHIP_SETTLE_S)
            await self._run_commands()
            load = asyncio.ensure_future(self._send_load())
            await asyncio.sleep(WARM_UP_S)
            await self._zone_out_and_back("b")
            await self._stop_vm(self._vms[4])
            await self._pause_vm(self._vms[2])
            await self._kill_vm(self._vms[3])
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
        finally:
            self._end_daemons()
            self._platform.close()
        self._check_invariants()
        self._print_summary()
        return self._violations

    async def _run_commands(self) -> None:
        """Run one query and compare the status of the VMs with the command-line tool."""
        route = next(iter(self._deployment.routes["routes"].values()))
        known = [part for vm in self._vms for part in ("--vm", vm["http"])]
        match = route["match"]
        await self._run_command(
            "query", *known[:4], match["method"], match["path"], "--body", "622 x 19"
        )
        await self._run_command("status", *known)

    async def _run_command(self, *arguments: str) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bergamotgate",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        print(f"$ bergamotgate {' '.join(arguments)}\n{output.decode().rstrip()}")
        if process.returncode != 0:
            self._violations.append(
                f"command {arguments[0]} exited with status {process.returncode}"
            )

    async def _send_load(self) -> None:
        """Send requests at a constant rate, without waiting for earlier ones (open loop)."""
        callers = [Caller([vm["http"] for vm in self._vms], zone) for zone in ZONES]
        routes = list(self._deployment.routes["routes"].values())
        classes = self._deployment.routes["classes"]
        tasks: set[asyncio.Task] = set()
        try:
            while True:
                route = self._rng.choice(routes)
                once = not classes[route["class"]]["repeatable"]
                caller = self._rng.choice(callers)
                task = asyncio.ensure_future(self._send(caller, route, once))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / QUERIES_PER_S)
        finally:
            await asyncio.wait(tasks, timeout=5)

    async def _send(self, caller: Caller, route: dict, once: bool) -> None:
        started = time.monotonic()
        body = f"{self._rng.random()}".encode() if route["match"]["method"] != "GET" else b""
        try:
            result = await caller.send(
                route["match"]["method"], route["match"]["path"], body, once=once
            )
        except NoAddress:
            result = CallerResult(False, "unknown", "no_answer")
        self._results.add(result, time.monotonic() - started)

    async def _zone_out_and_back(self, zone: str) -> None:
        print(f"zone {zone} is taken out")
        self._publish_zone(zone, "out")
        await asyncio.sleep(ZONE_DRAIN_S)
        runs_before = self._runs_in(zone)
        await asyncio.sleep(STEP_S)
        late_runs = self._runs_in(zone) - runs_before
        if late_runs:
            self._violations.append(
                f"zone {zone}: {late_runs} sub-requests 5 s after it was taken out"
            )
        print(f"zone {zone} comes back")
        self._publish_zone(zone, "in")
        runs_before = self._runs_in(zone)
        await asyncio.sleep(2 * STEP_S)
        if self._runs_in(zone) == runs_before:
            self._violations.append(f"zone {zone} got no sub-requests after its return")

    async def _stop_vm(self, vm: dict) -> None:
        print(f"{vm['vm']} is stopped gracefully")
        daemon = self._daemon_by_vm[vm["vm"]]
        daemon.send_signal(signal.SIGTERM)
        await asyncio.sleep(STEP_S)
        if daemon.poll() != 0:
            self._violations.append(f"{vm['vm']} exited with status {daemon.poll()} after SIGTERM")
        self._unlist(vm)

    async def _pause_vm(self, vm: dict) -> None:
        print(f"{vm['vm']} is paused for {PAUSE_S:.0f} s and resumed")
        daemon = self._daemon_by_vm[vm["vm"]]
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        daemon.send_signal(signal.SIGCONT)
        await asyncio.sleep(STEP_S)

    async def _kill_vm(self, vm: dict) -> None:
        print(f"{vm['vm']} is killed")
        self._daemon_by_vm[vm["vm"]].kill()
        await asyncio.sleep(VM_LIST_DELAY_S)
        self._unlist(vm)
        await asyncio.sleep(STEP_S)

    def _unlist(self, vm: dict) -> None:
        listed = [entry for entry in self._platform.vms["vms"] if entry["vm"] != vm["vm"]]
        revision = self._platform.vms["revision"] + 1
        self._platform.publish("vms", {"revision": revision, "vms": listed})

    def _publish_zone(self, zone: str, standing: str) -> None:
        self._deployment.pools["zones"][zone] = standing
        self._revision += 1
        self._platform.publish("tables", self._tables())

    def _check_invariants(self) -> None:
        for backend in self._backends.values():
            observed = backend.server.observed
            name = backend.server.name
            if observed.over_connections:
                self._violations.append(f"{name}: more connections than its limit")
            if observed.over_slots:
                self._violations.append(f"{name}: {observed.over_slots} requests beyond its slots")
            if observed.over_cold_slots:
                self._violations.append(
                    f"{name}: {observed.over_cold_slots} requests beyond its cold slots"
                )
            repeated_keys = [key for key, runs in observed.runs_by_key.items() if runs > 1]
            if repeated_keys:
                self._violations.append(f"{name}: {len(repeated_keys)} keys ran more than once")
        keys = Counter()
        for backend in self._backends.values():
            keys.update(backend.server.observed.runs_by_key)
        if any(runs > 1 for runs in keys.values()):
            self._violations.append("a key ran on more than one server")
        if self._results.lost:
            self._violations.append(f"{self._results.lost} requests were lost")

    def _print_summary(self) -> None:
        results = self._results
        p50, p99 = (results.latency.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(
            f"asked {results.requests}  whole {results.complete}  "
            f"with gaps {results.partial}  lost {results.lost}"
        )
        for reason, count in sorted(results.refused.items()):
            print(f"refused {reason}: {count}")
        print(f"p50 {p50:.0f} ms  p99 {p99:.0f} ms  platform calls {self._platform.calls}")
        most = max(b.server.observed.most_connections for b in self._backends.values())
        runs = sum(len(b.server.observed.runs) for b in self._backends.values())
        extra = max(0.0, runs / max(1, results.required_sub_requests) - 1)
        print(f"most connections at one server {most}, extra load {100 * extra:.1f}%")
        for violation in self._violations:
            print(f"BROKEN {violation}")

    def _runs_in(self, zone: str) -> int:
        count = 0
        for pool in self._deployment.pools["pools"].values():
            for server in pool["servers"].values():
                if server["zone"] == zone:
                    count += len(self._backends[server["address"]].server.observed.runs)
        return count

    def _make_backends(self) -> dict[str, BackendHttp]:
        backends = {}
        for name, pool in self._deployment.pools["pools"].items():
            spec = self._deployment.spec(name)
            limits = ServerLimits(spec.slots, spec.connections, connect_s=spec.connect_s)
            snapshots = {s["name"] for s in pool.get("snapshots", [])} or {""}
            for server_name, entry in pool["servers"].items():
                rng = random.Random(server_name)
                server = StandinServer(server_name, limits, self._clock, rng, snapshots)
                server.behaviour.service_s = SERVICE_S
                backends[entry["address"]] = BackendHttp(server, entry["address"])
        return backends

    def _make_vm(self, number: int) -> dict:
        return {
            "vm": f"vm-{number}",
            "zone": ZONES[number % len(ZONES)],
            "peer": f"127.0.0.1:{PEER_PORT + number}",
            "http": f"127.0.0.1:{HTTP_PORT + number}",
        }

    def _tables(self) -> dict:
        deployment = self._deployment
        return {
            "revision": self._revision,
            "routes": deployment.routes_text(),
            "pools": deployment.pools_text(),
        }

    def _start_daemon(self, vm: dict) -> None:
        settings = vm | {
            "platform": {
                "configuration_url": f"http://127.0.0.1:{PLATFORM_PORT}/tables",
                "vm_list_url": f"http://127.0.0.1:{PLATFORM_PORT}/vms",
            },
            "log": {"level": "warning"},
        }
        path = self._folder / f"{self._team}-{vm['vm']}.jsonc"
        path.write_text(json.dumps(settings))
        log = (self._folder / f"{self._team}-{vm['vm']}.log").open("w")
        command = [sys.executable, "-c", "from bergamotgate.daemon import main; main()"]
        self._daemon_by_vm[vm["vm"]] = subprocess.Popen([*command, str(path)], stderr=log)

    def _end_daemons(self) -> None:
        for daemon in self._daemon_by_vm.values():
            if daemon.poll() is None:
                daemon.kill()
            daemon.wait(STOP_TIMEOUT_S)


@click.command()
@click.option("--team", type=click.Choice(TEAMS), multiple=True, default=TEAMS)
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Directory for the logs of the daemons."
)
def main(team: tuple[str, ...], logs: Path | None) -> None:
    """Run the demonstration; exit with 1 if an invariant is violated."""
    violations = []
    with tempfile.TemporaryDirectory() as folder:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        for name in team:
            print(f"== {name}: {VM_COUNT} daemons in zones {', '.join(ZONES)}")
            violations += asyncio.run(Demo(name, logs or Path(folder)).run())
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
