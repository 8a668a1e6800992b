"""Reads the settings file that the platform lays for each process (TOML)."""

import tomllib
from pathlib import Path
from typing import Any

from bergamotgate.config.fields import is_address
from bergamotgate.errors import Problem, SettingsError
from bergamotgate.gateway.node import GatewaySettings
from bergamotgate.relay.budgets import ExtraRules

__all__ = ["SETTINGS_VARIABLE", "load_site_settings", "read_site_settings"]

SETTINGS_VARIABLE = "BERGAMOTGATE_SETTINGS"


class _Reader:
    """Reads typed fields and collects every mistake."""

    def __init__(self, table: dict[str, Any]):
        self._table = table
        self.problems: list[Problem] = []

    def text(self, *path: str) -> str:
        """A text that is not empty."""
        return self._get(path, str, "a text") or ""

    def address(self, *path: str) -> str:
        """An ``ip:port``."""
        value = self.text(*path)
        if value and not is_address(value):
            self.problems.append(Problem(".".join(path), "ip:port with a numeric IP", value))
        return value

    def addresses(self, *path: str) -> tuple[str, ...]:
        """A list of ``ip:port``; may be empty."""
        values = self._get(path, list, "a list of addresses") or []
        good = tuple(v for v in values if isinstance(v, str) and is_address(v))
        if len(good) != len(values):
            self.problems.append(Problem(".".join(path), "ip:port each", str(values)[:80]))
        return good

    def number(self, *path: str) -> float:
        """A number that is not negative."""
        value = self._get(path, (int, float), "a number")
        if value is not None and value < 0:
            self.problems.append(Problem(".".join(path), "a number of 0 or more", str(value)))
        return float(value or 0)

    def _get(self, path: tuple[str, ...], kind: Any, expected: str) -> Any:
        value: Any = self._table
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            self.problems.append(Problem(".".join(path), expected, repr(value)[:80]))
            return None
        return value


def load_site_settings(path: Path) -> GatewaySettings:
    """Read a settings file.

    Raises:
        SettingsError: The file cannot be read or holds mistakes.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem("file", "a readable file", str(error))
        raise SettingsError(str(path), (problem,)) from error
    return read_site_settings(text, str(path))


def read_site_settings(text: str, source: str) -> GatewaySettings:
    """Check settings; fields that are not known are ignored.

    Raises:
        SettingsError: With every mistake found.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(source, (Problem("file", "TOML", str(error)),)) from error
    reader = _Reader(table)
    settings = GatewaySettings(
        vm=reader.text("nodeName"),
        zone=reader.text("zone"),
        front=reader.address("listenAddrs", "front"),
        ready=reader.address("listenAddrs", "ready"),
        directory=reader.address("listenAddrs", "directory"),
        peer=reader.address("listenAddrs", "control"),
        seeds=reader.addresses("seedNodes"),
        store=reader.address("platform", "address"),
        grace_s=reader.number("bounds", "gracePeriodS"),
        extra=ExtraRules(
            share=reader.number("bounds", "retryBudgetRatio"),
            allowance=reader.number("bounds", "budgetSlack"),
            window_s=reader.number("bounds", "budgetWindowS"),
        ),
        capacity=round(
            100 * reader.number("limits", "cpuShare") * reader.number("limits", "cpuCores")
        ),
        first_start=table.get("bootstrap") is True,
    )
    if reader.problems:
        raise SettingsError(source, tuple(reader.problems))
    return settings
