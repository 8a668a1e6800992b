"""Keeps the item table current: one VM polls the store for the fleet, the others stand by.

The VMs are ranked. The first polls; each later one polls only when what it knows has grown older
than its turn allows, and then goes on for a while. A VM that is frozen, cut off or turned away by
the store is thus replaced without any agreement, and store calls do not grow with the fleet.
"""

import math
import random
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.errors import PlatformUnavailable
from bergamotgate.metrics import Metrics
from bergamotgate.publication.items import UNREAD, ItemTable
from bergamotgate.publication.source import HistoryLost, ItemChanges, ItemSource

__all__ = ["PublicationFollower"]

# Longest wait of one poll, and the pause between polls while changes keep coming.
POLL_WAIT_S = 1.0
POLL_EVERY_S = 0.7
# A poll that only proves that what is known is current, as the first one of a stand-by.
SHORT_POLL_WAIT_S = 0.01
# A stand-by polls once its knowledge is older than this, plus a step for each rank before it.
STAND_BY_AGE_S = 1.9
STAND_BY_STEP_S = 0.4
FULL_STEP_RANKS = 4
# Beyond these ranks each doubling adds so much: the last of 710 polls at an age of 4.6 s.
STAND_BY_DOUBLING_S = 0.15
ACTING_S = 5.0
CHECK_EVERY_S = 0.1
RETRY_FIRST_S = 0.25
RETRY_MOST_S = 2.0
# Knowledge older than this means that the store was away, for this VM at least.
AWAY_AGE_S = 2.5
# Registrations that lapsed may still vanish and return for so long after the store's return.
LAPSE_WINDOW_S = 4.0
# A VM that starts gives its peers so long for each seed before it, then reads by itself.
FIRST_READ_STEP_S = 0.4


class PublicationFollower:
    """The task that polls the store when it is this VM's turn.

    Attributes:
        available: Whether the store answered the last call.
    """

    def __init__(
        self,
        table: ItemTable,
        source: ItemSource,
        rank: Callable[[], int],
        first_turn: int,
        on_news: Callable[[int, ItemChanges], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._table = table
        self._source = source
        self._rank = rank
        self._first_wait_s = FIRST_READ_STEP_S * first_turn * rng.uniform(1.0, 1.5)
        self._on_news = on_news
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tasks = TaskGroup("publication:")
        self._acting_until = float("-inf")
        self._retry_s = RETRY_FIRST_S
        self._retry_at = float("-inf")
        self._away_until = float("-inf")
        self._started_at = float("-inf")
        self._known_once = False
        self.available = True

    def start(self) -> None:
        """Start to follow."""
        self._started_at = self._clock.now()
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop to follow."""
        await self._tasks.close()

    def lapse_possible(self) -> bool:
        """Whether the store was away shortly before, so that living servers may have lapsed."""
        self._note_age()
        return self._clock.now() < self._away_until + LAPSE_WINDOW_S

    def poll_soon(self) -> None:
        """Poll at the next check, whatever the turn."""
        self._retry_at = self._clock.now()
        self._acting_until = self._clock.now() + ACTING_S

    def _note_age(self) -> None:
        if self._known_once and self._table.age_s() > AWAY_AGE_S:
            self._away_until = self._clock.now()
        self._known_once = self._known_once or self._table.as_of != UNREAD

    async def _run(self) -> None:
        while True:
            self._note_age()
            if not self._is_turn():
                await self._clock.sleep(CHECK_EVERY_S)
                continue
            started = self._clock.now()
            if await self._poll():
                pause_s = started + POLL_EVERY_S - self._clock.now()
                if pause_s > 0:
                    await self._clock.sleep(pause_s)

    def _is_turn(self) -> bool:
        now = self._clock.now()
        if now < self._retry_at:
            return False
        if self._table.as_of == UNREAD:
            return now - self._started_at >= self._first_wait_s
        return self._acts() or self._table.age_s() > _stand_by_age_s(self._rank())

    def _acts(self) -> bool:
        """Whether this VM polls for the fleet."""
        return self._rank() == 0 or self._clock.now() < self._acting_until

    async def _poll(self) -> bool:
        """Read what is new; return whether the store answered."""
        asked_at = self._clock.now()
        since = self._table.as_of
        try:
            if since == UNREAD:
                return await self._read_first(asked_at)
            wait_s = POLL_WAIT_S if self._acts() else SHORT_POLL_WAIT_S
            news = await self._source.changes(since, wait_s)
        except HistoryLost as error:
            logger.warning("publication: {}", error)
            self._metrics.service_calls.labels("store_watch", "history_lost").inc()
            await self._reread()
            return True
        except PlatformUnavailable as error:
            self._note_failure("read" if since == UNREAD else "watch", error)
            return False
        self._note_answer("watch")
        self._take(since, news, asked_at)
        return True

    async def _read_first(self, asked_at: float) -> bool:
        """Read everything, and what changed since; nothing older comes into force between."""
        whole = await self._source.read_all(newest=False)
        self._note_answer("read")
        news = await self._source.changes(whole.as_of, SHORT_POLL_WAIT_S)
        self._note_answer("watch")
        item_by_key = {item.key: item for item in (*whole.items, *news.items)}
        present = [item for item in item_by_key.values() if item.value is not None]
        self._table.replace_all(news.as_of, present)
        self._table.confirm(asked_at)
        self._on_news(whole.as_of, news)
        return True

    async def _reread(self) -> None:
        """Read everything as it is now: an older reading may lie before the lost history too."""
        try:
            whole = await self._source.read_all(newest=True)
        except PlatformUnavailable as error:
            self._note_failure("read", error)
            return
        self._note_answer("read")
        self._table.replace_all(whole.as_of, whole.items)

    def _take(self, since: int, news: ItemChanges, asked_at: float) -> None:
        self._note_age()
        self._table.merge(since, news.as_of, news.items)
        self._table.confirm(asked_at)
        if self._rank() > 0 and asked_at >= self._acting_until:
            self._acting_until = asked_at + ACTING_S
            logger.info("publication: This VM polls the store for the fleet.")
        self._on_news(since, news)

    def _note_answer(self, kind: str) -> None:
        self._metrics.service_calls.labels(f"store_{kind}", "answered").inc()
        self._retry_s = RETRY_FIRST_S
        if not self.available:
            logger.info("publication: The store answers again.")
        self.available = True

    def _note_failure(self, kind: str, error: PlatformUnavailable) -> None:
        if self.available:
            logger.warning("publication: {}", error)
        self.available = False
        self._metrics.service_calls.labels(f"store_{kind}", "failed").inc()
        self._acting_until = float("-inf")
        self._retry_at = self._clock.now() + self._retry_s * self._rng.uniform(0.7, 1.3)
        self._retry_s = min(RETRY_MOST_S, 2 * self._retry_s)


def _stand_by_age_s(rank: int) -> float:
    """Age of what is known at which the VM of a rank polls; few VMs reach theirs at a time."""
    doublings = math.log2(max(1.0, rank / FULL_STEP_RANKS))
    return (
        STAND_BY_AGE_S
        + STAND_BY_STEP_S * min(rank, FULL_STEP_RANKS)
        + STAND_BY_DOUBLING_S * doublings
    )
