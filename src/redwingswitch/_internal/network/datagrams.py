"""UDP sockets on the tornado loop, read in bounded batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from redwingswitch._internal.network.sockets import bind_datagram_socket

# Reading is limited per loop iteration, so that timers and other sockets are served while many
# datagrams arrive.
MAX_BATCH_DATAGRAMS = 64
RECEIVE_SIZE_BYTES = 65_535

OnDatagram = Callable[[bytes, tuple[str, int]], None]


class DatagramEndpoint:
    """A bound UDP socket that passes each datagram to ``on_datagram``.

    A given ``bound_socket`` may already hold datagrams that arrived earlier.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        on_datagram: OnDatagram,
        bound_socket: socket.socket | None = None,
    ) -> None:
        self._on_datagram = on_datagram
        self._socket = bound_socket or bind_datagram_socket(address, port)
        self._loop = IOLoop.current()
        self._loop.add_handler(self._socket.fileno(), self._read_batch, IOLoop.READ)

    @property
    def port(self) -> int:
        """Return the bound port."""
        port: int = self._socket.getsockname()[1]
        return port

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; return False when the local network stack rejects it."""
        try:
            self._socket.sendto(data, address)
        except (OSError, OverflowError):
            # A port that is out of range raises the second one.
            return False
        return True

    def close(self) -> None:
        """Close the socket; a second call has no effect."""
        if self._socket.fileno() < 0:
            return
        self._loop.remove_handler(self._socket.fileno())
        self._socket.close()

    def _read_batch(self, _descriptor: int, _events: int) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            if self._socket.fileno() < 0 or not self._read_datagram():
                return

    def _read_datagram(self) -> bool:
        try:
            data, address = self._socket.recvfrom(RECEIVE_SIZE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            # An ICMP error of an earlier send is reported by the next receive.
            return True
        self._on_datagram(data, (address[0], address[1]))
        return True
