"""Runs at-most-once requests and records their results for repeated deliveries."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bergamotgate.clock import Clock, TaskGroup, milliseconds
from bergamotgate.gather.answer import QueryAnswer
from bergamotgate.keeper.token import KeeperToken, RequestKey
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown, UnknownReason

__all__ = ["KeeperBook", "RETENTION_AFTER_EXPIRY_MS", "TOKEN_LIFETIME_MS"]

TOKEN_LIFETIME_MS = 600_000
RETENTION_AFTER_EXPIRY_MS = 300_000
MAX_RECORDS = 200_000

Result = QueryAnswer | Refusal


@dataclass(frozen=True)
class _Record:
    """An accepted request and its eventual result."""

    fingerprint: str
    expires_ms: int
    result: asyncio.Future


class KeeperBook:
    """Runs the request of each key once and returns its result to every further delivery.

    Attributes:
        boot: Names this process in tokens; tokens with another boot are not its own.
    """

    def __init__(
        self, vm: str, boot: int, clock: Clock, may_issue: Callable[[], bool] = lambda: True
    ):
        """Create an empty book.

        Args:
            vm: Name of the VM.
            boot: Names this process in tokens.
            clock: Source of time.
            may_issue: Whether the process may give tokens to callers.
        """
        self.boot = boot
        self._vm = vm
        self._clock = clock
        self._may_issue = may_issue
        self._tasks = TaskGroup("keeper:")
        self._record_by_key: OrderedDict[str, _Record] = OrderedDict()
        self._draining = False

    async def close(self) -> None:
        """Cancel the requests that are still running."""
        await self._tasks.close()

    def drain(self) -> None:
        """Accept no new requests."""
        self._draining = True

    @property
    def running(self) -> int:
        """Number of requests without a result."""
        return sum(1 for record in self._record_by_key.values() if not record.result.done())

    def new_token(self) -> KeeperToken | None:
        """A token for a caller; None if none may be issued or the table of records is full."""
        if self._draining or not self._may_issue() or len(self._record_by_key) >= MAX_RECORDS:
            return None
        return KeeperToken(self._vm, self.boot, self._now_ms() + TOKEN_LIFETIME_MS)

    def issued(self, token: KeeperToken) -> bool:
        """Whether a token names this process, by VM and boot time."""
        return token.vm == self._vm and token.boot == self.boot

    async def run(
        self, key: RequestKey, fingerprint: str, run: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Run a request unless its key was seen before.

        Args:
            key: Key whose token names this process.
            fingerprint: Hash of route and body; each delivery of a key must have the same one.
            run: Runs the request; called at most once per key.
        """
        self._evict_expired()
        record = self._record_by_key.get(key.text)
        if record is not None and record.fingerprint != fingerprint:
            return NotRun(NotRunReason.KEY_REUSED)
        if record is None and self._now_ms() > key.token.expires_ms + RETENTION_AFTER_EXPIRY_MS:
            return Unknown(UnknownReason.TOKEN_OUTLIVED)
        if record is None:
            record = self._accept(key, fingerprint, run)
        return await asyncio.shield(record.result)

    def _accept(
        self, key: RequestKey, fingerprint: str, run: Callable[[], Awaitable[Result]]
    ) -> _Record:
        future = asyncio.get_running_loop().create_future()
        record = _Record(fingerprint, key.token.expires_ms, future)
        self._record_by_key[key.text] = record
        # A refusal is recorded like a result: a delayed duplicate must not run the request later.
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

    def _evict_expired(self) -> None:
        """Evict records whose token expired so long ago that a new delivery is refused anyway."""
        oldest_expiry_ms = self._now_ms() - RETENTION_AFTER_EXPIRY_MS
        while self._record_by_key:
            key, record = next(iter(self._record_by_key.items()))
            if record.expires_ms >= oldest_expiry_ms or not record.result.done():
                return
            del self._record_by_key[key]

    def _now_ms(self) -> int:
        return milliseconds(self._clock.now())
