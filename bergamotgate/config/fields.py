"""Validated reading of JSON objects that collects every error with its location."""

import difflib
import json
from collections.abc import Callable, Iterator
from enum import StrEnum
from functools import partial
from ipaddress import ip_address
from typing import Any, TypeVar

import jsonc

from bergamotgate.errors import Problem

__all__ = ["Fields", "Problems", "is_address", "nearest", "parse_json"]

Choice = TypeVar("Choice", bound=StrEnum)
MAX_SHOWN_CHARACTERS = 40
MAX_PORT = 65535


class Problems:
    """Collects the errors found in one text."""

    def __init__(self) -> None:
        self.found: list[Problem] = []

    def add(self, place: str, expected: str, found: object) -> None:
        """Record an error; the found value is truncated."""
        text = found if isinstance(found, str) else json.dumps(found, default=str)
        self.found.append(Problem(place, expected, text[:MAX_SHOWN_CHARACTERS]))


class _DuplicateNameError(ValueError):
    """An object has a field name twice."""


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    names = [name for name, _ in pairs]
    raise _DuplicateNameError(next(name for name in names if names.count(name) > 1))


def parse_json(text: str, problems: Problems) -> Any:
    """Parse JSON with comments; add an error and return None if it is malformed."""
    try:
        return jsonc.loads(text, object_pairs_hook=_unique_names)
    except _DuplicateNameError as error:
        problems.add(str(error), "a unique field name", "a duplicate")
    except json.JSONDecodeError as error:
        problems.add(_line_of(text, error), "JSON with comments", error.msg)
    except (ValueError, RecursionError) as error:
        problems.add("text", "JSON with comments", str(error))
    return None


def _line_of(text: str, error: json.JSONDecodeError) -> str:
    """Locate a syntax error in the original text; the parser sees the text without comments."""
    stripped_lines = error.doc.splitlines()
    target_line = (
        stripped_lines[error.lineno - 1].strip() if error.lineno <= len(stripped_lines) else ""
    )
    lines = text.splitlines()
    for number in range(error.lineno, len(lines) + 1):
        if target_line and target_line in lines[number - 1]:
            return f"line {number} column {lines[number - 1].index(target_line) + error.colno}"
    return f"line {error.lineno} column {error.colno}"


def nearest(name: str, names: list[str]) -> str:
    """Return an unknown name with the most similar known name, if any, as a hint."""
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.4)
    return f"{name} (nearest: {matches[0]})" if matches else name


def is_address(value: object) -> bool:
    """Return whether a value is ``ip:port`` with a numeric IP."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _is_integer(low: int, high: int, value: Any) -> bool:
    return type(value) is int and low <= value <= high


def _is_share(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= 1


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value < float("inf")


def _is_boolean(value: Any) -> bool:
    return type(value) is bool


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and value != ""


def _is_path(value: Any) -> bool:
    return isinstance(value, str) and value.startswith("/")


def _is_text_list(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(isinstance(item, str) for item in value)


class Fields:
    """Reads and validates the fields of one JSON object; a field that is never read is an error."""

    def __init__(self, value: Any, place: str, problems: Problems):
        self.place = place
        self.problems = problems
        self.valid = isinstance(value, dict)
        self._values: dict[str, Any] = value if self.valid else {}
        self._known_names: set[str] = set()
        if not self.valid:
            problems.add(place or "text", "an object", value)

    def whole(self, name: str, low: int, high: int, default: int | None = None) -> int:
        """Read an integer within bounds."""
        expected = f"an integer from {low} to {high}"
        return self._read(name, default, expected, partial(_is_integer, low, high), low)

    def share(self, name: str, default: float | None = None) -> float:
        """Read a number from 0 to 1."""
        return float(self._read(name, default, "a number from 0 to 1", _is_share, 0.0))

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Read a boolean."""
        return self._read(name, default, "true or false", _is_boolean, False)

    def text(self, name: str, default: str | None = None) -> str:
        """Read a non-empty string."""
        return self._read(name, default, "a non-empty string", _is_text, "")

    def path(self, name: str) -> str:
        """Read a string that starts with a slash."""
        return self._read(name, None, "a path that starts with /", _is_path, "/")

    def address(self, name: str) -> str:
        """Read an ``ip:port``."""
        return self._read(name, None, "ip:port with a numeric IP", is_address, "")

    def addresses(self, name: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """Read a list of ``ip:port``; each invalid item is a separate error."""
        addresses = self.names(name, default)
        for number, address in enumerate(addresses):
            if not is_address(address):
                place = f"{self._at(name)}[{number}]"
                self.problems.add(place, "ip:port with a numeric IP", address)
        return addresses

    def number(self, name: str) -> float:
        """Read a non-negative number."""
        return float(self._read(name, None, "a number of 0 or more", _is_number, 0.0))

    def choice(self, name: str, kind: type[Choice], default: Choice | None = None) -> Choice:
        """Read a value of an enumeration."""
        allowed = [str(member) for member in kind]
        expected = "one of " + ", ".join(allowed)
        return kind(self._read(name, default, expected, allowed.__contains__, allowed[0]))

    def names(self, name: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """Read a list of strings."""
        return tuple(self._read(name, default, "a list of strings", _is_text_list, ()))

    def raw(self, name: str, default: Any = None) -> Any:
        """Return the unvalidated value, or the default."""
        self._known_names.add(name)
        return self._values.get(name, default)

    def child(self, name: str, required: bool = True) -> "Fields":
        """Read a nested object."""
        self._known_names.add(name)
        if name not in self._values and not required:
            return Fields({}, self._at(name), self.problems)
        if name not in self._values:
            self.problems.add(self._at(name), "an object", "nothing")
            return Fields({}, self._at(name), Problems())
        return Fields(self._values[name], self._at(name), self.problems)

    def field_names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._values)

    def children(self) -> Iterator[tuple[str, "Fields"]]:
        """Iterate over all fields as nested objects, with their names."""
        for name, value in self._values.items():
            self._known_names.add(name)
            yield name, Fields(value, self._at(name), self.problems)

    def finish(self) -> None:
        """Add an error for each field that was not read."""
        for name in self._values.keys() - self._known_names:
            found = nearest(name, sorted(self._known_names))
            self.problems.add(self._at(name), "a known field name", found)

    def _at(self, name: str) -> str:
        return f"{self.place}.{name}" if self.place else name

    def _read(
        self, name: str, default: Any, expected: str, is_valid: Callable[[Any], bool], fallback: Any
    ) -> Any:
        self._known_names.add(name)
        if name not in self._values and default is not None:
            return default
        if name not in self._values:
            if self.valid:
                self.problems.add(self._at(name), expected, "nothing")
            return fallback
        value = self._values[name]
        if is_valid(value):
            return value
        self.problems.add(self._at(name), expected, value)
        return fallback
