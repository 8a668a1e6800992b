"""Reads whole numbers in text that comes from outside the process."""

__all__ = ["read_whole_number"]

# int() and float() reject or overflow on numbers that are much longer.
MAX_DIGITS = 18


def read_whole_number(text: str) -> int | None:
    """Return the number that ASCII digits state; None for other text.

    A number of more than ``MAX_DIGITS`` digits is returned as ten to that power.
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    return int(digits) if len(digits) <= MAX_DIGITS else 10**MAX_DIGITS
