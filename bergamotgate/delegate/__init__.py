"""Sends sub-requests through a delegate in the server's zone, to reduce cross-zone traffic.

A delegate is a VM in the servers' availability zone. A gateway sends it the sub-requests of a query
for these servers; the delegate runs them and returns only the records that can still be among the
greatest.
"""

from bergamotgate.delegate.client import DelegateClient
from bergamotgate.delegate.service import DelegateService, DelegateSession

__all__ = ["DelegateClient", "DelegateService", "DelegateSession"]
