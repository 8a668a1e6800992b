"""Stores the tables in force on this process and exchanges them with peers."""

import json
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from bergamotgate.config.contentcheck import ContentCheck
from bergamotgate.config.delta import Change, apply_changes, changes_between, digest_of
from bergamotgate.config.reader import read_tables
from bergamotgate.config.rejections import Rejections
from bergamotgate.config.service import PublishedTables
from bergamotgate.config.tables import Tables
from bergamotgate.errors import TablesRejected
from bergamotgate.metrics import Metrics
from bergamotgate.revision import NOTHING, History, Position, log_new_era
from bergamotgate.wire.generated.ttypes import EntryChange, RevisionMark, TablesAsk, TablesReply
from bergamotgate.wire.marks import era_field, position_of

__all__ = ["TableStore"]

# Accepted revisions that are kept as bases of deltas for peers.
KEPT_REVISIONS = 4


class TableStore:
    """Holds the tables of the highest accepted position; never returns to a lower one.

    Attributes:
        last_rejection: Error of the last rejected revision, or None.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._listeners: list[Callable[[Tables], None]] = []
        self._accepted_by_position: OrderedDict[Position, Tables] = OrderedDict()
        self._rejections = Rejections()
        self._content = ContentCheck()
        self.last_rejection: TablesRejected | None = None

    @property
    def tables(self) -> Tables | None:
        """The tables in force."""
        return self._accepted_by_position.get(self.position)

    @property
    def position(self) -> Position:
        """Position in force."""
        return next(reversed(self._accepted_by_position), NOTHING)

    @property
    def revision(self) -> int:
        """Revision in force; -1 while there is none."""
        return self.position.revision

    @property
    def mark(self) -> RevisionMark:
        """What datagrams announce while tables are in force."""
        return RevisionMark(self.revision, self.tables.digest, era_field(self.position))

    @property
    def seen(self) -> Position:
        """The position in force, or the last rejected one above it."""
        return max(self.position, self.last_rejected or NOTHING)

    @property
    def last_rejected(self) -> Position | None:
        """The last position offered, if it is a rejected one."""
        return self._rejections.last

    @property
    def awaits_correction(self) -> bool:
        """Whether the newest position offered was rejected, or a peer holds other content of it."""
        return self.seen > self.position or self._content.in_doubt

    def on_change(self, listener: Callable[[Tables], None]) -> None:
        """Call the listener with each pair of tables that comes into force."""
        self._listeners.append(listener)

    def offer(self, revision: int, routes: str, pools: str, era: int = 0) -> bool:
        """Validate a published revision; return whether it came into force.

        One that is not higher than the one in force, by era and then by number, is ignored. A
        revision with errors is rejected, and the last accepted one stays in force; the same content
        under the same revision is not read again.
        """
        position = Position(History(era=era), revision)
        if position <= self.position or self._rejections.has(position, routes, pools):
            return False
        try:
            tables = read_tables(revision, routes, pools)
        except TablesRejected as error:
            self._rejections.add(position, routes, pools)
            self._reject(revision, error)
            return False
        log_new_era("tables", self.position, position)
        self._put_in_force(position, tables)
        return True

    def offer_of_service(self, published: PublishedTables) -> bool:
        """Offer what the service states; it also decides on the content of the revision in force.

        Peers do not: of two contents of one revision, nothing tells which one is the later.
        """
        routes, pools = published.routes, published.pools
        if published.position != self.position:
            return self.offer(published.revision, routes, pools, published.era)
        if not self._content.is_new(self.position, routes, pools):
            return False
        try:
            tables = read_tables(published.revision, routes, pools)
        except TablesRejected as error:
            self._reject(published.revision, error)
            return False
        if tables.digest == self.tables.digest:
            return False
        logger.warning("config: The service has other tables of revision {}.", self.revision)
        self._put_in_force(self.position, tables)
        return True

    def compare(self, mark: RevisionMark) -> None:
        """Note that a peer holds other content of the position in force; the service decides."""
        if self.tables is None or position_of(mark) != self.position:
            return
        if mark.digest != self.tables.digest:
            self._content.in_doubt = True

    def _put_in_force(self, position: Position, tables: Tables) -> None:
        self._rejections.last = None
        self._content.in_doubt = False
        self._accepted_by_position[position] = tables
        while len(self._accepted_by_position) > KEPT_REVISIONS:
            self._accepted_by_position.popitem(last=False)
        logger.info("config: Revision {} is in force.", position.revision)
        self._metrics.tables_revision.set(position.revision)
        for listener in self._listeners:
            listener(tables)

    def make_request(self, call_id: int) -> TablesAsk:
        """Build the request to a peer that has a newer revision."""
        digest = self.tables.digest if self.tables is not None else ""
        return TablesAsk(call_id, self.revision, digest)

    def make_reply(self, request: TablesAsk) -> TablesReply | None:
        """Build the reply to a peer: a delta if its revision is kept here, else the full text."""
        newest = self.tables
        if newest is None:
            return None
        era = era_field(self.position)
        reply = TablesReply(request.call, newest.revision, newest.digest, era=era)
        base = self._base_of(request)
        if base is not None:
            changes = changes_between(base.canonical, newest.canonical)
            reply.changes = [EntryChange(change.path, change.value) for change in changes]
        else:
            reply.whole = newest.canonical.encode()
        return reply

    def apply_reply(self, reply: TablesReply) -> bool:
        """Apply a peer's reply; return whether a newer revision came into force."""
        text = self._canonical_text(reply)
        if text is None or digest_of(text) != reply.digest:
            self._metrics.bad_messages.labels("tables").inc()
            return False
        pair = json.loads(text)
        return self.offer(
            reply.revision,
            json.dumps(pair["routes"]),
            json.dumps(pair["pools"]),
            position_of(reply).history.era,
        )

    def _base_of(self, request: TablesAsk) -> Tables | None:
        """The tables that the peer holds, if they are kept here."""
        for tables in self._accepted_by_position.values():
            if tables.revision == request.have_revision and tables.digest == request.have_digest:
                return tables
        return None

    def _canonical_text(self, reply: TablesReply) -> str | None:
        if reply.whole is not None:
            return reply.whole.decode(errors="replace")
        newest = self.tables
        if newest is None:
            return None
        changes = (Change(change.path, change.value) for change in reply.changes or ())
        try:
            return apply_changes(newest.canonical, tuple(changes))
        except (ValueError, AttributeError):
            return None

    def _reject(self, revision: int, error: TablesRejected) -> None:
        self.last_rejection = error
        self._metrics.tables_rejected.labels("tables").inc()
        logger.error("config: Revision {} is rejected: {}", revision, error)
