"""Keeps the greatest records of many parts."""

import struct

__all__ = ["GreatestRecords", "RECORD_BYTES", "useful_records"]

RECORD_BYTES = 16


class GreatestRecords:
    """The greatest records of the parts added so far, compared byte by byte.

    Parts are merged as they come, so that little is left to do when the answer is due.
    """

    def __init__(self, count: int):
        self._count = count
        self._records: list[bytes] = []

    @property
    def floor(self) -> bytes:
        """The least record that is kept; empty while any further record would be kept too."""
        return self._records[-1] if len(self._records) == self._count else b""

    def add(self, part: bytes) -> None:
        """Take in a body of records in no order; a shorter remainder at the end is no record."""
        records = _greater(part, self.floor)
        if records:
            merged = sorted(self._records + records, reverse=True)
            self._records = merged[: self._count]

    def body(self) -> bytes:
        """The records, greatest first; equal records all count."""
        return b"".join(self._records)


def useful_records(part: bytes, count: int, floor: bytes) -> bytes:
    """The greatest records of a part that are greater than a floor, greatest first."""
    return b"".join(sorted(_greater(part, floor), reverse=True)[:count])


def _greater(part: bytes, floor: bytes) -> list[bytes]:
    count = len(part) // RECORD_BYTES
    records = struct.unpack_from(f"{RECORD_BYTES}s" * count, part)
    return [record for record in records if record > floor] if floor else list(records)
