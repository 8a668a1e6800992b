"""Handles client requests: routes and relays each one, and logs how it was answered."""

import random
from collections.abc import Callable

from loguru import logger

from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.catalogue import Catalogue, Route
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.publication.items import ItemTable
from bergamotgate.relay.context import RelayContext
from bergamotgate.relay.messages import (
    Answer,
    ClientRequest,
    FailedAnswer,
    ForwardedAnswer,
    MergedAnswer,
)
from bergamotgate.relay.scatter import ScatterRun
from bergamotgate.relay.single import SingleRun

__all__ = ["QueryHandler"]

NOT_READY_RETRY_S = 0.3
# Requests wait this long after startup for the first configuration, which usually takes 0.2 s: a
# caller that is refused may have no other VM and no retry left.
STARTUP_WAIT_S = 0.6
# Longest wait for a confirmed view after a pause; then availability goes before freshness.
MAX_HOLD_S = 0.3
HOLD_CHECK_INTERVAL_S = 0.01


class QueryHandler:
    """Handles the client requests of this process.

    Attributes:
        in_progress: Number of requests that are not answered yet.
        draining: Whether the process is about to stop.
    """

    def __init__(
        self,
        catalogue: Callable[[], Catalogue | None],
        items: ItemTable,
        relay_context: RelayContext,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ):
        self._catalogue = catalogue
        self._items = items
        self._unconfirmed_since: float | None = None
        self._relay_context = relay_context
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._started_at = clock.now()
        self._finish_at = float("inf")
        self._runs: set[ScatterRun | SingleRun] = set()
        self.in_progress = 0
        self.draining = False

    def hold_until_confirmed(self) -> None:
        """Hold requests until the view is confirmed, as it may be stale after a pause."""
        self._unconfirmed_since = self._clock.now()

    def finish_by(self, at: float) -> None:
        """Answer every request by that time on the local clock, and take only what can be done."""
        self._finish_at = at
        for run in self._runs:
            run.end_by(at)

    async def handle(self, request: ClientRequest) -> Answer:
        """Relay one request and return its answer."""
        if self._unconfirmed_since is not None:
            await self._hold()
        catalogue = self._catalogue() or await self._wait_for_catalogue()
        if catalogue is None:
            answer = FailedAnswer(NotRun(NotRunReason.NO_CONFIGURATION), NOT_READY_RETRY_S)
            return self._record(request, None, None, answer, None)
        route = catalogue.find_route(request.host, request.path)
        if route is None:
            answer = FailedAnswer(NotRun(NotRunReason.NO_ROUTE))
            return self._record(request, catalogue, None, answer, None)
        if not self._can_finish(route):
            answer = FailedAnswer(NotRun(NotRunReason.DRAINING))
            return self._record(request, catalogue, route, answer, None)
        self.in_progress += 1
        try:
            return await self._relay(request, catalogue, route)
        finally:
            self.in_progress -= 1

    def _can_finish(self, route: Route) -> bool:
        """Whether a request that comes now will not be cut off when the process stops.

        One that may run once only is not begun while the process finishes its work: if it takes
        longer than usual, its outcome would be lost.
        """
        if self._finish_at == float("inf"):
            return True
        return route.idempotent and (
            self._clock.now() + route.latency_objective_s <= self._finish_at
        )

    async def _wait_for_catalogue(self) -> Catalogue | None:
        """Wait for the first configuration during startup."""
        while self._catalogue() is None and self._clock.now() < self._started_at + STARTUP_WAIT_S:
            await self._clock.sleep(HOLD_CHECK_INTERVAL_S)
        return self._catalogue()

    async def _hold(self) -> None:
        """Wait until the view is confirmed after the pause, for at most ``MAX_HOLD_S``."""
        since = self._unconfirmed_since
        until = since + MAX_HOLD_S
        while self._items.confirmed_at < since and self._clock.now() < until:
            await self._clock.sleep(HOLD_CHECK_INTERVAL_S)
        self._unconfirmed_since = None

    async def _relay(self, request: ClientRequest, catalogue: Catalogue, route: Route) -> Answer:
        run: ScatterRun | SingleRun
        if route.shards is not None:
            run = ScatterRun(request, route, catalogue, self._relay_context)
        else:
            pool = route.choose_pool(self._rng)
            run = SingleRun(request, route, pool, catalogue, self._relay_context)
        if self._finish_at < float("inf"):
            run.end_by(self._finish_at)
        self._runs.add(run)
        try:
            answer = await run.run()
        except Exception:
            logger.exception("gateway: Request {} failed with an internal error.", request.attempt)
            answer = FailedAnswer(Unknown(UnknownReason.INTERNAL))
        finally:
            self._runs.discard(run)
        return self._record(request, catalogue, route, answer, run)

    def _record(
        self,
        request: ClientRequest,
        catalogue: Catalogue | None,
        route: Route | None,
        answer: Answer,
        run: ScatterRun | SingleRun | None,
    ) -> Answer:
        """Record an answer in metrics and the log, and return it."""
        took_s = self._clock.now() - request.arrived_at
        route_name = route.name if route is not None else "none"
        outcome = _outcome(answer)
        self._metrics.requests.labels(route_name, outcome).inc()
        self._metrics.request_latency.labels(route_name).observe(took_s)
        if isinstance(answer, MergedAnswer):
            total = len(answer.digests) + answer.missing
            self._metrics.coverage.labels(route_name).observe(len(answer.digests) / total)
        if isinstance(answer, FailedAnswer):
            self._metrics.refusals.labels(route_name, answer.outcome.reason).inc()
        fields = {
            "id": request.attempt,
            "route": route_name,
            "version": catalogue.version if catalogue is not None else None,
            "era": self._items.history.era,
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
