"""Handles callers' requests, independent of their transport: one answer for each request."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from bergamotgate.clock import Clock, milliseconds
from bergamotgate.config.tables import Route, Tables
from bergamotgate.errors import LinkLost
from bergamotgate.front.addresses import ADDRESSES_TTL_S, AddressDirectory
from bergamotgate.front.answers import CallerAnswer, redirect, render
from bergamotgate.gather.answer import QueryAnswer, QueryRequest
from bergamotgate.gather.gatherer import Gatherer
from bergamotgate.keeper.book import KeeperBook
from bergamotgate.keeper.token import BadKey, RequestKey, read_key
from bergamotgate.membership.confirmation import ViewConfirmation
from bergamotgate.membership.members import Member, MemberTable
from bergamotgate.membership.prober import Prober
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Refusal, Unknown, UnknownReason
from bergamotgate.wholenumber import read_whole_number
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated.ttypes import Frame, KeeperCall, KeeperReply
from bergamotgate.wire.links import Links, PeerProcess

__all__ = ["CallerRequest", "CallerRequestHandler", "MAX_BODY_BYTES"]

MAX_BODY_BYTES = 1024 * 1024
RECONFIRM_TIMEOUT_S = 0.1
RELAY_MARGIN_S = 0.05
FINGERPRINT_BYTES = 12


@dataclass(frozen=True)
class CallerRequest:
    """A request as received from a caller.

    Attributes:
        method: HTTP method.
        path: Path without the query string.
        body: Body.
        deadline_ms: Value of the deadline header, not validated; None without the header.
        key: Value of the idempotency key header, not validated; None without the header.
        first_attempt: Whether the caller declares that it has not sent this key before.
    """

    method: str
    path: str
    body: bytes
    deadline_ms: str | None = None
    key: str | None = None
    first_attempt: bool = False


class CallerRequestHandler:
    """Validates each request and runs, relays, redirects or refuses it.

    Attributes:
        in_progress: Number of requests not answered yet.
        draining: Whether new requests are redirected to other VMs.
    """

    def __init__(
        self,
        members: MemberTable,
        prober: Prober,
        confirmation: ViewConfirmation,
        addresses: AddressDirectory,
        tables: Callable[[], Tables | None],
        gatherer: Gatherer,
        keeper: KeeperBook,
        links: Links,
        clock: Clock,
        metrics: Metrics,
    ):
        self._members = members
        self._prober = prober
        self._confirmation = confirmation
        self._addresses = addresses
        self._tables = tables
        self._gatherer = gatherer
        self._keeper = keeper
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._running: set[asyncio.Task] = set()
        self.in_progress = 0
        self.draining = False

    def end_running(self) -> None:
        """Answer the requests that still run as unknown, because this process stops."""
        for task in self._running:
            task.cancel()

    def takes_requests(self) -> bool:
        """Whether this VM accepts new requests."""
        own = self._members.own
        return not self.draining and self._addresses.takes_requests(own.vm, own.zone)

    def addresses(self, zone: str) -> CallerAnswer:
        """Answer a request for the VMs to use, with a token for idempotency keys."""
        usable = self._addresses.usable(zone or self._members.own.zone)
        if not self.takes_requests() and usable:
            return redirect(f"http://{usable[0].http}/-/addresses?zone={zone}")
        token = self._keeper.new_token()
        fields = {
            "addresses": [{"vm": a.vm, "zone": a.zone, "http": a.http} for a in usable],
            "keep_s": ADDRESSES_TTL_S,
            "token": token.text() if token is not None else None,
        }
        return CallerAnswer(200, json.dumps(fields).encode(), "addresses")

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request and record its metrics."""
        started = self._clock.now()
        self.in_progress += 1
        running = asyncio.ensure_future(self._handle(request, started))
        self._running.add(running)
        try:
            await asyncio.wait({running})
            if running.cancelled():
                route, answer = self._find_route(request), render(Unknown(UnknownReason.VM_LEFT))
            else:
                route, answer = running.result()
        finally:
            running.cancel()
            self._running.discard(running)
            self.in_progress -= 1
        name = route.name if route is not None else "none"
        self._metrics.requests.labels(name, answer.result).inc()
        if answer.status == 200:
            self._metrics.request_latency.labels(name).observe(self._clock.now() - started)
            answered, total = map(int, answer.headers["X-Coverage"].split("/"))
            self._metrics.coverage.labels(name).observe(answered / total)
        else:
            self._metrics.refusals.labels(name, answer.result).inc()
        return answer

    async def handle_keeper_call(self, call: KeeperCall) -> KeeperReply:
        """Answer a request that another VM relays to this VM as the keeper of its key."""
        method, _, path = call.route_path.partition(" ")
        now = self._clock.now()
        tables = self._tables()
        route = tables.route_by_match.get((method, path)) if tables is not None else None
        key = read_key(call.key)
        if route is None or isinstance(key, BadKey) or not self._keeper.issued(key.token):
            answer = render(Unknown(UnknownReason.KEEPER_GONE))
        else:
            deadline = now + call.budget_ms / 1000
            answer = await self._run_as_keeper(
                self._make_query(route, call.body, now, deadline, call.key), key
            )
        return KeeperReply(call.call, answer.status, answer.body)

    async def _handle(
        self, request: CallerRequest, started: float
    ) -> tuple[Route | None, CallerAnswer]:
        if self._tables() is None:
            return None, _refuse(request, NotRunReason.NO_CONFIGURATION)
        route = self._find_route(request)
        if route is None:
            return None, _refuse(request, NotRunReason.NO_ROUTE)
        if not self.takes_requests():
            return route, self._redirect(request)
        deadline_s = self._effective_deadline_s(request, route)
        if deadline_s is None:
            return route, _refuse(request, NotRunReason.BAD_DEADLINE)
        if len(request.body) > MAX_BODY_BYTES:
            return route, _refuse(request, NotRunReason.BODY_TOO_LARGE)
        query = self._make_query(
            route, request.body, started, started + deadline_s, request.key or ""
        )
        if route.urgency.repeatable:
            return route, await self._run_and_render(query)
        return route, await self._answer_non_repeatable(request, query)

    def _find_route(self, request: CallerRequest) -> Route | None:
        tables = self._tables()
        if tables is None:
            return None
        return tables.route_by_match.get((request.method, request.path))

    def _redirect(self, request: CallerRequest) -> CallerAnswer:
        own = self._members.own
        other_addresses = [a for a in self._addresses.usable(own.zone) if a.vm != own.vm]
        if not other_addresses:
            return _refuse(request, NotRunReason.DRAINING)
        return redirect(f"http://{other_addresses[0].http}{request.path}")

    def _effective_deadline_s(self, request: CallerRequest, route: Route) -> float | None:
        """Return seconds until the deadline, or None if the caller's is not a positive integer.

        The deadline of the route's urgency is the upper bound.
        """
        max_ms = route.urgency.deadline_ms
        if request.deadline_ms is None:
            return max_ms / 1000
        requested_ms = read_whole_number(request.deadline_ms)
        return min(requested_ms, max_ms) / 1000 if requested_ms else None

    def _make_query(
        self, route: Route, body: bytes, arrived_at: float, deadline: float, key: str
    ) -> QueryRequest:
        fingerprint = blake2b(route.name.encode(), digest_size=FINGERPRINT_BYTES)
        fingerprint.update(body)
        return QueryRequest(route, body, arrived_at, deadline, fingerprint.hexdigest(), key)

    async def _run_and_render(self, query: QueryRequest) -> CallerAnswer:
        return render(await self._run(query))

    async def _run(self, query: QueryRequest) -> QueryAnswer | Refusal:
        fresh = self._confirmation.is_fresh()
        if not fresh and not await self._prober.reconfirm(RECONFIRM_TIMEOUT_S):
            return NotRun(NotRunReason.VIEW_UNCONFIRMED)
        return await self._gatherer.run(query)

    async def _answer_non_repeatable(
        self, request: CallerRequest, query: QueryRequest
    ) -> CallerAnswer:
        """Answer a request that must not run twice, here or at the keeper of its key."""
        if request.key is None:
            return render(NotRun(NotRunReason.KEY_REQUIRED))
        key = read_key(request.key)
        if isinstance(key, BadKey):
            return render(NotRun(NotRunReason.BAD_KEY))
        if self._keeper.issued(key.token):
            return await self._run_as_keeper(query, key)
        keeper = self._members.get(key.token.vm)
        if keeper is None or keeper.boot != key.token.boot or not keeper.reachable:
            # A first attempt has no earlier copy in flight and is not forwarded, so it cannot run.
            return _refuse(request, NotRunReason.KEEPER_LEFT, UnknownReason.KEEPER_GONE)
        return await self._relay_to_keeper(request, query, keeper)

    async def _run_as_keeper(self, query: QueryRequest, key: RequestKey) -> CallerAnswer:
        return render(await self._keeper.run(key, query.fingerprint, lambda: self._run(query)))

    async def _relay_to_keeper(
        self, request: CallerRequest, query: QueryRequest, keeper: Member
    ) -> CallerAnswer:
        budget_s = query.deadline - self._clock.now()
        call = KeeperCall(
            self._links.next_call_id(),
            f"{request.method} {request.path}",
            query.key,
            query.body,
            milliseconds(budget_s),
            keeper.boot,
        )
        frame = Frame(version=WIRE_VERSION, keeper_call=call)
        link = self._links.link_to(PeerProcess(keeper.peer, keeper.boot))
        try:
            answer = await link.call(call.call, frame, budget_s + RELAY_MARGIN_S)
        except LinkLost:
            return render(Unknown(UnknownReason.KEEPER_GONE))
        reply = answer.keeper_reply
        return _convert_keeper_reply(reply)


def _refuse(
    request: CallerRequest,
    reason: NotRunReason,
    reason_of_later_attempt: UnknownReason = UnknownReason.KEEPER_UNASKED,
) -> CallerAnswer:
    """Refuse a request that was not forwarded to a server or a keeper.

    An earlier attempt with the same key may have run at its keeper without this VM knowing, so only
    a request without a key or a first attempt is reported as not run.
    """
    if request.key is None or request.first_attempt:
        return render(NotRun(reason))
    return render(Unknown(reason_of_later_attempt))


def _convert_keeper_reply(reply: KeeperReply) -> CallerAnswer:
    """Convert a keeper's reply to the answer that this VM would have rendered itself."""
    fields = json.loads(reply.answer)
    if reply.status != 200:
        return CallerAnswer(reply.status, reply.answer, fields["reason"])
    coverage = fields["coverage"]
    coverage_text = f"{coverage['answered']}/{coverage['total']}"
    headers = {"X-Coverage": coverage_text, "X-Snapshot": fields["snapshot"]}
    return CallerAnswer(200, reply.answer, "gaps" if coverage["missing"] else "whole", headers)
