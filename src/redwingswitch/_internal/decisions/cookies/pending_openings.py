"""Opening packets that wait for their server's answer."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import FlowId, FlowPacket

# A round trip between failure domains takes up to 15 ms; callers repeat opening packets only after
# 200 ms, which is longer than some of their requests may take in all.
ANSWER_TIMEOUT_MS = 40
# A timer that fires this late says that this host stood still, not that servers were silent.
MAX_TIMER_LAG_MS = 20
# About 100 ms of new flows at 10 times the expected rate of a host.
MAX_PENDING_OPENINGS = 1_024
MAX_OFFERS = 3


class PendingOpening(NamedTuple):
    """An opening packet, the server that it was offered to, and when an answer is overdue."""

    deadline_ms: int
    flow: FlowId
    packet: FlowPacket
    server_id: str


class PendingOpenings:
    """Unanswered opening packets in the order of their deadlines."""

    def __init__(self) -> None:
        self._queue: deque[PendingOpening] = deque()

    def add(self, packet: FlowPacket, server_id: str, now_ms: int) -> None:
        """Follow an opening packet; beyond the bound the oldest is given up."""
        if len(self._queue) >= MAX_PENDING_OPENINGS:
            self._queue.popleft()
        deadline_ms = now_ms + ANSWER_TIMEOUT_MS
        self._queue.append(PendingOpening(deadline_ms, packet.flow, packet, server_id))

    def next_deadline_ms(self) -> int | None:
        """Return when the next answer is overdue."""
        return self._queue[0].deadline_ms if self._queue else None

    def from_caller(self, flow: FlowId) -> list[PendingOpening]:
        """Return the openings of the caller of ``flow`` to the same destination."""
        return [
            pending
            for pending in self._queue
            if pending.flow.caller_address == flow.caller_address
            and pending.flow.destination == flow.destination
        ]

    def pop_overdue(self, now_ms: int) -> list[PendingOpening]:
        """Remove and return the openings whose answer is overdue."""
        if self._queue and now_ms - self._queue[0].deadline_ms > MAX_TIMER_LAG_MS:
            self._postpone(now_ms)
        found = []
        while self._queue and self._queue[0].deadline_ms <= now_ms:
            found.append(self._queue.popleft())
        return found

    def _postpone(self, now_ms: int) -> None:
        # The answers of callers may still wait in the socket's buffer.
        deadline_ms = now_ms + MAX_TIMER_LAG_MS
        self._queue = deque(
            pending._replace(deadline_ms=max(pending.deadline_ms, deadline_ms))
            for pending in self._queue
        )
