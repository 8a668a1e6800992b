"""Positions of tables and VM lists in the messages between processes."""

from bergamotgate.revision import History, Position
from bergamotgate.wire.generated.ttypes import RevisionMark, TablesReply, VmListReply

__all__ = ["era_field", "position_of"]


def position_of(message: RevisionMark | TablesReply | VmListReply) -> Position:
    """Position that a message states; older builds state no era, as if there had only been one."""
    return Position(History(era=message.era or 0), message.revision)


def era_field(position: Position) -> int | None:
    """The era as a message states it; absent where the service states none."""
    return position.history.era or None
