"""What a process remembers of the requests that only it may run."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.gather.answer import QueryAnswer
from bergamotgate.keeper.token import KeeperToken, RequestKey
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown, UnknownReason

__all__ = ["KeeperBook", "REMEMBER_AFTER_MS", "TOKEN_LIFE_MS"]

TOKEN_LIFE_MS = 600_000
REMEMBER_AFTER_MS = 300_000
MAX_RECORDS = 200_000

Result = QueryAnswer | Refusal


@dataclass(frozen=True)
class _Record:
    """A request that was taken on, and its result once there is one."""

    fingerprint: str
    expires_ms: int
    result: asyncio.Future


class KeeperBook:
    """Runs each key once and gives every further delivery the first one's result."""

    def __init__(self, vm: str, boot: int, clock: Clock):
        self._vm = vm
        self._boot = boot
        self._clock = clock
        self._tasks = TaskGroup("keeper:")
        self._record_by_key: OrderedDict[str, _Record] = OrderedDict()
        self._draining = False

    async def close(self) -> None:
        """Stop what still runs."""
        await self._tasks.close()

    def drain(self) -> None:
        """Take on no new requests."""
        self._draining = True

    @property
    def running(self) -> int:
        """Requests without result."""
        return sum(1 for record in self._record_by_key.values() if not record.result.done())

    def new_token(self) -> KeeperToken | None:
        """A token for a caller; None when no further requests can be kept."""
        if self._draining or len(self._record_by_key) >= MAX_RECORDS:
            return None
        return KeeperToken(self._vm, self._boot, self._now_ms() + TOKEN_LIFE_MS)

    def issued(self, token: KeeperToken) -> bool:
        """Whether a token names this very process."""
        return token.vm == self._vm and token.boot == self._boot

    async def run(
        self, key: RequestKey, fingerprint: str, run: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Run a request unless its key was seen before.

        Args:
            key: Key whose token names this process.
            fingerprint: Hash of route and body; the same key must come with the same one.
            run: Runs the request; called at most once for a key.
        """
        self._forget_old()
        record = self._record_by_key.get(key.text)
        if record is not None and record.fingerprint != fingerprint:
            return NotRun(NotRunReason.KEY_REUSED)
        if record is None and self._now_ms() > key.token.expires_ms + REMEMBER_AFTER_MS:
            return Unknown(UnknownReason.TOKEN_OUTLIVED)
        if record is None:
            record = self._take_on(key, fingerprint, run)
        return await asyncio.shield(record.result)

    def _take_on(
        self, key: RequestKey, fingerprint: str, run: Callable[[], Awaitable[Result]]
    ) -> _Record:
        future = asyncio.get_running_loop().create_future()
        record = _Record(fingerprint, key.token.expires_ms, future)
        self._record_by_key[key.text] = record
        # A refusal is remembered like a result: a late copy of the request must not run after it.
        if self._now_ms() > key.token.expires_ms:
            future.set_result(NotRun(NotRunReason.TOKEN_EXPIRED))
        elif self._draining:
            future.set_result(NotRun(NotRunReason.DRAINING))
        else:
            self._tasks.start(self._run(record, run))
        return record

    async def _run(self, record: _Record, run: Callable[[], Awaitable[Result]]) -> None:
        result: Result = Unknown(UnknownReason.INTERNAL)
        try:
            result = await run()
        finally:
            if not record.result.done():
                record.result.set_result(result)

    def _forget_old(self) -> None:
        """Drop records whose token expired so long ago that a new delivery is refused anyway."""
        oldest = self._now_ms() - REMEMBER_AFTER_MS
        while self._record_by_key:
            key, record = next(iter(self._record_by_key.items()))
            if record.expires_ms >= oldest or not record.result.done():
                return
            del self._record_by_key[key]

    def _now_ms(self) -> int:
        return milliseconds(self._clock.now())
