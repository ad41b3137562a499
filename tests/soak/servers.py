"""Backend servers of the soak, which report the packets that reach them."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from redwingswitch._internal.platform.standins.flows import (
    MS_PER_S,
    OPEN,
    TUNNEL_PREFIX_BYTES,
    Packet,
    PlatformServerStandin,
    decode,
)

# The server, the address of the host that sent the packet, the packet.
OnPacket = Callable[["SoakServer", str, Packet], None]


def wall_clock_ms() -> float:
    """Return the time on the clock of ``PlatformServerStandin.opening_times_ms``."""
    return time.time() * MS_PER_S


class SoakServer(PlatformServerStandin):
    """A server that reports each packet addressed to it.

    ``lost_from`` maps the address of a host to the fraction of its packets that is lost.
    """

    def __init__(
        self,
        *,
        name: str,
        number: int,
        service: str,
        failure_domain: str,
        caller_port: int,
        on_opening: OnPacket,
        on_later_packet: OnPacket,
    ) -> None:
        super().__init__(name=name, number=number, caller_port=caller_port)
        self.service = service
        self.failure_domain = failure_domain
        self.lost_from: dict[str, float] = {}
        self.draining_since_ms: int | None = None
        # The span of the slow start, on the clock of ``opening_times_ms``.
        self.slow_start_since_ms = 0.0
        self.slow_start_deadline_ms = 0.0
        self.is_ended = False
        self._on_opening = on_opening
        self._on_later_packet = on_later_packet
        self._random = random.Random(number)

    @property
    def state(self) -> str:
        """Return the state that the server reports of itself."""
        return "ready" if self.draining_since_ms is None else "draining"

    def begin_slow_start(self, length_ms: int) -> None:
        """Begin a slow start now."""
        self.slow_start_since_ms = wall_clock_ms()
        self.slow_start_deadline_ms = self.slow_start_since_ms + length_ms

    @property
    def slow_start_left_ms(self) -> int:
        """Return the remaining duration of the slow start."""
        return max(0, round(self.slow_start_deadline_ms - wall_clock_ms()))

    def slow_start_openings_ms(self) -> list[float]:
        """Return when opening packets reached this server during its slow start."""
        since_ms, deadline_ms = self.slow_start_since_ms, self.slow_start_deadline_ms
        return [at_ms for at_ms in self.opening_times_ms if since_ms <= at_ms < deadline_ms]

    def on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Report the packet, then answer it."""
        host = sender[0]
        if self._random.random() < self.lost_from.get(host, 0.0):
            return
        if self.is_responding and data[:TUNNEL_PREFIX_BYTES] == self._tunnel_prefix:
            packet = decode(data[TUNNEL_PREFIX_BYTES:])
            (self._on_opening if packet.flags & OPEN else self._on_later_packet)(self, host, packet)
        super().on_datagram(data, sender)
