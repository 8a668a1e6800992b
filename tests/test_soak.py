"""Runs a short soak with real processes, and tests that its checks detect violations."""

import asyncio
import random
import tempfile
from pathlib import Path

from bergamotgate.standin.replica import ReceivedRequest, StandInReplica
from bergamotgate.standin.soak import Soak
from bergamotgate.standin.soakcaller import Call, SoakCaller, check_calls, check_rate
from bergamotgate.standin.soakviews import check_statements
from tests.support import check, make_load_tests, real_time, serve_bytes, virtual_time

SEED = 7
FAULT_DURATION_S = 4.0


def make_replicas() -> list[StandInReplica]:
    return [StandInReplica(f"i-{n}", body=n.to_bytes(16, "big")) for n in range(3)]


def make_search(**fields) -> Call:
    replicas = make_replicas()
    body = b"".join(replica.body for replica in reversed(replicas))
    call = {
        "attempt": "a",
        "booking": False,
        "status": 200,
        "digests": ("i-0.a", "i-1.a", "i-2.a"),
        "missing": 1,
        "body": body,
    }
    return Call(**(call | fields))


def test_correct_answer_violates_no_invariant():
    check.assertEqual([], check_calls([make_search()], make_replicas(), 4))


def test_each_check_detects_its_fault():
    faults = (
        make_search(missing=0),
        make_search(digests=("i-0.a", "i-0.a", "i-2.a")),
        make_search(digests=("i-0.b", "i-1.a", "i-2.a")),
        make_search(body=b"x" * 48),
        make_search(status=0, broken=True),
    )
    for call in faults:
        check.assertTrue(check_calls([call], make_replicas(), 4), call)


@real_time
async def test_caller_takes_only_what_is_an_answer():
    sound = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
    broken = (sound.replace(b"502", b"0"), sound.replace(b"502", b"000"))
    broken += (sound.replace(b"Content", b"X Odd: 1\r\nContent"), sound.replace(b"B", b"\x01"))
    for answer in (sound, *broken):
        async with serve_bytes(answer) as front:
            caller = SoakCaller(0, [front], random.Random(1))
            running = asyncio.ensure_future(caller.run())
            while not caller.calls:
                await asyncio.sleep(0.01)
            caller.stop()
            await running
        check.assertEqual(answer != sound, caller.calls[0].broken, answer)


def test_booking_run_twice_or_after_a_refusal_is_detected():
    for status, ran in ((502, ["a", "a"]), (503, ["a"]), (429, ["a"])):
        replicas = make_replicas()
        replicas[0].run_attempts = ran
        call = Call("a", True, status)
        check.assertTrue(check_calls([call], replicas, 4), status)
    replicas = make_replicas()
    replicas[0].run_attempts = ["nobody"]
    check.assertTrue(check_calls([], replicas, 4))


def test_more_requests_than_a_stated_rate_allows_are_detected():
    replica, *_ = make_replicas()
    times = [10.0 + 0.25 * n for n in range(60)]
    replica.received_requests = [ReceivedRequest("GET", "/", {}, b"", at) for at in times]
    check.assertEqual([], check_rate(replica, 4.0, 0.0))
    check.assertTrue(check_rate(replica, 1.0, 0.0))
    check.assertEqual([], check_rate(replica, 1.0, 22.0))


@virtual_time
async def test_vms_that_ignore_the_words_of_servers_are_detected():
    for requests_per_s, expected in ((0.2, 0), (20.0, 2)):
        leaving, paused, *_ = make_replicas()
        checking = asyncio.ensure_future(check_statements(leaving, paused, 3))
        for replica in (leaving, paused):
            asyncio.ensure_future(receive_requests(replica, requests_per_s))
        check.assertEqual(expected, len(await checking), requests_per_s)


async def receive_requests(replica: StandInReplica, requests_per_s: float) -> None:
    while True:
        await asyncio.sleep(1 / requests_per_s)
        replica.received_requests.append(ReceivedRequest("GET", "/", {}, b"", 0.0))


def test_short_soak_violates_no_invariant():
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(SEED, FAULT_DURATION_S, Path(folder))
        asyncio.run(soak.run())
        check.assertEqual([], soak.violations)
        check.assertGreater(soak.counts["search_200"], 0)


load_tests = make_load_tests(globals())
