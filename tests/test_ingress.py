"""The clients' side over real sockets: whole answers, bad input, leaving."""

import asyncio
import socket
from types import SimpleNamespace

from bergamotgate.clock import LoopClock
from bergamotgate.outcomes import Unknown, UnknownReason
from bergamotgate.platform.ingress import Ingress
from bergamotgate.relay.messages import FailedAnswer, MergedAnswer
from tests.support import check, make_load_tests, real_time

REQUEST = b"GET /s/1 HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 900\r\n\r\n"


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class FakeDesk:
    """Answers every request alike, after a while."""

    def __init__(self, answer=None, wait_s: float = 0.0):
        self.answer = answer or MergedAnswer(b"r" * 16, ("d1", "d2"), 1)
        self.wait_s = wait_s
        self.draining = False
        self.asked = []

    async def handle(self, request):
        self.asked.append(request)
        await asyncio.sleep(self.wait_s)
        return self.answer


def make_ingress(desk: FakeDesk) -> Ingress:
    settings = SimpleNamespace(front=free_address(), ready=free_address(), directory=free_address())
    node = SimpleNamespace(
        settings=settings,
        handler=desk,
        is_ready=lambda: not desk.draining,
        directory=SimpleNamespace(addresses=lambda zone: [f"{zone}:1"]),
    )
    ingress = Ingress(node, LoopClock())
    ingress.open()
    return ingress


async def ask(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    reply = await asyncio.wait_for(reader.read(65536), 2.0)
    writer.close()
    return reply


async def later(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


@real_time
async def test_an_answer_states_its_parts_and_what_is_missing():
    ingress = make_ingress(FakeDesk())
    reply = await ask(ingress.settings.front, REQUEST)
    check.assertIn(b"X-Part-Stamps: d1, d2\r\n", reply)
    check.assertIn(b"X-Missing-Parts: 1\r\n", reply)
    check.assertTrue(reply.endswith(b"\r\n\r\n" + b"r" * 16))
    await ingress.drain(await later(0))


@real_time
async def test_a_request_that_was_read_is_answered_when_the_process_leaves():
    desk = FakeDesk(wait_s=0.05)
    ingress = make_ingress(desk)
    host, port = ingress.settings.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST)
    await reader.readuntil(b"r" * 16)
    writer.write(REQUEST)
    stream = ingress.front_streams()[0]
    while stream.reading():
        await asyncio.sleep(0)
    check.assertEqual(1, len(desk.asked))
    check.assertTrue(await ingress.drain(await later(1.0)))
    reply = await reader.read(65536)
    check.assertTrue(reply.endswith(b"r" * 16), reply)
    writer.close()


@real_time
async def test_leaving_closes_connections_on_which_nothing_is_asked():
    ingress = make_ingress(FakeDesk())
    host, port = ingress.settings.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST)
    await reader.readuntil(b"r" * 16)
    check.assertTrue(await ingress.drain(await later(1.0)))
    check.assertEqual(b"", await reader.read())
    writer.close()


@real_time
async def test_a_request_without_identifier_is_refused():
    ingress = make_ingress(FakeDesk())
    reply = await ask(ingress.settings.front, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    check.assertTrue(reply.startswith(b"HTTP/1.1 400 "), reply)
    await ingress.drain(await later(0))


@real_time
async def test_an_absurd_time_limit_is_taken_as_none():
    desk = FakeDesk()
    ingress = make_ingress(desk)
    for text in (b"-5", b"soon", b"99999999999999", b"0", b"1e3"):
        await ask(ingress.settings.front, REQUEST.replace(b"900", text))
    check.assertEqual([None] * 5, [request.client_timeout_s for request in desk.asked])
    await ingress.drain(await later(0))


@real_time
async def test_a_request_with_two_lengths_or_smuggled_inside_another_is_not_taken():
    desk = FakeDesk()
    ingress = make_ingress(desk)
    head = b"POST /b/1 HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a1\r\n"
    for framing in (
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    ):
        reply = await ask(ingress.settings.front, head + framing)
        check.assertTrue(reply.startswith(b"HTTP/1.1 400 "), reply)
    check.assertEqual([], desk.asked)
    await ingress.drain(await later(0))


@real_time
async def test_unknown_outcomes_never_claim_that_nothing_ran():
    for reason, status in ((UnknownReason.TIMED_OUT, 504), (UnknownReason.CONNECTION_DIED, 502)):
        ingress = make_ingress(FakeDesk(FailedAnswer(Unknown(reason))))
        reply = await ask(ingress.settings.front, REQUEST)
        check.assertTrue(reply.startswith(f"HTTP/1.1 {status} ".encode()), reply)
        await ingress.drain(await later(0))


load_tests = make_load_tests(globals())
