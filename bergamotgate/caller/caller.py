"""Client that caches VM addresses, follows redirects and retries a request only where allowed."""

import math
import random
import uuid
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import SplitResult, urlsplit

from bergamotgate.caller.transport import (
    CallerMessage,
    CallerReply,
    CallerTransport,
    HttpTransport,
    NoAddress,
    NoReply,
)
from bergamotgate.clock import Clock, LoopClock
from bergamotgate.jsontext import read_json

__all__ = ["Caller", "CallerResult"]

ADDRESS_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 0.25
MAX_ATTEMPTS = 4
AVOID_ADDRESS_S = 10.0
MAX_REDIRECTS = 3
DEFAULT_DEADLINE_MS = 5000
TRANSIENT_REASONS = frozenset(
    {
        "draining",
        "view_unconfirmed",
        "no_configuration",
        "token_expired",
        "keeper_left",
        "redirects",
    }
)
REFUSAL_OUTCOMES = frozenset({"not_run", "unknown"})
UNANSWERED_REASONS = frozenset({"no_answer", "keeper_unasked", "vm_left"})
KEEPER_FAILURE_REASONS = frozenset({"keeper_gone", "no_answer", "timed_out", "draining", "vm_left"})
HTTP_OK = 200
HTTP_REDIRECT = 307


@dataclass(frozen=True)
class CallerResult:
    """The result of a request.

    Attributes:
        answered: Whether the request was answered.
        outcome: ``answered``, ``not_run`` or ``unknown``.
        reason: Why there is no answer; empty when there is one.
        snapshot: Version of the index that produced the answer.
        answered_shards: Number of shards that answered.
        total_shards: Number of shards of that version.
        missing: Why each missing shard did not answer, by shard number.
        body_by_shard: Body of each answer, by shard number.
        vm: ``ip:port`` of the VM that replied.
        sendings: Number of attempts.
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
    """Sends requests to a fleet, given the addresses of a few of its VMs."""

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
        self._addresses_valid_until = float("-inf")
        self._avoided_until: dict[str, float] = {}

    async def addresses(self) -> dict[str, Any]:
        """Request the list of VMs to use from the first VM that answers.

        Raises:
            NoAddress: None of the known VMs answered.
        """
        tried = []
        for address in self._candidate_addresses():
            tried.append(address)
            try:
                reply, _ = await self._fetch(address, self._addresses_request())
            except NoReply:
                continue
            answer = _read_addresses(reply)
            if answer is not None:
                return answer
        raise NoAddress(tried)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        once: bool = False,
    ) -> CallerResult:
        """Send a request until it is answered or another attempt cannot help.

        Args:
            method: HTTP method.
            path: Path of a route.
            body: Body.
            deadline_ms: Deadline of each attempt, in milliseconds.
            once: Whether the request must not run twice. It then carries an idempotency key and is
                retried only with that key, or with a new key after the fleet reported that it did
                not run. Without a key, which the fleet may be unable to give, it is not repeated
                after an unknown outcome.

        Raises:
            NoAddress: None of the known VMs answered.
        """
        key: str | None = None
        key_attempts = 0
        result = CallerResult(False, "not_run", "not_sent")
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            await self._refresh_addresses()
            if once and key is None:
                key = self._new_key()
                key_attempts = 0
            key_attempts += 1
            address = self._addresses[0]
            headers = _request_headers(deadline_ms, key, key_attempts)
            timeout_s = deadline_ms / 1000 + ANSWER_MARGIN_S
            message = CallerMessage(method, path, body, headers, timeout_s)
            last = await self._send_to(address, message)
            result = _merge_results(result, replace(last, sendings=attempt_number), key is not None)
            if result.answered:
                return result
            if result.reason in KEEPER_FAILURE_REASONS:
                self._addresses_valid_until = float("-inf")  # later requests need another keeper
            repeatable = not once or key is not None or result.outcome == "not_run"
            if not repeatable or not self._may_retry(result):
                return result
            if once and result.outcome == "not_run":
                key = None
            # After a redirect it is another VM that failed.
            self._avoid_address(last.vm or address)
        return result

    async def _send_to(self, address: str, message: CallerMessage) -> CallerResult:
        try:
            reply, vm = await self._fetch(address, message)
        except NoReply as error:
            return CallerResult(False, "unknown", "no_answer", vm=error.address)
        if reply.status == HTTP_REDIRECT:
            return CallerResult(False, "not_run", "redirects", vm=vm)
        return _parse_reply(reply, vm)

    async def _fetch(self, address: str, message: CallerMessage) -> tuple[CallerReply, str]:
        """Send a message, follow redirects and return the last reply and its sender's address."""
        for _ in range(MAX_REDIRECTS):
            reply = await self._transport.fetch(address, message)
            if reply.status != HTTP_REDIRECT:
                break
            target = _redirect_target(address, reply)
            address = target.netloc
            query = f"?{target.query}" if target.query else ""
            message = replace(message, path=target.path + query)
        return reply, address

    def _addresses_request(self) -> CallerMessage:
        return CallerMessage("GET", f"/-/addresses?zone={self._zone}", b"", {}, ADDRESS_TIMEOUT_S)

    def _may_retry(self, result: CallerResult) -> bool:
        return result.reason in UNANSWERED_REASONS or result.reason in TRANSIENT_REASONS

    def _new_key(self) -> str | None:
        """Return an idempotency key under the current token, or None without a token."""
        if self._token is None:
            return None
        return f"{self._token}/{uuid.UUID(int=self._rng.getrandbits(128))}"

    def _candidate_addresses(self) -> list[str]:
        known = list(self._known)
        self._rng.shuffle(known)
        candidates = self._addresses[:2] + known
        return sorted(candidates, key=self._is_avoided)

    def _is_avoided(self, address: str) -> bool:
        return self._clock.now() < self._avoided_until.get(address, float("-inf"))

    async def _refresh_addresses(self) -> None:
        if self._clock.now() < self._addresses_valid_until and self._addresses:
            return
        answer = await self.addresses()
        listed = [entry["http"] for entry in answer["addresses"]]
        self._addresses = sorted(listed, key=self._is_avoided)
        self._token = answer["token"]
        self._addresses_valid_until = self._clock.now() + answer["keep_s"]

    def _avoid_address(self, address: str) -> None:
        """Avoid an address for a while after a failed attempt, and expire the cached addresses."""
        self._avoided_until[address] = self._clock.now() + AVOID_ADDRESS_S
        self._addresses_valid_until = float("-inf")


