"""Revisions of published state."""

__all__ = ["MAX_REVISION", "checked_revision"]

# Revisions are 64-bit numbers in messages to peers.
MAX_REVISION = 2**63 - 1


def checked_revision(value: object) -> int:
    """Return a revision that peers can be told.

    Raises:
        ValueError: The value is not a whole number of 64 bits.
    """
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise ValueError(f"{value!r:.40} is not a revision")
    return value
