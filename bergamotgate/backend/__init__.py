"""Connections to backend servers."""

from bergamotgate.backend.connection import (
    BackendConnection,
    BackendConnector,
    BackendNotRunReason,
    BackendReply,
    BackendRequest,
)
from bergamotgate.backend.curl import CurlConnector

__all__ = [
    "BackendConnection",
    "BackendConnector",
    "BackendNotRunReason",
    "BackendReply",
    "BackendRequest",
    "CurlConnector",
]
