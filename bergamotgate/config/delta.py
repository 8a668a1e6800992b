"""Canonical JSON form of a pair of tables, and deltas between two such forms."""

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from bergamotgate.jsontext import read_json

__all__ = ["Change", "apply_changes", "canonical", "changes_between", "digest_of"]

DIGEST_BYTES = 12
FLATTEN_DEPTH = 6
SEPARATOR = "\x1f"


@dataclass(frozen=True)
class Change:
    """A change of one entry.

    Attributes:
        path: Field names from the outermost object inwards, joined by the unit separator.
        value: The new entry as JSON, or None if the entry is removed.
    """

    path: str
    value: str | None


def canonical(routes_value: Any, pools_value: Any) -> str:
    """Return both parsed tables as one JSON text without comments, with sorted keys."""
    return json.dumps(
        {"routes": routes_value, "pools": pools_value}, sort_keys=True, separators=(",", ":")
    )


def digest_of(text: str) -> str:
    """Return a short hash of a canonical text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def changes_between(old: str, new: str) -> tuple[Change, ...]:
    """Return the changes that turn one canonical text into another."""
    old_entries = _flatten(read_json(old))
    new_entries = _flatten(read_json(new))
    removed = [Change(path, None) for path in old_entries.keys() - new_entries.keys()]
    added_or_changed = [
        Change(path, json.dumps(value, sort_keys=True, separators=(",", ":")))
        for path, value in new_entries.items()
        if path not in old_entries or old_entries[path] != value
    ]
    return tuple(removed + added_or_changed)


def apply_changes(old: str, changes: tuple[Change, ...]) -> str:
    """Return the canonical text after applying changes to an older one."""
    entries = _flatten(read_json(old))
    for change in changes:
        if change.value is None:
            entries.pop(change.path, None)
        else:
            entries[change.path] = read_json(change.value)
    return json.dumps(_unflatten(entries), sort_keys=True, separators=(",", ":"))


def _flatten(value: dict[str, Any]) -> dict[str, Any]:
    """Flatten nested objects to a fixed depth; an empty object is kept as an entry."""
    entries: dict[str, Any] = {}

    def visit(path: tuple[str, ...], node: Any) -> None:
        if not isinstance(node, dict) or not node or len(path) >= FLATTEN_DEPTH:
            entries[SEPARATOR.join(path)] = node
            return
        for name, child in node.items():
            visit((*path, name), child)

    visit((), value)
    return entries


def _unflatten(entries: dict[str, Any]) -> dict[str, Any]:
    root: dict[str, Any] = {}
    for path, value in entries.items():
        names = path.split(SEPARATOR)
        node = root
        for name in names[:-1]:
            node = node.setdefault(name, {})
        node[names[-1]] = value
    return root
