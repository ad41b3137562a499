"""Flows that stall at a server or a failure domain, and the suspicion that they justify."""

from __future__ import annotations

from collections.abc import Collection, Container
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import FlowEndpoints, Suspicion

# A flow also stalls when one of its packets is lost, so a single stall does not show that a server
# has failed. At a loss of 0.3 % of the opening packets, packet loss rarely stalls two flows without
# an answer from the server in between, so the server is then suspected and gets new flows only as
# probes. Packet loss even more rarely stalls three flows, each of which another server answers as
# soon as it is offered the flow. The server is then condemned, and even its flows that have not
# stalled may be reset.
STALLED_FLOWS_TO_SUSPECT = 2
STALLED_FLOWS_TO_CONDEMN = 3
# More stalls of a server or a failure domain say no more; the oldest are forgotten.
MAX_STALLS = 64
# Stalls further apart than this are taken for unrelated packet losses.
STALL_WINDOW_MS = 2_000
# A stall this soon after an answer is ignored, because the stalled packet was sent before that
# answer. Longer than the timeout of an opening packet plus a round trip between failure domains.
RECENT_ANSWER_MS = 60


class Stall(NamedTuple):
    """A flow that a server did not answer.

    ``is_confirmed`` is true when the caller's later packets reached this host.
    """

    server_id: str
    flow: FlowEndpoints
    is_confirmed: bool


class _StallTimes(NamedTuple):
    """When a packet was sent, and when it counted as unanswered."""

    sent_ms: int
    noted_ms: int


class StallTracker:
    """Stalls of a server, or of all servers of a failure domain, since its last answer.

    ``min_servers`` is the minimum number of servers with stalls that can raise a suspicion.
    """

    __slots__ = (
        "_min_servers",
        "failed_probes",
        "last_answer_ms",
        "next_probe_ms",
        "probed_ms",
        "stalls",
        "suspected_ms",
        "suspicion",
        "unanswered_since_ms",
    )

    def __init__(self, *, min_servers: int) -> None:
        self._min_servers = min_servers
        self.last_answer_ms: int | None = None
        self.stalls: dict[Stall, _StallTimes] = {}
        # When the first packet was sent that is still unanswered, or later.
        self.unanswered_since_ms = 0
        self.suspicion = Suspicion.NONE
        # When the present suspicion began.
        self.suspected_ms = 0
        self.next_probe_ms = 0
        self.probed_ms: int | None = None
        self.failed_probes = 0

    def on_answer(self, now_ms: int) -> None:
        """Record an answer, which ends any suspicion."""
        self.last_answer_ms = now_ms
        if self.stalls:
            self.stalls.clear()
        if self.suspicion is not Suspicion.NONE:
            self.suspicion = Suspicion.NONE
            self.failed_probes = 0

    def on_stall(self, stall: Stall, sent_ms: int, now_ms: int) -> bool:
        """Record a stall of a packet sent at ``sent_ms``; return whether the suspicion rises."""
        if self.last_answer_ms is not None and now_ms - self.last_answer_ms < RECENT_ANSWER_MS:
            return False
        if self.suspicion is Suspicion.NONE:
            self._discard_old_stalls(now_ms)
        if not self.stalls:
            self.unanswered_since_ms = sent_ms
        self.stalls[stall] = _StallTimes(sent_ms, now_ms)
        if len(self.stalls) > MAX_STALLS:
            del self.stalls[next(iter(self.stalls))]
        suspicion = self._compute_suspicion(self.stalls)
        if suspicion <= self.suspicion:
            return False
        if self.suspicion is Suspicion.NONE:
            self.suspected_ms = now_ms
        self.suspicion = suspicion
        return True

    def retain(self, server_ids: Container[str]) -> None:
        """Forget the stalls of all other servers, and the suspicion that rests on them."""
        left = {s: t for s, t in self.stalls.items() if s.server_id in server_ids}
        if len(left) < len(self.stalls):
            self.stalls = left
            self._update_unanswered_since()
            self.suspicion = min(self.suspicion, self._compute_suspicion(left))

    def has_confirmed_stall_since(self, since_ms: int) -> bool:
        """Return whether a stall since ``since_ms``, and since the last answer, is confirmed."""
        return any(
            stall.is_confirmed and times.noted_ms >= since_ms
            for stall, times in self.stalls.items()
        )

    def suspicion_by_packets_since(self, since_ms: int) -> Suspicion:
        """Return the suspicion that packets sent at ``since_ms`` or later justify."""
        stalls = [stall for stall, times in self.stalls.items() if times.sent_ms >= since_ms]
        return min(self.suspicion, self._compute_suspicion(stalls))

    def _discard_old_stalls(self, now_ms: int) -> None:
        old = [s for s, t in self.stalls.items() if now_ms - t.noted_ms > STALL_WINDOW_MS]
        for stall in old:
            del self.stalls[stall]
        if old:
            self._update_unanswered_since()

    def _update_unanswered_since(self) -> None:
        if self.stalls:
            self.unanswered_since_ms = min(times.sent_ms for times in self.stalls.values())

    def _compute_suspicion(self, stalls: Collection[Stall]) -> Suspicion:
        if len({stall.server_id for stall in stalls}) < self._min_servers:
            return Suspicion.NONE
        confirmed = {stall.flow for stall in stalls if stall.is_confirmed}
        if len(confirmed) >= STALLED_FLOWS_TO_CONDEMN:
            return Suspicion.CONDEMNED
        flows = {stall.flow for stall in stalls}
        return Suspicion.SUSPECTED if len(flows) >= STALLED_FLOWS_TO_SUSPECT else Suspicion.NONE
