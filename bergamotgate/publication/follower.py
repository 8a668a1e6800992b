"""Keeps the item table current: one VM polls the store for the fleet, the others stand by.

The VMs are ranked. The first polls; each later one polls only when its table is older than its rank
allows, and then keeps polling for a while. A VM that is frozen, partitioned or rejected by the
store is thus replaced without a consensus protocol, and store calls do not grow with the fleet.
"""

import math
import random
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.metrics import Metrics
from bergamotgate.publication.items import UNREAD, ItemTable, PublishedItem, TableUpdate
from bergamotgate.publication.source import HistoryLost, ItemChanges, ItemSource
from bergamotgate.revision import History, Position

__all__ = ["PublicationFollower"]

# Longest wait of one poll, and the interval between polls while changes keep coming.
POLL_WAIT_S = 1.0
POLL_INTERVAL_S = 0.7
# Wait of a poll that only confirms that the table is current, such as the first of a standby.
SHORT_POLL_WAIT_S = 0.01
# A standby polls once its table is older than this, plus a step for each rank before it.
STANDBY_AGE_S = 1.9
STANDBY_STEP_S = 0.4
FULL_STEP_RANKS = 4
# Beyond these ranks each doubling adds this: the last of 710 polls at an age of 4.6 s.
STANDBY_DOUBLING_S = 0.15
# A standby that has taken over keeps polling for this time.
TAKEOVER_S = 5.0
CHECK_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# A table older than this means that the store was unavailable, at least to this VM.
OUTAGE_AGE_S = 2.5
# Lapsed registrations may still vanish and return for this time after the store's recovery.
LAPSE_WINDOW_S = 4.0
# A VM that starts waits this long for peers for each seed before it, then reads the store itself.
FIRST_READ_STEP_S = 0.4
# Current reads of the known era that are older than the table may come from a lagging replica of
# the store; when they still come after this time, its revisions went back.
OLDER_READ_PATIENCE_S = 0.5
# The same for reads of a lower era.
LOWER_ERA_PATIENCE_S = 1.0
# Older reads further apart than this do not belong together.
OLDER_READ_GAP_S = 5.0
# Stands in logs for any greater age, also that of a table that was never confirmed.
MAX_LOGGED_AGE_S = 1_000_000.0


