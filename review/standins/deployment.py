"""A small deployment on loopback: the store, replicas, and the project's gateways as processes.

The gateways are started with the command of ``deploy/system.toml`` and settings as on the page
DEPLOY; only addresses, ports and the port for metrics are those of this machine.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from review.standins.replica import COLD_S
from review.standins.store import Store

__all__ = [
    "CouldNotRun",
    "MAX_CONNECTIONS",
    "Deployment",
    "Gateway",
    "Replica",
    "Seen",
    "free_port",
]

ROOT = Path(__file__).resolve().parents[2]
# `maxConnections` of a single server on the sheet of the site.
MAX_CONNECTIONS = 52
ZONES = ("tln-a", "tln-b", "tln-c")
BEAT_S = 1.2
RESTART_S = 3.0
# Below the ports that the kernel assigns to outgoing connections.
PORTS = range(20_000, 32_000)
READY_WAIT_S = 15.0

SETTINGS = """
nodeName = "frontend-{zone}-{number}"
role = "gateway"
machineClass = "frontend"
serves = ["frontend", "control_plane", "directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "eu-baltic"
seedNodes = {seeds}
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"
]
[zones]
tln-a = "eu-baltic"
tln-b = "eu-baltic"
tln-c = "eu-baltic"
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainTimeoutMs = 3000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CouldNotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


@dataclass(frozen=True)
class Seen:
    """What a replica told of itself.

    Attributes:
        at: The machine's steady clock.
        event: ``arrived``, ``began``, ``answered``, ``dropped``, ``turned_away`` (a connection
            beyond the limit) or ``crashed``.
        server: Identifier of the replica.
        service: Its service.
        attempt: Identifier of the request; empty for ``crashed``.
        path: Path of the request; empty for ``crashed``.
    """

    at: float
    event: str
    server: str
    service: str
    attempt: str = ""
    path: str = ""


@dataclass
class Replica:
    """One lifetime of a replica.

    Attributes:
        server: Its identifier.
        service: Its service.
        zone: Its zone.
        address: ``ip:port``.
        entry: What it says of itself in the store.
    """

    server: str
    service: str
    zone: str
    process: asyncio.subprocess.Process
    address: str
    entry: dict


@dataclass
class Gateway:
    """One machine of the system.

    Attributes:
        name: Its ``nodeName``.
        front: Where clients connect.
        started_at: The last start of its process.
    """

    name: str
    ports: dict[str, int]
    settings_path: Path
    settings: dict[str, object]
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0

    @property
    def front(self) -> str:
        """Where clients connect."""
        return f"127.0.0.1:{self.ports['front']}"


