"""Replicates to every VM the items that operators and servers publish in the store."""

from bergamotgate.publication.audience import UpdateRecipients
from bergamotgate.publication.follower import PublicationFollower
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem
from bergamotgate.publication.source import (
    HistoryLost,
    ItemChanges,
    ItemSource,
    MemoryItemSource,
)
from bergamotgate.publication.spread import PublicationDisseminator

__all__ = [
    "UNREAD",
    "HistoryLost",
    "ItemChanges",
    "ItemSource",
    "ItemTable",
    "MemoryItemSource",
    "PublicationDisseminator",
    "PublicationFollower",
    "PublishedItem",
    "UpdateRecipients",
]
