"""Requests that run at most once: the one process that may run each, and what it remembers."""

from bergamotgate.keeper.book import KeeperBook
from bergamotgate.keeper.token import BadKey, KeeperToken, RequestKey, read_key

__all__ = ["BadKey", "KeeperBook", "KeeperToken", "RequestKey", "read_key"]
