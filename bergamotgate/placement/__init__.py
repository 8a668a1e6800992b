"""Selects the server for a sub-request and limits cold starts, retries and hedges."""

from bergamotgate.placement.chooser import Reservation, ServerChooser
from bergamotgate.placement.cold import ColdStartLimiter
from bergamotgate.placement.extra import PoolExtraBudget
from bergamotgate.placement.load import RouteLatency, ServerLoad
from bergamotgate.placement.rates import RateLimiter, RateShares

__all__ = [
    "ColdStartLimiter",
    "PoolExtraBudget",
    "RateLimiter",
    "RateShares",
    "Reservation",
    "RouteLatency",
    "ServerChooser",
    "ServerLoad",
]
