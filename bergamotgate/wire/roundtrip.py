"""Reads the round-trip time of a TCP connection as measured by the kernel."""

import socket
import struct

__all__ = ["round_trip_s"]

# Number of bytes read of the kernel's struct tcp_info, and offset of its field tcpi_rtt.
TCP_INFO_BYTES = 104
TCPI_RTT_OFFSET = 68
MICROSECOND = 1e-6


def round_trip_s(connection: socket.socket) -> float:
    """Return the smoothed round-trip time in seconds, or 0 if the kernel does not report it."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0  # not TCP or already closed: unknown, and nothing depends on it
    if len(info) < TCPI_RTT_OFFSET + 4:
        return 0.0
    return struct.unpack_from("I", info, TCPI_RTT_OFFSET)[0] * MICROSECOND
