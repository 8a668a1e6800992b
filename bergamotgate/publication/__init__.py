"""Replicates to every VM the items that operators and servers publish in the store."""

from bergamotgate.publication.disseminator import PublicationDisseminator
from bergamotgate.publication.follower import PublicationFollower
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem, TableUpdate
from bergamotgate.publication.recipients import UpdateRecipients
from bergamotgate.publication.source import (
    HistoryLost,
    ItemChanges,
    ItemSource,
    MemoryItemSource,
)

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
    "TableUpdate",
    "UpdateRecipients",
]
