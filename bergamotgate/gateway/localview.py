"""Builds the local view from published items: catalogue, servers and zones out of service."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from bergamotgate.clock import Clock
from bergamotgate.config.catalogue import Catalogue
from bergamotgate.discovery.registry import ServerRegistry
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.discovery.statements import DEFAULT_MAX_PAUSE_S
from bergamotgate.metrics import Metrics
from bergamotgate.publication.items import ItemTable, PublishedItem

__all__ = ["Decoded", "ItemDecoder", "LocalView", "ServerGone", "Unreadable", "ZoneOut"]


@dataclass(frozen=True)
class ServerGone:
    """The registration of a server was withdrawn."""

    server: str


@dataclass(frozen=True)
class ZoneOut:
    """An availability zone goes out of service or returns to service.

    Attributes:
        zone: Name of the zone.
        out: Whether its servers get no new requests.
    """

    zone: str
    out: bool


@dataclass(frozen=True)
class Unreadable:
    """An item that could not be decoded.

    Attributes:
        key: Key of the item.
        cause: Why it could not be decoded.
        server: The server whose registration it replaces; empty for other items.
    """

    key: str
    cause: str
    server: str = ""


Decoded = Catalogue | DiscoveredServer | ServerGone | ZoneOut | Unreadable | None


class ItemDecoder(Protocol):
    """Decodes published items."""

    def decode(self, item: PublishedItem) -> Decoded:
        """Decode an item; None for one that this process does not use."""

    def is_operator_item(self, key: str) -> bool:
        """Whether an item is the operator's word, which holds until the operator changes it."""


class LocalView:
    """Configuration and servers as this process knows them, kept current from the item table.

    Attributes:
        catalogue: Newest accepted configuration; None before the first.
        registry: Servers that are registered now.
    """

    def __init__(
        self,
        items: ItemTable,
        decoder: ItemDecoder,
        lapse_possible: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        max_pause_s: float = DEFAULT_MAX_PAUSE_S,
    ):
        self._items = items
        self._decoder = decoder
        self._lapse_possible = lapse_possible
        self._metrics = metrics
        self.catalogue: Catalogue | None = None
        self.registry = ServerRegistry(clock, max_pause_s)
        items.on_change(self._apply_changes)

    def _apply_changes(self, changed: list[PublishedItem]) -> None:
        for item in sorted(changed, key=lambda item: item.position):
            try:
                decoded = self._decoder.decode(item)
                if isinstance(decoded, ServerGone) and self._lapse_possible():
                    self._items.forget_superseded(item.key)
                self._apply(decoded)
            except Exception:
                # The table takes each position once: the other changes would be lost for good.
                logger.exception("discovery: Could not apply item {}.", item.key)
                self._metrics.unreadable_items.labels("not_applied").inc()

    def _apply(self, decoded: Decoded) -> None:
        match decoded:
            case Catalogue():
                self._update_catalogue(decoded)
            case DiscoveredServer():
                self.registry.register(decoded)
            case ServerGone():
                self.registry.withdraw(decoded.server, self._lapse_possible())
            case ZoneOut():
                self._update_zone(decoded)
            case Unreadable():
                self._note_unreadable(decoded)

    def _update_catalogue(self, catalogue: Catalogue) -> None:
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        self.catalogue = catalogue
        self._metrics.tables_revision.set(catalogue.version)
        logger.bind(version=catalogue.version, routes=len(catalogue.routes)).info(
            "config: A new configuration is in force."
        )

    def _update_zone(self, zone: ZoneOut) -> None:
        zones = self.registry.zones_out - {zone.zone}
        self.registry.zones_out = zones | {zone.zone} if zone.out else zones
        logger.info(
            "discovery: Zone {} is {} of service.",
            zone.zone,
            "out" if zone.out else "no longer out",
        )

    def _note_unreadable(self, item: Unreadable) -> None:
        self._metrics.unreadable_items.labels("published").inc()
        logger.warning("discovery: Ignored unreadable item {}: {}.", item.key, item.cause)
        if item.server:
            self.registry.withdraw(item.server, False)
