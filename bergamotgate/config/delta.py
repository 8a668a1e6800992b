"""Canonical form of a pair of tables and the differences between two of them."""

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

__all__ = ["Change", "apply_changes", "canonical", "changes_between", "digest_of"]

DIGEST_BYTES = 12
SPLIT_DEPTH = 6
SEPARATOR = "\x1f"


@dataclass(frozen=True)
class Change:
    """One entry that differs.

    Attributes:
        path: Names from the outside in, joined by the unit separator.
        value: The new entry as JSON, or None when it is gone.
    """

    path: str
    value: str | None


def canonical(routes_value: Any, pools_value: Any) -> str:
    """Both parsed tables as one JSON text without comments, with sorted names."""
    return json.dumps(
        {"routes": routes_value, "pools": pools_value}, sort_keys=True, separators=(",", ":")
    )


def digest_of(text: str) -> str:
    """Short hash of a canonical text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def changes_between(old: str, new: str) -> tuple[Change, ...]:
    """Entries that turn one canonical text into another."""
    old_entries = _entries(json.loads(old))
    new_entries = _entries(json.loads(new))
    gone = [Change(path, None) for path in old_entries.keys() - new_entries.keys()]
    fresh = [
        Change(path, json.dumps(value, sort_keys=True, separators=(",", ":")))
        for path, value in new_entries.items()
        if path not in old_entries or old_entries[path] != value
    ]
    return tuple(gone + fresh)


def apply_changes(old: str, changes: tuple[Change, ...]) -> str:
    """The canonical text that the changes lead to."""
    entries = _entries(json.loads(old))
    for change in changes:
        if change.value is None:
            entries.pop(change.path, None)
        else:
            entries[change.path] = json.loads(change.value)
    return json.dumps(_join(entries), sort_keys=True, separators=(",", ":"))


def _entries(value: dict[str, Any]) -> dict[str, Any]:
    """Split nested objects down to a fixed depth; empty objects stay entries of their own."""
    entries: dict[str, Any] = {}

    def visit(path: tuple[str, ...], node: Any) -> None:
        if not isinstance(node, dict) or not node or len(path) >= SPLIT_DEPTH:
            entries[SEPARATOR.join(path)] = node
            return
        for name, child in node.items():
            visit((*path, name), child)

    visit((), value)
    return entries


def _join(entries: dict[str, Any]) -> dict[str, Any]:
    root: dict[str, Any] = {}
    for path, value in entries.items():
        names = path.split(SEPARATOR)
        node = root
        for name in names[:-1]:
            node = node.setdefault(name, {})
        node[names[-1]] = value
    return root
