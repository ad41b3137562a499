"""Opening packets that a server has not answered yet.

The opening packet is the first packet of a flow, which asks a server to accept the flow.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import FlowEndpoints, FlowPacket

# A round trip between failure domains takes up to 15 ms. Callers retransmit opening packets only
# after 200 ms, which exceeds the total time limit of some of their requests.
ANSWER_TIMEOUT_MS = 40
# A timer that fires later than this means that this host was paused, not that servers are silent.
MAX_TIMER_LAG_MS = 20
# About 100 ms of new flows at 10 times the expected rate of a host.
MAX_PENDING_OPENINGS = 1_024
# The host offers an unanswered flow to this many servers. After that, only a retransmission by the
# caller makes it offer the flow again.
MAX_OFFERS = 3


class PendingOpening(NamedTuple):
    """An opening packet, the server that it was sent to, and the deadline of the answer."""

    deadline_ms: int
    flow: FlowEndpoints
    packet: FlowPacket
    server_id: str


class PendingOpenings:
    """Queue of unanswered opening packets, ordered by deadline."""

    def __init__(self) -> None:
        self._queue: deque[PendingOpening] = deque()

    def add(self, packet: FlowPacket, server_id: str, now_ms: int) -> None:
        """Add an opening packet; at the limit, drop the oldest one."""
        if len(self._queue) >= MAX_PENDING_OPENINGS:
            self._queue.popleft()
        deadline_ms = now_ms + ANSWER_TIMEOUT_MS
        self._queue.append(PendingOpening(deadline_ms, packet.flow, packet, server_id))

    def next_deadline_ms(self) -> int | None:
        """Return the earliest deadline, or None when nothing is pending."""
        return self._queue[0].deadline_ms if self._queue else None

    def find_by_caller(self, flow: FlowEndpoints) -> list[PendingOpening]:
        """Return the pending openings of the caller of ``flow`` to the same destination."""
        return [
            pending
            for pending in self._queue
            if pending.flow.caller_address == flow.caller_address
            and pending.flow.destination == flow.destination
        ]

    def pop_overdue(self, now_ms: int) -> list[PendingOpening]:
        """Remove and return the openings past their deadline.

        After a pause of this host the deadlines are postponed first.
        """
        if self._queue and now_ms - self._queue[0].deadline_ms > MAX_TIMER_LAG_MS:
            self._postpone(now_ms)
        found = []
        while self._queue and self._queue[0].deadline_ms <= now_ms:
            found.append(self._queue.popleft())
        return found

    def _postpone(self, now_ms: int) -> None:
        # Packets that acknowledge an answer may still be unread in the socket's receive buffer.
        deadline_ms = now_ms + MAX_TIMER_LAG_MS
        self._queue = deque(
            pending._replace(deadline_ms=max(pending.deadline_ms, deadline_ms))
            for pending in self._queue
        )
