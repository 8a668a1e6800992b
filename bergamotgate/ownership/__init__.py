"""Assigns backend servers to owner VMs and shares out each server's limits between them."""

from bergamotgate.ownership.directory import OwnerDirectory, Ranking, ServerGroup
from bergamotgate.ownership.lease import LEASE_S, LeaseBook
from bergamotgate.ownership.rendezvous import rank
from bergamotgate.ownership.share import NO_SHARE, Share, ShareKeeper

__all__ = [
    "LEASE_S",
    "LeaseBook",
    "NO_SHARE",
    "OwnerDirectory",
    "Ranking",
    "ServerGroup",
    "Share",
    "ShareKeeper",
    "rank",
]
