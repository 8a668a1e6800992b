"""Checks for the soak test that VMs act on the newest published state and on servers' words."""

import asyncio

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.soakplatform import HOST, SoakPlatform

__all__ = ["NO_ANSWER", "NOT_FOUND", "RouteProbe", "check_statements", "check_views"]

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


class RouteProbe:
    """Asks VMs for routes that only one configuration has.

    Attributes:
        fronts: ``ip:port`` of each VM for clients.
        attempts: Identifiers of the requests that were sent.
    """

    def __init__(self, fronts: list[str]):
        self.fronts = fronts
        self.attempts: list[str] = []

    async def status(self, front: str, version: int) -> int:
        """Status of a request on the route of one configuration; ``NO_ANSWER`` without any."""
        attempt = f"view-{len(self.attempts)}-{version}-{front}"
        self.attempts.append(attempt)
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "2000"}
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

    async def check_version(self, newest: int, dropped: int) -> list[str]:
        """Return a description for each VM on which another configuration is in force."""
        violations = []
        for front in self.fronts:
            if await self.status(front, dropped) != NOT_FOUND:
                violations.append(f"{front} still serves the route of version {dropped}")
            if await self.status(front, newest) in (NOT_FOUND, NO_ANSWER):
                violations.append(f"{front} does not serve the route of version {newest}")
        return violations


async def check_views(
    platform: SoakPlatform, probe: RouteProbe, draining: StandInReplica
) -> list[str]:
    """Change the configuration and drain a server while nothing else happens.

    Args:
        platform: Publishes both changes.
        probe: Asks the VMs.
        draining: The server that drains.

    Returns:
        Descriptions of the answers and requests that are based on an older view.
    """
    dropped = platform.version
    platform.publish_config()
    platform.set_state(draining, "draining")
    await asyncio.sleep(IN_FORCE_S)
    requests_before = len(draining.received_requests)
    violations = await probe.check_version(platform.version, dropped)
    await asyncio.sleep(OBSERVE_S)
    late = len(draining.received_requests) - requests_before
    if late:
        violations.append(f"{draining.server} got {late} requests after it had drained")
    return violations


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