@dataclass
class Deployment:
    """Everything that one case starts.

    Attributes:
        store: The platform's store.
        seen: What the replicas told, in the order in which it was read.
        gateways: The machines of the system.
        replicas: The replicas that are alive.
        work_ms: How long a replica works on a request.
        slots: How many requests a replica works on at once.
        crash_path: Requests whose path begins so crash each replica that begins to run them.
        keep_alive_s: How long a replica keeps an idle connection open.
        cold_bears: How many requests within a second a cold replica bears.
    """

    work_ms: float = 20.0
    slots: int = 6
    crash_path: str = ""
    keep_alive_s: int = 10
    cold_bears: int = 1_000_000
    store: Store = field(default_factory=Store)
    seen: list[Seen] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    replicas: list[Replica] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._processes: list[asyncio.subprocess.Process] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._closing = False
        self._run_line = _deployed_command()

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()

    async def start_replica(self, service: str, zone: str, register: bool = True) -> Replica:
        """Start a replica and let it register itself."""
        server = f"i-{next(self._numbers):04x}{os.getpid() & 0xFFFF:04x}"
        process = await asyncio.create_subprocess_exec(
            *("python3", "-m", "review.standins.replica", "--id", server),
            *("--slots", str(self.slots), "--work-ms", str(self.work_ms)),
            *("--crash-path", self.crash_path),
            *("--cold-bears", str(self.cold_bears)),
            *("--keep-alive-s", str(self.keep_alive_s)),
            *("--max-connections", str(MAX_CONNECTIONS)),
            cwd=ROOT,
            env=_environment(),
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes.append(process)
        first = json.loads(await process.stdout.readline() or b"{}")
        if first.get("event") != "listening":
            raise CouldNotRun("a replica did not start")
        entry = {
            "service": service,
            "address": f"127.0.0.1:{first['port']}",
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        replica = Replica(server, service, zone, process, entry["address"], entry)
        self.replicas.append(replica)
        if register:
            self.register(replica)
        self._start_task(self._follow(replica))
        return replica

    def register(self, replica: Replica, **changes: object) -> float:
        """Write what a replica says of itself; return the time of the acknowledgement."""
        replica.entry |= changes
        replica.entry["sequence"] += 1
        value = json.dumps(replica.entry).encode()
        return self.store.put(f"servers/{replica.server}", value)

    async def _follow(self, replica: Replica) -> None:
        """Collect what a replica tells; replace it some seconds after a crash."""
        while line := await replica.process.stdout.readline():
            told = json.loads(line)
            self.seen.append(
                Seen(
                    told["at"],
                    told["event"],
                    replica.server,
                    replica.service,
                    told["attempt"],
                    told["path"],
                )
            )
        await replica.process.wait()
        if self._closing or replica not in self.replicas:
            return
        self.replicas.remove(replica)
        self.seen.append(Seen(time.monotonic(), "crashed", replica.server, replica.service))
        await asyncio.sleep(RESTART_S)
        await self.start_replica(replica.service, replica.zone)
        await asyncio.sleep(3 * BEAT_S - RESTART_S)
        self.store.put(f"servers/{replica.server}", None)

    def turn_cold(self, replica: Replica) -> float:
        """Let a replica turn cold and say so; return the time of the acknowledgement."""
        replica.process.send_signal(signal.SIGUSR1)
        return self.register(replica, coldRemainingMs=int(COLD_S * 1000))

    async def leave(self, replica: Replica) -> None:
        """End a replica that was to leave, and take its entry away."""
        self.replicas.remove(replica)
        replica.process.kill()
        await replica.process.wait()
        self.store.put(f"servers/{replica.server}", None)

    async def start_gateways(self, count: int = 3) -> None:
        """Start all gateways for the first time and wait until each is ready."""
        names = ("front", "ready", "control", "directory", "metrics")
        ports_in_use: set[int] = set()
        while len(ports_in_use) < count * len(names):
            ports_in_use.add(free_port())
        free = iter(ports_in_use)
        all_ports = [{name: next(free) for name in names} for _ in range(count)]
        seeds = [f"127.0.0.1:{ports['control']}" for ports in all_ports[:3]]
        for number, ports in enumerate(all_ports):
            zone = ZONES[number % len(ZONES)]
            name = f"frontend-{zone}-{number // len(ZONES) + 1}"
            settings = {
                "zone": zone,
                "number": number // len(ZONES) + 1,
                "seeds": json.dumps(seeds),
            }
            path = Path(self._folder.name) / f"{name}.toml"
            self.gateways.append(Gateway(name, ports, path, settings))
        for gateway in self.gateways:
            await self.start_gateway(gateway, bootstrap=True)
        await self.wait_ready(self.gateways)

    async def start_gateway(self, gateway: Gateway, bootstrap: bool = False) -> None:
        """Start the process of one gateway."""
        gateway.settings_path.write_text(
            SETTINGS.format(
                **gateway.settings,
                **gateway.ports,
                bootstrap=str(bootstrap).lower(),
                store=self.store.address,
            )
        )
        words = [
            str(gateway.ports["metrics"]) if before == "--metrics-port" else word
            for before, word in zip(["", *self._run_line], self._run_line, strict=False)
        ]
        with gateway.settings_path.with_suffix(".log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=_environment() | {"BERGAMOTGATE_SETTINGS": str(gateway.settings_path)},
                stdout=log,
                stderr=log,
            )
        gateway.started_at = time.monotonic()
        self._processes.append(gateway.process)

    async def end_gateway(self, gateway: Gateway, number: signal.Signals, grace_s: float) -> None:
        """Send a signal, and SIGKILL if the process still runs after the grace period."""
        gateway.process.send_signal(number)
        try:
            async with asyncio.timeout(grace_s):
                await gateway.process.wait()
        except TimeoutError:
            gateway.process.kill()
            await gateway.process.wait()

    async def wait_ready(self, gateways: list[Gateway]) -> None:
        """Wait until gateways are ready.

        Raises:
            CouldNotRun: One of them is not ready in time.
        """
        until = time.monotonic() + READY_WAIT_S
        for gateway in gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > until:
                    raise CouldNotRun(f"{gateway.name} is not ready; {self.log_of(gateway)[-1:]}")
                await asyncio.sleep(0.1)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask a gateway as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["ready"])
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b"200"]

    def log_of(self, gateway: Gateway) -> list[str]:
        """The lines that a gateway has written."""
        return gateway.settings_path.with_suffix(".log").read_text(errors="replace").splitlines()

    async def wait_until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait for something, for so long at most; return whether it holds."""
        until = time.monotonic() + seconds
        while not holds() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return holds()

    async def close(self) -> None:
        """End all processes that were started here."""
        self._closing = True
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.store.close()
        self._folder.cleanup()

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def free_port() -> int:
    """Return a loopback port that is free now for TCP and UDP."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def _environment() -> dict[str, str]:
    """What the platform hands to a process, with the libraries of the build on Python's path."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return kept | {"PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'target' / 'deps'}"}


def _deployed_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()
