"""Simulates a backend server of the users' platform over real sockets, with injected faults.

It implements the platform's published protocol and the faults that the platform documents. It
records the requests that it receives, so that tests can check what a server observed.
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
FAULT_DELAY_S = 0.02
ENDLESS_BLOCK = b"x" * 16 * 1024


class Fault(Enum):
    """A fault that a server injects into its handling of a request.

    Attributes:
        NONE: Reply correctly.
        SHED: Refuse with status 503 without running the request.
        MISDIRECTED: Refuse with status 421 without running the request.
        ERROR: Run the request and reply with status 500.
        UNAVAILABLE_AFTER_RUN: Run the request and reply with status 503.
        CLOSE_WITHOUT_RUN: Close the connection without running the request.
        RESET_AFTER_RUN: Run the request, then reset the connection.
        HEAD_CUT: Close the connection in the middle of the reply's head.
        TRUNCATED: Omit the last byte of the reply, then close the connection.
        UNFRAMED: Reply without a Content-Length header, then close the connection.
        UNFRAMED_RESET: Like ``UNFRAMED``, but reset the connection after ``FAULT_DELAY_S``.
        EXTRA_REPLY: Send the reply twice at once.
        DELAYED_EXTRA_REPLY: Send the reply again after ``FAULT_DELAY_S``.
        MALFORMED: Send bytes that are not HTTP.
        STATUS_ZERO: Reply with status 000, which HTTP does not define.
        STATUS_OUT_OF_RANGE: Reply with status 600, which HTTP does not define.
        OTHER_PROTOCOL: Reply with the status line of another protocol.
        CONTROL_IN_STATUS_LINE: Reply with a control character in the reason phrase.
        BLANK_IN_FIELD_NAME: Reply with a space in the name of a header.
        CONTROL_IN_FIELD_NAME: Reply with a control character in the name of a header.
        BLANK_BEFORE_COLON: Reply with a shorter length whose name ends with a space.
        TRANSFER_CODED: Reply in one chunk with another transfer coding declared below it.
        ENCODED: Declare a content encoding.
        TWO_ENCODINGS: Declare a content encoding, then that there is none.
        UNSIGNED: Reply without the server stamp.
        EMPTY_STAMP: Reply with an empty server stamp.
        LISTED_STAMP: Reply with a server stamp that is a list of two.
        TWO_STAMPS: Reply with a second server stamp.
        OTHER_ATTEMPT: Reply with the identifier of another attempt.
        TWO_ATTEMPTS: Reply with the identifier of another attempt, then with the right one.
        NO_ATTEMPT: Reply without the identifier of the attempt.
        NO_REPLY: Keep the connection open without a reply.
        ENDLESS_HEAD: Send a header without end until the client closes.
        ENDLESS_BODY: Send a body without end until the client closes.
    """

    NONE = auto()
    SHED = auto()
    MISDIRECTED = auto()
    ERROR = auto()
    UNAVAILABLE_AFTER_RUN = auto()
    CLOSE_WITHOUT_RUN = auto()
    RESET_AFTER_RUN = auto()
    HEAD_CUT = auto()
    TRUNCATED = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    EXTRA_REPLY = auto()
    DELAYED_EXTRA_REPLY = auto()
    MALFORMED = auto()
    STATUS_ZERO = auto()
    STATUS_OUT_OF_RANGE = auto()
    OTHER_PROTOCOL = auto()
    CONTROL_IN_STATUS_LINE = auto()
    BLANK_IN_FIELD_NAME = auto()
    CONTROL_IN_FIELD_NAME = auto()
    BLANK_BEFORE_COLON = auto()
    TRANSFER_CODED = auto()
    ENCODED = auto()
    TWO_ENCODINGS = auto()
    UNSIGNED = auto()
    EMPTY_STAMP = auto()
    LISTED_STAMP = auto()
    TWO_STAMPS = auto()
    OTHER_ATTEMPT = auto()
    TWO_ATTEMPTS = auto()
    NO_ATTEMPT = auto()
    NO_REPLY = auto()
    ENDLESS_HEAD = auto()
    ENDLESS_BODY = auto()


STATUS_BY_FAULT = {
    Fault.ERROR: "500 Internal Server Error",
    Fault.UNAVAILABLE_AFTER_RUN: "503 Service Unavailable",
    Fault.STATUS_ZERO: "000 OK",
    Fault.STATUS_OUT_OF_RANGE: "600 OK",
    Fault.CONTROL_IN_STATUS_LINE: "200 O\x01K",
}
STAMP_BY_FAULT = {Fault.EMPTY_STAMP: "", Fault.LISTED_STAMP: "i-8.another, i-9.another"}
FIELD_BY_FAULT = {
    Fault.BLANK_IN_FIELD_NAME: "X Odd: 1",
    Fault.CONTROL_IN_FIELD_NAME: "X-\x01Odd: 1",
    Fault.BLANK_BEFORE_COLON: "Content-Length : 1",
    Fault.ENCODED: "Content-Encoding: gzip",
    Fault.TWO_ENCODINGS: "Content-Encoding: gzip\r\nContent-Encoding: identity",
    Fault.TWO_STAMPS: "X-Server-Stamp: i-9.another",
}


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as the server received it.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: Header values by name in lower case.
        body: Request body.
        received_at: Time of the event loop's clock at which it was complete.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float


@dataclass(eq=False)
class StandInReplica:
    """A simulated backend server that listens on loopback.

    Attributes:
        server: Identifier of the server.
        body: Body of every reply.
        service_s: Time to run a request, in seconds.
        faults: Faults for the next requests, in order; ``fault`` applies once it is empty.
        fault: Fault for all further requests.
        status_line: Bytes that stand in place of the status line of each sound reply; or None.
        stated_rate: Requests per second that every reply states as the limit for all VMs together.
        leaving: Whether every reply says that the server is about to stop.
        pause: While set, every request gets status 503 with this value of Retry-After.
        pause_runs: Whether a request runs before it gets that answer.
        received_requests: All requests received, including refused ones.
        run_count: Number of requests run.
        run_attempts: Attempt identifiers of the requests run.
        aborted_runs: Number of requests whose connection closed while they ran.
        connections: Number of connections accepted.
        address: ``ip:port`` once started.
        on_run: Called with this server before each run.
    """

    server: str
    body: bytes = b""
    service_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)
    fault: Fault = Fault.NONE
    status_line: bytes | None = None
    stated_rate: str | None = None
    leaving: bool = False
    pause: str | None = None
    pause_runs: bool = False
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    run_count: int = 0
    run_attempts: list[str] = field(default_factory=list)
    aborted_runs: int = 0
    connections: int = 0
    address: str = ""
    on_run: Callable[["StandInReplica"], None] | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                request = await _read(reader)
                self.received_requests.append(request)
                fault = self.faults.pop(0) if self.faults else self.fault
                if not await self._answer(reader, writer, request, fault):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, FrameError):
            pass  # The client closed the connection or sent an invalid request.
        except asyncio.CancelledError:
            pass  # The event loop of the test is shutting down.
        finally:
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
        fault: Fault,
    ) -> bool:
        """Answer one request; return whether to keep the connection open."""
        if self.pause is not None:
            fault = Fault.UNAVAILABLE_AFTER_RUN if self.pause_runs else Fault.SHED
        refusal = {Fault.SHED: "503 Service Unavailable", Fault.MISDIRECTED: "421 Misdirected"}
        if fault in refusal:
            attempt = request.headers.get("x-attempt-id", "")
            refused = f"X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n{self._statements()}"
            writer.write(_head(refusal[fault], 0, refused))
            return True
        if self.on_run is not None:
            self.on_run(self)
        if fault is Fault.CLOSE_WITHOUT_RUN:
            return False
        self.run_count += 1
        self.run_attempts.append(request.headers.get("x-attempt-id", ""))
        if self.service_s and await self._closed_during_service(reader):
            self.aborted_runs += 1
            return False
        return await self._reply(writer, request, fault)

    async def _closed_during_service(self, reader: asyncio.StreamReader) -> bool:
        """Wait for the service time; return whether the client closed (or wrote) first."""
        service = asyncio.ensure_future(asyncio.sleep(self.service_s))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({service, closed}, return_when=asyncio.FIRST_COMPLETED)
        done_in_time = service.done()
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        return not done_in_time

    async def _reply(
        self, writer: asyncio.StreamWriter, request: ReceivedRequest, fault: Fault
    ) -> bool:
        attempt = request.headers.get("x-attempt-id", "")
        echoed_attempt = "somebody-else" if fault is Fault.OTHER_ATTEMPT else attempt
        stamp = STAMP_BY_FAULT.get(fault, f"{self.server}.{attempt}")
        extra = "X-Attempt-Id: somebody-else\r\n" if fault is Fault.TWO_ATTEMPTS else ""
        extra += "" if fault is Fault.NO_ATTEMPT else f"X-Attempt-Id: {echoed_attempt}\r\n"
        extra += "" if fault is Fault.UNSIGNED else f"X-Server-Stamp: {stamp}\r\n"
        extra += self._statements()
        if fault in FIELD_BY_FAULT:
            extra += f"{FIELD_BY_FAULT[fault]}\r\n"
        status = STATUS_BY_FAULT.get(fault, "200 OK")
        response = _head(status, len(self.body), extra) + self.body
        unframed = f"HTTP/1.1 200 OK\r\n{extra}\r\n".encode() + self.body
        match fault:
            case Fault.RESET_AFTER_RUN:
                return _reset(writer)
            case Fault.NO_REPLY:
                await asyncio.sleep(3600)
            case Fault.ENDLESS_HEAD:
                await _write_until_closed(writer, b"HTTP/1.1 200 OK\r\nX-Long: ")
            case Fault.ENDLESS_BODY:
                await _write_until_closed(writer, f"HTTP/1.1 200 OK\r\n{extra}\r\n".encode())
            case Fault.HEAD_CUT:
                writer.write(response[: response.index(b"\r\n\r\n") - 1])
                return False
            case Fault.TRUNCATED:
                writer.write(response[:-1])
                return False
            case Fault.UNFRAMED:
                writer.write(unframed)
                return False
            case Fault.UNFRAMED_RESET:
                writer.write(unframed)
                await asyncio.sleep(FAULT_DELAY_S)
                return _reset(writer)
            case Fault.MALFORMED:
                writer.write(b"\x00\x01 this is no answer \r\n\r\n")
                return True
            case Fault.OTHER_PROTOCOL:
                writer.write(response.replace(b"HTTP/1.1", b"RTSP/1.0", 1))
                return True
            case Fault.TRANSFER_CODED:
                coded = f"HTTP/1.1 200 OK\r\n{extra}Transfer-Encoding: gzip, chunked\r\n\r\n"
                chunk = f"{len(self.body):x}\r\n".encode() + self.body + b"\r\n0\r\n\r\n"
                writer.write(coded.encode() + chunk)
                return True
            case Fault.EXTRA_REPLY:
                writer.write(response + response)
                return True
            case Fault.DELAYED_EXTRA_REPLY:
                writer.write(response)
                await asyncio.sleep(FAULT_DELAY_S)
                writer.write(response)
                return True
        if self.status_line is not None:
            response = response.replace(b"HTTP/1.1 200 OK", self.status_line, 1)
        writer.write(response)
        return True

    def _statements(self) -> str:
        """Headers that say something of the server itself."""
        value_by_name = {
            "Server-Limit": self.stated_rate,
            "Server-Leaving": "1" if self.leaving else None,
            "Retry-After": self.pause,
        }
        lines = (f"{n}: {v}\r\n" for n, v in value_by_name.items() if v is not None)
        return "".join(lines)


def _head(status: str, length: int, extra: str) -> bytes:
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {length}\r\n\r\n".encode()


def _reset(writer: asyncio.StreamWriter) -> bool:
    """Close the connection with a RST, by a zero linger timeout; return False."""
    if writer.transport.is_closing():
        return False  # The client closed the connection first.
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


async def _write_until_closed(writer: asyncio.StreamWriter, start: bytes) -> None:
    """Write without end; raises ``ConnectionError`` once the client has closed the connection."""
    writer.write(start)
    while True:
        writer.write(ENDLESS_BLOCK)
        await writer.drain()


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    request_line = lines[0].split(" ")
    if len(request_line) != 3 or len(head) > MAX_HEAD_BYTES:
        raise FrameError(len(head), "request line is malformed or the header is too large")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    received_at = asyncio.get_running_loop().time()
    return ReceivedRequest(request_line[0], request_line[1], headers, body, received_at)
