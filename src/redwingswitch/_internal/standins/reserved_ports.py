"""Ports for programs that must know their ports before they bind them."""

from __future__ import annotations

import random
import socket

# Nothing else binds this address. Processes that hold a port on it leave the port to each other.
RESERVATION_ADDRESS = "127.0.0.255"
# Below the range from which systems assign ports by themselves, which begins at 32768 on Linux.
PORT_RANGE = range(20_000, 32_000)
MAX_TRIES = 1_000


class ReservedPort:
    """A port that no other holder of a reservation, and no automatic assignment, gets.

    The reservation is a bound TCP socket on an address of its own, so that the port itself can be
    bound on every other address.
    """

    def __init__(self) -> None:
        self._socket, self.number = _bind_unreserved()

    def close(self) -> None:
        """Release the port."""
        self._socket.close()


def _bind_unreserved() -> tuple[socket.socket, int]:
    # Not seeded: processes that run at the same time should try different ports.
    random_source = random.SystemRandom()
    for _ in range(MAX_TRIES):
        number = random_source.choice(PORT_RANGE)
        holder = socket.socket()
        try:
            holder.bind((RESERVATION_ADDRESS, number))
        except OSError:
            holder.close()
            continue
        return holder, number
    raise OSError(f"no free port between {PORT_RANGE.start} and {PORT_RANGE.stop - 1}")
