"""Round trip of a connection, as the kernel has measured it."""

import asyncio
import socket
import struct

# Offset of the smoothed round trip in µs in the kernel's `struct tcp_info`, and the bytes to read.
_ROUND_TRIP_OFFSET_BYTES = 68
_INFO_BYTES = 72


def read_round_trip_ms(transport: asyncio.BaseTransport) -> float | None:
    """Return the smoothed round trip of a connection; None if the kernel does not tell it."""
    connection = transport.get_extra_info("socket")
    option = getattr(socket, "TCP_INFO", None)
    if connection is None or option is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, option, _INFO_BYTES)
    except OSError:
        return None
    if len(info) < _INFO_BYTES:
        return None
    (round_trip_us,) = struct.unpack_from("=I", info, _ROUND_TRIP_OFFSET_BYTES)
    return round_trip_us / 1000 if round_trip_us else None
