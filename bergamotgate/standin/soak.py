"""Soak test: runs gateway processes under random faults and checks the results.

``python -m bergamotgate.standin.soak --seeds 50`` runs the seeds one after the other and exits with
1 if an invariant is violated. Only processes that it started are signalled, by their process ids.
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
from bergamotgate.standin.soakcaller import SoakCaller, check_calls, check_rate
from bergamotgate.standin.soaklosses import WRITE_AGAIN_S, StoreLossCheck
from bergamotgate.standin.soakplatform import SoakPlatform
from bergamotgate.standin.soakviews import RouteProbe, check_statements, check_views
from bergamotgate.standin.store import StoreFault

__all__ = ["Soak", "main"]

ZONES = ("a", "b", "c")
DEFAULT_VMS = 3
SHARDS = 4
REPLICAS = 2
BOOKING_SERVERS = 3
CALLERS_PER_VM = 2
SEEDS = 3
STARTUP_S = 3.0
# Stated recovery target: service is restored this long after the machines are back.
RECOVERY_TARGET_S = 12.0
MEASURE_S = 3.0
FIRST_PORT = 26000
PORT_RANGE = 6700  # below the ports that the kernel assigns to outgoing connections
PORTS_PER_VM = 4
# Requests per second that a server may state.
STATED_RATES = ("0.5", "2", "8", "30")
# Age of the copy from which the store comes back; so much is published before the faults begin.
MIN_COPY_CHANGES = 10
MAX_COPY_CHANGES = 60
MAX_REPORTS = 20
GRACE_S = 6.0
RESTART_DELAY_S = 0.3
WATCH_INTERVAL_S = 0.1
# The platform excuses the end of a process this soon after its start, as by a signal that comes
# before the process handles it.
EXCUSED_AFTER_START_S = 1.0
SETTINGS_TEMPLATE = """
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
    """A gateway process controlled by the soak test.

    Attributes:
        number: Number of the VM.
        ports: Its front, readiness, control and directory ports.
        front: ``ip:port`` for clients.
    """

    def __init__(self, number: int, folder: Path, store: str, base: int, vms: int):
        self.number = number
        self.ports = [base + PORTS_PER_VM * number + n for n in range(PORTS_PER_VM)]
        self.front = f"127.0.0.1:{self.ports[0]}"
        self._seeds = [f"127.0.0.1:{base + PORTS_PER_VM * n + 2}" for n in range(min(vms, SEEDS))]
        self._store = store
        self._settings_path = folder / f"vm-{number}.toml"
        self._log_path = folder / f"vm-{number}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._started_at = 0.0

    async def start(self, first: bool) -> None:
        """Start the process.

        Args:
            first: Whether the whole fleet starts for the first time (``bootstrap`` setting).
        """
        text = SETTINGS_TEMPLATE.format(
            number=self.number,
            zone=ZONES[self.number % len(ZONES)],
            seeds=json.dumps(self._seeds),
            first=str(first).lower(),
            front=self.ports[0],
            ready=self.ports[1],
            control=self.ports[2],
            directory=self.ports[3],
            store=self._store,
        )
        self._settings_path.write_text(text)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bergamotgate.platform.daemon",
                stdout=log,
                stderr=log,
                env=os.environ | {"BERGAMOTGATE_SETTINGS": str(self._settings_path)},
            )
        self._started_at = asyncio.get_running_loop().time()

    def ran_s(self) -> float:
        """Return the seconds since the last start of the process."""
        return asyncio.get_running_loop().time() - self._started_at

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process; None while it runs."""
        return self._process.returncode

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait for the process to exit; kill it after ``GRACE_S``."""
        self.send(number)
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()


class Soak:
    """One seed: a small deployment, callers, and a series of faults that may overlap.

    Attributes:
        violations: Descriptions of the violated invariants.
        counts: Number of attempts by outcome.
    """

    def __init__(self, seed: int, faults_s: float, folder: Path, vms: int = DEFAULT_VMS):
        self._seed = seed
        self._rng = random.Random(seed)
        self._vms = vms
        self._faults_s = faults_s
        self._platform = SoakPlatform(self._rng, SHARDS)
        self._store = self._platform.store
        self._replicas: list[StandInReplica] = []
        self._proxies: list[FaultyProxy] = []
        self._folder = folder
        ports = PORTS_PER_VM * vms
        self._base = FIRST_PORT + seed % (PORT_RANGE // ports) * ports
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    @property
    def losses(self) -> int:
        """How many times the store came back from an older copy."""
        return self._platform.losses

    async def run(self) -> None:
        """Run the seed and check the results."""
        await self._start_platform()
        gateways = [
            GatewayProcess(n, self._folder, self._store_proxy.address, self._base, self._vms)
            for n in range(self._vms)
        ]
        for gateway in gateways:
            await gateway.start(first=True)
        await asyncio.sleep(STARTUP_S)
        self.violations += [
            f"vm-{gateway.number} exited with status {gateway.exit_status} at its start"
            for gateway in gateways
            if gateway.exit_status is not None
        ]
        fronts = [gateway.front for gateway in gateways]
        probe = RouteProbe(fronts)
        callers = [
            SoakCaller(n, fronts, random.Random(n)) for n in range(CALLERS_PER_VM * self._vms)
        ]
        caller_tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        watching = asyncio.ensure_future(self._restart_ended(gateways))
        try:
            await self._inject_faults(gateways)
            await self._check_recovery(callers)
            self.violations += await check_statements(
                self._replicas[-3], self._replicas[2], self._vms
            )
            await self._check_published_state(probe)
        finally:
            watching.cancel()
            for caller in callers:
                caller.stop()
            await asyncio.gather(*caller_tasks, return_exceptions=True)
            for gateway in gateways:
                await gateway.end(signal.SIGKILL)
            await self._close_platform()
        calls = [call for caller in callers for call in caller.calls]
        self.counts.update(call.outcome for call in calls)
        self.violations += check_calls(calls, self._replicas, SHARDS, probe.attempts)

    async def _check_published_state(self, probe: RouteProbe) -> None:
        # Of shards that nothing else concerns: each has another server, without a pause or a rate.
        *_, drains_before, drains_after = self._replicas[1 : SHARDS * REPLICAS : REPLICAS]
        loss = StoreLossCheck(self._platform, probe, drains_before, drains_after, self._rng)
        self.violations += await loss.run(passes=self._seed % 2 == 0)
        self.violations += await check_views(self._platform, probe, self._replicas[-2])

    async def _restart_ended(self, gateways: list[GatewayProcess]) -> None:
        """Restart processes that ended by themselves, as the platform does."""
        while True:
            for gateway in gateways:
                if gateway.exit_status is None:
                    continue
                async with _ExclusiveRestart(gateway) as acquired:
                    if acquired and gateway.exit_status is not None:
                        await self._restart_one_ended(gateway)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _restart_one_ended(self, gateway: GatewayProcess) -> None:
        if gateway.ran_s() > EXCUSED_AFTER_START_S + WATCH_INTERVAL_S:
            self.violations.append(
                f"vm-{gateway.number} ended by itself with status {gateway.exit_status}"
            )
        await asyncio.sleep(RESTART_DELAY_S)
        await gateway.start(first=False)

    async def _start_platform(self) -> None:
        self._store.start()
        self._store_proxy = await self._start_proxy(self._store.address)
        self._platform.publish_config()
        pools = [f"shard-{n}" for n in range(SHARDS) for _ in range(REPLICAS)] + [
            "desk"
        ] * BOOKING_SERVERS
        for number, pool in enumerate(pools):
            body = b"".join((number * 100 + n).to_bytes(16, "big") for n in range(5))
            replica = StandInReplica(f"i-{number}", body=body, service_s=0.01)
            await replica.start()
            self._replicas.append(replica)
            proxy = await self._start_proxy(replica.address)
            self._platform.register(
                replica,
                service=pool,
                address=proxy.address,
                zone=ZONES[number % len(ZONES)],
                born=number + 1,
            )
        self._platform.report_servers(MAX_COPY_CHANGES)

    async def _start_proxy(self, target: str) -> FaultyProxy:
        proxy = FaultyProxy(target)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    async def _inject_faults(self, gateways: list[GatewayProcess]) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._faults_s
        running: set[asyncio.Task] = set()
        while loop.time() < until:
            for _ in range(self._rng.choice((1, 1, 2, 3))):
                running.add(asyncio.ensure_future(self._inject_fault(gateways)))
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, Exception):
                self.violations.append(f"fault injection failed: {result!r}")
        for gateway in gateways:
            gateway.send(signal.SIGCONT)

    async def _inject_fault(self, gateways: list[GatewayProcess]) -> None:
        kinds = (
            self._restart_gateway,
            self._pause_gateway,
            self._fail_store,
            self._fail_link,
            self._fail_server,
            self._state_rate,
            self._leave_unreadable_entry,
            self._restore_store,
            self._report_servers,
            self._drain_server,
        )
        await self._rng.choice((*kinds, self._change_config))(self._rng.choice(gateways))

    async def _restart_gateway(self, gateway: GatewayProcess) -> None:
        async with _ExclusiveRestart(gateway) as acquired:
            if acquired:
                await gateway.end(self._rng.choice((signal.SIGKILL, signal.SIGTERM)))
                await asyncio.sleep(RESTART_DELAY_S)
                await gateway.start(first=False)

    async def _pause_gateway(self, gateway: GatewayProcess) -> None:
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        gateway.send(signal.SIGCONT)

    async def _fail_store(self, gateway: GatewayProcess) -> None:
        self._store.fault = self._rng.choice(list(StoreFault))
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._store.fault = StoreFault.NONE
        if self._rng.random() < 0.3:
            self._store.source.forget_history()

    async def _fail_link(self, gateway: GatewayProcess) -> None:
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

    async def _state_rate(self, gateway: GatewayProcess) -> None:
        replica = self._rng.choice(self._replicas)
        replica.stated_rate = self._rng.choice(STATED_RATES)
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))
        replica.stated_rate = None

    async def _leave_unreadable_entry(self, gateway: GatewayProcess) -> None:
        self._platform.publish_unreadable_entry()

    async def _restore_store(self, gateway: GatewayProcess) -> None:
        writes = []
        for _ in range(self._rng.choice((1, 1, 2))):
            await self._platform.be_away()
            changes = self._rng.randint(MIN_COPY_CHANGES, MAX_COPY_CHANGES)
            lost = self._platform.restore_copy(changes)
            self._store.fault = StoreFault.NONE
            write = self._platform.write_again(lost, WRITE_AGAIN_S)
            writes.append(asyncio.ensure_future(write))
            await asyncio.sleep(self._rng.uniform(0.0, WRITE_AGAIN_S))
        await asyncio.gather(*writes)

    async def _report_servers(self, gateway: GatewayProcess) -> None:
        self._platform.report_servers(self._rng.randint(1, MAX_REPORTS))

    async def _drain_server(self, gateway: GatewayProcess) -> None:
        replica = self._rng.choice(self._replicas)
        self._platform.set_state(replica, "draining")
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self._platform.start_again(replica)

    async def _change_config(self, gateway: GatewayProcess) -> None:
        self._platform.publish_config()
        gateway.send(signal.SIGHUP)

    async def _check_recovery(self, callers: list[SoakCaller]) -> None:
        limited = [self._replicas[0], self._replicas[-1]]
        for replica in limited:
            replica.stated_rate = self._rng.choice(STATED_RATES)
        stated_at = asyncio.get_running_loop().time()
        await asyncio.sleep(RECOVERY_TARGET_S)
        for replica in self._replicas:
            replica.faults = []
        call_counts = [len(caller.calls) for caller in callers]
        await asyncio.sleep(MEASURE_S)
        recent_calls = [
            call for c, n in zip(callers, call_counts, strict=True) for call in c.calls[n:]
        ]
        served = sum(1 for call in recent_calls if call.status == 200)
        if served < 0.95 * len(recent_calls) or not recent_calls:
            self.violations.append(
                f"{served} of {len(recent_calls)} requests were served after recovery"
            )
        for replica in limited:
            self.violations += check_rate(replica, float(replica.stated_rate), stated_at)

    async def _close_platform(self) -> None:
        for proxy in self._proxies:
            await proxy.close()
        for replica in self._replicas:
            await replica.close()
        await self._store.close()


class _ExclusiveRestart:
    """Context manager that prevents concurrent restarts of one process.

    It yields whether this fault may restart the process.
    """

    _restarting: set[int] = set()

    def __init__(self, gateway: GatewayProcess):
        self._gateway_id = id(gateway)

    async def __aenter__(self) -> bool:
        self._acquired = self._gateway_id not in self._restarting
        self._restarting.add(self._gateway_id)
        return self._acquired

    async def __aexit__(self, *error: object) -> None:
        if self._acquired:
            self._restarting.discard(self._gateway_id)


@click.command()
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--first", default=1, help="First seed.")
@click.option("--vms", default=DEFAULT_VMS, help="Number of gateway processes.")
@click.option("--seconds", default=12.0, help="Duration of the faults for each seed, in seconds.")
@click.option(
    "--logs", type=click.Path(path_type=Path), default=None, help="Directory for the logs."
)
def main(seeds: int, first: int, vms: int, seconds: float, logs: Path | None) -> None:
    """Inject random faults into gateway processes; exit with 1 if an invariant is violated."""
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=logs))
        soak = Soak(seed, seconds, folder, vms)
        asyncio.run(soak.run())
        counts = ", ".join(f"{count} {name}" for name, count in sorted(soak.counts.items()))
        verdict = "BROKEN" if soak.violations else "kept"
        click.echo(f"seed {seed}: {verdict}; {soak.losses} store losses, {counts}")
        for violation in soak.violations:
            click.echo(f"  BROKEN {violation}; logs in {folder}")
        failed += [seed] if soak.violations else []
    click.echo(f"{seeds - len(failed)} of {seeds} seeds kept every promise; broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
