"""The platform's services as a node sees them."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["ConfigurationService", "PublishedTables", "PublishedVmList", "VmListService"]


@dataclass(frozen=True)
class PublishedTables:
    """A pair of tables as published.

    Attributes:
        revision: Grows with each publication.
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
        revision: Grows with each change.
        text: The list as JSON.
    """

    revision: int
    text: str


class ConfigurationService(Protocol):
    """Reads and watches the published tables; each call counts at the platform."""

    async def read(self) -> PublishedTables:
        """The newest tables that the service knows.

        Raises:
            PlatformUnavailable: No usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> PublishedTables | None:
        """Wait for tables of a higher revision; None when none came in time.

        Raises:
            PlatformUnavailable: No usable answer.
        """


class VmListService(Protocol):
    """Reads and watches the VM list."""

    async def read(self) -> PublishedVmList:
        """The newest list that the service knows.

        Raises:
            PlatformUnavailable: No usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> PublishedVmList | None:
        """Wait for a list of a higher revision; None when none came in time.

        Raises:
            PlatformUnavailable: No usable answer.
        """
