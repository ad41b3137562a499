"""Steering of sprayed packets by the cookie that they carry."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.cookies.choice import (
    SLOW_START_CAPACITY,
    Candidate,
    ServerChoice,
)
from redwingswitch._internal.decisions.cookies.cookie import NO_COOKIE, flow_cookie
from redwingswitch._internal.decisions.cookies.directory import (
    KnownServer,
    Presence,
    ServerDirectory,
)
from redwingswitch._internal.decisions.cookies.evidence import REPEATS_TO_SUSPECT, PathEvidence
from redwingswitch._internal.decisions.cookies.flow_table import (
    FlowState,
    FlowTable,
    is_after,
    is_repeated,
)
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    ResetFlow,
    Route,
    RouteKind,
    RouteTable,
    SteeringAction,
    Verdict,
)
from redwingswitch._internal.ports import RandomSource


class CookieSteering:
    """Sends each packet of a flow to the backend server that its cookie names.

    Any host steers any packet of an open flow alone. Only opening packets need a choice. What this
    host remembers of flows serves the choice and the detection of silent servers.
    """

    def __init__(self, *, failure_domain: str, random_source: RandomSource) -> None:
        self.directory = ServerDirectory()
        self.flows = FlowTable()
        self.evidence = PathEvidence(random_source=random_source)
        self._choice = ServerChoice(
            failure_domain=failure_domain, load=self.flows, random_source=random_source
        )
        self._routes: RouteTable | None = None

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force."""
        return self._routes

    def apply_routes(self, routes: RouteTable) -> bool:
        """Put a newer version in force; return False for an older or equal one."""
        if self._routes is not None and routes.version <= self._routes.version:
            return False
        self._routes = routes
        return True

    def on_packet(self, packet: FlowPacket, now_ms: int) -> SteeringAction:
        """Decide what happens to a caller's packet."""
        if self._routes is None:
            # Other hosts may know the flow's route: a reset could end a flow that works.
            return DiscardPacket(packet, Verdict.DROPPED_NOT_CONFIGURED)
        self.flows.sweep(now_ms)
        route = self._routes.routes.get(packet.flow.destination)
        if route is None:
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_NO_ROUTE)
        if packet.opens:
            return self._open(packet, route, now_ms)
        return self._steer(packet, route, now_ms)

    def _open(self, packet: FlowPacket, route: Route, now_ms: int) -> SteeringAction:
        state = self.flows.get(packet.flow)
        tried: tuple[str, ...] = ()
        if state is not None and packet.copy_number == 0:
            # The caller uses the port of an earlier flow again.
            self.flows.remove(packet.flow)
            state = None
        if state is not None:
            tried = state.tried
            if not state.is_open:
                self.evidence.on_opening_unanswered(state.server_id, packet.flow, now_ms)
        server = self._choose(route, tried, now_ms)
        if server is None:
            return ResetFlow(packet, Verdict.RESET_NO_SERVER)
        if self.evidence.is_suspected(server.server_id):
            self.evidence.on_trial(server.server_id, now_ms)
        if state is None:
            self.flows.add(packet.flow, server.server_id, now_ms)
        else:
            self.flows.move(state, server.server_id)
            state.last_packet_ms = now_ms
        cookie = flow_cookie(server_id=server.server_id, destination=packet.flow.destination)
        verdict = Verdict.OPENED if packet.copy_number == 0 else Verdict.OPENED_AGAIN
        return ForwardPacket(server, cookie, packet, verdict)

    def _choose(self, route: Route, tried: tuple[str, ...], now_ms: int) -> ListedServer | None:
        service = self._choice.service(route)
        known = [
            k for k in self.directory.of_service(service) if k.presence(now_ms) is not Presence.GONE
        ]
        fresh = [k for k in known if k.server.server_id not in tried] or known
        usable = [k for k in fresh if self._may_offer(k, now_ms, first=not tried)]
        return self._choice.server(_candidates(usable or fresh))

    def _may_offer(self, known: KnownServer, now_ms: int, *, first: bool) -> bool:
        server_id = known.server.server_id
        if not self.evidence.is_suspected(server_id):
            return True
        # A caller that already waits is not used for a trial.
        return first and self.evidence.is_due_for_trial(server_id, now_ms)

    def _steer(self, packet: FlowPacket, route: Route, now_ms: int) -> SteeringAction:
        if packet.cookie == NO_COOKIE:
            return DiscardPacket(packet, Verdict.DROPPED_NO_COOKIE)
        known = self.directory.by_cookie(packet.cookie, packet.flow.destination)
        if known is None:
            return DiscardPacket(packet, Verdict.DROPPED_UNKNOWN_COOKIE)
        server_id = known.server.server_id
        if known.presence(now_ms) is Presence.GONE and not self._answered_after(known):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_GONE)
        state = self._follow(packet, server_id, now_ms)
        if self._is_hopeless(state, route):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_SILENT)
        if packet.resets:
            self.flows.remove(packet.flow)
        return ForwardPacket(known.server, packet.cookie, packet, Verdict.STEERED)

    def _answered_after(self, known: KnownServer) -> bool:
        since_ms = known.absent_since_ms
        return since_ms is not None and self.evidence.answered_since(
            known.server.server_id, since_ms
        )

    def _is_hopeless(self, state: FlowState, route: Route) -> bool:
        """Return whether the caller is better served by a new flow.

        A request that must not repeat is never given up for its caller: it may be running.
        """
        return (
            route.kind is not RouteKind.NON_IDEMPOTENT
            and state.stalls >= REPEATS_TO_SUSPECT
            and self.evidence.is_suspected(state.server_id)
        )

    def _follow(self, packet: FlowPacket, server_id: str, now_ms: int) -> FlowState:
        state = self.flows.get(packet.flow)
        if state is None:
            state = self.flows.add(packet.flow, server_id, now_ms)
            state.is_open = True
            state.acknowledged = packet.acknowledged
        elif state.server_id != server_id:
            # Two servers answered copies of the opening packet and the caller took this one.
            self.flows.move(state, server_id)
        state.last_packet_ms = now_ms
        if not state.is_open:
            state.is_open = True
            state.acknowledged = packet.acknowledged
            self._note_answer(state, now_ms)
        elif is_after(packet.acknowledged, state.acknowledged):
            state.acknowledged = packet.acknowledged
            self.flows.set_busy(state, False)
            self._note_answer(state, now_ms)
        self._follow_data(packet, state, now_ms)
        return state

    def _follow_data(self, packet: FlowPacket, state: FlowState, now_ms: int) -> None:
        if is_repeated(state, packet):
            state.stalls += 1
            self.evidence.on_repeated_data(state.server_id, packet.flow, state.stalls, now_ms)
        elif packet.data_bytes or packet.closes:
            state.next_sequence = packet.sequence + packet.data_bytes + packet.closes
            if packet.data_bytes and not state.is_busy:
                state.request_began_ms = now_ms
                self.flows.set_busy(state, True)
            if packet.closes:
                self.flows.close(state)

    def _note_answer(self, state: FlowState, now_ms: int) -> None:
        state.note_progress(now_ms)
        self.evidence.on_answer(state.server_id, now_ms)


def _candidates(known: Iterable[KnownServer]) -> list[Candidate]:
    return [
        Candidate(k.server, SLOW_START_CAPACITY if k.server.slow_start_left_ms > 0 else 1.0)
        for k in known
    ]
