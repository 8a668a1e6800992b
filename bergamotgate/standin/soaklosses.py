"""Checks for the soak test that VMs go on from the newest state when the store loses some of it."""

import asyncio
import random

from bergamotgate.publication import PublishedItem
from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.soakplatform import SoakPlatform
from bergamotgate.standin.soakviews import (
    IN_FORCE_S,
    NO_ANSWER,
    NOT_FOUND,
    OBSERVE_S,
    RouteProbe,
)
from bergamotgate.standin.store import StoreFault

__all__ = ["WRITE_AGAIN_S", "StoreLossCheck"]

# All that was lost is written again this soon after the store's return.
WRITE_AGAIN_S = 1.0
PROBE_INTERVAL_S = 0.2
# Registrations after the copy; more than all that is written while the store stays behind.
MIN_REPORTS = 30
MAX_REPORTS = 56


class StoreLossCheck:
    """Lets the store come back from an older copy while nothing else happens."""

    def __init__(
        self,
        platform: SoakPlatform,
        probe: RouteProbe,
        before: StandInReplica,
        after: StandInReplica,
        rng: random.Random,
    ):
        """Prepare the check.

        Args:
            platform: Loses and publishes the changes.
            probe: Asks the VMs.
            before: The server that drains before the loss; the copy shows it ready.
            after: The server that drains after the return.
            rng: Draws the age of the copy.
        """
        self._platform = platform
        self._source = platform.store.source
        self._probe = probe
        self._before = before
        self._after = after
        self._rng = rng
        self._violations: set[str] = set()

    async def run(self, passes: bool) -> list[str]:
        """Let the store lose changes, change more, and check what the VMs act on.

        Args:
            passes: Whether the revision has passed the known one when the store answers again;
                else it stays below.

        Returns:
            Descriptions of the answers and requests that are based on another view.
        """
        copy = self._source.revision
        older = await self._publish_what_is_lost()
        before = len(self._before.received_requests)
        probing = asyncio.ensure_future(self._watch_versions(older, self._platform.version))
        await self._platform.be_away()
        known = self._source.revision
        lost = self._platform.restore_copy(known - copy)
        await (self._pass_known(lost, known) if passes else self._stay_below(lost))
        await asyncio.sleep(IN_FORCE_S)
        after = len(self._after.received_requests)
        self._violations.update(await self._probe.check_version(self._platform.version, older[-1]))
        await asyncio.sleep(OBSERVE_S)
        probing.cancel()
        self._check_requests(self._before, before, "before the loss")
        self._check_requests(self._after, after, "after the return")
        return sorted(self._violations)

    async def _publish_what_is_lost(self) -> list[int]:
        """Publish changes and wait until they are in force; return the versions before them."""
        older = [self._platform.version]
        self._platform.publish_config()
        older.append(self._platform.version)
        self._platform.publish_config()
        self._platform.set_state(self._before, "draining")
        self._platform.report_servers(self._rng.randint(MIN_REPORTS, MAX_REPORTS))
        await asyncio.sleep(IN_FORCE_S)
        self._violations.update(await self._probe.check_version(self._platform.version, older[-1]))
        return older

    async def _pass_known(self, lost: tuple[PublishedItem, ...], known: int) -> None:
        """Write so much before the store answers that its revision passes the known one."""
        await self._platform.write_again(lost, 0.0)
        self._change_more()
        self._platform.report_servers(known + 1 - self._source.revision)
        self._platform.store.fault = StoreFault.NONE

    async def _stay_below(self, lost: tuple[PublishedItem, ...]) -> None:
        self._platform.store.fault = StoreFault.NONE
        await self._platform.write_again(lost, WRITE_AGAIN_S)
        self._change_more()

    def _change_more(self) -> None:
        self._platform.publish_config()
        self._platform.set_state(self._after, "draining")

    async def _watch_versions(self, older: list[int], known: int) -> None:
        """Look for VMs with another version in force than the known one or its successor."""
        while True:
            for front in self._probe.fronts:
                for version in older:
                    if await self._probe.status(front, version) not in (NOT_FOUND, NO_ANSWER):
                        self._violations.add(
                            f"{front} served version {version}, older than {known}"
                        )
                status = await self._probe.status(front, known)
                if status == NOT_FOUND and self._platform.version == known:
                    self._violations.add(f"{front} does not serve version {known} at the loss")
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _check_requests(self, server: StandInReplica, allowed: int, when: str) -> None:
        late = len(server.received_requests) - allowed
        if late:
            self._violations.add(f"{server.server}, drained {when}, got {late} requests")
