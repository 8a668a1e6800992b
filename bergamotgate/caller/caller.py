"""A caller that does it right: keeps addresses, follows redirects, resends by the rules."""

import json
import random
import uuid
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlsplit

from bergamotgate.caller.transport import (
    CallerMessage,
    CallerReply,
    CallerTransport,
    HttpTransport,
    NoAddress,
    NoReply,
)
from bergamotgate.clock import Clock, LoopClock

__all__ = ["Caller", "CallerResult"]

ADDRESS_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 0.25
MAX_SENDINGS = 4
AVOID_S = 10.0
MAX_REDIRECTS = 3
DEFAULT_DEADLINE_MS = 5000
PASSING_REASONS = frozenset(
    {
        "draining",
        "view_unconfirmed",
        "no_configuration",
        "token_expired",
        "keeper_left",
        "redirects",
    }
)
KEEPER_TROUBLE = frozenset({"keeper_gone", "no_answer", "timed_out", "draining"})
HTTP_OK = 200
HTTP_REDIRECT = 307


@dataclass(frozen=True)
class CallerResult:
    """What came of a request.

    Attributes:
        answered: Whether there is an answer.
        outcome: ``answered``, ``not_run`` or ``unknown``.
        reason: Why there is no answer; empty when there is one.
        snapshot: Version of the index.
        answered_shards: Shards that answered.
        total_shards: Shards of that version.
        missing: Why each missing shard did not answer, by shard number.
        body_by_shard: Answers by shard number.
        vm: ``ip:port`` that gave the answer.
        sendings: How often the request was sent.
    """

    answered: bool
    outcome: str
    reason: str = ""
    snapshot: str = ""
    answered_shards: int = 0
    total_shards: int = 0
    missing: tuple[tuple[int, str], ...] = ()
    body_by_shard: tuple[tuple[int, str], ...] = ()
    vm: str = ""
    sendings: int = 0

    @property
    def whole(self) -> bool:
        """Whether every shard answered."""
        return self.answered and self.answered_shards == self.total_shards


