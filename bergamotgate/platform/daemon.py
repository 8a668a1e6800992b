"""bergamotgate-gateway: the daemon for the platform, with the settings file that it lays."""

import asyncio
import contextlib
import gc
import os
import random
import signal
import sys
from pathlib import Path

import click
from loguru import logger

from bergamotgate.clock import MonotonicClock, wall_milliseconds
from bergamotgate.errors import AddressInUse, SettingsError
from bergamotgate.gateway.node import GatewayNode, GatewayServices, GatewaySettings
from bergamotgate.logs import set_up_decision_logs
from bergamotgate.loopwatch import LoopWatch, run_watched
from bergamotgate.platform.ingress import Ingress
from bergamotgate.platform.itemdecoder import PlatformItemDecoder
from bergamotgate.platform.replicacodec import PlatformCodec
from bergamotgate.platform.sitesettings import SETTINGS_VARIABLE, load_site_settings
from bergamotgate.platform.store import PlatformStore
from bergamotgate.signals import stop_event
from bergamotgate.wire.network import SocketNetwork

__all__ = ["main", "run_gateway"]

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
# The process ends this long before the platform would kill it.
EXIT_MARGIN_S = 0.6
LOOK_AT_FILE_EVERY_S = 2.0
# Objects made between two collections of garbage, and young collections between two whole ones: a
# query over 135 shards makes thousands of short-lived objects, hardly any of them in cycles, and a
# whole collection stops the process for as long as many sub-requests take.
GARBAGE_THRESHOLDS = (20_000, 20, 50)


@click.command()
@click.option("--metrics-port", type=int, default=None, help="Port for counters.")
def main(metrics_port: int | None) -> None:
    """Serve clients with the settings file that the platform names.

    Exit status: 0 after SIGTERM or SIGINT, 2 for mistakes in the settings, 3 for an address that is
    in use.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_site_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"{error.source}: {problem}", err=True)
        sys.exit(EXIT_SETTINGS)
    set_up_decision_logs(settings.vm)
    _collect_rarely()
    try:
        watch = LoopWatch()
        run_watched(run_gateway(settings, path, metrics_port, watch), watch)
    except AddressInUse as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ADDRESS)


def _collect_rarely() -> None:
    """Leave out of collections what the imports made, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_THRESHOLDS)


async def run_gateway(
    settings: GatewaySettings, path: Path, metrics_port: int | None, watch: LoopWatch
) -> None:
    """Run until SIGTERM or SIGINT, then drain; SIGHUP and a changed file are taken in.

    Raises:
        AddressInUse: An address of the settings is taken.
    """
    clock = MonotonicClock()
    services = GatewayServices(
        source=PlatformStore(settings.store),
        decoder=PlatformItemDecoder(),
        codec=PlatformCodec(),
        network=SocketNetwork(),
        clock=clock,
        rng=random.Random(),
        boot=wall_milliseconds(),
    )
    node = GatewayNode(settings, services)
    ingress = Ingress(node, clock, watch.waiting_s)
    stopped = stop_event()
    ingress.open()
    if metrics_port is not None:
        host = settings.front.rpartition(":")[0]
        ingress.open_metrics(f"{host}:{metrics_port}")
    await node.start()
    logger.info("gateway: Serving clients at {}.", settings.front)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _read_again, node, path)
    while not stopped.is_set():
        await _changed_or_stopped(stopped, path, clock)
        if not stopped.is_set():
            _read_again(node, path)
    last = clock.now() + settings.grace_s - EXIT_MARGIN_S
    await node.leave()
    finished = await ingress.drain(last)
    logger.info("gateway: Drained {}.", "whole" if finished else "in part")
    await node.close()


async def _changed_or_stopped(stopped: asyncio.Event, path: Path, clock: MonotonicClock) -> None:
    """Wait for the end, or for a change of the settings file that no signal tells of."""
    before = _changed_at(path)
    while not stopped.is_set() and _changed_at(path) == before:
        with contextlib.suppress(TimeoutError):
            async with clock.timeout(LOOK_AT_FILE_EVERY_S):
                await stopped.wait()


def _changed_at(path: Path) -> int:
    """Time of the file's last change in nanoseconds; 0 while it is being replaced."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _read_again(node: GatewayNode, path: Path) -> None:
    """Take in the settings file after SIGHUP, or go on with the old ones and say why."""
    try:
        node.use_settings(load_site_settings(path))
    except SettingsError as error:
        logger.bind(problems=[str(p) for p in error.problems]).error(
            "gateway: The changed settings are not used."
        )


if __name__ == "__main__":
    main()
