"""Thrift binary encoding of datagrams and frames, with limits; bulky ones are compressed."""

import zlib
from typing import TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bergamotgate.errors import FrameError
from bergamotgate.wire.generated.ttypes import Datagram, Frame

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_DECOMPRESSED_DATAGRAM_BYTES",
    "MAX_FRAME_BYTES",
    "WIRE_VERSION",
    "decode_datagram",
    "decode_frame",
    "encode",
    "encode_compressed",
]

WIRE_VERSION = 1
MAX_DATAGRAM_BYTES = 8 * 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A datagram may hold so much once it is unpacked.
MAX_DECOMPRESSED_DATAGRAM_BYTES = 256 * 1024
# Shorter messages gain nothing from compression.
PACK_ABOVE_BYTES = 1024
# The fastest level: registrations repeat each other, so it already takes off four fifths.
PACK_LEVEL = 1
# First byte of a zlib stream; a Thrift struct never begins with it.
PACKED_MARK = b"\x78"

Message = TypeVar("Message", Datagram, Frame)


def encode(message: Datagram | Frame) -> bytes:
    """Bytes of a message in the Thrift binary protocol."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def encode_compressed(message: Datagram | Frame) -> bytes:
    """Bytes of a message that repeats itself, compressed where that gains something."""
    data = encode(message)
    if len(data) <= PACK_ABOVE_BYTES:
        return data
    return zlib.compress(data, PACK_LEVEL)


def decode_datagram(data: bytes) -> Datagram:
    """Read a datagram.

    Raises:
        FrameError: The bytes are too many, garbage, or of another version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise FrameError(len(data), f"longer than {MAX_DATAGRAM_BYTES} bytes")
    return _decode(Datagram(), data, MAX_DECOMPRESSED_DATAGRAM_BYTES)


def decode_frame(data: bytes) -> Frame:
    """Read the body of a frame.

    Raises:
        FrameError: The bytes are too many, garbage, or of another version.
    """
    return _decode(Frame(), data, MAX_FRAME_BYTES)


def _decode(message: Message, data: bytes, limit: int) -> Message:
    if len(data) > limit:
        raise FrameError(len(data), f"longer than {limit} bytes")
    if data.startswith(PACKED_MARK):
        data = _unpack(data, limit)
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


def _unpack(data: bytes, limit: int) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, limit)
    except zlib.error as error:
        raise FrameError(len(data), error) from error
    if not unpacker.eof:
        raise FrameError(len(data), f"cut short, or longer than {limit} bytes when unpacked")
    return unpacked
