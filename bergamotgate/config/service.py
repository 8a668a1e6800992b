"""Interfaces of the platform services that a node uses."""

from dataclasses import dataclass
from typing import Protocol

from bergamotgate.revision import History, Position

__all__ = ["ConfigurationService", "PublishedTables", "PublishedVmList", "VmListService"]


@dataclass(frozen=True)
class PublishedTables:
    """A pair of tables as published.

    Attributes:
        revision: Increases with each publication of an era.
        routes: Text of the routes table.
        pools: Text of the pools table.
        era: Increases each time that the service came back from an older copy; 0 if not stated.
    """

    revision: int
    routes: str
    pools: str
    era: int = 0

    @property
    def position(self) -> Position:
        """The revision in its era."""
        return Position(History(era=self.era), self.revision)


@dataclass(frozen=True)
class PublishedVmList:
    """The VM list as published.

    Attributes:
        revision: Increases with each change of an era.
        text: The list as JSON.
        era: Increases each time that the service came back from an older copy; 0 if not stated.
    """

    revision: int
    text: str
    era: int = 0

    @property
    def position(self) -> Position:
        """The revision in its era."""
        return Position(History(era=self.era), self.revision)


class ConfigurationService(Protocol):
    """Reads and watches the published tables; the platform counts each call."""

    async def read(self) -> PublishedTables:
        """Return the newest tables that the service has.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """

    async def watch(self, after: int, wait_s: float, era: int = 0) -> PublishedTables | None:
        """Wait for tables of a higher revision or era; return None on timeout.

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

    async def watch(self, after: int, wait_s: float, era: int = 0) -> PublishedVmList | None:
        """Wait for a list of a higher revision or era; return None on timeout.

        Raises:
            PlatformUnavailable: The service gave no usable answer.
        """
