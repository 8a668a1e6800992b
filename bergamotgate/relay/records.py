"""Merges the records of many parts."""

import heapq

__all__ = ["RECORD_BYTES", "greatest_records"]

RECORD_BYTES = 16


def greatest_records(parts: list[bytes], count: int) -> bytes:
    """The greatest records of all parts, compared byte by byte, greatest first.

    Args:
        parts: Bodies of records in no order; a shorter remainder at the end is no record.
        count: Most records in the result; equal records all count.
    """
    records: list[bytes] = []
    for part in parts:
        end = len(part) - len(part) % RECORD_BYTES
        records.extend(part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES))
    return b"".join(heapq.nlargest(count, records))
