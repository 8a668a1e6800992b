"""Runs both teams' deployments with real daemons on loopback and checks what came of it."""

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
JOIN_S = 4.0
WARM_S = 4.0
STEP_S = 4.0
PAUSE_S = 5.0
NO_NEW_WORK_S = 5.0
LIST_LAG_S = 2.0
STOP_TIMEOUT_S = 15
SERVICE_S = 0.008
SMALLEST_US = 1
LARGEST_US = 60_000_000


@dataclass
class Tally:
    """What callers saw.

    Attributes:
        asked: Requests.
        whole: Answers with full coverage.
        gaps: Answers with gaps.
        refused: Refusals by reason.
        lost: Requests without any answer after all sendings.
        needed: Sub-requests that the answers needed.
    """

    asked: int = 0
    whole: int = 0
    gaps: int = 0
    refused: Counter = field(default_factory=Counter)
    lost: int = 0
    needed: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(SMALLEST_US, LARGEST_US, 2))

    def add(self, result: CallerResult, seconds: float) -> None:
        """Count one result."""
        self.asked += 1
        self.needed += result.total_shards
        self.latency.record_value(int(seconds * 1_000_000))
        if result.whole:
            self.whole += 1
        elif result.answered:
            self.gaps += 1
        elif result.reason == "no_answer":
            self.lost += 1
        else:
            self.refused[f"{result.reason} ({result.outcome})"] += 1


class Demo:
    """One team's deployment under load, a zone change, a stop and a kill."""

    def __init__(self, team: str, folder: Path):
        self._team = team
        self._folder = folder
        texts = [(EXAMPLES / team / f"{name}.jsonc").read_text() for name in ("routes", "pools")]
        self._deployment: Deployment = load_deployment(*texts)
        self._revision = 1
        self._clock = LoopClock()
        self._backends = self._make_backends()
        self._vms = [self._vm(number) for number in range(VM_COUNT)]
        self._platform = PlatformHttp(self._tables(), {"revision": 1, "vms": self._vms})
        self._daemon_by_vm: dict[str, subprocess.Popen] = {}
        self._tally = Tally()
        self._broken: list[str] = []
        self._rng = random.Random(7)

    async def run(self) -> list[str]:
        """Run everything; return the promises that broke."""
        for backend in self._backends.values():
            backend.open()
        self._platform.open(f"127.0.0.1:{PLATFORM_PORT}")
        try:
            for vm in self._vms:
                self._start_daemon(vm)
            await asyncio.sleep(JOIN_S)
            await self._use_tool()
            load = asyncio.ensure_future(self._load())
            await asyncio.sleep(WARM_S)
            await self._zone_out_and_back("b")
            await self._stop_one(self._vms[4])
            await self._pause_one(self._vms[2])
            await self._kill_one(self._vms[3])
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
        finally:
            self._end_daemons()
            self._platform.close()
        self._check()
        self._print()
        return self._broken

    async def _use_tool(self) -> None:
        """Run one search of the team and compare the VMs through the command-line tool."""
        route = next(iter(self._deployment.routes["routes"].values()))
        known = [part for vm in self._vms for part in ("--vm", vm["http"])]
        match = route["match"]
        await self._tool("query", *known[:4], match["method"], match["path"], "--body", "622 x 19")
        await self._tool("status", *known)

    async def _tool(self, *arguments: str) -> None:
        tool = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bergamotgate",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await tool.communicate()
        print(f"$ bergamotgate {' '.join(arguments)}\n{output.decode().rstrip()}")
        if tool.returncode != 0:
            self._broken.append(f"the tool's {arguments[0]} ended with {tool.returncode}")

    async def _load(self) -> None:
        """Send requests at a steady rate, whatever becomes of the earlier ones."""
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
        self._tally.add(result, time.monotonic() - started)

    async def _zone_out_and_back(self, zone: str) -> None:
        print(f"zone {zone} is taken out")
        self._publish_zone(zone, "out")
        await asyncio.sleep(NO_NEW_WORK_S)
        counted = self._runs_in(zone)
        await asyncio.sleep(STEP_S)
        late = self._runs_in(zone) - counted
        if late:
            self._broken.append(f"zone {zone}: {late} sub-requests 5 s after it was taken out")
        print(f"zone {zone} comes back")
        self._publish_zone(zone, "in")
        counted = self._runs_in(zone)
        await asyncio.sleep(2 * STEP_S)
        if self._runs_in(zone) == counted:
            self._broken.append(f"zone {zone} got no work after its return")

    async def _stop_one(self, vm: dict) -> None:
        print(f"{vm['vm']} is stopped gracefully")
        daemon = self._daemon_by_vm[vm["vm"]]
        daemon.send_signal(signal.SIGTERM)
        await asyncio.sleep(STEP_S)
        if daemon.poll() != 0:
            self._broken.append(f"{vm['vm']} ended with {daemon.poll()} after SIGTERM")
        self._unlist(vm)

    async def _pause_one(self, vm: dict) -> None:
        print(f"{vm['vm']} is held for {PAUSE_S:.0f} s and let go")
        daemon = self._daemon_by_vm[vm["vm"]]
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        daemon.send_signal(signal.SIGCONT)
        await asyncio.sleep(STEP_S)

    async def _kill_one(self, vm: dict) -> None:
        print(f"{vm['vm']} is killed")
        self._daemon_by_vm[vm["vm"]].kill()
        await asyncio.sleep(LIST_LAG_S)
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

    def _check(self) -> None:
        for backend in self._backends.values():
            observed = backend.server.observed
            name = backend.server.name
            if observed.over_connections:
                self._broken.append(f"{name}: more connections than its limit")
            if observed.over_slots:
                self._broken.append(f"{name}: {observed.over_slots} arrivals beyond its slots")
            if observed.over_cold_slots:
                self._broken.append(
                    f"{name}: {observed.over_cold_slots} arrivals beyond its cold slots"
                )
            doubled = [key for key, runs in observed.runs_by_key.items() if runs > 1]
            if doubled:
                self._broken.append(f"{name}: {len(doubled)} keys ran twice")
        keys = Counter()
        for backend in self._backends.values():
            keys.update(backend.server.observed.runs_by_key)
        if any(runs > 1 for runs in keys.values()):
            self._broken.append("a key ran on more than one server")
        if self._tally.lost:
            self._broken.append(f"{self._tally.lost} requests were lost")

    def _print(self) -> None:
        tally = self._tally
        p50, p99 = (tally.latency.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(
            f"asked {tally.asked}  whole {tally.whole}  with gaps {tally.gaps}  lost {tally.lost}"
        )
        for reason, count in sorted(tally.refused.items()):
            print(f"refused {reason}: {count}")
        print(f"p50 {p50:.0f} ms  p99 {p99:.0f} ms  platform calls {self._platform.calls}")
        most = max(b.server.observed.most_connections for b in self._backends.values())
        runs = sum(len(b.server.observed.runs) for b in self._backends.values())
        extra = max(0.0, runs / max(1, tally.needed) - 1)
        print(f"most connections at one server {most}, extra load {100 * extra:.1f}%")
        for broken in self._broken:
            print(f"BROKEN {broken}")

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

    def _vm(self, number: int) -> dict:
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
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the daemons' logs here.")
def main(team: tuple[str, ...], logs: Path | None) -> None:
    """Run the demonstration; exit with 1 when a promise broke."""
    broken = []
    with tempfile.TemporaryDirectory() as folder:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        for name in team:
            print(f"== {name}: {VM_COUNT} daemons in zones {', '.join(ZONES)}")
            broken += asyncio.run(Demo(name, logs or Path(folder)).run())
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
