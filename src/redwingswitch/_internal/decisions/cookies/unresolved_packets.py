"""Packets held until their routes or servers are known, or until a server may get a flow."""

from __future__ import annotations

from collections import deque

from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowEndpoints,
    FlowPacket,
    Verdict,
)

# After this time the caller's own retransmissions and retries take over.
MAX_HOLD_MS = 1_000
# Bounds the memory to 1.2 MB.
MAX_HELD_PACKETS = 1_024
# A held opening packet waits this much longer than necessary. Timers that are further ahead would
# delay the offers of unanswered flows.
OPENING_RETRY_MS = 40
HELD_VERDICTS = frozenset(
    {
        Verdict.HELD_NOT_CONFIGURED,
        Verdict.HELD_NO_SERVER,
        Verdict.HELD_UNKNOWN_COOKIE,
        Verdict.HELD_UNKNOWN_ROUTE,
        Verdict.HELD_OUTDATED_LIST,
    }
)


class UnresolvedPackets:
    """Queue of packets whose routes or server this host does not know yet."""

    def __init__(self) -> None:
        self._held: deque[tuple[int, FlowPacket]] = deque(maxlen=MAX_HELD_PACKETS)

    def __len__(self) -> int:
        return len(self._held)

    def take_unexpired(self, now_ms: int) -> list[tuple[int, FlowPacket]]:
        """Remove all packets; return the unexpired ones with deadlines, in order of arrival."""
        held = [entry for entry in self._held if now_ms < entry[0]]
        self._held.clear()
        return held

    def put(self, deadline_ms: int, packet: FlowPacket) -> None:
        """Hold a packet until a deadline; at the limit, drop the oldest one."""
        self._held.append((deadline_ms, packet))


class HeldOpenings:
    """Opening packets that wait until a server in slow start may get one, in order of arrival.

    A retransmission replaces the packet that it repeats.
    """

    def __init__(self) -> None:
        self._held: dict[FlowEndpoints, tuple[int, FlowPacket]] = {}
        self._retry_deadline_ms = 0

    def __len__(self) -> int:
        return len(self._held)

    def next_deadline_ms(self) -> int | None:
        """Return when to decide again, or None when no packet waits."""
        return self._retry_deadline_ms if self._held else None

    def put(self, deadline_ms: int, packet: FlowPacket, now_ms: int) -> None:
        """Hold a packet until a deadline; at the limit, drop the oldest one."""
        if not self._held:
            self._retry_deadline_ms = now_ms + OPENING_RETRY_MS
        self.remove(packet.flow)
        if len(self._held) >= MAX_HELD_PACKETS:
            self.remove(next(iter(self._held)))
        self._held[packet.flow] = (deadline_ms, packet)

    def remove(self, flow: FlowEndpoints) -> None:
        """Forget the packet of a flow."""
        self._held.pop(flow, None)

    def take_due(self, now_ms: int) -> list[tuple[int, FlowPacket]]:
        """Remove all packets if it is time to decide again; return the unexpired ones."""
        if not self._held or now_ms < self._retry_deadline_ms:
            return []
        held = [entry for entry in self._held.values() if now_ms < entry[0]]
        self._held.clear()
        return held


class HeldPackets:
    """All packets on which this host decides again later."""

    def __init__(self) -> None:
        self.unresolved = UnresolvedPackets()
        self.openings = HeldOpenings()

    def __len__(self) -> int:
        return len(self.unresolved) + len(self.openings)

    def hold(self, action: DiscardPacket, deadline_ms: int, now_ms: int) -> bool:
        """Hold the packet until a deadline if the verdict says so; return whether it does."""
        if action.verdict is Verdict.HELD_SLOW_START:
            self.openings.put(deadline_ms, action.packet, now_ms)
        elif action.verdict in HELD_VERDICTS:
            self.unresolved.put(deadline_ms, action.packet)
        else:
            return False
        return True
