"""The callers' side of the interface, for programs that send requests."""

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
