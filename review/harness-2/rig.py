"""A small deployment on loopback: a store, servers, clients and the project's daemons.

The store is the project's own stand-in. Servers and clients are small ones that follow the
platform's pages. All times are of the real clock, in seconds since the start of the script.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from bergamotgate.standin.store import StandInStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
ZONES = ("perth-a", "bunbury-b", "albany-c")
RESTART_DELAY_S = 0.3
STARTUP_LIMIT_S = 20.0
# Below the ports that the kernel gives to outgoing connections.
PORTS = (12000, 25000)

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

# What the settings of a small deployment hold; the addresses are of this machine only.
SETTINGS = """
nodeName = "{vm}"
role = "gateway"
machineClass = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{ip}"
zone = "{zone}"
region = "wa-south"
internalPortRange = [{internal},{internal}]
seedNodes = {seeds}
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
perth-a = "wa-south"
bunbury-b = "wa-south"
albany-c = "wa-south"
[listenAddrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
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
budgetSlack = 52
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

_BEGAN_AT = time.monotonic()


class NotRunError(Exception):
    """The case could not be run."""


def now_s() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - _BEGAN_AT


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, kind: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s():8.3f} {kind} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line of the result, and print it."""
        self._file.write(text + "\n")
        self._file.flush()
        print(text, flush=True)


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORTS)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind((ip, port))
            udp.bind((ip, port))
        except OSError:
            return False
    return True


class Daemon:
    """One gateway process, started by the command of the deploy file.

    Attributes:
        vm: Name of its machine.
        front: ``ip:port`` for clients.
        ended_by_itself: Times at which it ended without a signal that ends a process.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        number_in_zone: int,
        folder: Path,
        ports: list[int],
        seeds: list[str],
        store: str,
    ):
        self.ip = f"127.0.0.{number + 1}"
        self.zone = zone
        self.vm = f"frontend-{self.zone}-{number_in_zone}"
        self.front = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        self.control = f"{self.ip}:{ports[2]}"
        self.directory_port = ports[3]
        self._ports = ports
        self._seeds = seeds
        self._store = store
        self._settings = folder / f"settings-{number}.toml"
        self._log_path = folder / f"log-{number}.txt"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    def write_settings(self, bootstrap: bool) -> None:
        """Lay the settings file."""
        front, ready, control, directory, metrics, internal = self._ports
        self._metrics = metrics
        text = SETTINGS.format(
            vm=self.vm,
            ip=self.ip,
            zone=self.zone,
            seeds=json.dumps(self._seeds),
            bootstrap=str(bootstrap).lower(),
            front=front,
            ready=ready,
            control=control,
            directory=directory,
            internal=internal,
            store=self._store,
        )
        self._settings.write_text(text)

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process."""
        self.write_settings(bootstrap)
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env["BERGAMOTGATE_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "bergamotgate.platform.daemon",
                "--metrics-port",
                str(self._metrics),
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )
        self.started_at = now_s()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address once."""
        try:
            reply = await send_once(
                self.ready, b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1
            )
        except OSError:
            return False
        return reply is not None and reply.status == 200

    async def wait_until_ready(self) -> None:
        """Wait for a 200 of the readiness address.

        Raises:
            NotRunError: It did not come in time.
        """
        until = now_s() + STARTUP_LIMIT_S
        while not await self.is_ready():
            if now_s() > until or not self.running:
                status = self.process.returncode
                raise NotRunError(f"{self.vm}: {status}: {self.log_text()[-2000:]}")
            await asyncio.sleep(0.1)

    def log_text(self) -> str:
        """Return the log of the process."""
        return self._log_path.read_text(errors="replace")


