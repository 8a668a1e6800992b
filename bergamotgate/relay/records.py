"""Selects the greatest records from the replies of many shards."""

import struct

__all__ = ["GreatestRecords", "RECORD_BYTES", "useful_records"]

RECORD_BYTES = 16


class GreatestRecords:
    """The greatest records of the replies added so far, compared byte by byte.

    Replies are merged as they arrive, so that little work is left when the answer is due.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._records: list[bytes] = []

    @property
    def floor(self) -> bytes:
        """The least record that is kept; empty while fewer than the limit are kept."""
        return self._records[-1] if len(self._records) == self._limit else b""

    def add(self, body: bytes) -> None:
        """Merge a body of unordered records; an incomplete record at the end is ignored."""
        records = _records_above(body, self.floor)
        if records:
            merged = sorted(self._records + records, reverse=True)
            self._records = merged[: self._limit]

    def body(self) -> bytes:
        """Return the records, greatest first; duplicates are kept."""
        return b"".join(self._records)


def useful_records(body: bytes, limit: int, floor: bytes) -> bytes:
    """Return the greatest records of a reply that exceed a floor, greatest first."""
    return b"".join(sorted(_records_above(body, floor), reverse=True)[:limit])


def _records_above(body: bytes, floor: bytes) -> list[bytes]:
    count = len(body) // RECORD_BYTES
    records = struct.unpack_from(f"{RECORD_BYTES}s" * count, body)
    return [record for record in records if record > floor] if floor else list(records)
