"""Thrift binary encoding of datagrams and frames, with limits."""

from typing import TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bergamotgate.errors import FrameError
from bergamotgate.wire.generated.ttypes import Datagram, Frame

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_FRAME_BYTES",
    "WIRE_VERSION",
    "decode_datagram",
    "decode_frame",
    "encode",
]

WIRE_VERSION = 1
MAX_DATAGRAM_BYTES = 8 * 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024

Message = TypeVar("Message", Datagram, Frame)


def encode(message: Datagram | Frame) -> bytes:
    """Bytes of a message in the Thrift binary protocol."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_datagram(data: bytes) -> Datagram:
    """Read a datagram.

    Raises:
        FrameError: The bytes are too many, garbage, or of another version.
    """
    return _decode(Datagram(), data, MAX_DATAGRAM_BYTES)


def decode_frame(data: bytes) -> Frame:
    """Read the body of a frame.

    Raises:
        FrameError: The bytes are too many, garbage, or of another version.
    """
    return _decode(Frame(), data, MAX_FRAME_BYTES)


def _decode(message: Message, data: bytes, limit: int) -> Message:
    if len(data) > limit:
        raise FrameError(len(data), f"longer than {limit} bytes")
    buffer = TMemoryBuffer(data)
    protocol = TBinaryProtocolAccelerated(
        buffer, string_length_limit=limit, container_length_limit=limit
    )
    try:
        message.read(protocol)
        message.validate()
    except Exception as error:  # the decoder raises whatever garbage leads it to
        raise FrameError(len(data), error) from error
    if message.version != WIRE_VERSION:
        raise FrameError(len(data), f"version {message.version}, known is {WIRE_VERSION}")
    return message
