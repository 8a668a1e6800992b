"""Which server gets a sub-request: load and speed of servers, cold starts, the extra budget."""

from bergamotgate.placement.chooser import ServerChooser
from bergamotgate.placement.cold import ColdAllowance
from bergamotgate.placement.extra import PoolExtraBudget
from bergamotgate.placement.load import RouteLatency, ServerLoad

__all__ = ["ColdAllowance", "PoolExtraBudget", "RouteLatency", "ServerChooser", "ServerLoad"]
