"""Takes callers' requests, whatever carried them, and gives each its one answer."""

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
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated.ttypes import Frame, KeeperCall, KeeperReply
from bergamotgate.wire.links import Links, PeerProcess

__all__ = ["CallerRequest", "CallerRequestHandler", "MAX_BODY_BYTES"]

MAX_BODY_BYTES = 1024 * 1024
RECONFIRM_WAIT_S = 0.1
RELAY_MARGIN_S = 0.05
FINGERPRINT_BYTES = 12


@dataclass(frozen=True)
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        method: HTTP method.
        path: Path without query.
        body: Body.
        deadline_ms: Text of the deadline header; None when there is none.
        key: Text of the key header; None when there is none.
        first_attempt: Whether the caller never sent this key before, by its own word.
    """

    method: str
    path: str
    body: bytes
    deadline_ms: str | None = None
    key: str | None = None
    first_attempt: bool = False


class CallerRequestHandler:
    """Decides what happens with each request.

    Attributes:
        in_progress: Requests without answer.
        draining: Whether new requests are sent to other VMs.
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
        self.in_progress = 0
        self.draining = False

    def takes_requests(self) -> bool:
        """Whether this VM takes new requests."""
        own = self._members.own
        return not self.draining and self._addresses.takes_requests(own.vm, own.zone)

    def addresses(self, zone: str) -> CallerAnswer:
        """Answer the question which VMs to use."""
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
        """Answer a request."""
        started = self._clock.now()
        self.in_progress += 1
        try:
            route, answer = await self._handle(request, started)
        finally:
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
        """Answer a request that another VM relays to this one as its keeper."""
        method, _, path = call.route_path.partition(" ")
        now = self._clock.now()
        tables = self._tables()
        route = tables.route_by_match.get((method, path)) if tables is not None else None
        key = read_key(call.key)
        if route is None or isinstance(key, BadKey) or not self._keeper.issued(key.token):
            answer = render(Unknown(UnknownReason.KEEPER_GONE))
        else:
            deadline = now + call.budget_ms / 1000
            answer = await self._keep(self._query(route, call.body, now, deadline, call.key), key)
        return KeeperReply(call.call, answer.status, answer.body)

    async def _handle(
        self, request: CallerRequest, started: float
    ) -> tuple[Route | None, CallerAnswer]:
        tables = self._tables()
        if tables is None:
            return None, _refuse(request, NotRunReason.NO_CONFIGURATION)
        route = tables.route_by_match.get((request.method, request.path))
        if route is None:
            return None, _refuse(request, NotRunReason.NO_ROUTE)
        if not self.takes_requests():
            return route, self._send_elsewhere(request)
        deadline_s = self._deadline_s(request, route)
        if deadline_s is None:
            return route, _refuse(request, NotRunReason.BAD_DEADLINE)
        if len(request.body) > MAX_BODY_BYTES:
            return route, _refuse(request, NotRunReason.BODY_TOO_LARGE)
        query = self._query(route, request.body, started, started + deadline_s, request.key or "")
        if route.urgency.repeatable:
            return route, await self._answer(query)
        return route, await self._answer_once(request, query)

    def _send_elsewhere(self, request: CallerRequest) -> CallerAnswer:
        own = self._members.own
        others = [a for a in self._addresses.usable(own.zone) if a.vm != own.vm]
        if not others:
            return _refuse(request, NotRunReason.DRAINING)
        return redirect(f"http://{others[0].http}{request.path}")

    def _deadline_s(self, request: CallerRequest, route: Route) -> float | None:
        """Seconds until the deadline; None when the caller's is no positive number."""
        own_ms = route.urgency.deadline_ms
        if request.deadline_ms is None:
            return own_ms / 1000
        if not request.deadline_ms.isascii() or not request.deadline_ms.isdigit():
            return None
        asked_ms = int(request.deadline_ms)
        return min(asked_ms, own_ms) / 1000 if asked_ms > 0 else None

    def _query(
        self, route: Route, body: bytes, arrived_at: float, deadline: float, key: str
    ) -> QueryRequest:
        fingerprint = blake2b(route.name.encode(), digest_size=FINGERPRINT_BYTES)
        fingerprint.update(body)
        return QueryRequest(route, body, arrived_at, deadline, fingerprint.hexdigest(), key)

    async def _answer(self, query: QueryRequest) -> CallerAnswer:
        return render(await self._run(query))

    async def _run(self, query: QueryRequest) -> QueryAnswer | Refusal:
        fresh = self._confirmation.is_fresh()
        if not fresh and not await self._prober.reconfirm(RECONFIRM_WAIT_S):
            return NotRun(NotRunReason.VIEW_UNCONFIRMED)
        return await self._gatherer.run(query)

    async def _answer_once(self, request: CallerRequest, query: QueryRequest) -> CallerAnswer:
        """Answer a request that may not be repeated, here or at its keeper."""
        if request.key is None:
            return render(NotRun(NotRunReason.KEY_REQUIRED))
        key = read_key(request.key)
        if isinstance(key, BadKey):
            return render(NotRun(NotRunReason.BAD_KEY))
        if self._keeper.issued(key.token):
            return await self._keep(query, key)
        keeper = self._members.get(key.token.vm)
        if keeper is None or keeper.boot != key.token.boot or not keeper.reachable:
            # No copy of a first sending can be on its way, and this one goes no further.
            return _refuse(request, NotRunReason.KEEPER_LEFT, UnknownReason.KEEPER_GONE)
        return await self._relay(request, query, keeper)

    async def _keep(self, query: QueryRequest, key: RequestKey) -> CallerAnswer:
        return render(await self._keeper.run(key, query.fingerprint, lambda: self._run(query)))

    async def _relay(
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
        return _relayed(reply)


def _refuse(
    request: CallerRequest,
    reason: NotRunReason,
    otherwise: UnknownReason = UnknownReason.KEEPER_UNASKED,
) -> CallerAnswer:
    """Refuse a request before it went any further.

    An earlier sending of the same key may have run at its keeper, of which this VM knows nothing.
    """
    if request.key is None or request.first_attempt:
        return render(NotRun(reason))
    return render(Unknown(otherwise))


def _relayed(reply: KeeperReply) -> CallerAnswer:
    """A keeper's answer as if it had been made here."""
    fields = json.loads(reply.answer)
    if reply.status != 200:
        return CallerAnswer(reply.status, reply.answer, fields["reason"])
    coverage = fields["coverage"]
    shown = f"{coverage['answered']}/{coverage['total']}"
    headers = {"X-Coverage": shown, "X-Snapshot": fields["snapshot"]}
    return CallerAnswer(200, reply.answer, "gaps" if coverage["missing"] else "whole", headers)