class Caller:
    """Sends requests to a fleet of which it knows a few addresses."""

    def __init__(
        self,
        known: list[str],
        zone: str = "",
        transport: CallerTransport | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        self._known = list(known)
        self._zone = zone
        self._transport = transport or HttpTransport()
        self._clock = clock or LoopClock()
        self._rng = rng or random.Random()
        self._addresses: list[str] = []
        self._token: str | None = None
        self._keep_until = float("-inf")
        self._avoided_until: dict[str, float] = {}

    async def addresses(self) -> dict[str, Any]:
        """Ask some VM which VMs to use.

        Raises:
            NoAddress: None of the known VMs answers.
        """
        tried = []
        for address in self._candidate_addresses():
            tried.append(address)
            try:
                reply, _ = await self._fetch(address, self._address_question())
                answer = json.loads(reply.body)
                if reply.status == HTTP_OK and answer["addresses"]:
                    return answer
            except (NoReply, ValueError, KeyError):
                continue
        raise NoAddress(tried)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        once: bool = False,
    ) -> CallerResult:
        """Send a request until it has an answer, or no further sending can help.

        Args:
            method: HTTP method.
            path: Path of a route.
            body: Body.
            deadline_ms: Longest time for each sending.
            once: Whether the request may not be repeated. It then carries a key; it is sent again
                only with the same key, or with a new one after the fleet said that it did not run.

        Raises:
            NoAddress: None of the known VMs answers.
        """
        key: str | None = None
        key_sendings = 0
        result = CallerResult(False, "not_run", "not_sent")
        for sending in range(1, MAX_SENDINGS + 1):
            await self._refresh()
            if once and key is None:
                key = self._new_key()
                key_sendings = 0
            key_sendings += 1
            address = self._addresses[0]
            headers = _headers(deadline_ms, key, key_sendings)
            timeout_s = deadline_ms / 1000 + ANSWER_MARGIN_S
            message = CallerMessage(method, path, body, headers, timeout_s)
            last = await self._send_to(address, message)
            result = _combined(result, replace(last, sendings=sending), key is not None)
            if result.answered:
                return result
            if result.reason in KEEPER_TROUBLE:
                self._keep_until = float("-inf")  # other requests need another keeper
            if not self._worth_sending_again(result):
                return result
            if once and result.outcome == "not_run":
                key = None
            self._forget(address)
        return result

    async def _send_to(self, address: str, message: CallerMessage) -> CallerResult:
        try:
            reply, vm = await self._fetch(address, message)
        except NoReply:
            return CallerResult(False, "unknown", "no_answer")
        if reply.status == HTTP_REDIRECT:
            return CallerResult(False, "not_run", "redirects", vm=vm)
        return _read(reply, vm)

    async def _fetch(self, address: str, message: CallerMessage) -> tuple[CallerReply, str]:
        """Send a message and follow redirects; return the last reply and who gave it."""
        for _ in range(MAX_REDIRECTS):
            reply = await self._transport.fetch(address, message)
            if reply.status != HTTP_REDIRECT:
                break
            target = urlsplit(reply.headers["Location"])
            address = target.netloc
            query = f"?{target.query}" if target.query else ""
            message = replace(message, path=target.path + query)
        return reply, address

    def _address_question(self) -> CallerMessage:
        return CallerMessage("GET", f"/-/addresses?zone={self._zone}", b"", {}, ADDRESS_TIMEOUT_S)

    def _worth_sending_again(self, result: CallerResult) -> bool:
        if result.reason in ("no_answer", "keeper_unasked"):
            return True
        return result.reason in PASSING_REASONS

    def _new_key(self) -> str | None:
        """A key under the current token; None when no VM gave one."""
        if self._token is None:
            return None
        return f"{self._token}/{uuid.UUID(int=self._rng.getrandbits(128))}"

    def _candidate_addresses(self) -> list[str]:
        known = list(self._known)
        self._rng.shuffle(known)
        asked = self._addresses[:2] + known
        return sorted(asked, key=self._is_avoided)

    def _is_avoided(self, address: str) -> bool:
        return self._clock.now() < self._avoided_until.get(address, float("-inf"))

    async def _refresh(self) -> None:
        if self._clock.now() < self._keep_until and self._addresses:
            return
        answer = await self.addresses()
        listed = [entry["http"] for entry in answer["addresses"]]
        self._addresses = sorted(listed, key=self._is_avoided)
        self._token = answer["token"]
        self._keep_until = self._clock.now() + answer["keep_s"]

    def _forget(self, address: str) -> None:
        """Use an address no longer that gave no answer, and ask again which to use."""
        self._avoided_until[address] = self._clock.now() + AVOID_S
        self._keep_until = float("-inf")


def _combined(earlier: CallerResult, last: CallerResult, keyed: bool) -> CallerResult:
    """The last result, in the light of the one before.

    With a key the fleet itself knows of earlier sendings. Without one, a refusal speaks only of its
    own sending, and an earlier one whose outcome is unknown may have run.
    """
    if not keyed and earlier.outcome == "unknown" and last.outcome == "not_run":
        return replace(last, outcome="unknown")
    return last


def _headers(deadline_ms: int, key: str | None, key_sendings: int) -> dict[str, str]:
    headers = {"X-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        headers["X-Key"] = key
        headers["X-Sending"] = str(key_sendings)
    return headers


def _read(reply: CallerReply, vm: str) -> CallerResult:
    try:
        fields = json.loads(reply.body)
        if reply.status != HTTP_OK:
            return CallerResult(False, fields["outcome"], fields["reason"], vm=vm)
        coverage = fields["coverage"]
        return CallerResult(
            answered=True,
            outcome="answered",
            snapshot=fields["snapshot"],
            answered_shards=coverage["answered"],
            total_shards=coverage["total"],
            missing=tuple((m["shard"], m["reason"]) for m in coverage["missing"]),
            body_by_shard=tuple((p["shard"], p["body"]) for p in fields["parts"]),
            vm=vm,
        )
    except (KeyError, TypeError, ValueError):
        return CallerResult(False, "unknown", "unreadable_answer", vm=vm)
