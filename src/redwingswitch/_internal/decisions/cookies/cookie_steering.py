"""Steering of callers' packets to backend servers by the cookie in each packet.

The routers may send any packet of a flow to any host.
"""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.cookies.cookie import NO_COOKIE, flow_cookie
from redwingswitch._internal.decisions.cookies.failure_detector import (
    RETRANSMISSIONS_TO_STALL,
    PassiveFailureDetector,
)
from redwingswitch._internal.decisions.cookies.flow_table import (
    MIN_RETRANSMISSION_MS,
    FlowState,
    FlowTable,
    is_old_data,
    is_sequence_after,
)
from redwingswitch._internal.decisions.cookies.opening_admission import OpeningAdmission
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
from redwingswitch._internal.decisions.cookies.unresolved_packets import (
    MAX_HOLD_MS,
    HeldOpenings,
    UnresolvedPackets,
    UnroutedFlows,
)
from redwingswitch._internal.decisions.flow_admission.sources import DemandSource
from redwingswitch._internal.decisions.load_sharing.load_sharing import LoadSharing
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowEndpoints,
    FlowOpened,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    Observation,
    RequestAnswered,
    ResetFlow,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    SlowStartOpening,
    SteeringAction,
    Suspicion,
    SuspicionChanged,
    Verdict,
)
from redwingswitch._internal.ports import RandomSource

HELD_VERDICTS = frozenset(
    {
        Verdict.HELD_NOT_CONFIGURED,
        Verdict.HELD_NO_SERVER,
        Verdict.HELD_UNKNOWN_COOKIE,
        Verdict.HELD_UNKNOWN_ROUTE,
        Verdict.HELD_OUTDATED_LIST,
    }
)
# A removed route is remembered to reset its flows at once; flows of a forgotten one wait for the
# next confirmation of the routes. The deployment has 130 routes.
MAX_REMOVED_ROUTES = 4_096


