"""Checks for the soak test that VMs act on the newest published state and on servers' words."""

import asyncio
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.soakplatform import HOST, SoakPlatform

__all__ = ["ViewReport", "check_statements", "check_views"]

# Stated targets: a change is in force, and a draining server left alone, after this time.
IN_FORCE_S = 3.0
OBSERVE_S = 1.0
TIMEOUT_S = 3.0
NOT_FOUND = 404
NO_ANSWER = 0
# A VM may not have heard a server's word before its first request after it, and may try a paused
# server twice.
PAUSE_S = 6.0
REQUESTS_TO_LEAVING = 1
REQUESTS_TO_PAUSED = 3


@dataclass(frozen=True)
class ViewReport:
    """Result of a check.

    Attributes:
        violations: Descriptions of the answers and requests that are based on an older view.
        attempts: Identifiers of the requests that the check sent.
    """

    violations: tuple[str, ...]
    attempts: tuple[str, ...]


async def check_views(
    platform: SoakPlatform, fronts: list[str], draining: StandInReplica, **registration: object
) -> ViewReport:
    """Change the configuration and drain a server while nothing else happens.

    Args:
        platform: Publishes both changes.
        fronts: ``ip:port`` of each VM for clients.
        draining: The server that drains.
        registration: Fields of its registration.
    """
    dropped = platform.version
    platform.publish_config()
    versions = (dropped, platform.version)
    platform.register(draining, **registration, state="draining")
    await asyncio.sleep(IN_FORCE_S)
    requests_before = len(draining.received_requests)
    violations = []
    for front in fronts:
        if await _status(front, dropped) != NOT_FOUND:
            violations.append(f"{front} still serves the route of version {dropped}")
        if await _status(front, platform.version) in (NOT_FOUND, NO_ANSWER):
            violations.append(f"{front} does not serve the route of version {platform.version}")
    await asyncio.sleep(OBSERVE_S)
    late = len(draining.received_requests) - requests_before
    if late:
        violations.append(f"{draining.server} got {late} requests after it had drained")
    attempts = [_attempt(front, version) for front in fronts for version in versions]
    return ViewReport(tuple(violations), tuple(attempts))


async def check_statements(
    leaving: StandInReplica, paused: StandInReplica, vms: int
) -> tuple[str, ...]:
    """Let one server say that it leaves and another one ask for a pause, under load.

    Returns:
        A description for each of them that gets more requests than VMs that heed it may send.
    """
    leaving.leaving, paused.pause = True, f"{PAUSE_S:g}"
    await asyncio.sleep(IN_FORCE_S)
    most_by_server = {leaving: REQUESTS_TO_LEAVING * vms, paused: REQUESTS_TO_PAUSED * vms}
    before_by_server = {server: len(server.received_requests) for server in most_by_server}
    await asyncio.sleep(PAUSE_S - IN_FORCE_S)
    paused.pause = None
    late_by_server = {
        server: len(server.received_requests) - before
        for server, before in before_by_server.items()
    }
    return tuple(
        f"{server.server} got {late} requests, not {most_by_server[server]}, after its word"
        for server, late in late_by_server.items()
        if late > most_by_server[server]
    )


def _attempt(front: str, version: int) -> str:
    return f"view-{version}-{front}"


async def _status(front: str, version: int) -> int:
    """Status of a request on the route that only one configuration has."""
    headers = {"Host": HOST, "X-Attempt-Id": _attempt(front, version), "X-Deadline-Ms": "2000"}
    try:
        response = await AsyncHTTPClient().fetch(
            f"http://{front}/n{version}/1",
            headers=headers,
            request_timeout=TIMEOUT_S,
            raise_error=False,
        )
    except (HTTPClientError, OSError):
        return NO_ANSWER
    return response.code
