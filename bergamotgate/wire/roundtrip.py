"""The round trip of a connection, as the kernel has measured it."""

import socket
import struct

__all__ = ["round_trip_s"]

# Size of the part of the kernel's struct tcp_info that is read, and where its field tcpi_rtt lies.
INFO_BYTES = 104
ROUND_TRIP_AT = 68
MICROSECOND = 1e-6


def round_trip_s(connection: socket.socket) -> float:
    """Smoothed round trip of a TCP connection in seconds; 0 where the kernel does not tell."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return 0.0  # not TCP, or closed meanwhile: nothing is known, and nothing depends on it
    if len(info) < ROUND_TRIP_AT + 4:
        return 0.0
    return struct.unpack_from("I", info, ROUND_TRIP_AT)[0] * MICROSECOND
