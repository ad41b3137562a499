"""Packets held until their routes or servers are known."""

from __future__ import annotations

from collections import deque

from redwingswitch._internal.models.cookie_flows import FlowPacket

# After this time the caller's own retransmissions and retries take over.
MAX_HOLD_MS = 1_000
# Bounds the memory to 1.2 MB.
MAX_HELD_PACKETS = 1_024


class UnresolvedPackets:
    """Queue of packets whose routes or server this host does not know yet."""

    def __init__(self) -> None:
        self._held: deque[tuple[int, FlowPacket]] = deque(maxlen=MAX_HELD_PACKETS)

    def __len__(self) -> int:
        return len(self._held)

    def add(self, packet: FlowPacket, now_ms: int) -> None:
        """Hold a packet; at the limit, drop the oldest one."""
        self._held.append((now_ms + MAX_HOLD_MS, packet))

    def take_unexpired(self, now_ms: int) -> list[tuple[int, FlowPacket]]:
        """Remove all packets; return the unexpired ones with deadlines, in order of arrival."""
        held = [entry for entry in self._held if now_ms < entry[0]]
        self._held.clear()
        return held

    def put_back(self, deadline_ms: int, packet: FlowPacket) -> None:
        """Hold a packet again with its original deadline."""
        self._held.append((deadline_ms, packet))
