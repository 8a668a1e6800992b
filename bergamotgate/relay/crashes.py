"""Tells a server that died from one whose answer was lost, for requests that crash servers.

A connection that breaks without an answer proves little. Only when the server then takes no new
connection either does the request that it ran count as one that lost a server.
"""

from collections.abc import Awaitable, Callable

import xxhash
from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.tables import Canary
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.quarantine import QuarantineBook, Suspicion
from bergamotgate.relay.messages import ClientRequest

__all__ = ["CrashDetector", "Look"]

# A server that restarts takes seconds; one look soon after the break is enough.
LOOK_AFTER_S = 0.05

Look = Callable[[DiscoveredServer], Awaitable[bool]]


class CrashDetector:
    """Judges requests before they run and looks after servers on which they ran."""

    def __init__(self, book: QuarantineBook, look: Look, clock: Clock):
        self._book = book
        self._look = look
        self._clock = clock
        self._tasks = TaskGroup("relay:")
        self._looking: set[str] = set()

    def judge(self, request: ClientRequest) -> Suspicion:
        """What is held against a request that is about to run."""
        return self._book.assess(_fingerprint(request), Canary.SUSPECT)

    def note_break(
        self, request: ClientRequest, suspicion: Suspicion, server: DiscoveredServer
    ) -> None:
        """Note that a connection broke while a server ran a request."""
        if server.server not in self._looking:
            self._looking.add(server.server)
            self._tasks.start(self._look_after(request, suspicion, server))

    async def close(self) -> None:
        """Stop to look."""
        await self._tasks.close()

    async def _look_after(
        self, request: ClientRequest, suspicion: Suspicion, server: DiscoveredServer
    ) -> None:
        try:
            await self._clock.sleep(LOOK_AFTER_S)
            if await self._look(server):
                return
        finally:
            self._looking.discard(server.server)
        self._book.note_server_lost(_fingerprint(request), suspicion)
        fields = {"id": request.attempt, "server": server.server, "suspected": suspicion.suspected}
        logger.bind(**fields).warning("relay: A server was lost while it ran a request.")


def _fingerprint(request: ClientRequest) -> str:
    digest = xxhash.xxh64(f"{request.method} {request.host} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
