"""Detects servers that crash while they run a request, so that the request can be quarantined.

A connection that breaks without a reply does not prove a crash; the reply alone may have been lost.
A crash is attributed to the request only if the server then accepts no new connection either.
"""

from collections.abc import Awaitable, Callable

import xxhash
from loguru import logger

from bergamotgate.clock import Clock, TaskGroup
from bergamotgate.config.tables import Canary
from bergamotgate.discovery.servers import DiscoveredServer
from bergamotgate.quarantine import QuarantineBook, Suspicion
from bergamotgate.relay.messages import ClientRequest

__all__ = ["CrashDetector", "ServerProbe"]

# A server takes seconds to restart, so one probe soon after the connection broke is enough.
PROBE_DELAY_S = 0.05

ServerProbe = Callable[[DiscoveredServer], Awaitable[bool]]


class CrashDetector:
    """Checks requests against the quarantine and probes servers whose connection broke."""

    def __init__(self, quarantine: QuarantineBook, probe: ServerProbe, clock: Clock):
        self._quarantine = quarantine
        self._probe = probe
        self._clock = clock
        self._tasks = TaskGroup("relay:")
        self._probing: set[str] = set()

    def assess(self, request: ClientRequest) -> Suspicion:
        """Return the quarantine state of a request that is about to run."""
        return self._quarantine.assess(_fingerprint(request), Canary.SUSPECT)

    def note_connection_lost(
        self, request: ClientRequest, suspicion: Suspicion, server: DiscoveredServer
    ) -> None:
        """Record that a connection broke while its server ran a request."""
        if server.server not in self._probing:
            self._probing.add(server.server)
            self._tasks.start(self._check_crashed(request, suspicion, server))

    async def close(self) -> None:
        """Cancel pending probes."""
        await self._tasks.close()

    async def _check_crashed(
        self, request: ClientRequest, suspicion: Suspicion, server: DiscoveredServer
    ) -> None:
        try:
            await self._clock.sleep(PROBE_DELAY_S)
            if await self._probe(server):
                return
        finally:
            self._probing.discard(server.server)
        self._quarantine.note_server_lost(_fingerprint(request), suspicion)
        fields = {"id": request.attempt, "server": server.server, "suspected": suspicion.suspected}
        logger.bind(**fields).warning("relay: Server was lost while it ran a request.")


def _fingerprint(request: ClientRequest) -> str:
    digest = xxhash.xxh64(f"{request.method} {request.host} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
