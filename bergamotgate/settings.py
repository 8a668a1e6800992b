"""Reads and validates the settings file of a daemon, which is JSON with comments."""

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from bergamotgate.config.fields import Fields, Problems, parse_json
from bergamotgate.errors import SettingsError

__all__ = ["LogFormat", "LogLevel", "Settings", "load_settings", "read_settings"]

DEFAULT_DRAIN_S = 30
MAX_DRAIN_S = 3600


class LogFormat(StrEnum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(StrEnum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class Settings:
    """Settings of one daemon.

    Attributes:
        vm: Name of this VM, as in the VM list.
        zone: Availability zone of this VM.
        peer: ``ip:port`` for other VMs, TCP and UDP.
        http: ``ip:port`` for callers.
        configuration_url: URL of the configuration service.
        vm_list_url: URL of the VM list.
        seeds: Addresses of peers to join through while the VM list is unavailable.
        drain_s: Longest time to finish requests before the process exits, in seconds.
        log_format: Format of the log lines.
        log_level: Lowest severity that is logged.
    """

    vm: str
    zone: str
    peer: str
    http: str
    configuration_url: str
    vm_list_url: str
    seeds: tuple[str, ...] = ()
    drain_s: int = DEFAULT_DRAIN_S
    log_format: LogFormat = LogFormat.TEXT
    log_level: LogLevel = LogLevel.INFO


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read or has errors.
    """
    problems = Problems()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problems.add("file", "a readable file", str(error))
        raise SettingsError(str(path), tuple(problems.found)) from error
    return read_settings(text, str(path))


def read_settings(text: str, source: str) -> Settings:
    """Parse and validate settings.

    Args:
        text: JSON with comments.
        source: Name of the file, for error messages.

    Raises:
        SettingsError: The settings have errors; it lists all of them.
    """
    problems = Problems()
    value = parse_json(text, problems)
    if problems.found:
        raise SettingsError(source, tuple(problems.found))
    top = Fields(value, "", problems)
    platform = top.child("platform")
    log = top.child("log", required=False)
    settings = Settings(
        vm=top.text("vm"),
        zone=top.text("zone"),
        peer=top.address("peer"),
        http=top.address("http"),
        configuration_url=_url(platform, "configuration_url"),
        vm_list_url=_url(platform, "vm_list_url"),
        seeds=top.addresses("seeds", ()),
        drain_s=top.whole("drain_s", 0, MAX_DRAIN_S, DEFAULT_DRAIN_S),
        log_format=log.choice("format", LogFormat, LogFormat.TEXT),
        log_level=log.choice("level", LogLevel, LogLevel.INFO),
    )
    for fields in (platform, log, top):
        fields.finish()
    if settings.peer and settings.peer == settings.http:
        problems.add("http", "an address other than that of peer", settings.http)
    if problems.found:
        raise SettingsError(source, tuple(problems.found))
    return settings


def _url(fields: Fields, name: str) -> str:
    url = fields.text(name)
    if url and not url.startswith(("http://", "https://")):
        fields.problems.add(f"{fields.place}.{name}", "a URL with http:// or https://", url)
    return url
