"""Interfaces of the platform services that a node uses."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["ConfigurationService", "PublishedTables", "PublishedVmList", "VmListService"]


@dataclass(frozen=True)
class PublishedTables:
    """A pair of tables as published.

    Attributes:
        revision: Increases with each publication.
        routes: Text of the routes table.
        pools: Text of the pools table.
    """

    revision: int
    routes: str
    pools: str


@dataclass(frozen=True)
class PublishedVmList:
    """The VM list as published.

    Attributes:
        revision: Increases with each change.
        text: The list as JSON.
    """

    revision: int
    text: str


class ConfigurationService(Protocol):
    """Reads and watches the published tables; the platform counts each call."""

    async def read(self) -> PublishedTables:
        """Return the newest tables that the service has.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> PublishedTables | None:
        """Wait for tables of a higher revision; return None on timeout.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """


class VmListService(Protocol):
    """Reads and watches the VM list."""

    async def read(self) -> PublishedVmList:
        """Return the newest list that the service has.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> PublishedVmList | None:
        """Wait for a list of a higher revision; return None on timeout.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """
