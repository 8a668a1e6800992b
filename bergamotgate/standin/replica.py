"""A backend server of the users' platform over real sockets, with the faults that its pages name.

It speaks the published protocol and notes what reached it, so that tests see what a server sees.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from bergamotgate.errors import FrameError

__all__ = ["Fault", "ReceivedRequest", "StandInReplica"]

MAX_HEAD_BYTES = 64 * 1024
LATE_EXTRA_S = 0.02


class Fault(Enum):
    """What a server does wrong with a request."""

    NONE = auto()
    SHED = auto()
    MISDIRECTED = auto()
    ERROR = auto()
    CLOSE_WITHOUT_RUN = auto()
    RESET_AFTER_RUN = auto()
    TRUNCATED = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    EXTRA_REPLY = auto()
    DELAYED_EXTRA_REPLY = auto()
    MALFORMED = auto()
    ENCODED = auto()
    UNSIGNED = auto()
    OTHER_ATTEMPT = auto()
    NO_REPLY = auto()


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as it reached the server."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class StandInReplica:
    """One server.

    Attributes:
        server: Its identifier.
        body: What it answers.
        service_s: Time that a request takes.
        faults: What it does with the next requests, in order; then ``fault``.
        fault: What it does with all further requests.
        received_requests: Requests that reached it.
        run_count: Requests that it ran.
        run_attempts: Their identifiers.
        on_run: Called before each run.
        aborted_runs: Requests whose connection closed while they ran.
    """

    server: str
    body: bytes = b""
    service_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)
    fault: Fault = Fault.NONE
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    run_count: int = 0
    run_attempts: list[str] = field(default_factory=list)
    aborted_runs: int = 0
    connections: int = 0
    address: str = ""
    on_run: Callable[["StandInReplica"], None] | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop to listen."""
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                arrival = await _read(reader)
                self.received_requests.append(arrival)
                fault = self.faults.pop(0) if self.faults else self.fault
                if not await self._answer(reader, writer, arrival, fault):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, FrameError):
            pass  # the caller has left, or speaks something else
        except asyncio.CancelledError:
            pass  # the test is over
        finally:
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        arrival: ReceivedRequest,
        fault: Fault,
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        refusal = {Fault.SHED: "503 Service Unavailable", Fault.MISDIRECTED: "421 Misdirected"}
        if fault in refusal:
            writer.write(_head(refusal[fault], 0, "X-Not-Executed: 1\r\n"))
            return True
        if self.on_run is not None:
            self.on_run(self)
        if fault is Fault.CLOSE_WITHOUT_RUN:
            return False
        self.run_count += 1
        self.run_attempts.append(arrival.headers.get("x-attempt-id", ""))
        if self.service_s and await self._left_during_work(reader):
            self.aborted_runs += 1
            return False
        return await self._reply(writer, arrival, fault)

    async def _left_during_work(self, reader: asyncio.StreamReader) -> bool:
        work = asyncio.ensure_future(asyncio.sleep(self.service_s))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        done_in_time = work.done()
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        return not done_in_time

    async def _reply(
        self, writer: asyncio.StreamWriter, arrival: ReceivedRequest, fault: Fault
    ) -> bool:
        attempt = arrival.headers.get("x-attempt-id", "")
        echoed = "somebody-else" if fault is Fault.OTHER_ATTEMPT else attempt
        signed = f"X-Server-Stamp: {self.server}.{attempt}\r\n"
        extra = f"X-Attempt-Id: {echoed}\r\n" + (signed if fault is not Fault.UNSIGNED else "")
        if fault is Fault.ENCODED:
            extra += "Content-Encoding: gzip\r\n"
        status = "500 Internal Server Error" if fault is Fault.ERROR else "200 OK"
        whole = _head(status, len(self.body), extra) + self.body
        unframed = f"HTTP/1.1 200 OK\r\n{extra}\r\n".encode() + self.body
        match fault:
            case Fault.RESET_AFTER_RUN:
                return _reset(writer)
            case Fault.NO_REPLY:
                await asyncio.sleep(3600)
            case Fault.TRUNCATED:
                writer.write(whole[:-1])
                return False
            case Fault.UNFRAMED:
                writer.write(unframed)
                return False
            case Fault.UNFRAMED_RESET:
                writer.write(unframed)
                await asyncio.sleep(LATE_EXTRA_S)
                return _reset(writer)
            case Fault.MALFORMED:
                writer.write(b"\x00\x01 this is no answer \r\n\r\n")
                return True
            case Fault.EXTRA_REPLY:
                writer.write(whole + whole)
                return True
            case Fault.DELAYED_EXTRA_REPLY:
                writer.write(whole)
                await asyncio.sleep(LATE_EXTRA_S)
                writer.write(whole)
                return True
        writer.write(whole)
        return True


def _head(status: str, length: int, extra: str) -> bytes:
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {length}\r\n\r\n".encode()


def _reset(writer: asyncio.StreamWriter) -> bool:
    if writer.transport.is_closing():
        return False  # the caller was faster
    linger_off = struct.pack("ii", 1, 0)
    own_socket = writer.get_extra_info("socket")
    own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
    writer.transport.abort()
    return False


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if len(words) != 3 or len(head) > MAX_HEAD_BYTES:
        raise FrameError(len(head), "no request line")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(words[0], words[1], headers, body)
