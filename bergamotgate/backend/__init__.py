"""Connections to backend servers."""

from bergamotgate.backend.connection import (
    BackendConnection,
    BackendConnector,
    BackendReply,
    BackendRequest,
    NotRunWord,
)
from bergamotgate.backend.curl import CurlConnector

__all__ = [
    "BackendConnection",
    "BackendConnector",
    "BackendReply",
    "BackendRequest",
    "CurlConnector",
    "NotRunWord",
]