class CookieSteering:
    """Sends each packet of a flow to the backend server that its cookie identifies.

    A packet of an open flow carries all that is needed to steer it, so any host can do so without
    state. A server is selected only for the opening packet, the first packet of a flow. The flow
    table serves that selection and the detection of servers that do not answer.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        random_source: RandomSource,
        slow_start: SlowStartLimits | None = None,
    ) -> None:
        self.slow_start = slow_start or SlowStartLimits()
        self.directory = ServerDirectory()
        self.flows = FlowTable()
        self.failure_detector = PassiveFailureDetector(random_source=random_source)
        self._openings = PendingOpenings()
        self._unresolved = UnresolvedPackets()
        self._unrouted_flows = UnroutedFlows()
        self._held_openings = HeldOpenings()
        self._observations: list[Observation] = []
        self._selector = ServerSelector(
            failure_domain=failure_domain, load=self.flows, random_source=random_source
        )
        self._random = random_source
        self._routes: RouteTable | None = None
        # Routes that a newer version lacked, in the order of their latest removal.
        self._removed_routes: dict[RouteAddress, None] = {}
        # The latest time at which this host's routes are known to have been the newest.
        self.routes_confirmed_ms: int | None = None
        # None unless hosts tell each other the load that they observe.
        self.load_sharing: LoadSharing | None = None
        # Set while the routes and servers may have changed during a pause of this host. It then
        # opens and resets no flow, and only passes on the packets of open flows.
        self.is_list_outdated = False
        self.admission: OpeningAdmission | None = None

    def use_admission(self, demand_source: DemandSource) -> None:
        """Delay or reject new flows in a shortage, by the demand of all hosts."""
        self.admission = OpeningAdmission(
            demand_source=demand_source,
            directory=self.directory,
            failure_detector=self.failure_detector,
            selector=self._selector,
        )
        if self._routes is not None:
            self.admission.apply_routes(self._routes)

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force."""
        return self._routes

    def share_load(self, *, all_domains: int) -> LoadSharing:
        """Begin to observe load and to use what other hosts observe; return both.

        ``all_domains`` is the number of failure domains of the deployment.
        """
        self.load_sharing = LoadSharing(
            all_domains=all_domains,
            flows=self.flows,
            directory=self.directory,
            selector=self._selector,
            routes=lambda: self._routes,
            random_source=self._random,
        )
        return self.load_sharing

    def apply_routes(self, routes: RouteTable) -> bool:
        """Apply a newer version; ignore an older or equal one and return False."""
        if self._routes is not None and routes.version <= self._routes.version:
            return False
        if self._routes is not None:
            self._note_removed_routes(self._routes, routes)
        self._routes = routes
        if self.admission is not None:
            self.admission.apply_routes(routes)
        self.slow_start.set_services(routes.slow_starts)
        return True

    def _note_removed_routes(self, former: RouteTable, routes: RouteTable) -> None:
        removed = [address for address in former.routes if address not in routes.routes]
        known = [address for address in self._removed_routes if address not in removed]
        self._removed_routes = dict.fromkeys([*known, *removed][-MAX_REMOVED_ROUTES:])

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is due."""
        deadlines = [self._openings.next_deadline_ms(), self._held_openings.next_deadline_ms()]
        if self.admission is not None and not self.is_list_outdated:
            deadlines.append(self.admission.next_deadline_ms())
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[SteeringAction]:
        """Offer flows whose opening packet was not answered in time to other servers.

        The caller accepts the first answer, so a late answer of the former server is harmless.
        Flows whose wait for room ends are offered or reset too.
        """
        actions: list[SteeringAction] = []
        for pending in self._openings.pop_overdue(now_ms):
            action = self._offer_elsewhere(pending, now_ms)
            if action is not None:
                actions.append(action)
        return actions + self._end_waits(now_ms) + self._retry_held_openings(now_ms)

    def _retry_held_openings(self, now_ms: int) -> list[SteeringAction]:
        """Decide again on opening packets that wait for servers in slow start."""
        actions: list[SteeringAction] = []
        waiting: set[RouteAddress] = set()
        for deadline_ms, packet in self._held_openings.take_due(now_ms):
            if packet.flow.destination in waiting:
                self._held_openings.put(deadline_ms, packet, now_ms)
                continue
            action = self._choose_action(packet, now_ms, arrived_ms=deadline_ms - MAX_HOLD_MS)
            if self._hold(action, deadline_ms, now_ms):
                waiting.add(packet.flow.destination)
            else:
                actions.append(action)
        return actions

    def _hold(self, action: SteeringAction, deadline_ms: int, now_ms: int) -> bool:
        """Hold the packet until a deadline if the action says so; return whether it does."""
        if not isinstance(action, DiscardPacket):
            return False
        if action.verdict is Verdict.HELD_SLOW_START:
            self._held_openings.put(deadline_ms, action.packet, now_ms)
        elif action.verdict in HELD_VERDICTS:
            self._unresolved.put(deadline_ms, action.packet)
        else:
            return False
        return True

    def take_observations(self) -> list[Observation]:
        """Return the observations since the last call, for logs and metrics, and clear them."""
        taken = self._observations
        self._observations = []
        return taken

    @property
    def held_packets(self) -> int:
        """Return the number of packets held until their routes or servers are known."""
        return len(self._unresolved) + len(self._held_openings)

    @property
    def held_openings(self) -> int:
        """Return the number of opening packets that wait for servers in slow start."""
        return len(self._held_openings)

    def on_list_changed(self, now_ms: int) -> list[SteeringAction]:
        """Decide again on the held packets after the routes or the servers have changed."""
        self.failure_detector.retain(self.directory.known_servers())
        actions: list[SteeringAction] = []
        for deadline_ms, packet in self._unresolved.take_unexpired(now_ms):
            action = self._choose_action(packet, now_ms, arrived_ms=deadline_ms - MAX_HOLD_MS)
            if not self._hold(action, deadline_ms, now_ms):
                actions.append(action)
        return actions + self._end_waits(now_ms)

    def on_packet(self, packet: FlowPacket, now_ms: int) -> SteeringAction:
        """Decide what to do with a caller's packet; hold it when that cannot be decided yet."""
        if packet.opens or packet.resets:
            self._held_openings.remove(packet.flow)
        action = self._choose_action(packet, now_ms)
        self._hold(action, now_ms + MAX_HOLD_MS, now_ms)
        return action

    def _choose_action(
        self, packet: FlowPacket, now_ms: int, *, arrived_ms: int | None = None
    ) -> SteeringAction:
        if self._routes is None:
            # Other hosts may know the route, so a reset could break a working flow.
            return DiscardPacket(packet, Verdict.HELD_NOT_CONFIGURED)
        if self.is_list_outdated and not self._names_listed_server(packet):
            return DiscardPacket(packet, Verdict.HELD_OUTDATED_LIST)
        self.flows.remove_idle(now_ms)
        route = self._routes.routes.get(packet.flow.destination)
        if packet.opens:
            self._unrouted_flows.remove(packet.flow)
        if route is None:
            return self._handle_unrouted_packet(packet, now_ms)
        if packet.opens:
            return self._handle_opening_packet(
                packet, route, now_ms, now_ms if arrived_ms is None else arrived_ms
            )
        if self.admission is not None:
            self.admission.discard(packet.flow)
        return self._steer_by_cookie(packet, route, now_ms)

    def _handle_unrouted_packet(self, packet: FlowPacket, now_ms: int) -> SteeringAction:
        """Hold an open flow's packet until the routes are confirmed; reset other flows.

        Another host may have newer routes and have opened the flow by them.
        """
        destination = packet.flow.destination
        may_be_open = (
            not packet.opens
            and destination not in self._removed_routes
            and self.directory.by_cookie(packet.cookie, destination) is not None
        )
        if may_be_open and not self._unrouted_flows.is_route_gone(
            packet.flow, self.routes_confirmed_ms, now_ms
        ):
            return DiscardPacket(packet, Verdict.HELD_UNKNOWN_ROUTE)
        self.flows.remove(packet.flow)
        return ResetFlow(packet, Verdict.RESET_NO_ROUTE)

    def _names_listed_server(self, packet: FlowPacket) -> bool:
        """Return whether an open flow's packet can be passed on even by an outdated list."""
        known = self.directory.by_cookie(packet.cookie, packet.flow.destination)
        return (
            known is not None
            and not packet.opens
            and known.absent_since_ms is None
            and not self.failure_detector.is_suspected(known.server)
            and self._routes is not None
            and packet.flow.destination in self._routes.routes
        )

    def _handle_opening_packet(
        self, packet: FlowPacket, route: Route, now_ms: int, arrived_ms: int
    ) -> SteeringAction:
        state = self.flows.get(packet.flow)
        # The network may deliver an opening packet twice, so a flow that is known here may be open.
        may_refuse = state is None
        if state is not None and packet.copy_number == 0:
            # The caller reuses the port of an earlier flow.
            self.flows.remove(packet.flow)
            state = None
        if state is not None and not state.is_open:
            # Callers send a copy 200 ms after the packet, long after any answer.
            for server_id in state.offered_server_ids:
                self._share_unanswered(server_id, state.created_ms, is_confirmed=True)
        verdict = Verdict.OPENED if packet.copy_number == 0 else Verdict.OPENED_AGAIN
        if may_refuse and self.admission is not None:
            route = self.admission.with_one_service(route)
            refused = self.admission.refuse(packet, route, now_ms, arrived_ms)
            if refused is not None:
                return refused
        return self._open_flow(packet, route, state, verdict, now_ms)

    def _open_flow(
        self,
        packet: FlowPacket,
        route: Route,
        state: FlowState | None,
        verdict: Verdict,
        now_ms: int,
    ) -> SteeringAction:
        action = self._forward_opening_packet(packet, route, state, verdict, now_ms)
        if action is not None:
            return action
        if self._has_limited_server(route, now_ms):
            return DiscardPacket(packet, Verdict.HELD_SLOW_START)
        may_find_server = not self.directory.are_all_domains_out_of_service()
        if may_find_server and self.directory.may_be_incomplete(now_ms):
            return DiscardPacket(packet, Verdict.HELD_NO_SERVER)
        return ResetFlow(packet, Verdict.RESET_NO_SERVER, route.shares[0].service)

    def _end_waits(self, now_ms: int) -> list[SteeringAction]:
        """Forward, reset or drop the opening packets whose wait for room ends."""
        if self.admission is None or self.is_list_outdated:
            return []
        actions: list[SteeringAction] = []
        for ended in self.admission.end_waits(now_ms):
            action: SteeringAction | None = ended.action
            if action is None and ended.route is not None:
                state = self.flows.get(ended.packet.flow)
                verdict = Verdict.ADMITTED_AFTER_WAIT
                action = self._open_flow(ended.packet, ended.route, state, verdict, now_ms)
                self._hold(action, ended.first_ms + MAX_HOLD_MS, now_ms)
                action = action._replace(admission=ended.outcome)
            if action is not None:
                actions.append(action)
        return actions

    def _offer_elsewhere(self, pending: PendingOpening, now_ms: int) -> SteeringAction | None:
        state = self.flows.get(pending.flow)
        if state is None or state.is_open or state.server_id != pending.server_id:
            return None
        self._note_unanswered(state, pending.server_id, now_ms, is_confirmed=False)
        sent_ms = pending.deadline_ms - ANSWER_TIMEOUT_MS
        self._share_unanswered(
            pending.server_id,
            sent_ms,
            is_confirmed=False,
            is_first_offer=len(state.offered_server_ids) == 1,
        )
        route = self._routes.routes.get(pending.flow.destination) if self._routes else None
        if self.is_list_outdated or route is None or len(state.offered_server_ids) >= MAX_OFFERS:
            return None
        return self._forward_opening_packet(
            pending.packet, route, state, Verdict.OFFERED_ELSEWHERE, now_ms
        )

    def _forward_opening_packet(
        self,
        packet: FlowPacket,
        route: Route,
        state: FlowState | None,
        verdict: Verdict,
        now_ms: int,
    ) -> ForwardPacket | None:
        excluded = (
            self._possibly_refusing(packet) if state is None else set(state.offered_server_ids)
        )
        server = self._select_server(route, excluded, now_ms, is_first=state is None)
        if server is None:
            return None
        if self.failure_detector.is_suspected(server):
            self.failure_detector.on_probe(server, now_ms)
        if self.load_sharing is not None:
            self.load_sharing.on_offer(server, now_ms)
        self._note_slow_start(packet.flow, server, now_ms)
        if state is None:
            state = self.flows.add(packet.flow, server.server_id, now_ms)
        else:
            self.flows.reassign(state, server.server_id)
        state.last_packet_ms = now_ms
        self._openings.add(packet, server.server_id, now_ms)
        cookie = flow_cookie(server_id=server.server_id, destination=packet.flow.destination)
        return ForwardPacket(server, cookie, packet, verdict)

    def _possibly_refusing(self, packet: FlowPacket) -> set[str]:
        """Return the servers that may just have refused a flow of this caller.

        A refused caller retries at once from another port, so an unanswered opening packet to the
        same destination may have been refused.
        """
        waiting = [self.flows.get(p.flow) for p in self._openings.find_by_caller(packet.flow)]
        return {state.server_id for state in waiting if state is not None and not state.is_open}

    def _select_server(
        self, route: Route, excluded: set[str], now_ms: int, *, is_first: bool
    ) -> ListedServer | None:
        known = [
            k
            for k in self.directory.active_servers(self._selector.select_service(route))
            if k.may_be_offered(now_ms) and self._is_within_slow_start_limit(k, now_ms)
        ]
        not_excluded = [k for k in known if k.server.server_id not in excluded]
        if is_first and (awaited := [k for k in not_excluded if self._needs_probe(k.server)]):
            return self._selector.select_server(_candidates(awaited, now_ms))
        if is_first and self.load_sharing is not None:
            probed = self.load_sharing.find_due_probe(not_excluded, route, now_ms)
            if probed is not None:
                return probed
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

    def _is_within_slow_start_limit(self, known: KnownServer, now_ms: int) -> bool:
        server = known.server
        return (
            not self.slow_start.is_limited(server.service)
            or not known.is_in_slow_start(now_ms)
            or self.slow_start.may_open(server.server_id, server.service, now_ms)
        )

    def _has_limited_server(self, route: Route, now_ms: int) -> bool:
        """Return whether a server of the route may get flows later, at its slow start's rate."""
        return any(
            known.may_be_offered(now_ms) and not self._is_within_slow_start_limit(known, now_ms)
            for share in route.shares
            for known in self.directory.active_servers(share.service)
        )

    def _note_slow_start(self, flow: FlowEndpoints, server: ListedServer, now_ms: int) -> None:
        known = self.directory.get(server.server_id)
        is_limited = self.slow_start.is_limited(server.service)
        if not is_limited or known is None or not known.is_in_slow_start(now_ms):
            return
        self.slow_start.on_opening(server.server_id, now_ms)
        sent = self.slow_start.sent_count(server.server_id, now_ms)
        limit = self.slow_start.limit(server.server_id, server.service)
        self._observations.append(SlowStartOpening(flow, server, sent, limit))

    def _needs_probe(self, server: ListedServer) -> bool:
        """Return whether callers wait for a server that may share the fate of its failure domain.

        The probe takes its caller 40 ms. Without it, the others wait until their data was sent
        three times.
        """
        is_awaited = self.flows.busy_flow_count(server.server_id) > 0
        return is_awaited and self.failure_detector.needs_probe(server)

    def _may_offer(self, server: ListedServer, now_ms: int, *, is_first: bool) -> bool:
        if self.load_sharing is not None and self.load_sharing.is_silent(server, now_ms):
            # It gets a flow only as a probe, see ``find_due_probe``.
            return False
        if not self.failure_detector.is_suspected(server):
            return True
        # Probe only with a first offer; a caller that already waits must not wait again.
        return is_first and self.failure_detector.is_probe_due(server, now_ms)

    def _steer_by_cookie(self, packet: FlowPacket, route: Route, now_ms: int) -> SteeringAction:
        if packet.cookie == NO_COOKIE:
            return DiscardPacket(packet, Verdict.DROPPED_NO_COOKIE)
        known = self.directory.by_cookie(packet.cookie, packet.flow.destination)
        if known is None:
            # Another host may have read the server's entry earlier and opened the flow there. The
            # packet is held until this host has read the entry too.
            return DiscardPacket(packet, Verdict.HELD_UNKNOWN_COOKIE)
        if known.presence(now_ms) is ListPresence.GONE and not self._answered_since_removal(known):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_GONE, known.server.service)
        state = self._track_flow(packet, known.server, route, now_ms)
        if self._should_reset(state, known.server, packet, route, now_ms):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_SILENT, known.server.service)
        if packet.resets:
            self.flows.remove(packet.flow)
        return ForwardPacket(known.server, packet.cookie, packet, Verdict.STEERED)

    def _answered_since_removal(self, known: KnownServer) -> bool:
        since_ms = known.absent_since_ms
        return since_ms is not None and self.failure_detector.answered_since(known.server, since_ms)

    def _should_reset(
        self,
        state: FlowState,
        server: ListedServer,
        packet: FlowPacket,
        route: Route,
        now_ms: int,
    ) -> bool:
        """Return whether to reset the flow so that the caller opens one to another server.

        Flows of non-idempotent requests are not reset, as the server may be executing the request.
        """
        if route.kind is RouteKind.NON_IDEMPOTENT or not packet.data_bytes:
            return False
        suspicion = self.failure_detector.silence(server)
        if suspicion is Suspicion.NONE:
            return False
        if suspicion is Suspicion.SUSPECTED:
            is_silent = state.retransmissions >= RETRANSMISSIONS_TO_STALL
        else:
            is_silent = state.retransmissions > 0 or not self._is_confirmed_listed(server)
        return is_silent and self._has_alternative(route, now_ms)

    def _is_confirmed_listed(self, server: ListedServer) -> bool:
        known = self.directory.get(server.server_id)
        is_listed = known is not None and known.absent_since_ms is None
        return is_listed and self.directory.is_list_reachable

    def _has_alternative(self, route: Route, now_ms: int) -> bool:
        return any(
            known.presence(now_ms) is ListPresence.LISTED
            and not self.failure_detector.is_suspected(known.server)
            and self._is_within_slow_start_limit(known, now_ms)
            for share in route.shares
            for known in self.directory.active_servers(share.service)
        )

    def _track_flow(
        self, packet: FlowPacket, server: ListedServer, route: Route, now_ms: int
    ) -> FlowState:
        state = self.flows.get(packet.flow)
        if state is None:
            state = self.flows.add(packet.flow, server.server_id, now_ms)
            state.is_open = True
            state.acknowledged = packet.acknowledged
            is_answer = not (packet.data_bytes or packet.closes or packet.resets)
            if is_answer and self.load_sharing is not None:
                self.load_sharing.observations.on_flow_moved()
        elif state.server_id != server.server_id:
            # Two servers answered the opening packet and the caller accepted this one.
            self.flows.reassign(state, server.server_id)
        state.last_packet_ms = now_ms
        if not state.is_open:
            state.is_open = True
            state.acknowledged = packet.acknowledged
            opened = FlowOpened(packet.flow, server, now_ms - state.created_ms)
            self._observations.append(opened)
            if len(state.offered_server_ids) == 1 and opened.latency_ms < MIN_RETRANSMISSION_MS:
                state.opening_latency_ms = opened.latency_ms
            self.failure_detector.on_packet_answered(state.created_ms, latest_copy_ms=now_ms)
            self._note_answer(state, server, now_ms)
            for server_id in state.offered_server_ids[:-1]:
                if server_id != server.server_id:
                    self._note_unanswered(state, server_id, now_ms, is_confirmed=True)
                    self._share_unanswered(server_id, state.created_ms, is_confirmed=True)
        elif is_sequence_after(packet.acknowledged, state.acknowledged):
            state.acknowledged = packet.acknowledged
            if state.is_busy:
                self.failure_detector.on_packet_answered(
                    state.request_start_ms, latest_copy_ms=state.last_data_ms
                )
                latency_ms = now_ms - state.request_start_ms
                is_late = latency_ms > route.latency_goal_ms > 0
                self._observations.append(RequestAnswered(server, latency_ms, is_late))
                if self.load_sharing is not None:
                    self.load_sharing.observations.on_request_answered(state, route, latency_ms)
                if self.admission is not None and state.opening_latency_ms is not None:
                    service_time_ms = latency_ms - state.opening_latency_ms
                    self.admission.note_service_time(route, server.service, service_time_ms)
            self.flows.set_busy(state, False)
            self._note_answer(state, server, now_ms)
        self._track_data(packet, state, server, route, now_ms)
        return state

    def _note_unanswered(
        self, state: FlowState, server_id: str, now_ms: int, *, is_confirmed: bool
    ) -> None:
        known = self.directory.get(server_id)
        if known is not None and self.failure_detector.on_opening_unanswered(
            known.server,
            state.flow,
            now_ms,
            sent_ms=state.created_ms,
            is_confirmed=is_confirmed,
        ):
            self._note_suspicion(state.flow, known.server)

    def _share_unanswered(
        self, server_id: str, sent_ms: int, *, is_confirmed: bool, is_first_offer: bool = True
    ) -> None:
        if self.load_sharing is not None:
            self.load_sharing.observations.on_opening_unanswered(
                server_id,
                sent_ms=sent_ms,
                is_confirmed=is_confirmed,
                is_first_offer=is_first_offer,
            )

    def _note_suspicion(self, flow: FlowEndpoints, server: ListedServer) -> None:
        suspicion = self.failure_detector.suspicion(server)
        self._observations.append(SuspicionChanged(flow, server, suspicion))

    def _track_data(
        self,
        packet: FlowPacket,
        state: FlowState,
        server: ListedServer,
        route: Route,
        now_ms: int,
    ) -> None:
        if is_old_data(state, packet):
            if now_ms - state.last_data_ms >= MIN_RETRANSMISSION_MS:
                is_counted = self.failure_detector.was_link_trusted(state.last_data_ms)
                state.retransmissions = state.retransmissions + 1 if is_counted else 0
                state.last_data_ms = now_ms
                if self.failure_detector.on_retransmission(
                    server,
                    packet.flow,
                    state.retransmissions,
                    now_ms,
                    sent_ms=state.request_start_ms,
                ):
                    self._note_suspicion(packet.flow, server)
        elif packet.data_bytes or packet.closes:
            state.last_data_ms = now_ms
            state.next_sequence = packet.sequence + packet.data_bytes + packet.closes
            if packet.data_bytes and not state.is_busy:
                state.request_start_ms = now_ms
                self.flows.set_busy(state, True)
                if self.load_sharing is not None:
                    self.load_sharing.observations.on_request(state, route, now_ms)
            if packet.closes:
                self.flows.close(state)

    def _note_answer(self, state: FlowState, server: ListedServer, now_ms: int) -> None:
        state.note_progress()
        if self.load_sharing is not None:
            self.load_sharing.observations.on_answer(server.server_id, now_ms)
        if self.failure_detector.on_answer(server, now_ms):
            self._note_suspicion(state.flow, server)


def _candidates(known: Iterable[KnownServer], now_ms: int) -> list[Candidate]:
    return [
        Candidate(k.server, SLOW_START_CAPACITY_RATIO if now_ms < k.slow_start_deadline_ms else 1.0)
        for k in known
    ]
