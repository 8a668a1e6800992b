"""The little HTTP/1.1 that the stand-ins need, on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "read_message", "render"]


@dataclass
class Message:
    """A request or a reply.

    Attributes:
        start: The three words of the first line.
        headers: Values by lower-case name.
        body: The complete body.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message whose body has a length; None at a clean end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended within a message") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.lower()] = value.strip()
    length = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the connection ended within a body") from error
    return message


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
