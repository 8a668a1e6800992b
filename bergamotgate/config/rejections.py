"""Remembers rejected revisions, so that each is read once and blocks no other one."""

from collections import OrderedDict
from dataclasses import dataclass

from bergamotgate.config.delta import digest_of
from bergamotgate.revision import Position

__all__ = ["Rejections"]

# A service publishes few revisions with errors in a row, and a build that rejects what its peers
# accept is replaced soon.
KEPT_REJECTIONS = 16


@dataclass(frozen=True, slots=True)
class _Rejected:
    """One rejected revision and the hash of its content."""

    position: Position
    digest: str


class Rejections:
    """The rejected revisions of one kind of published value, each with its content.

    Attributes:
        last: Position of the last value offered, if it is a rejected one.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[_Rejected, None] = OrderedDict()
        self.last: Position | None = None

    def add(self, position: Position, *texts: str) -> None:
        """Remember that the texts are rejected at this position."""
        self._kept[_rejected(position, texts)] = None
        self.last = position
        if len(self._kept) > KEPT_REJECTIONS:
            self._kept.popitem(last=False)

    def has(self, position: Position, *texts: str) -> bool:
        """Whether the same texts were rejected at this position."""
        known = _rejected(position, texts) in self._kept
        if known:
            self.last = position
        return known


def _rejected(position: Position, texts: tuple[str, ...]) -> _Rejected:
    return _Rejected(position, digest_of("\0".join(texts)))
