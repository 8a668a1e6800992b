"""A caller that does it right: keeps addresses, follows redirects, resends by the rules."""

import json
import random
import uuid
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlsplit

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from bergamotgate.clock import Clock, LoopClock

__all__ = ["Caller", "CallerResult", "NoAddress"]

ADDRESS_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 0.25
MAX_SENDINGS = 4
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


class NoAddress(Exception):
    """No VM told its addresses.

    Attributes:
        tried: Addresses that were asked.
    """

    def __init__(self, tried: list[str]):
        super().__init__(f"no VM answers at {', '.join(tried)}")
        self.tried = tried


class Caller:
    """Sends requests to a fleet of which it knows a few addresses."""

    def __init__(
        self,
        known: list[str],
        zone: str = "",
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        self._known = list(known)
        self._zone = zone
        self._clock = clock or LoopClock()
        self._rng = rng or random.Random()
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
        self._addresses: list[str] = []
        self._token: str | None = None
        self._keep_until = float("-inf")
        self._avoided: set[str] = set()

    async def addresses(self) -> dict[str, Any]:
        """Ask some VM which VMs to use.

        Raises:
            NoAddress: None of the known VMs answers.
        """
        tried = []
        for address in self._to_ask():
            tried.append(address)
            try:
                response = await self._client.fetch(
                    f"http://{address}/-/addresses?zone={self._zone}",
                    request_timeout=ADDRESS_TIMEOUT_S,
                    connect_timeout=ADDRESS_TIMEOUT_S,
                )
                answer = json.loads(response.body)
            except (HTTPError, OSError, ValueError):
                continue
            if answer["addresses"]:
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
        result = CallerResult(False, "unknown", "no_answer")
        for sending in range(1, MAX_SENDINGS + 1):
            await self._refresh()
            if once and key is None:
                key = f"{self._token}/{uuid.uuid4()}" if self._token else None
                key_sendings = 0
            key_sendings += 1
            address = self._addresses[(sending - 1) % len(self._addresses)]
            headers = _headers(deadline_ms, key, key_sendings)
            result = await self._send_to(address, method, path, body, deadline_ms, headers)
            result = replace(result, sendings=sending)
            if result.answered or not self._worth_sending_again(result):
                return result
            if once and result.outcome == "not_run":
                key = None
            self._forget(address)
        return result

    async def _send_to(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        headers: dict[str, str],
    ) -> CallerResult:
        url = f"http://{address}{path}"
        for _ in range(MAX_REDIRECTS):
            request = HTTPRequest(
                url,
                method=method,
                headers=headers,
                body=body if method != "GET" else None,
                request_timeout=deadline_ms / 1000 + ANSWER_MARGIN_S,
                connect_timeout=ADDRESS_TIMEOUT_S,
                follow_redirects=False,
                allow_nonstandard_methods=True,
            )
            try:
                response = await self._client.fetch(request, raise_error=False)
            except (HTTPError, OSError):
                return CallerResult(False, "unknown", "no_answer")
            if response.code != HTTP_REDIRECT:
                return _read(response, urlsplit(url).netloc)
            url = response.headers["Location"]
        return CallerResult(False, "not_run", "redirects")

    def _worth_sending_again(self, result: CallerResult) -> bool:
        if result.reason == "no_answer":
            return True
        return result.outcome == "not_run" and result.reason in PASSING_REASONS

    def _to_ask(self) -> list[str]:
        current = [a for a in self._addresses if a not in self._avoided]
        known = list(self._known)
        self._rng.shuffle(known)
        return current[:2] + known

    async def _refresh(self) -> None:
        if self._clock.now() < self._keep_until and self._addresses:
            return
        answer = await self.addresses()
        self._addresses = [entry["http"] for entry in answer["addresses"]]
        self._token = answer["token"]
        self._keep_until = self._clock.now() + answer["keep_s"]
        self._avoided.clear()

    def _forget(self, address: str) -> None:
        """Use an address no longer that gave no answer, and ask again which to use."""
        self._avoided.add(address)
        self._addresses = [a for a in self._addresses if a != address] or self._addresses
        self._keep_until = float("-inf")


def _headers(deadline_ms: int, key: str | None, key_sendings: int) -> dict[str, str]:
    headers = {"X-Deadline-Ms": str(deadline_ms), "Expect": ""}
    if key is not None:
        headers["X-Key"] = key
        headers["X-Sending"] = str(key_sendings)
    return headers


def _read(response: HTTPResponse, vm: str) -> CallerResult:
    try:
        fields = json.loads(response.body)
        if response.code != HTTP_OK:
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
