"""Backend servers that register themselves, and availability zones out of service."""

from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer, ServerStanding

__all__ = ["DiscoveredServer", "ServerRegistry", "ServerStanding"]
