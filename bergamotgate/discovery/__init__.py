"""Backend servers that register themselves, and the availability zones that take no work."""

from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer, ServerStanding

__all__ = ["DiscoveredServer", "ServerRegistry", "ServerStanding"]
