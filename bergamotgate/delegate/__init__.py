"""Sub-requests that go through a VM near their server, so that few bytes cross between zones.

A gateway hands parts of a query to a VM in the servers' availability zone. That VM asks the servers
and returns only the records that can still be among the greatest.
"""

from bergamotgate.delegate.delegates import DelegateClient
from bergamotgate.delegate.service import DelegateService, DelegateSession

__all__ = ["DelegateClient", "DelegateService", "DelegateSession"]
