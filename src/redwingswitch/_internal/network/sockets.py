"""A UDP socket that a program binds before it loads its other modules.

Packets that arrive while the modules load wait in the socket's buffer.
"""

from __future__ import annotations

import socket

# About 3,000 full-size packets: half a second of the peak traffic of a host.
RECEIVE_BUFFER_BYTES = 4_000_000


def bind_datagram_socket(address: str, port: int) -> socket.socket:
    """Return a bound non-blocking UDP socket, which buffers datagrams until they are read."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind((address, port))
    except OSError:
        bound.close()
        raise
    return bound
