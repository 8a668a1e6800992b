"""Takes clients' requests, relays them, and writes one line for each decision."""

import random
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.publication.items import ItemTable
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    MergedAnswer,
)
from bergamotgate.relay.scatter import ScatterRun
from bergamotgate.relay.single import SingleRun
from bergamotgate.relay.tools import RelayContext

__all__ = ["QueryHandler"]

NOT_READY_RETRY_S = 0.3
# A process that starts knows its configuration after 0.2 s as a rule; until this time requests wait
# for it, as a caller that is refused may have no other VM and no further try.
STARTING_S = 0.6
# After a pause a request waits at most so long for news; then service goes before freshness.
LONGEST_HOLD_S = 0.3
HOLD_STEP_S = 0.01


class QueryHandler:
    """Relays the requests of this process.

    Attributes:
        in_progress: Requests without answer yet.
        draining: Whether the process is about to stop.
    """

    def __init__(
        self,
        catalogue: Callable[[], Catalogue | None],
        items: ItemTable,
        tools: RelayContext,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._catalogue = catalogue
        self._items = items
        self._news_since: float | None = None
        self._tools = tools
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._started_at = clock.now()
        self.in_progress = 0
        self.draining = False

    def hold_until_confirmed(self) -> None:
        """Hold requests for a moment: this process slept, and what it believes may be old."""
        self._news_since = self._clock.now()

    async def handle(self, request: ClientRequest) -> Answer:
        """Relay one request and return its answer."""
        if self._news_since is not None:
            await self._hold()
        catalogue = self._catalogue() or await self._first_catalogue()
        if catalogue is None:
            answer = FailedAnswer(NotRun(NotRunReason.NO_CONFIGURATION), NOT_READY_RETRY_S)
            return self._noted(request, None, None, answer, None)
        route = catalogue.find_route(request.host, request.path)
        if route is None:
            answer = FailedAnswer(NotRun(NotRunReason.NO_ROUTE))
            return self._noted(request, catalogue, None, answer, None)
        self.in_progress += 1
        try:
            return await self._relay(request, catalogue, route)
        finally:
            self.in_progress -= 1

    async def _first_catalogue(self) -> Catalogue | None:
        """Wait for the first configuration while this process starts."""
        while self._catalogue() is None and self._clock.now() < self._started_at + STARTING_S:
            await self._clock.sleep(HOLD_STEP_S)
        return self._catalogue()

    async def _hold(self) -> None:
        """Wait until the view was confirmed after the pause, but not for long."""
        since = self._news_since
        until = since + LONGEST_HOLD_S
        while self._items.confirmed_at < since and self._clock.now() < until:
            await self._clock.sleep(HOLD_STEP_S)
        self._news_since = None

    async def _relay(self, request: ClientRequest, catalogue: Catalogue, route: Route) -> Answer:
        run: ScatterRun | SingleRun
        if route.shards is not None:
            run = ScatterRun(request, route, catalogue, self._tools)
        else:
            pool = route.choose_pool(self._rng)
            run = SingleRun(request, route, pool, catalogue, self._tools)
        try:
            answer = await run.run()
        except Exception:
            logger.exception("gateway: Request {} failed inside.", request.attempt)
            answer = FailedAnswer(Unknown(UnknownReason.INTERNAL))
        return self._noted(request, catalogue, route, answer, run)

    def _noted(
        self,
        request: ClientRequest,
        catalogue: Catalogue | None,
        route: Route | None,
        answer: Answer,
        run: ScatterRun | SingleRun | None,
    ) -> Answer:
        """Count an answer and log how it came about."""
        took_s = self._clock.now() - request.arrived_at
        name = route.name if route is not None else "none"
        outcome = _outcome(answer)
        self._metrics.requests.labels(name, outcome).inc()
        self._metrics.latency.labels(name).observe(took_s)
        if isinstance(answer, MergedAnswer):
            asked = len(answer.digests) + answer.missing
            self._metrics.coverage.labels(name).observe(len(answer.digests) / asked)
        if isinstance(answer, FailedAnswer):
            self._metrics.refusals.labels(name, answer.outcome.reason).inc()
        fields = {
            "id": request.attempt,
            "route": name,
            "version": catalogue.version if catalogue is not None else None,
            "age_ms": _age_ms(self._items.age_s()),
            "took_ms": milliseconds(took_s),
            "outcome": outcome,
        }
        if run is not None:
            fields |= {"hedges": run.hedges, "retries": run.retries}
        if isinstance(run, ScatterRun):
            fields["missing"] = run.missing_pools()
            fields["zones"] = dict(run.zones)
        elif isinstance(run, SingleRun):
            fields["servers"] = run.servers
        logger.bind(**fields).info("gateway: Request answered.")
        return answer


def _age_ms(age_s: float) -> int | None:
    return milliseconds(age_s) if age_s < float("inf") else None


def _outcome(answer: Answer) -> str:
    if isinstance(answer, ForwardedAnswer):
        return f"forwarded_{answer.reply.status}"
    if isinstance(answer, MergedAnswer):
        return "whole" if answer.missing == 0 else "partial"
    kind = "not_run" if isinstance(answer.outcome, NotRun) else "unknown"
    return f"{kind}_{answer.outcome.reason}"
