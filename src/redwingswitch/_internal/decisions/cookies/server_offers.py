"""Offers of new flows to backend servers.

An opening packet, the first packet of a flow, is sent to a selected server. Unless the caller's
next packet shows in time that the server has accepted the flow, another server is offered it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.failure_detector import PassiveFailureDetector
from redwingswitch._internal.decisions.cookies.flow_observer import FlowObserver
from redwingswitch._internal.decisions.cookies.flow_table import FlowState, FlowTable
from redwingswitch._internal.decisions.cookies.pending_openings import (
    ANSWER_TIMEOUT_MS,
    MAX_OFFERS,
    PendingOpening,
    PendingOpenings,
)
from redwingswitch._internal.decisions.cookies.server_directory import (
    KnownServer,
    ListPresence,
    ServerDirectory,
)
from redwingswitch._internal.decisions.cookies.server_selection import (
    SLOW_START_CAPACITY_RATIO,
    Candidate,
    ServerSelector,
)
from redwingswitch._internal.decisions.cookies.slow_start_limits import SlowStartLimits
from redwingswitch._internal.decisions.cookies.unresolved_packets import MAX_HOLD_MS
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowEndpoints,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    Observation,
    ResetFlow,
    Route,
    RouteKind,
    SlowStartOpening,
    Verdict,
)

if TYPE_CHECKING:
    from redwingswitch._internal.decisions.load_sharing.load_sharing import LoadSharing

# At most this part of a host's new flows probe suspected failure domains. While a domain is silent,
# each of them waits 40 ms for another server.
MAX_DOMAIN_PROBE_RATIO = 0.01


class ServerOffers:
    """Selects the servers that new flows are offered to, and keeps the unanswered offers."""

    def __init__(
        self,
        *,
        flows: FlowTable,
        directory: ServerDirectory,
        failure_detector: PassiveFailureDetector,
        slow_start: SlowStartLimits,
        selector: ServerSelector,
        observer: FlowObserver,
        observations: list[Observation],
    ) -> None:
        self._flows = flows
        self._directory = directory
        self._failure_detector = failure_detector
        self._slow_start = slow_start
        self._selector = selector
        self._observer = observer
        self._observations = observations
        self._openings = PendingOpenings()
        self._domain_probe_credit = 1.0
        self.load_sharing: LoadSharing | None = None

    def next_deadline_ms(self) -> int | None:
        """Return when ``take_overdue`` is due, or None when no offer waits for an answer."""
        return self._openings.next_deadline_ms()

    def take_overdue(self, now_ms: int) -> list[PendingOpening]:
        """Remove and return the offers that were not answered in time."""
        return self._openings.pop_overdue(now_ms)

    def offer_elsewhere(
        self, pending: PendingOpening, route: Route | None, now_ms: int
    ) -> ForwardPacket | None:
        """Offer the flow of an unanswered offer to another server.

        Without a route, only record that the server did not answer.
        """
        state = self._flows.get(pending.flow)
        if state is None or state.is_open or state.server_id != pending.server_id:
            return None
        self._observer.on_opening_unanswered(
            state,
            pending.server_id,
            now_ms,
            offered_ms=pending.deadline_ms - ANSWER_TIMEOUT_MS,
            is_confirmed=False,
        )
        if route is None or len(state.offered_server_ids) >= MAX_OFFERS:
            return None
        return self.offer(pending.packet, route, state, Verdict.OFFERED_ELSEWHERE, now_ms)

    def offer(
        self,
        packet: FlowPacket,
        route: Route,
        state: FlowState | None,
        verdict: Verdict,
        now_ms: int,
    ) -> ForwardPacket | None:
        """Offer the flow of an opening packet to a server; return None if no server may get it.

        ``state`` is None when the flow is offered for the first time.
        """
        excluded = (
            self._possibly_refusing(packet) if state is None else set(state.offered_server_ids)
        )
        server = self._select_server(route, excluded, now_ms, is_first=state is None)
        if server is None:
            return None
        if self._failure_detector.is_suspected(server):
            self._failure_detector.on_probe(server, now_ms)
        if self.load_sharing is not None:
            self.load_sharing.on_offer(server, now_ms)
        self._note_slow_start(packet.flow, server, now_ms)
        if state is None:
            state = self._flows.add(packet.flow, server.server_id, now_ms)
        else:
            self._flows.reassign(state, server.server_id)
        state.last_packet_ms = now_ms
        self._openings.add(packet, server.server_id, now_ms)
        cookie = flow_cookie(server_id=server.server_id, destination=packet.flow.destination)
        return ForwardPacket(server, cookie, packet, verdict)

    def _possibly_refusing(self, packet: FlowPacket) -> set[str]:
        """Return the servers that may just have refused a flow of this caller.

        A refused caller retries at once from another port, so an unanswered opening packet to the
        same destination may have been refused.
        """
        waiting = [self._flows.get(p.flow) for p in self._openings.find_by_caller(packet.flow)]
        return {state.server_id for state in waiting if state is not None and not state.is_open}

    def _select_server(
        self, route: Route, excluded: set[str], now_ms: int, *, is_first: bool
    ) -> ListedServer | None:
        known = [
            k
            for k in self._directory.active_servers(self._selector.select_service(route))
            if k.may_be_offered(now_ms) and self._is_within_slow_start_limit(k, now_ms)
        ]
        not_excluded = [k for k in known if k.server.server_id not in excluded]
        if is_first and self.load_sharing is not None:
            probed = self.load_sharing.find_due_probe(not_excluded, route, now_ms)
            if probed is not None:
                return probed
            if domain_probes := self._due_domain_probes(not_excluded, route, now_ms):
                self._domain_probe_credit -= 1.0
                candidates = _candidates(domain_probes, now_ms)
                # A server that all hosts find overdue or slow may not answer the request itself.
                return self.load_sharing.select_server(
                    candidates, route, now_ms
                ) or self._selector.select_server(candidates)
        eligible = [k for k in known if self._may_offer(k.server, now_ms, is_first=is_first)]
        preferred = [k for k in eligible if k.server.server_id not in excluded]
        # Prefer a server that may have refused this caller to one that answers no caller.
        fallback = eligible or not_excluded if is_first else not_excluded
        candidates = _candidates(preferred or fallback or known, now_ms)
        if self.load_sharing is not None:
            selected = self.load_sharing.select_server(candidates, route, now_ms)
            if selected is not None:
                return selected
        return self._selector.select_server(candidates)

    def _due_domain_probes(
        self, known: Iterable[KnownServer], route: Route, now_ms: int
    ) -> list[KnownServer]:
        """Return servers of suspected failure domains of which one should get a flow.

        While nearer servers have room, no flow would go there, and the suspicion of a domain that
        has recovered would never end. Servers that are suspected for stalls of their own flows get
        one only if no other is due: in a domain that was cut off, these may be all.

        A server that accepts the flow and then hangs loses a request that must not be repeated, so
        flows of other routes are the probes.
        """
        credit = min(1.0, self._domain_probe_credit + MAX_DOMAIN_PROBE_RATIO)
        self._domain_probe_credit = credit
        may_probe = credit >= 1.0 and route.kind is not RouteKind.NON_IDEMPOTENT
        if not may_probe or not self._failure_detector.has_suspected_domain:
            return []
        due = [
            each
            for each in known
            if self._failure_detector.is_domain_probe_due(each.server, now_ms)
            and self._may_offer(each.server, now_ms, is_first=True)
        ]
        preferred = [e for e in due if not self._failure_detector.is_server_suspected(e.server)]
        return preferred or due

    def _is_within_slow_start_limit(self, known: KnownServer, now_ms: int) -> bool:
        server = known.server
        return (
            not self._slow_start.is_limited(server.service)
            or not known.is_in_slow_start(now_ms)
            or self._slow_start.may_open(server.server_id, server.service, now_ms)
        )

    def withhold(
        self, packet: FlowPacket, route: Route, now_ms: int, *, may_reject: bool
    ) -> DiscardPacket | ResetFlow | None:
        """Return the action for an opening packet that no server may get because of slow starts.

        It waits for a server that this host may send flows to later. If there is none, its caller
        is told at once, since its next try may reach a host that may; ``may_reject`` says that no
        host can have opened the flow. None if no slow start keeps the packet from a server.
        """
        limited = [
            known
            for share in route.shares
            for known in self._directory.active_servers(share.service)
            if known.may_be_offered(now_ms) and not self._is_within_slow_start_limit(known, now_ms)
        ]
        if not limited:
            return None
        if may_reject and not any(self._may_be_offered_soon(each, now_ms) for each in limited):
            return ResetFlow(packet, Verdict.RESET_NO_SERVER, route.shares[0].service)
        return DiscardPacket(packet, Verdict.HELD_SLOW_START)

    def _may_be_offered_soon(self, known: KnownServer, now_ms: int) -> bool:
        server = known.server
        is_ending = not known.is_in_slow_start(now_ms + MAX_HOLD_MS)
        return is_ending or self._slow_start.may_open_soon(server.server_id, server.service, now_ms)

    def has_alternative(self, route: Route, now_ms: int) -> bool:
        """Return whether a server of the route that is not suspected may get a flow."""
        return any(
            known.presence(now_ms) is ListPresence.LISTED
            and not self._failure_detector.is_suspected(known.server)
            and self._is_within_slow_start_limit(known, now_ms)
            for share in route.shares
            for known in self._directory.active_servers(share.service)
        )

    def _note_slow_start(self, flow: FlowEndpoints, server: ListedServer, now_ms: int) -> None:
        known = self._directory.get(server.server_id)
        is_limited = self._slow_start.is_limited(server.service)
        if not is_limited or known is None or not known.is_in_slow_start(now_ms):
            return
        self._slow_start.on_opening(server.server_id, now_ms)
        sent = self._slow_start.sent_count(server.server_id, now_ms)
        limit = self._slow_start.limit(server.server_id, server.service)
        self._observations.append(SlowStartOpening(flow, server, sent, limit))

    def _may_offer(self, server: ListedServer, now_ms: int, *, is_first: bool) -> bool:
        if self.load_sharing is not None and self.load_sharing.is_silent(server, now_ms):
            # It gets a flow only as a probe, see ``find_due_probe``.
            return False
        if not self._failure_detector.is_suspected(server):
            return True
        # Probe only with a first offer; a caller that already waits must not wait again.
        return is_first and self._failure_detector.is_probe_due(server, now_ms)


def _candidates(known: Iterable[KnownServer], now_ms: int) -> list[Candidate]:
    return [
        Candidate(k.server, SLOW_START_CAPACITY_RATIO if now_ms < k.slow_start_deadline_ms else 1.0)
        for k in known
    ]
