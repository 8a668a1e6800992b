"""Revisions of published state, and the histories to which they belong."""

from dataclasses import dataclass

from loguru import logger

__all__ = [
    "MAX_ERA",
    "MAX_RESETS",
    "MAX_REVISION",
    "NOTHING",
    "History",
    "Position",
    "checked_era",
    "checked_revision",
    "log_new_era",
]

# Revisions are 64-bit numbers in messages to peers.
MAX_REVISION = 2**63 - 1
# Larger numbers are taken for garbage.
MAX_ERA = 10**15
MAX_RESETS = 10**9


@dataclass(frozen=True, order=True, slots=True)
class History:
    """One sequence of revisions of the store; the store may come back with an older copy of it.

    Attributes:
        resets: How often the store went back to a lower era, or to lower revisions without a word,
            as VMs saw it.
        era: Number that the store states, higher each time that it came back from a copy; 0 while
            it states none.
    """

    resets: int = 0
    era: int = 0


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A revision in its history. All positions are ordered: first by history, then by revision.

    Attributes:
        history: The history to which the revision belongs.
        revision: The revision; -1 before the first one.
    """

    history: History
    revision: int


# The position of a process that holds no published value.
NOTHING = Position(History(), -1)


def log_new_era(name: str, known: Position, new: Position) -> None:
    """Tell operators that a service came back from an older copy."""
    if known == NOTHING or new.history == known.history:
        return
    logger.bind(
        era=new.history.era,
        revision=new.revision,
        known_era=known.history.era,
        known_revision=known.revision,
    ).warning("config: The service of the {} states a new era.", name)


def checked_era(value: object) -> int:
    """Return an era that peers can be told.

    Raises:
        ValueError: The value is not a whole number up to the largest era.
    """
    if type(value) is not int or not 0 <= value <= MAX_ERA:
        raise ValueError(f"{value!r:.40} is not an era")
    return value


def checked_revision(value: object) -> int:
    """Return a revision that peers can be told.

    Raises:
        ValueError: The value is not a whole number of 64 bits.
    """
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise ValueError(f"{value!r:.40} is not a revision")
    return value
