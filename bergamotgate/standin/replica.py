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

__all__ = ["Arrival", "Fault", "StandInReplica"]

MAX_HEAD_BYTES = 64 * 1024
LATE_EXTRA_S = 0.02


class Fault(Enum):
    """What a server does wrong with a request."""

    NONE = auto()
    SHED = auto()
    MISDIRECTED = auto()
    ERROR = auto()
    CLOSE_BEFORE = auto()
    RESET_AFTER_RUN = auto()
    CUT_SHORT = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    EXTRA_AT_ONCE = auto()
    EXTRA_LATE = auto()
    GARBAGE = auto()
    ENCODED = auto()
    UNSIGNED = auto()
    OTHER_ATTEMPT = auto()
    SILENT = auto()


@dataclass(frozen=True)
class Arrival:
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
        work_s: Time that a request takes.
        faults: What it does with the next requests, in order; then ``fault``.
        fault: What it does with all further requests.
        arrivals: Requests that reached it.
        runs: Requests that it ran.
        ran: Their identifiers.
        on_run: Called before each run.
        dropped: Requests whose connection closed while they ran.
    """

    server: str
    body: bytes = b""
    work_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)
    fault: Fault = Fault.NONE
    arrivals: list[Arrival] = field(default_factory=list)
    runs: int = 0
    ran: list[str] = field(default_factory=list)
    dropped: int = 0
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
                self.arrivals.append(arrival)
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
        arrival: Arrival,
        fault: Fault,
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        refusal = {Fault.SHED: "503 Service Unavailable", Fault.MISDIRECTED: "421 Misdirected"}
        if fault in refusal:
            writer.write(_head(refusal[fault], 0, "X-Not-Executed: 1\r\n"))
            return True
        if self.on_run is not None:
            self.on_run(self)
        if fault is Fault.CLOSE_BEFORE:
            return False
        self.runs += 1
        self.ran.append(arrival.headers.get("x-attempt-id", ""))
        if self.work_s and await self._left_during_work(reader):
            self.dropped += 1
            return False
        return await self._reply(writer, arrival, fault)

    async def _left_during_work(self, reader: asyncio.StreamReader) -> bool:
        work = asyncio.ensure_future(asyncio.sleep(self.work_s))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        done_in_time = work.done()
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        return not done_in_time

    async def _reply(self, writer: asyncio.StreamWriter, arrival: Arrival, fault: Fault) -> bool:
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
            case Fault.SILENT:
                await asyncio.sleep(3600)
            case Fault.CUT_SHORT:
                writer.write(whole[:-1])
                return False
            case Fault.UNFRAMED:
                writer.write(unframed)
                return False
            case Fault.UNFRAMED_RESET:
                writer.write(unframed)
                await asyncio.sleep(LATE_EXTRA_S)
                return _reset(writer)
            case Fault.GARBAGE:
                writer.write(b"\x00\x01 this is no answer \r\n\r\n")
                return True
            case Fault.EXTRA_AT_ONCE:
                writer.write(whole + whole)
                return True
            case Fault.EXTRA_LATE:
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


async def _read(reader: asyncio.StreamReader) -> Arrival:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if len(words) != 3 or len(head) > MAX_HEAD_BYTES:
        raise FrameError(len(head), "no request line")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Arrival(words[0], words[1], headers, body)
