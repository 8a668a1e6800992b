"""bergamotgate-gateway: runs a gateway with the settings file that the platform provides."""

import asyncio
import contextlib
import gc
import os
import random
import signal
import sys
from dataclasses import replace
from pathlib import Path

import click
from loguru import logger

from bergamotgate.clock import MonotonicClock, wall_milliseconds
from bergamotgate.discovery.statements import DEFAULT_MAX_PAUSE_S
from bergamotgate.errors import AddressInUse, SettingsError
from bergamotgate.gateway.node import GatewayNode, GatewayServices, GatewaySettings
from bergamotgate.logs import set_up_structured_logs
from bergamotgate.loopwatch import LoopLagSelector, run_with_selector
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
# The process exits this long before the platform would kill it.
EXIT_MARGIN_S = 0.6
SETTINGS_CHECK_INTERVAL_S = 2.0
# Allocations between two garbage collections, and young collections between two full ones: a query
# over 135 shards allocates thousands of short-lived objects, hardly any of them in cycles, and a
# full collection stops the process for as long as many sub-requests take.
GC_THRESHOLDS = (20_000, 20, 50)


@click.command()
@click.option("--metrics-port", type=int, default=None, help="Port for metrics.")
@click.option(
    "--max-server-pause",
    type=click.FloatRange(min=0),
    default=DEFAULT_MAX_PAUSE_S,
    show_default=True,
    help="Longest pause that a server may ask for, in seconds.",
)
def main(metrics_port: int | None, max_server_pause: float) -> None:
    """Serve clients with the settings file that the platform names.

    Exit status: 0 after SIGTERM or SIGINT, 2 for errors in the settings, 3 for an address that is
    in use.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = replace(load_site_settings(path), max_pause_s=max_server_pause)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"{error.source}: {problem}", err=True)
        sys.exit(EXIT_SETTINGS)
    set_up_structured_logs(settings.vm)
    _reduce_gc_pauses()
    try:
        selector = LoopLagSelector()
        run_with_selector(run_gateway(settings, path, metrics_port, selector), selector)
    except AddressInUse as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ADDRESS)


def _reduce_gc_pauses() -> None:
    """Exclude objects that imports created from garbage collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def run_gateway(
    settings: GatewaySettings, path: Path, metrics_port: int | None, selector: LoopLagSelector
) -> None:
    """Run until SIGTERM or SIGINT, then drain; reload settings after SIGHUP or a file change.

    Raises:
        AddressInUse: Another process uses an address of the settings.
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
    ingress = Ingress(node, clock, selector.waiting_s)
    stopped = stop_event()
    ingress.open()
    if metrics_port is not None:
        host = settings.front.rpartition(":")[0]
        ingress.open_metrics(f"{host}:{metrics_port}")
    await node.start()
    logger.info("gateway: Serving clients at {}.", settings.front)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _reload_settings, node, path)
    while not stopped.is_set():
        await _changed_or_stopped(stopped, path, clock)
        if not stopped.is_set():
            _reload_settings(node, path)
    drain_deadline = clock.now() + settings.grace_s - EXIT_MARGIN_S
    await node.leave()
    finished = await ingress.drain(drain_deadline)
    logger.info("gateway: Drain {}.", "completed" if finished else "incomplete")
    await node.close()


async def _changed_or_stopped(stopped: asyncio.Event, path: Path, clock: MonotonicClock) -> None:
    """Wait for shutdown, or for a change of the settings file without a signal."""
    previous_mtime = _modified_at(path)
    while not stopped.is_set() and _modified_at(path) == previous_mtime:
        with contextlib.suppress(TimeoutError):
            async with clock.timeout(SETTINGS_CHECK_INTERVAL_S):
                await stopped.wait()


def _modified_at(path: Path) -> int:
    """Modification time of the file in nanoseconds; 0 while it is being replaced."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload_settings(node: GatewayNode, path: Path) -> None:
    """Reload the settings file, or keep the current settings and log why."""
    try:
        node.use_settings(load_site_settings(path))
    except SettingsError as error:
        logger.bind(problems=[str(p) for p in error.problems]).error(
            "gateway: Rejected the changed settings; keeping the current ones."
        )


if __name__ == "__main__":
    main()
