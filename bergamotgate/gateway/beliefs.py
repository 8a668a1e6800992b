"""What published items make this process believe: catalogue, servers, zones that are out."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import Catalogue
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.metrics import Metrics
from bergamotgate.publication.items import ItemTable, PublishedItem

__all__ = ["Decoded", "ItemDecoder", "LocalView", "ServerGone", "Unreadable", "ZoneOut"]


@dataclass(frozen=True)
class ServerGone:
    """The registration of a server has vanished."""

    server: str


@dataclass(frozen=True)
class ZoneOut:
    """An availability zone takes no work, or takes it again.

    Attributes:
        zone: Name of the zone.
        out: Whether it takes no work.
    """

    zone: str
    out: bool


@dataclass(frozen=True)
class Unreadable:
    """An item that says nothing usable.

    Attributes:
        key: Name of the item.
        cause: What is wrong with it.
        server: The server whose registration it replaces; empty for other items.
    """

    key: str
    cause: str
    server: str = ""


Decoded = Catalogue | DiscoveredServer | ServerGone | ZoneOut | Unreadable | None


class ItemDecoder(Protocol):
    """Reads published items."""

    def decode(self, item: PublishedItem) -> Decoded:
        """What an item says; None for one that concerns nobody here."""


class LocalView:
    """Follows the item table.

    Attributes:
        catalogue: The newest accepted configuration; None before the first.
        registry: Servers that exist now.
    """

    def __init__(
        self,
        items: ItemTable,
        decoder: ItemDecoder,
        lapse_possible: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ):
        self._decoder = decoder
        self._lapse_possible = lapse_possible
        self._metrics = metrics
        self.catalogue: Catalogue | None = None
        self.registry = ServerRegistry(clock)
        items.on_change(self._take)

    def _take(self, changed: list[PublishedItem]) -> None:
        for item in sorted(changed, key=lambda item: item.revision):
            self._believe(self._decoder.decode(item))

    def _believe(self, decoded: Decoded) -> None:
        match decoded:
            case Catalogue():
                self._use_catalogue(decoded)
            case DiscoveredServer():
                self.registry.register(decoded)
            case ServerGone():
                self.registry.withdraw(decoded.server, self._lapse_possible())
            case ZoneOut():
                self._use_zone(decoded)
            case Unreadable():
                self._note_unreadable(decoded)

    def _use_catalogue(self, catalogue: Catalogue) -> None:
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        self.catalogue = catalogue
        self._metrics.revision.set(catalogue.version)
        logger.bind(version=catalogue.version, routes=len(catalogue.routes)).info(
            "config: A new configuration is in force."
        )

    def _use_zone(self, zone: ZoneOut) -> None:
        zones = self.registry.zones_out - {zone.zone}
        self.registry.zones_out = zones | {zone.zone} if zone.out else zones
        logger.info("discovery: Zone {} is {}.", zone.zone, "out" if zone.out else "in again")

    def _note_unreadable(self, item: Unreadable) -> None:
        self._metrics.unreadable_items.labels("published").inc()
        logger.warning("discovery: The item {} is not used: {}.", item.key, item.cause)
        if item.server:
            self.registry.withdraw(item.server, False)
