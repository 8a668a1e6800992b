"""Wire format and transport of messages between the processes of the system."""

from bergamotgate.wire.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_DECOMPRESSED_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    WIRE_VERSION,
    decode_datagram,
    decode_frame,
    encode,
    encode_compressed,
)

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
