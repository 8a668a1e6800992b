"""Reads the TOML settings file that the platform provides for each process."""

import tomllib
from pathlib import Path

from bergamotgate.config.fields import Fields, Problems
from bergamotgate.errors import Problem, SettingsError
from bergamotgate.gateway.node import GatewaySettings
from bergamotgate.relay.budgets import ExtraRules

__all__ = ["SETTINGS_VARIABLE", "load_site_settings", "read_site_settings"]

SETTINGS_VARIABLE = "BERGAMOTGATE_SETTINGS"


def load_site_settings(path: Path) -> GatewaySettings:
    """Read a settings file.

    Raises:
        SettingsError: The file cannot be read or contains errors.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem("file", "a readable file", str(error))
        raise SettingsError(str(path), (problem,)) from error
    return read_site_settings(text, str(path))


def read_site_settings(text: str, source: str) -> GatewaySettings:
    """Parse and validate settings; unknown fields are ignored.

    Raises:
        SettingsError: The settings contain errors; it lists all of them.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsError(source, (Problem("file", "TOML", str(error)),)) from error
    problems = Problems()
    top = Fields(table, "", problems)
    listening = top.child("listenAddrs")
    limits = top.child("limits")
    bounds = top.child("bounds")
    settings = GatewaySettings(
        vm=top.text("nodeName"),
        zone=top.text("zone"),
        front=listening.address("front"),
        ready=listening.address("ready"),
        directory=listening.address("directory"),
        peer=listening.address("control"),
        seeds=top.addresses("seedNodes"),
        store=top.child("platform").address("address"),
        grace_s=bounds.number("gracePeriodS"),
        extra=ExtraRules(
            share=bounds.number("retryBudgetRatio"),
            allowance=bounds.number("budgetSlack"),
            window_s=bounds.number("budgetWindowS"),
        ),
        capacity=round(100 * limits.number("cpuShare") * limits.number("cpuCores")),
        first_start=top.raw("bootstrap") is True,
    )
    if problems.found:
        raise SettingsError(source, tuple(problems.found))
    return settings
