"""Keeps the greatest records of many parts."""

__all__ = ["GreatestRecords", "RECORD_BYTES"]

RECORD_BYTES = 16


class GreatestRecords:
    """The greatest records of the parts added so far, compared byte by byte.

    Parts are merged as they come, so that little is left to do when the answer is due.
    """

    def __init__(self, count: int):
        self._count = count
        self._records: list[bytes] = []

    def add(self, part: bytes) -> None:
        """Take in a body of records in no order; a shorter remainder at the end is no record."""
        end = len(part) - len(part) % RECORD_BYTES
        records = [part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]
        if len(self._records) == self._count:
            least = self._records[-1]
            records = [record for record in records if record > least]
        if records:
            merged = sorted(self._records + records, reverse=True)
            self._records = merged[: self._count]

    def body(self) -> bytes:
        """The records, greatest first; equal records all count."""
        return b"".join(self._records)
