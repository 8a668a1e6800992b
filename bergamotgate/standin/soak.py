"""Runs real gateway processes under random faults and checks what callers and servers see.

``python -m bergamotgate.standin.soak --seeds 50`` runs seeds one after the other and exits with 1
when a promise broke. Only processes that it started are ever signalled, by their ids.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click

from bergamotgate.standin.proxy import FaultyProxy, LinkFault
from bergamotgate.standin.replica import Fault, StandInReplica
from bergamotgate.standin.soakcaller import SoakCaller, check_calls
from bergamotgate.standin.store import StandInStore, StoreFault

__all__ = ["Soak", "main"]

ZONES = ("a", "b", "c")
VMS = 3
SHARDS = 4
COPIES = 2
DESKS = 3
CALLERS = 6
START_S = 3.0
# Stated target: service is back this long after the machines are.
RECOVER_S = 12.0
SETTLED_S = 3.0
FIRST_PORT = 26000
PORTS_PER_VM = 4
GRACE_S = 6.0
RESTART_S = 0.3
TABLE_TEMPLATE = """
nodeName = "vm-{number}"
zone = "{zone}"
seedNodes = {seeds}
bootstrap = {first}
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpuShare = 1.0
cpuCores = 1
[bounds]
gracePeriodS = 6
retryBudgetRatio = 0.2
budgetSlack = 50
budgetWindowS = 10
[platform]
address = "{store}"
"""


class GatewayProcess:
    """One gateway under the soak's control."""

    def __init__(self, number: int, folder: Path, store: str, base: int):
        self.number = number
        self.ports = [base + PORTS_PER_VM * number + n for n in range(PORTS_PER_VM)]
        self.front = f"127.0.0.1:{self.ports[0]}"
        self._base = base
        self._store = store
        self._settings = folder / f"vm-{number}.toml"
        self._log = folder / f"vm-{number}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._ended = False

    async def start(self, first: bool) -> None:
        """Start the process."""
        seeds = [f"127.0.0.1:{self._base + PORTS_PER_VM * n + 2}" for n in range(VMS)]
        text = TABLE_TEMPLATE.format(
            number=self.number,
            zone=ZONES[self.number % len(ZONES)],
            seeds=json.dumps(seeds),
            first=str(first).lower(),
            front=self.ports[0],
            ready=self.ports[1],
            control=self.ports[2],
            directory=self.ports[3],
            store=self._store,
        )
        self._settings.write_text(text)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bergamotgate.platform.daemon",
                stdout=log,
                stderr=log,
                env=os.environ | {"BERGAMOTGATE_SETTINGS": str(self._settings)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """End the process and wait for it; it is killed after the grace period."""
        self.send(number)
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()


class Soak:
    """One seed: a small deployment, callers, and a series of faults that may overlap.

    Attributes:
        violations: Promises that broke, in words.
    """

    def __init__(self, seed: int, faults_s: float, folder: Path):
        self._rng = random.Random(seed)
        self._faults_s = faults_s
        self._store = StandInStore()
        self._replicas: list[StandInReplica] = []
        self._proxies: list[FaultyProxy] = []
        self._folder = folder
        self._base = FIRST_PORT + (seed % 500) * PORTS_PER_VM * VMS
        self._version = 0
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Play the seed."""
        await self._start_world()
        gateways = [
            GatewayProcess(n, self._folder, self._store_proxy.address, self._base)
            for n in range(VMS)
        ]
        for gateway in gateways:
            await gateway.start(first=True)
        await asyncio.sleep(START_S)
        fronts = [gateway.front for gateway in gateways]
        callers = [SoakCaller(n, fronts, random.Random(n)) for n in range(CALLERS)]
        calling = [asyncio.ensure_future(caller.run()) for caller in callers]
        try:
            await self._play_faults(gateways)
            await self._check_recovery(callers)
        finally:
            for caller in callers:
                caller.stop()
            await asyncio.gather(*calling, return_exceptions=True)
            for gateway in gateways:
                await gateway.end(signal.SIGKILL)
            await self._close_world()
        calls = [call for caller in callers for call in caller.calls]
        self.counts.update(call.outcome for call in calls)
        self.violations += check_calls(calls, self._replicas, SHARDS)

    async def _start_world(self) -> None:
        self._store.start()
        self._store_proxy = await self._proxy(self._store.address)
        self._publish_config()
        pools = [f"shard-{n}" for n in range(SHARDS) for _ in range(COPIES)] + ["desk"] * DESKS
        for number, pool in enumerate(pools):
            body = b"".join((number * 100 + n).to_bytes(16, "big") for n in range(5))
            replica = StandInReplica(f"i-{number}", body=body, service_s=0.01)
            await replica.start()
            self._replicas.append(replica)
            proxy = await self._proxy(replica.address)
            entry = {
                "service": pool,
                "address": proxy.address,
                "zone": ZONES[number % len(ZONES)],
                "slots": 4,
                "state": "ready",
                "coldRemainingMs": 0,
                "born": number + 1,
            }
            self._store.source.publish(f"servers/i-{number}", json.dumps(entry).encode())

    async def _proxy(self, target: str) -> FaultyProxy:
        proxy = FaultyProxy(target)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    def _publish_config(self) -> None:
        self._version += self._rng.randint(1, 3)
        common = {"hostname": "soak.example", "timeoutMs": 2000, "targetLatencyMs": 200}
        pools = [f"shard-{n}" for n in range(SHARDS)]
        search = {"name": "search", "prefix": "/s/", "routeType": "idempotent", "maxAttempts": 2}
        search |= {"gather": pools, "topK": 6, "minShardShare": 0.5}
        book = {"name": "book", "prefix": "/b/", "routeType": "non_idempotent", "service": "desk"}
        services = [{"name": n, "healthPath": "/h", "maxConnections": 64} for n in [*pools, "desk"]]
        config = {
            "version": self._version,
            "routes": [common | search, common | book],
            "services": services,
        }
        self._store.source.publish("op/config", json.dumps(config).encode())

    async def _play_faults(self, gateways: list[GatewayProcess]) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._faults_s
        running: set[asyncio.Task] = set()
        while loop.time() < until:
            for _ in range(self._rng.choice((1, 1, 2, 3))):
                running.add(asyncio.ensure_future(self._fault(gateways)))
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, Exception):
                self.violations.append(f"the soak itself failed: {result!r}")
        for gateway in gateways:
            gateway.send(signal.SIGCONT)

    async def _fault(self, gateways: list[GatewayProcess]) -> None:
        kinds = (self._end, self._pause, self._trouble_store, self._trouble_link, self._fail_server)
        await self._rng.choice((*kinds, self._change))(self._rng.choice(gateways))

    async def _end(self, gateway: GatewayProcess) -> None:
        async with _once(gateway) as free:
            if free:
                await gateway.end(self._rng.choice((signal.SIGKILL, signal.SIGTERM)))
                await asyncio.sleep(RESTART_S)
                await gateway.start(first=False)

    async def _pause(self, gateway: GatewayProcess) -> None:
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        gateway.send(signal.SIGCONT)

    async def _trouble_store(self, gateway: GatewayProcess) -> None:
        self._store.fault = self._rng.choice(list(StoreFault))
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._store.fault = StoreFault.NONE
        if self._rng.random() < 0.3:
            self._store.source.forget_history()

    async def _trouble_link(self, gateway: GatewayProcess) -> None:
        proxy = self._rng.choice(self._proxies)
        action = self._rng.choice((proxy.reset_all, proxy.blackhole_all, None))
        if action is not None:
            action()
            return
        proxy.fault = self._rng.choice(list(LinkFault))
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        proxy.fault = LinkFault.NONE

    async def _fail_server(self, gateway: GatewayProcess) -> None:
        replica = self._rng.choice(self._replicas)
        faults = [fault for fault in Fault if fault is not Fault.NO_REPLY]
        replica.faults = [self._rng.choice(faults) for _ in range(self._rng.randint(1, 10))]

    async def _change(self, gateway: GatewayProcess) -> None:
        self._publish_config()
        gateway.send(signal.SIGHUP)

    async def _check_recovery(self, callers: list[SoakCaller]) -> None:
        await asyncio.sleep(RECOVER_S)
        for replica in self._replicas:
            replica.faults = []
        before = [len(caller.calls) for caller in callers]
        await asyncio.sleep(SETTLED_S)
        late = [call for c, n in zip(callers, before, strict=True) for call in c.calls[n:]]
        served = sum(1 for call in late if call.status == 200)
        if served < 0.95 * len(late) or not late:
            self.violations.append(f"{served} of {len(late)} requests served after the recovery")

    async def _close_world(self) -> None:
        for proxy in self._proxies:
            await proxy.close()
        for replica in self._replicas:
            await replica.close()
        await self._store.close()


class _once:
    """Keeps two faults from ending one process at the same time."""

    _busy: set[int] = set()

    def __init__(self, gateway: GatewayProcess):
        self._number = id(gateway)

    async def __aenter__(self) -> bool:
        self._free = self._number not in self._busy
        self._busy.add(self._number)
        return self._free

    async def __aexit__(self, *error: object) -> None:
        if self._free:
            self._busy.discard(self._number)


@click.command()
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--first", default=1, help="First seed.")
@click.option("--seconds", default=12.0, help="Time with faults for each seed.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Keep logs here.")
def main(seeds: int, first: int, seconds: float, logs: Path | None) -> None:
    """Play random faults against real gateway processes; exit with 1 when a promise broke."""
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=logs))
        soak = Soak(seed, seconds, folder)
        asyncio.run(soak.run())
        counts = ", ".join(f"{count} {name}" for name, count in sorted(soak.counts.items()))
        click.echo(f"seed {seed}: {'BROKEN' if soak.violations else 'kept'}; {counts}")
        for promise in soak.violations:
            click.echo(f"  BROKEN {promise}; logs in {folder}")
        failed += [seed] if soak.violations else []
    click.echo(f"{seeds - len(failed)} of {seeds} seeds kept every promise; broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
