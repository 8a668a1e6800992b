"""Checks for the soak test that every VM acts on the newest published state."""

import asyncio
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.soakplatform import HOST, SoakPlatform

__all__ = ["ViewReport", "check_views"]

# Stated targets: a change is in force, and a draining server left alone, after this time.
IN_FORCE_S = 3.0
OBSERVE_S = 1.0
TIMEOUT_S = 3.0
NOT_FOUND = 404


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
        if await _status(front, platform.version) == NOT_FOUND:
            violations.append(f"{front} does not serve the route of version {platform.version}")
    await asyncio.sleep(OBSERVE_S)
    late = len(draining.received_requests) - requests_before
    if late:
        violations.append(f"{draining.server} got {late} requests after it had drained")
    attempts = [_attempt(front, version) for front in fronts for version in versions]
    return ViewReport(tuple(violations), tuple(attempts))


def _attempt(front: str, version: int) -> str:
    return f"view-{version}-{front}"


async def _status(front: str, version: int) -> int:
    """Status of a request on the route that only one configuration has; 599 without an answer."""
    headers = {"Host": HOST, "X-Attempt-Id": _attempt(front, version), "X-Deadline-Ms": "2000"}
    response = await AsyncHTTPClient().fetch(
        f"http://{front}/n{version}/1",
        headers=headers,
        request_timeout=TIMEOUT_S,
        raise_error=False,
    )
    return response.code
