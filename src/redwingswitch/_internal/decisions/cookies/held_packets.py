"""Packets that a host cannot decide on yet."""

from __future__ import annotations

from collections import deque

from redwingswitch._internal.models.cookie_flows import FlowPacket

# A caller's own copies and later tries take over after this time.
MAX_HOLD_MS = 1_000
# 1.2 MB at most.
MAX_HELD_PACKETS = 1_024


class HeldPackets:
    """Keeps packets for the short time until the routes or the server that they need are known."""

    def __init__(self) -> None:
        self._held: deque[tuple[int, FlowPacket]] = deque(maxlen=MAX_HELD_PACKETS)

    def __len__(self) -> int:
        return len(self._held)

    def add(self, packet: FlowPacket, now_ms: int) -> None:
        """Keep a packet; beyond the bound the oldest one goes."""
        self._held.append((now_ms + MAX_HOLD_MS, packet))

    def take_unexpired(self, now_ms: int) -> list[tuple[int, FlowPacket]]:
        """Return what is not too old with its deadlines, in order of arrival; keep nothing."""
        held = [entry for entry in self._held if now_ms < entry[0]]
        self._held.clear()
        return held

    def put_back(self, deadline_ms: int, packet: FlowPacket) -> None:
        """Keep a packet that still cannot be decided on."""
        self._held.append((deadline_ms, packet))
