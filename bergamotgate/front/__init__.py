"""The callers' side: addresses, requests, answers and refusals."""

from bergamotgate.front.addresses import AddressBook
from bergamotgate.front.answers import CallerAnswer, render
from bergamotgate.front.desk import CallerRequest, FrontDesk
from bergamotgate.front.http import FrontServer

__all__ = [
    "AddressBook",
    "CallerAnswer",
    "CallerRequest",
    "FrontDesk",
    "FrontServer",
    "render",
]
