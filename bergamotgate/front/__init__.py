"""HTTP front end for callers: VM addresses, requests, answers and refusals."""

from bergamotgate.front.addresses import AddressDirectory
from bergamotgate.front.answers import CallerAnswer, render
from bergamotgate.front.handler import CallerRequest, CallerRequestHandler
from bergamotgate.front.http import FrontServer

__all__ = [
    "AddressDirectory",
    "CallerAnswer",
    "CallerRequest",
    "CallerRequestHandler",
    "FrontServer",
    "render",
]
