"""Monitors the VMs of a virtual fleet for configuration reverts and membership disagreement."""

import asyncio

from bergamotgate.standin.fleet import Fleet, FleetVm
from bergamotgate.standin.invariants import Violation

__all__ = ["FleetMonitor"]

SAMPLE_INTERVAL_S = 0.05


class FleetMonitor:
    """Samples the table revisions and membership views of all running VMs.

    Attributes:
        violations: Reverts to an older revision within one process.
        longest_disagreement_s: Longest time for which membership views differed.
        slowest_in_force_s: Longest time from a publication until it was in force on all running
            VMs; includes publications that are not in force yet.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._revision_by_process: dict[str, int] = {}
        self._published_at_by_revision: dict[int, float] = {}
        self._disagreement_since: float | None = None
        self.violations: list[Violation] = []
        self.longest_disagreement_s = 0.0
        self.slowest_in_force_s = 0.0

    def note_published(self, revision: int) -> None:
        """Record the publication of a revision that should come into force."""
        self._published_at_by_revision[revision] = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self._sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self, now: float) -> None:
        running = [
            vm
            for vm in self._fleet.vms
            if vm.node is not None and vm.context_name not in self._fleet.loop.paused
        ]
        for vm in running:
            self._note_revision(vm)
        lowest = min((vm.node.tables.revision for vm in running), default=-1)
        for revision, at in list(self._published_at_by_revision.items()):
            if lowest >= revision:
                self.slowest_in_force_s = max(self.slowest_in_force_s, now - at)
                del self._published_at_by_revision[revision]
            else:
                self.slowest_in_force_s = max(self.slowest_in_force_s, now - at)
        self._compare_views(running, now)

    def _note_revision(self, vm: FleetVm) -> None:
        previous = self._revision_by_process.get(vm.context_name, -1)
        revision = vm.node.tables.revision
        if revision < previous:
            self.violations.append(
                Violation("never reverts", f"{vm.name}: {previous} to {revision}")
            )
        self._revision_by_process[vm.context_name] = revision

    def _compare_views(self, running: list[FleetVm], now: float) -> None:
        """Update the disagreement time.

        Views agree when every running VM sees exactly the running, non-draining VMs as reachable.
        """
        expected = {vm.name for vm in running if not vm.node.handler.draining}
        agree = all(
            {m.vm for m in vm.node.members.all() if m.reachable} == expected for vm in running
        )
        if agree:
            self._disagreement_since = None
            return
        if self._disagreement_since is None:
            self._disagreement_since = now
        self.longest_disagreement_s = max(
            self.longest_disagreement_s, now - self._disagreement_since
        )
