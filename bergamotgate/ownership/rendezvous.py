"""Rendezvous hashing: all processes rank the same candidates identically without coordination."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank"]


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates by the hash of each combined with a key.

    Args:
        key: Identifier of the item to place.
        candidates: Names in any order.

    Returns:
        The names, most preferred first.
    """

    def sort_key(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}\n{name}".encode()), name

    return sorted(candidates, key=sort_key)
