"""Addresses of peers, endpoints and listeners."""

import socket
from typing import Any

Address = tuple[str, int]

PORT_MAX = 65_535
# Number of digits of the largest port.
_PORT_MAX_DIGITS = 5


def parse_address(value: Any) -> Address | None:
    """Parse the text `HOST:PORT`; return None if the value is something else."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _PORT_MAX_DIGITS
    if not host or not is_number or not 0 < int(port) <= PORT_MAX:
        return None
    return host, int(port)


def parse_ip_address(value: Any) -> Address | None:
    """Parse the text `HOST:PORT` with an IPv4 address as host, which needs no name lookup."""
    address = parse_address(value)
    if address is None:
        return None
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except (OSError, ValueError):
        return None
    return address
