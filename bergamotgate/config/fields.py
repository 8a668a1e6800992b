"""Checked reading of JSON objects: every mistake is noted with its place, none stops the rest."""

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
    """Collects the mistakes of one text."""

    def __init__(self) -> None:
        self.found: list[Problem] = []

    def add(self, place: str, expected: str, found: object) -> None:
        """Note one mistake."""
        shown = found if isinstance(found, str) else json.dumps(found, default=str)
        self.found.append(Problem(place, expected, shown[:MAX_SHOWN_CHARACTERS]))


class _DuplicateName(ValueError):
    """An object names a field twice."""


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    names = [name for name, _ in pairs]
    raise _DuplicateName(next(name for name in names if names.count(name) > 1))


def parse_json(text: str, problems: Problems) -> Any:
    """Read JSON with comments; None and a noted problem when it is malformed."""
    try:
        return jsonc.loads(text, object_pairs_hook=_unique_names)
    except _DuplicateName as error:
        problems.add(str(error), "a name given once", "the name twice")
    except json.JSONDecodeError as error:
        problems.add(_line_of(text, error), "JSON with comments", error.msg)
    except (ValueError, RecursionError) as error:
        problems.add("text", "JSON with comments", str(error))
    return None


def _line_of(text: str, error: json.JSONDecodeError) -> str:
    """Place of a syntax error in the text as written, which the parser sees without comments."""
    kept = error.doc.splitlines()
    wanted = kept[error.lineno - 1].strip() if error.lineno <= len(kept) else ""
    lines = text.splitlines()
    for number in range(error.lineno, len(lines) + 1):
        if wanted and wanted in lines[number - 1]:
            return f"line {number} column {lines[number - 1].index(wanted) + error.colno}"
    return f"line {error.lineno} column {error.colno}"


def nearest(name: str, names: list[str]) -> str:
    """A hint with the known name that is most like an unknown one."""
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.4)
    return f"{name} (nearest: {matches[0]})" if matches else name


def is_address(value: object) -> bool:
    """Whether a value is ``ip:port`` with a numeric IP."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _is_whole(low: int, high: int, value: Any) -> bool:
    return type(value) is int and low <= value <= high


def _is_share(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= 1


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value < float("inf")


def _is_flag(value: Any) -> bool:
    return type(value) is bool


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and value != ""


def _is_path(value: Any) -> bool:
    return isinstance(value, str) and value.startswith("/")


def _is_text_list(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(isinstance(item, str) for item in value)


class Fields:
    """One JSON object whose fields are taken one by one; what is left over is a mistake."""

    def __init__(self, value: Any, place: str, problems: Problems):
        self.place = place
        self.problems = problems
        self.valid = isinstance(value, dict)
        self._values: dict[str, Any] = value if self.valid else {}
        self._taken: set[str] = set()
        if not self.valid:
            problems.add(place or "text", "an object", value)

    def whole(self, name: str, low: int, high: int, default: int | None = None) -> int:
        """A whole number within bounds."""
        expected = f"a whole number from {low} to {high}"
        return self._take(name, default, expected, partial(_is_whole, low, high), low)

    def share(self, name: str, default: float | None = None) -> float:
        """A number from 0 to 1."""
        return float(self._take(name, default, "a number from 0 to 1", _is_share, 0.0))

    def flag(self, name: str, default: bool | None = None) -> bool:
        """True or false."""
        return self._take(name, default, "true or false", _is_flag, False)

    def text(self, name: str, default: str | None = None) -> str:
        """A text that is not empty."""
        return self._take(name, default, "a text that is not empty", _is_text, "")

    def path(self, name: str) -> str:
        """A text that starts with a slash."""
        return self._take(name, None, "a path that starts with /", _is_path, "/")

    def address(self, name: str) -> str:
        """An ``ip:port``."""
        return self._take(name, None, "ip:port with a numeric IP", is_address, "")

    def addresses(self, name: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """A list of ``ip:port``; each wrong one is a mistake."""
        addresses = self.names(name, default)
        for number, address in enumerate(addresses):
            if not is_address(address):
                place = f"{self._at(name)}[{number}]"
                self.problems.add(place, "ip:port with a numeric IP", address)
        return addresses

    def number(self, name: str) -> float:
        """A number that is not negative."""
        return float(self._take(name, None, "a number of 0 or more", _is_number, 0.0))

    def choice(self, name: str, kind: type[Choice], default: Choice | None = None) -> Choice:
        """One word of an enumeration."""
        words = [str(member) for member in kind]
        expected = "one of " + ", ".join(words)
        return kind(self._take(name, default, expected, words.__contains__, words[0]))

    def names(self, name: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """A list of texts."""
        return tuple(self._take(name, default, "a list of texts", _is_text_list, ()))

    def raw(self, name: str, default: Any = None) -> Any:
        """The value as it stands, or the default."""
        self._taken.add(name)
        return self._values.get(name, default)

    def child(self, name: str, required: bool = True) -> "Fields":
        """A nested object."""
        self._taken.add(name)
        if name not in self._values and not required:
            return Fields({}, self._at(name), self.problems)
        if name not in self._values:
            self.problems.add(self._at(name), "an object", "nothing")
            return Fields({}, self._at(name), Problems())
        return Fields(self._values[name], self._at(name), self.problems)

    def known(self) -> list[str]:
        """Names of all fields."""
        return list(self._values)

    def children(self) -> Iterator[tuple[str, "Fields"]]:
        """All nested objects by name."""
        for name, value in self._values.items():
            self._taken.add(name)
            yield name, Fields(value, self._at(name), self.problems)

    def finish(self) -> None:
        """Note each field that nobody took."""
        for name in self._values.keys() - self._taken:
            known = nearest(name, sorted(self._taken))
            self.problems.add(self._at(name), "a known name", known)

    def _at(self, name: str) -> str:
        return f"{self.place}.{name}" if self.place else name

    def _take(
        self, name: str, default: Any, expected: str, valid: Callable[[Any], bool], fallback: Any
    ) -> Any:
        self._taken.add(name)
        if name not in self._values and default is not None:
            return default
        if name not in self._values:
            if self.valid:
                self.problems.add(self._at(name), expected, "nothing")
            return fallback
        value = self._values[name]
        if valid(value):
            return value
        self.problems.add(self._at(name), expected, value)
        return fallback
