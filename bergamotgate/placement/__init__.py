"""Which server gets a sub-request: load and speed of servers, cold starts, the extra budget."""

from bergamotgate.placement.chooser import ServerChooser
from bergamotgate.placement.cold import ColdStartLimiter
from bergamotgate.placement.extra import PoolExtraBudget
from bergamotgate.placement.load import RouteLatency, ServerLoad

__all__ = ["ColdStartLimiter", "PoolExtraBudget", "RouteLatency", "ServerChooser", "ServerLoad"]
