"""At-most-once requests: the one process that may run each, and the results that it records."""

from bergamotgate.keeper.book import KeeperBook
from bergamotgate.keeper.token import BadKey, KeeperToken, RequestKey, read_key

__all__ = ["BadKey", "KeeperBook", "KeeperToken", "RequestKey", "read_key"]
