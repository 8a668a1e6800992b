"""Backend servers that register themselves, and availability zones out of service."""

from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer, ServerStanding
from bergamotgate.discovery.statements import NO_STATEMENT, ServerStatement

__all__ = [
    "NO_STATEMENT",
    "DiscoveredServer",
    "ServerRegistry",
    "ServerStanding",
    "ServerStatement",
]
