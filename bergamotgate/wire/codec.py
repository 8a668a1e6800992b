"""Encodes and decodes datagrams and frames in Thrift binary, with size limits and compression."""

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
# Limit on a datagram's size after decompression.
MAX_DECOMPRESSED_DATAGRAM_BYTES = 256 * 1024
# Compression gains too little for messages up to this size.
COMPRESSION_THRESHOLD_BYTES = 384
# The fastest level; registrations are repetitive, so it already saves four fifths of the size.
COMPRESSION_LEVEL = 1
# First byte of a zlib stream; no encoded Thrift struct starts with it.
ZLIB_FIRST_BYTE = b"\x78"

Message = TypeVar("Message", Datagram, Frame)


def encode(message: Datagram | Frame) -> bytes:
    """Encode a message in the Thrift binary protocol."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def encode_compressed(message: Datagram | Frame) -> bytes:
    """Encode a message with repetitive content, compressed if it exceeds the threshold."""
    data = encode(message)
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram.

    Raises:
        FrameError: The data is too long, malformed, or of an unsupported version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise FrameError(len(data), f"longer than {MAX_DATAGRAM_BYTES} bytes")
    return _decode(Datagram(), data, MAX_DECOMPRESSED_DATAGRAM_BYTES)


def decode_frame(data: bytes) -> Frame:
    """Decode the body of a frame.

    Raises:
        FrameError: The data is too long, malformed, or of an unsupported version.
    """
    return _decode(Frame(), data, MAX_FRAME_BYTES)


def _decode(message: Message, data: bytes, limit: int) -> Message:
    if len(data) > limit:
        raise FrameError(len(data), f"longer than {limit} bytes")
    if data.startswith(ZLIB_FIRST_BYTE):
        data = _decompress(data, limit)
    buffer = TMemoryBuffer(data)
    protocol = TBinaryProtocolAccelerated(
        buffer, string_length_limit=limit, container_length_limit=limit
    )
    try:
        message.read(protocol)
        message.validate()
    except Exception as error:  # malformed input can raise any exception type
        raise FrameError(len(data), error) from error
    if message.version != WIRE_VERSION:
        raise FrameError(len(data), f"version is {message.version}, expected {WIRE_VERSION}")
    return message


def _decompress(data: bytes, limit: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, limit)
    except zlib.error as error:
        raise FrameError(len(data), error) from error
    if not decompressor.eof:
        raise FrameError(len(data), f"truncated, or longer than {limit} bytes after decompression")
    return decompressed
