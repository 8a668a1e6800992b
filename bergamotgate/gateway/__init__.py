"""A gateway process that serves clients from discovered backend servers."""

from bergamotgate.gateway.handler import QueryHandler
from bergamotgate.gateway.node import GatewayNode, GatewaySettings

__all__ = ["GatewayNode", "GatewaySettings", "QueryHandler"]
