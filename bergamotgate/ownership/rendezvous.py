"""Rendezvous hashing: every process orders the same candidates alike without talking."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank"]


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Candidates in the order of their hash with a key.

    Args:
        key: What is to be placed.
        candidates: Names; their order does not matter.

    Returns:
        The names, the first choice first.
    """

    def order(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}\n{name}".encode()), name

    return sorted(candidates, key=order)