class PublicationFollower:
    """Polls the store when it is this VM's turn.

    Attributes:
        available: Whether the store answered the last call.
    """

    def __init__(
        self,
        table: ItemTable,
        source: ItemSource,
        rank: Callable[[], int],
        first_read_rank: int,
        on_update: Callable[[TableUpdate], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._table = table
        self._source = source
        self._rank = rank
        self._first_wait_s = FIRST_READ_STEP_S * first_read_rank * rng.uniform(1.0, 1.5)
        self._on_update = on_update
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tasks = TaskGroup("publication:", metrics.task_failures.labels("publication").inc)
        self._takeover_until = float("-inf")
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = float("-inf")
        self._outage_until = float("-inf")
        self._started_at = float("-inf")
        self._was_read = False
        self._older_since = float("-inf")
        self._older_at = float("-inf")
        self._hinted_at: float | None = None
        self.available = True
        table.on_history(self._note_history)

    def start(self) -> None:
        """Start following the store."""
        self._started_at = self._clock.now()
        self._tasks.keep_running(self._run, self._clock)

    async def close(self) -> None:
        """Stop following the store."""
        await self._tasks.close()

    def lapse_possible(self) -> bool:
        """Whether a recent store outage may have made registrations of live servers lapse."""
        self._note_age()
        return self._clock.now() < self._outage_until + LAPSE_WINDOW_S

    def poll_soon(self) -> None:
        """Poll at the next check, whatever the rank."""
        self._retry_at = self._clock.now()
        self._takeover_until = self._clock.now() + TAKEOVER_S

    def poll_in_turn(self) -> None:
        """Poll unless a VM of a lower rank does so first: a peer may know of changes."""
        if self._hinted_at is None:
            self._hinted_at = self._clock.now()

    def _note_age(self) -> None:
        if self._was_read and self._table.age_s() > OUTAGE_AGE_S:
            self._outage_until = self._clock.now()
        self._was_read = self._was_read or self._table.as_of != UNREAD

    async def _run(self) -> None:
        while True:
            self._note_age()
            if not self._is_turn():
                await self._clock.sleep(CHECK_INTERVAL_S)
                continue
            poll_started_at = self._clock.now()
            if await self._poll():
                pause_s = poll_started_at + POLL_INTERVAL_S - self._clock.now()
                if pause_s > 0:
                    await self._clock.sleep(pause_s)

    def _is_turn(self) -> bool:
        now = self._clock.now()
        if now < self._retry_at:
            return False
        if self._table.as_of == UNREAD:
            return now - self._started_at >= self._first_wait_s
        return (
            self._is_hinted(now)
            or self._is_poller()
            or self._table.age_s() > _standby_age_s(self._rank())
        )

    def _is_hinted(self, now: float) -> bool:
        """Whether a peer told of changes, and no VM of a lower rank has read them since."""
        if self._hinted_at is None or self._table.confirmed_at >= self._hinted_at:
            self._hinted_at = None
            return False
        return now >= self._hinted_at + self._turn_delay_s()

    def _turn_delay_s(self) -> float:
        """Time that the VMs of lower ranks have to read the store for the fleet."""
        return _rank_delay_s(self._rank())

    def _is_poller(self) -> bool:
        """Whether this VM polls for the fleet."""
        return self._rank() == 0 or self._clock.now() < self._takeover_until

    async def _poll(self) -> bool:
        """Read the changes since the last poll; return whether the store answered."""
        requested_at = self._clock.now()
        since = self._table.as_of
        try:
            if since == UNREAD:
                return await self._read_first(requested_at)
            wait_s = POLL_WAIT_S if self._is_poller() else SHORT_POLL_WAIT_S
            found = await self._source.changes(since.revision, wait_s)
        except HistoryLost as error:
            age_ms = milliseconds(min(MAX_LOGGED_AGE_S, self._table.age_s()))
            logger.bind(age_ms=age_ms, era=since.history.era).warning("publication: {}", error)
            self._metrics.service_calls.labels("store_watch", "history_lost").inc()
            await self._reread(since, error.era, lost=True)
            return True
        except PlatformUnavailable as error:
            self._note_failure("read" if since == UNREAD else "watch", error)
            return False
        self._note_answer("watch")
        if found.era not in (None, since.history.era):
            await self._reread(since, found.era, lost=False)
            return True
        self._older_at = float("-inf")
        self._apply(since, found, requested_at)
        return True

    async def _read_first(self, requested_at: float) -> bool:
        """Read all items and the changes since, and apply both at once: the read may be stale."""
        full_read = await self._source.read_all(newest=False)
        self._note_answer("read")
        update = await self._source.changes(full_read.as_of, SHORT_POLL_WAIT_S)
        self._note_answer("watch")
        eras = {full_read.era, update.era} - {None}
        if len(eras) > 1:
            await self._reread(UNREAD, None, lost=False)
            return True
        item_by_key = {item.key: item for item in (*full_read.items, *update.items)}
        present = tuple(item for item in item_by_key.values() if item.value is not None)
        read = ItemChanges(update.as_of, present, next(iter(eras), None))
        self._apply_complete(read, UNREAD, requested_at)
        return True

    async def _reread(self, since: Position, era: int | None, lost: bool) -> None:
        """Read all current items: a stale read may lie before the lost history too.

        Args:
            since: Position of the table when the history turned out to be lost or replaced.
            era: Era stated by the answer that showed it; None if it stated none.
            lost: Whether the store did not know the position.
        """
        await self._clock.sleep(self._turn_delay_s())
        if self._table.as_of != since:
            return
        requested_at = self._clock.now()
        try:
            full_read = await self._source.read_all(newest=True)
        except PlatformUnavailable as error:
            self._note_failure("read", error)
            return
        self._note_answer("read")
        eras = {era, full_read.era} - {None}
        if len(eras) > 1:
            logger.bind(eras=sorted(eras)).warning("publication: Answers of the store disagree.")
            return
        full_read = replace(full_read, era=next(iter(eras), None))
        # A read that is no newer than a position that the store did not know proves nothing.
        is_proof = not lost or full_read.as_of != since.revision
        self._apply_complete(full_read, since, requested_at if is_proof else float("-inf"))

    def _apply_complete(self, full_read: ItemChanges, since: Position, confirmed_at: float) -> None:
        """Apply a complete read, unless it is older than the table or a peer was quicker."""
        known = since.history
        as_of = Position(_history_of(full_read, known), full_read.as_of)
        if as_of < since:
            if not self._went_back(as_of.history < known):
                self._note_older(full_read, since)
                return
            as_of = Position(replace(as_of.history, resets=known.resets + 1), full_read.as_of)
        if as_of < self._table.as_of:
            self._note_older(full_read, self._table.as_of)
            return
        self._older_at = float("-inf")
        logger.bind(revision=as_of.revision, era=full_read.era, known_revision=since.revision).info(
            "publication: Applied a complete read."
        )
        self._table.replace_all(as_of, _in_history(full_read, as_of.history))
        self._table.confirm(confirmed_at)
        self._on_update(TableUpdate(as_of, as_of))

    def _went_back(self, lower_era: bool) -> bool:
        """Note an older read; return whether they have come long enough: the store went back."""
        now = self._clock.now()
        if now > self._older_at + OLDER_READ_GAP_S:
            self._older_since = now
        self._older_at = now
        patience_s = LOWER_ERA_PATIENCE_S if lower_era else OLDER_READ_PATIENCE_S
        return now - self._older_since >= patience_s

    def _apply(self, since: Position, found: ItemChanges, requested_at: float) -> None:
        self._note_age()
        as_of = Position(since.history, found.as_of)
        update = TableUpdate(since, as_of, _in_history(found, since.history))
        if self._table.merge(update) is None:
            return  # a peer told of a newer history meanwhile
        self._table.confirm(requested_at)
        if self._rank() > 0 and requested_at >= self._takeover_until:
            self._takeover_until = requested_at + TAKEOVER_S
            logger.info("publication: This VM polls the store for the fleet.")
        self._on_update(update)

    def _note_history(self) -> None:
        """Expect registrations to be missing: servers write again what the copy lacks."""
        self._older_at = float("-inf")
        self._outage_until = self._clock.now()
        self._metrics.store_histories.inc()

    def _note_older(self, found: ItemChanges, known: Position) -> None:
        self._metrics.service_calls.labels("store_read", "older").inc()
        logger.bind(
            revision=found.as_of,
            era=found.era,
            known_revision=known.revision,
            known_era=known.history.era,
        ).warning("publication: Ignored a complete read that is older than the table.")

    def _note_answer(self, kind: str) -> None:
        self._metrics.service_calls.labels(f"store_{kind}", "answered").inc()
        self._backoff_s = INITIAL_BACKOFF_S
        if not self.available:
            logger.info("publication: The store is available again.")
        self.available = True

    def _note_failure(self, kind: str, error: PlatformUnavailable) -> None:
        if self.available:
            logger.warning("publication: {}", error)
        self.available = False
        self._metrics.service_calls.labels(f"store_{kind}", "failed").inc()
        self._takeover_until = float("-inf")
        self._retry_at = self._clock.now() + self._backoff_s * self._rng.uniform(0.7, 1.3)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)


def _standby_age_s(rank: int) -> float:
    """Table age at which the VM of a rank polls; few VMs reach theirs at the same time."""
    return STANDBY_AGE_S + _rank_delay_s(rank)


def _rank_delay_s(rank: int) -> float:
    """Delay that grows by a step for each of the first ranks, and with each doubling beyond."""
    doublings = math.log2(max(1.0, rank / FULL_STEP_RANKS))
    return STANDBY_STEP_S * min(rank, FULL_STEP_RANKS) + STANDBY_DOUBLING_S * doublings


def _history_of(found: ItemChanges, known: History) -> History:
    """History that an answer states; one that states no era is taken to be of the known history."""
    return known if found.era is None else replace(known, era=found.era)


def _in_history(found: ItemChanges, history: History) -> tuple[PublishedItem, ...]:
    return tuple(replace(item, history=history) for item in found.items)
