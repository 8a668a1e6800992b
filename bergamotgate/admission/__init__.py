"""Admission at the owner: queue, slots, connections and cold start of each backend server."""

from bergamotgate.admission.job import Job, JobResult, QueuePriority
from bergamotgate.admission.owner import Owner
from bergamotgate.admission.pressure import Pressure
from bergamotgate.admission.queue import JobQueue
from bergamotgate.admission.server import OwnedServer
from bergamotgate.admission.warmth import Warmth

__all__ = [
    "Job",
    "JobQueue",
    "JobResult",
    "OwnedServer",
    "Owner",
    "Pressure",
    "QueuePriority",
    "Warmth",
]
