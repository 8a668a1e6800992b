"""Relays client requests to discovered backend servers and merges their replies."""

from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    MergedAnswer,
    SendFailure,
    ServerCodec,
    ServerReply,
    WrongReplyReason,
)

__all__ = [
    "Answer",
    "ClientRequest",
    "FailedAnswer",
    "ForwardedAnswer",
    "MergedAnswer",
    "SendFailure",
    "ServerCodec",
    "ServerReply",
    "WrongReplyReason",
]
