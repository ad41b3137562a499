"""Flows that stall at a server or a failure domain, and the suspicion that they justify."""

from __future__ import annotations

from collections.abc import Collection, Container
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import FlowEndpoints, Suspicion

# A flow also stalls when one of its packets is lost, so a single stall does not show that a server
# has failed. At a loss of 0.3 % of the opening packets, packet loss rarely stalls two flows without
# an answer from the server in between, so the server is then suspected and gets new flows only as
# probes. Packet loss even more rarely stalls three flows, and the server is then condemned. If the
# three flows were open, those that have not stalled may be reset too.
STALLED_FLOWS_TO_SUSPECT = 2
STALLED_FLOWS_TO_CONDEMN = 3
# More stalls of a server or a failure domain say no more; the oldest are forgotten.
MAX_STALLS = 64
# Stalls further apart than this are taken for unrelated packet losses.
STALL_WINDOW_MS = 2_000
# How long an unanswered packet shows that a server is silent. A live server that was cut off leaves
# such packets behind, so open flows must not be reset for them once the path works again.
SILENCE_EVIDENCE_MS = 2_000
# A suspicion ends this long after the latest stall. Probes, which are less than half of this apart,
# prolong the suspicion of a failed server; one that gets no probe may have recovered.
SUSPICION_LIFETIME_MS = 8_000
# Later than any time on the clock of a host.
NEVER_EXPIRES_MS = 1 << 62
# A stall this soon after an answer is ignored, because the stalled packet was sent before that
# answer. Longer than the timeout of an opening packet plus a round trip between failure domains.
RECENT_ANSWER_MS = 60


class Stall(NamedTuple):
    """A flow that a server did not answer.

    ``is_confirmed`` is true when the caller's later packets reached this host. ``is_open`` is true
    when the unanswered packet has data of an open flow: a server that is full answers these, but no
    opening packets.
    """

    server_id: str
    flow: FlowEndpoints
    is_confirmed: bool
    is_open: bool


class StallTimes(NamedTuple):
    """When a packet was first sent, and until when its stall shows that a server is silent.

    The packet counted as unanswered at ``noted_ms``.
    """

    sent_ms: int
    noted_ms: int
    expires_ms: int


class StallTracker:
    """Stalls of a server, or of all servers of a failure domain, since its last answer.

    ``min_servers`` is the minimum number of servers with stalls that can raise a suspicion. A
    suspicion ends with an answer, or at ``suspicion_expires_ms`` by ``expire``.
    """

    __slots__ = (
        "_min_servers",
        "failed_probes",
        "last_answer_ms",
        "next_probe_ms",
        "stalls",
        "suspicion",
        "suspicion_expires_ms",
        "unanswered_since_ms",
    )

    def __init__(self, *, min_servers: int) -> None:
        self._min_servers = min_servers
        self.last_answer_ms: int | None = None
        self.stalls: dict[Stall, StallTimes] = {}
        # When the first packet was sent that is still unanswered, or later.
        self.unanswered_since_ms = 0
        self.suspicion = Suspicion.NONE
        self.suspicion_expires_ms = NEVER_EXPIRES_MS
        self.next_probe_ms = 0
        self.failed_probes = 0

    def on_answer(self, now_ms: int) -> None:
        """Record an answer, which ends any suspicion."""
        self.last_answer_ms = now_ms
        if self.stalls:
            self.stalls.clear()
        if self.suspicion is not Suspicion.NONE:
            self._clear_suspicion()

    def on_stall(self, stall: Stall, *, sent_ms: int, unanswered_ms: int, now_ms: int) -> bool:
        """Record a stall; return whether the suspicion rises.

        The packet was first sent at ``sent_ms``, and the latest copy that an answer was due to at
        ``unanswered_ms``.
        """
        if self.last_answer_ms is not None and now_ms - self.last_answer_ms < RECENT_ANSWER_MS:
            return False
        self.expire(now_ms)
        if self.suspicion is Suspicion.NONE:
            self._discard_old_stalls(now_ms)
        if not self.stalls:
            self.unanswered_since_ms = sent_ms
        self.stalls[stall] = StallTimes(sent_ms, now_ms, unanswered_ms + SILENCE_EVIDENCE_MS)
        if len(self.stalls) > MAX_STALLS:
            del self.stalls[next(iter(self.stalls))]
        suspicion = self._compute_suspicion(self.stalls)
        if max(suspicion, self.suspicion) is not Suspicion.NONE:
            self.suspicion_expires_ms = now_ms + SUSPICION_LIFETIME_MS
        if suspicion <= self.suspicion:
            return False
        self.suspicion = suspicion
        return True

    def expire(self, now_ms: int) -> bool:
        """End a suspicion that no stall has prolonged; return whether there was one."""
        if now_ms < self.suspicion_expires_ms:
            return False
        self.stalls.clear()
        self._clear_suspicion()
        return True

    def retain(self, server_ids: Container[str]) -> None:
        """Forget the stalls of all other servers, and the suspicion that rests on them."""
        left = {s: t for s, t in self.stalls.items() if s.server_id in server_ids}
        if len(left) < len(self.stalls):
            self.stalls = left
            self._update_unanswered_since()
            self.suspicion = min(self.suspicion, self._compute_suspicion(left))
            if self.suspicion is Suspicion.NONE:
                self._clear_suspicion()

    def silent_flows(self, now_ms: int, *, sent_since_ms: int) -> dict[Stall, StallTimes]:
        """Return the stalls of open flows that show at ``now_ms`` that a server is silent.

        Those whose packet was sent before ``sent_since_ms`` do not count.
        """
        return {
            stall: times
            for stall, times in self.stalls.items()
            if stall.is_open and times.sent_ms >= sent_since_ms and now_ms < times.expires_ms
        }

    def suspicion_by_packets_since(self, since_ms: int) -> Suspicion:
        """Return the suspicion that packets sent at ``since_ms`` or later justify."""
        stalls = [stall for stall, times in self.stalls.items() if times.sent_ms >= since_ms]
        return min(self.suspicion, self._compute_suspicion(stalls))

    def are_condemning(self, stalls: Collection[Stall]) -> bool:
        """Return whether stalls suffice to condemn the server or the failure domain."""
        return self._compute_suspicion(stalls) is Suspicion.CONDEMNED

    def _clear_suspicion(self) -> None:
        self.suspicion = Suspicion.NONE
        self.suspicion_expires_ms = NEVER_EXPIRES_MS
        self.failed_probes = 0

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
