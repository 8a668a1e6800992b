"""Client library for programs that send requests to a fleet."""

from bergamotgate.caller.caller import Caller, CallerResult
from bergamotgate.caller.transport import (
    CallerMessage,
    CallerReply,
    CallerTransport,
    HttpTransport,
    NoAddress,
    NoReply,
)

__all__ = [
    "Caller",
    "CallerMessage",
    "CallerReply",
    "CallerResult",
    "CallerTransport",
    "HttpTransport",
    "NoAddress",
    "NoReply",
]
