"""Tests for the caller library against VMs that answer, redirect or do not reply."""

import json
import random

from bergamotgate.caller.caller import Caller
from bergamotgate.caller.transport import CallerMessage, CallerReply, NoAddress, NoReply
from tests.support import check, make_load_tests, virtual_time

VMS = ("10.0.0.1:1", "10.0.0.2:1")


class FakeFleet:
    """Lists its VMs, and handles each request as the mapping by address says.

    Attributes:
        received: Address and headers of each request, those for addresses not counted.
    """

    def __init__(self, token: str | None, redirect_from: str = ""):
        self._token = token
        self._redirect_from = redirect_from
        self.received: list[tuple[str, dict[str, str]]] = []

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        if message.path.startswith("/-/addresses"):
            entries = [{"http": vm} for vm in VMS]
            answer = {"addresses": entries, "token": self._token, "keep_s": 30}
            return CallerReply(200, {}, json.dumps(answer).encode())
        self.received.append((address, message.headers))
        if address == self._redirect_from:
            return CallerReply(307, {"Location": f"http://{VMS[1]}{message.path}"}, b"")
        raise NoReply(address)


def make_caller(fleet: FakeFleet) -> Caller:
    return Caller(list(VMS), transport=fleet, rng=random.Random(1))


@virtual_time
async def test_a_request_that_may_run_once_is_not_repeated_without_a_key():
    fleet = FakeFleet(token=None)
    result = await make_caller(fleet).send("POST", "/book", b"", once=True)
    check.assertEqual(("unknown", "no_answer"), (result.outcome, result.reason))
    check.assertEqual(1, len(fleet.received))


@virtual_time
async def test_a_request_with_a_key_is_repeated_under_the_same_key():
    fleet = FakeFleet(token="vm.1.2")
    await make_caller(fleet).send("POST", "/book", b"", once=True)
    keys = {headers["X-Key"] for _, headers in fleet.received}
    check.assertGreater(len(fleet.received), 1)
    check.assertEqual(1, len(keys))


@virtual_time
async def test_after_a_redirect_the_vm_that_did_not_reply_is_avoided():
    fleet = FakeFleet(token="vm.1.2", redirect_from=VMS[0])
    caller = make_caller(fleet)
    await caller.send("GET", "/search", b"")
    check.assertTrue(caller._is_avoided(VMS[1]))
    check.assertFalse(caller._is_avoided(VMS[0]))


class BrokenFleet(FakeFleet):
    """Answers requests, or those for addresses, with a reply that no VM gives."""

    def __init__(self, reply: CallerReply, to_addresses: bool):
        super().__init__(token=None)
        self._reply = reply
        self._to_addresses = to_addresses

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        if message.path.startswith("/-/addresses") == self._to_addresses:
            return self._reply
        return await super().fetch(address, message)


BROKEN_BODIES = (
    b"",
    b"[]",
    b"5",
    b"null",
    b'"text"',
    b"{}",
    b'{"addresses": 5, "token": null, "keep_s": 30}',
    b'{"addresses": [], "token": null, "keep_s": 30}',
    b'{"addresses": [5], "token": null, "keep_s": 30}',
    b'{"addresses": [{"http": 5}], "token": null, "keep_s": 30}',
    b'{"addresses": [{"http": "10.0.0.1:1"}], "token": 5, "keep_s": 30}',
    b'{"addresses": [{"http": "10.0.0.1:1"}], "token": null, "keep_s": "30"}',
    b'{"addresses": [{"http": "10.0.0.1:1"}], "token": null, "keep_s": NaN}',
    b'{"addresses": [{"http": "10.0.0.1:1"}], "token": null}',
    b'{"outcome": "not_run", "reason": []}',
    b'{"outcome": "answered", "reason": "x"}',
    b'{"outcome": [], "reason": "x"}',
)


@virtual_time
async def test_an_answer_that_is_no_list_of_vms_is_not_used():
    for body in BROKEN_BODIES:
        caller = make_caller(BrokenFleet(CallerReply(200, {}, body), to_addresses=True))
        with check.assertRaises(NoAddress, msg=body):
            await caller.send("GET", "/s", b"")


@virtual_time
async def test_an_answer_that_no_vm_gives_is_an_unknown_outcome():
    bodies = [CallerReply(status, {}, body) for status in (200, 503) for body in BROKEN_BODIES]
    locations = [{}, {"Location": ""}, {"Location": "/path"}, {"Location": "http://[1"}]
    for reply in [*bodies, *(CallerReply(307, headers, b"") for headers in locations)]:
        caller = make_caller(BrokenFleet(reply, to_addresses=False))
        result = await caller.send("POST", "/book", b"", once=True)
        check.assertEqual("unknown", result.outcome, reply)


load_tests = make_load_tests(globals())
