"""bergamotgated: the daemon that serves callers on one VM."""

import asyncio
import random
import sys
from pathlib import Path

import click
from loguru import logger

from bergamotgate.backend.curl import CurlConnector
from bergamotgate.clock import LoopClock, wall_milliseconds
from bergamotgate.config.http import HttpConfigurationService, HttpVmListService
from bergamotgate.errors import AddressInUse, SettingsError
from bergamotgate.front.http import FrontServer
from bergamotgate.logs import set_up_logs
from bergamotgate.node.node import Node, NodeServices
from bergamotgate.settings import Settings, load_settings
from bergamotgate.signals import stop_event
from bergamotgate.wire.network import SocketNetwork

__all__ = ["main", "run_daemon"]

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
def main(settings_file: Path, check: bool) -> None:
    """Run a daemon with the settings in SETTINGS_FILE (JSON with comments).

    Exit status: 0 after SIGTERM or SIGINT, 2 for errors in the settings, 3 for an address that is
    in use.
    """
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"{error.source}: {problem}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo(f"{settings_file}: good")
        return
    set_up_logs(settings.vm, settings.log_format, settings.log_level)
    try:
        asyncio.run(run_daemon(settings))
    except AddressInUse as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ADDRESS)


async def run_daemon(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT, then drain.

    Raises:
        AddressInUse: Another process uses an address of the settings.
    """
    services = NodeServices(
        configuration=HttpConfigurationService(settings.configuration_url),
        vm_list=HttpVmListService(settings.vm_list_url),
        network=SocketNetwork(),
        connector=CurlConnector(),
        clock=LoopClock(),
        rng=random.Random(),
        boot=wall_milliseconds(),
    )
    node = Node(settings, services)
    front = FrontServer(node.handler, node.metrics, node.status)
    front.open(settings.http)
    await node.start()
    logger.info("node: Serving callers at {}.", settings.http)
    await stop_event().wait()
    finished = await node.drain(settings.drain_s)
    logger.info("node: Drain {}.", "completed" if finished else "incomplete")
    await front.close()
    await node.close()
