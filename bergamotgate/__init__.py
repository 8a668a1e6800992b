"""A query tier over many shards, and the coordination components that it consists of."""

from loguru import logger

from bergamotgate.admission import JobQueue, OwnedServer, Pressure, Warmth
from bergamotgate.caller import Caller, CallerResult
from bergamotgate.clock import Clock, LoopClock
from bergamotgate.config import Tables, read_tables
from bergamotgate.gather import ExtraBudget, QueryLimiter
from bergamotgate.keeper import KeeperBook, read_key
from bergamotgate.membership import Member, MemberState, MemberTable, Prober
from bergamotgate.node import Node, NodeServices
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.ownership import LeaseBook, OwnerDirectory, ShareKeeper, rank
from bergamotgate.quarantine import QuarantineBook
from bergamotgate.settings import Settings, load_settings

__all__ = [
    "Caller",
    "CallerResult",
    "Clock",
    "ExtraBudget",
    "JobQueue",
    "KeeperBook",
    "LeaseBook",
    "LoopClock",
    "Member",
    "MemberState",
    "MemberTable",
    "Node",
    "NodeServices",
    "NotRun",
    "NotRunReason",
    "OwnedServer",
    "OwnerDirectory",
    "Pressure",
    "Prober",
    "QuarantineBook",
    "QueryLimiter",
    "Settings",
    "ShareKeeper",
    "Tables",
    "Unknown",
    "UnknownReason",
    "Warmth",
    "load_settings",
    "rank",
    "read_key",
    "read_tables",
]

# Libraries do not log unless the program enables it, as the daemon does.
logger.disable("bergamotgate")
