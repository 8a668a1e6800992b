"""Tells whether the content that a service states for the position in force is still to be read."""

from bergamotgate.config.delta import digest_of
from bergamotgate.revision import NOTHING, Position

__all__ = ["ContentCheck"]


class ContentCheck:
    """Remembers which content of one position was read from the service.

    Attributes:
        in_doubt: Whether a peer holds other content of the position, and the service was not read
            since.
    """

    def __init__(self) -> None:
        self.in_doubt = False
        self._position = NOTHING
        self._digest = ""

    def is_new(self, position: Position, *texts: str) -> bool:
        """Whether the service did not state these texts at the last read of this position."""
        self.in_doubt = False
        digest = digest_of("\0".join(texts))
        known = position == self._position and digest == self._digest
        self._position, self._digest = position, digest
        return not known
