"""Token-bucket budget shared by the hedges and retries of one pool.

Each gateway may send extra sub-requests up to a fixed share of its own first sub-requests, plus a
few right after startup. Because the share is relative, the extra load of the whole fleet stays at
the same share, whatever the number of gateways.
"""

__all__ = ["EXTRA_SHARE", "ExtraBudget"]

EXTRA_SHARE = 0.05
MAX_TOKENS = 20.0
INITIAL_TOKENS = 10.0


class ExtraBudget:
    """Token bucket refilled by first sub-requests.

    Attributes:
        first: Number of first sub-requests so far.
        extra: Number of extra sub-requests so far, without refunded ones.
    """

    def __init__(self, share: float = EXTRA_SHARE):
        self._share = share
        self._tokens = INITIAL_TOKENS
        self.first = 0
        self.extra = 0

    def note_first(self, count: int) -> None:
        """Count first sub-requests and refill the bucket by their share."""
        self.first += count
        self._tokens = min(MAX_TOKENS, self._tokens + self._share * count)

    def take(self) -> bool:
        """Spend one token on an extra sub-request; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.extra += 1
        return True

    def refund(self) -> None:
        """Return the token of a sub-request that never reached a backend server."""
        self._tokens = min(MAX_TOKENS, self._tokens + 1.0)
        self.extra -= 1
