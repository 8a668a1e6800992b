"""Logs when the local view of the store becomes too old to be relied on."""

import math

from loguru import logger

from bergamotgate.clock import milliseconds
from bergamotgate.publication import UNREAD, ItemTable

__all__ = ["StalenessLog"]

# Far above the age at which the last VM of a large fleet polls the store itself.
STALE_AFTER_S = 6.0


class StalenessLog:
    """Logs one line when the view becomes stale, and one when it is current again."""

    def __init__(self, items: ItemTable):
        self._items = items
        self._stale = False

    def check(self) -> None:
        """Compare the age of the view with the limit."""
        if self._items.as_of == UNREAD:
            return
        age_s = self._items.age_s()
        if (age_s > STALE_AFTER_S) is self._stale:
            return
        self._stale = not self._stale
        # A table from peers that was never confirmed has no age.
        age_ms = milliseconds(age_s) if age_s < math.inf else None
        as_of = self._items.as_of
        fields = logger.bind(age_ms=age_ms, revision=as_of.revision, era=as_of.history.era)
        if self._stale:
            fields.warning("publication: The view of the store is stale.")
        else:
            fields.info("publication: The view of the store is current again.")