def _merge_results(earlier: CallerResult, last: CallerResult, has_key: bool) -> CallerResult:
    """Return the last result, with the outcome corrected for the earlier attempts.

    With a key, the fleet itself tracks earlier attempts. Without one, a refusal covers only its own
    attempt, and an earlier attempt whose outcome is unknown may have run.
    """
    if not has_key and earlier.outcome == "unknown" and last.outcome == "not_run":
        return replace(last, outcome="unknown")
    return last


def _request_headers(deadline_ms: int, key: str | None, key_attempts: int) -> dict[str, str]:
    headers = {"X-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        headers["X-Key"] = key
        headers["X-Sending"] = str(key_attempts)
    return headers


def _read_addresses(reply: CallerReply) -> dict[str, Any] | None:
    """Return the list of VMs in a reply; None if the reply holds no such list or an empty one."""
    if reply.status != HTTP_OK:
        return None
    try:
        answer = read_json(reply.body)
        usable = (
            len(answer["addresses"]) > 0
            and all(isinstance(entry["http"], str) for entry in answer["addresses"])
            and isinstance(answer["token"], str | None)
            and 0 <= answer["keep_s"] < math.inf
        )
    except (KeyError, TypeError, ValueError):
        return None
    return answer if usable else None


def _redirect_target(address: str, reply: CallerReply) -> SplitResult:
    """Return the URL that a redirect names.

    Raises:
        NoReply: The redirect names no address.
    """
    try:
        target = urlsplit(reply.headers.get("Location", ""))
    except ValueError as error:
        raise NoReply(address, error) from error
    if not target.netloc:
        raise NoReply(address, "redirect without an address")
    return target


def _parse_reply(reply: CallerReply, vm: str) -> CallerResult:
    try:
        fields = read_json(reply.body)
        if reply.status != HTTP_OK:
            outcome, reason = fields["outcome"], fields["reason"]
            if outcome not in REFUSAL_OUTCOMES or not isinstance(reason, str):
                raise ValueError("no refusal")
            return CallerResult(False, outcome, reason, vm=vm)
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
