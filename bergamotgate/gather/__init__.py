"""Scatters a query from the gateway to all shards of one snapshot and gathers the answers."""

from bergamotgate.gather.answer import MissingShard, QueryAnswer, QueryRequest
from bergamotgate.gather.budget import ExtraBudget
from bergamotgate.gather.dispatcher import Dispatcher
from bergamotgate.gather.gatherer import Gatherer
from bergamotgate.gather.limiter import QueryLimiter
from bergamotgate.gather.replicas import ReplicaTracker

__all__ = [
    "Dispatcher",
    "ExtraBudget",
    "Gatherer",
    "MissingShard",
    "QueryAnswer",
    "QueryLimiter",
    "QueryRequest",
    "ReplicaTracker",
]
