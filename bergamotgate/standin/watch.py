"""Looks at the VMs of a virtual fleet from outside."""

import asyncio

from bergamotgate.standin.fleet import Fleet, FleetVm
from bergamotgate.standin.promises import Violation

__all__ = ["FleetWatch"]

WATCH_EVERY_S = 0.05


class FleetWatch:
    """Notes revisions in force, reverts, and how long views differ.

    Attributes:
        violations: Reverts that were seen.
        longest_disagreement_s: Longest time for which views differed.
        slowest_in_force_s: Longest time from a publication until it was in force everywhere.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._seen_by_process: dict[str, int] = {}
        self._published_at: dict[int, float] = {}
        self._disagree_since: float | None = None
        self.violations: list[Violation] = []
        self.longest_disagreement_s = 0.0
        self.slowest_in_force_s = 0.0

    def published(self, revision: int) -> None:
        """Note a publication that should come into force."""
        self._published_at[revision] = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self._look(asyncio.get_running_loop().time())
            await asyncio.sleep(WATCH_EVERY_S)

    def _look(self, now: float) -> None:
        running = [
            vm
            for vm in self._fleet.vms
            if vm.node is not None and vm.context_name not in self._fleet.loop.stopped
        ]
        for vm in running:
            self._note_revision(vm)
        lowest = min((vm.node.tables.revision for vm in running), default=-1)
        for revision, at in list(self._published_at.items()):
            if lowest >= revision:
                self.slowest_in_force_s = max(self.slowest_in_force_s, now - at)
                del self._published_at[revision]
            else:
                self.slowest_in_force_s = max(self.slowest_in_force_s, now - at)
        self._compare_views(running, now)

    def _note_revision(self, vm: FleetVm) -> None:
        before = self._seen_by_process.get(vm.context_name, -1)
        revision = vm.node.tables.revision
        if revision < before:
            self.violations.append(Violation("never reverts", f"{vm.name}: {before} to {revision}"))
        self._seen_by_process[vm.context_name] = revision

    def _compare_views(self, running: list[FleetVm], now: float) -> None:
        """Views agree when every running VM sees exactly the running VMs as reachable."""
        names = {vm.name for vm in running if not vm.node.handler.draining}
        agree = all({m.vm for m in vm.node.members.all() if m.reachable} == names for vm in running)
        if agree:
            self._disagree_since = None
            return
        if self._disagree_since is None:
            self._disagree_since = now
        self.longest_disagreement_s = max(self.longest_disagreement_s, now - self._disagree_since)
