"""Routes and pools tables: their format, revisions and distribution between nodes."""

from bergamotgate.config.delta import apply_changes, canonical, changes_between, digest_of
from bergamotgate.config.reader import read_tables
from bergamotgate.config.tables import (
    BelowCoverage,
    Canary,
    Coverage,
    Pool,
    Route,
    Server,
    Snapshot,
    Standing,
    Tables,
    UrgencyClass,
)
from bergamotgate.config.tablestore import TableStore

__all__ = [
    "BelowCoverage",
    "Canary",
    "Coverage",
    "Pool",
    "Route",
    "Server",
    "Snapshot",
    "Standing",
    "TableStore",
    "Tables",
    "UrgencyClass",
    "apply_changes",
    "canonical",
    "changes_between",
    "digest_of",
    "read_tables",
]