@dataclass(frozen=True)
class Reply:
    """A complete HTTP response as a client reads it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether the connection ends with it."""
        return self.headers.get("connection", "").lower() == "close"


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read a response with a length.

    Raises:
        OSError: The connection ended first.
        ValueError: The bytes are no response.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        version, status, *_ = head[0].split(" ")
        if not version.startswith("HTTP/1."):
            raise ValueError(head[0])
        pairs = [line.partition(":") for line in head[1:] if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the connection ended without a complete answer") from error
    return Reply(int(status), headers, body)


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection."""
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send_once(address: str, data: bytes, timeout_s: float) -> Reply | None:
    """Send a request on a connection of its own; None if no answer comes in time."""
    reader, writer = await connect(address)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await read_reply(reader)
    except TimeoutError:
        return None
    finally:
        writer.close()


@dataclass(frozen=True)
class Received:
    """A request as a server reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float

    @property
    def attempt(self) -> str:
        """The client's identifier."""
        return self.headers.get("x-attempt-id", "")


Responder = Callable[["Server", Received, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A backend server; ``respond`` writes each response and tells whether to keep the connection.

    Attributes:
        received: All requests that it read whole.
        ran: The requests that it began to work on.
    """

    def __init__(self, name: str, service: str, zone: str, body: bytes, respond: Responder):
        self.name = name
        self.service = service
        self.zone = zone
        self.body = body
        self.respond = respond
        self.received: list[Received] = []
        self.ran: list[Received] = []
        self.address = ""
        self.born = int(time.time() * 1000)
        self.draining = False
        self.sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, ip, port)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stop at once; all connections end."""
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> bytes:
        """Return what the server reports to the store."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    def response(self, request: Received, body: bytes | None = None, extra: str = "") -> bytes:
        """Return a sound response to a request that has run."""
        body = self.body if body is None else body
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.attempt}\r\n"
            f"X-Server-Stamp: {self.stamp(request)}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("latin-1") + body

    def stamp(self, request: Received) -> str:
        """Return the digest of a response."""
        return f"{self.name}.{request.attempt}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        pairs = [line.partition(":") for line in head[1:] if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = Received(method, target, headers, body, now_s())
        self.received.append(request)
        if headers.get("x-target-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        keep = await self.respond(self, request, writer)
        await writer.drain()
        return keep


async def respond_soundly(server: Server, request: Received, writer: asyncio.StreamWriter) -> bool:
    """Run a request and answer it."""
    server.ran.append(request)
    await asyncio.sleep(0.005)
    writer.write(server.response(request))
    return True


@dataclass
class Rig:
    """A store, servers and daemons, in a temporary folder."""

    record: Record
    store: StandInStore = field(default_factory=StandInStore)
    servers: list[Server] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    extra_services: list[str] = field(default_factory=list)
    routes: list[dict] = field(default_factory=list)
    version: int = 1

    async def start(
        self, vms: int, folder: Path, settle_s: float = 2.0, zones: tuple[str, ...] = ZONES
    ) -> None:
        """Start everything and wait until all machines are ready."""
        self.store.start()
        for server in self.servers:
            await server.start()
            self.report(server)
        self.publish_config()
        ports = free_ports([f"127.0.0.{number + 1}" for number in range(vms)], 6)
        seeds = [f"127.0.0.{n + 1}:{ports[2]}" for n in range(min(3, vms))]
        for number in range(vms):
            zone = zones[number % len(zones)]
            in_zone = 1 + sum(1 for daemon in self.daemons if daemon.zone == zone)
            daemon = Daemon(number, zone, in_zone, folder, ports, seeds, self.store.address)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.start(bootstrap=True)
        for daemon in self.daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(settle_s)

    def report(self, server: Server) -> None:
        """Write a server's entry to the store."""
        self.store.source.publish(f"servers/{server.name}", server.entry())

    def withdraw(self, server: Server) -> None:
        """Remove a server's entry."""
        self.store.source.publish(f"servers/{server.name}", None)

    def publish_config(self) -> None:
        """Write the next version of the configuration."""
        self.version += random.randint(1, 3)
        services = sorted({server.service for server in self.servers} | {*self.extra_services})
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConnections": 96,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 3.0,
                    "coldPerS": 0.0,
                }
                for service in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.source.publish("op/config", json.dumps(config).encode())

    async def close(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.end()
        for server in self.servers:
            server.stop()
        await self.store.close()


def route(name: str, prefix: str, service: str, **fields: object) -> dict:
    """Return a route to one service."""
    common = {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }
    return common | fields


def request_bytes(
    attempt: str, target: str, deadline_ms: int, method: str = "GET", body: bytes = b""
) -> bytes:
    """Return a request as a client sends it."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n"
    )
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


Case = Callable[[Rig, Path, bool], Awaitable[bool]]


def run_case(case: Case, folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case did not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(case, folder, trouble)))


async def _run(case: Case, folder: Path, trouble: bool) -> int:
    record = Record(folder)
    rig = Rig(record)
    # Ended from outside, the script still ends what it has started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            async with asyncio.timeout(110):
                held = await case(rig, Path(scratch), trouble)
        except (NotRunError, OSError, TimeoutError) as error:
            record.say(f"the case did not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            await rig.close()
            if os.environ.get("KEEP_LOGS"):
                for daemon in rig.daemons:
                    (Path(os.environ["KEEP_LOGS"]) / f"{daemon.vm}.log").write_text(
                        daemon.log_text()
                    )
    record.say("the rule held" if held else "the rule was broken")
    return EXIT_HELD if held else EXIT_BROKEN
