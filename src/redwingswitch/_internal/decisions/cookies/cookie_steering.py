"""Steering of callers' packets to backend servers by the cookie in each packet.

The routers may send any packet of a flow to any host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from redwingswitch._internal.decisions.cookies.cookie import NO_COOKIE
from redwingswitch._internal.decisions.cookies.failure_detector import PassiveFailureDetector
from redwingswitch._internal.decisions.cookies.flow_observer import FlowObserver
from redwingswitch._internal.decisions.cookies.flow_resets import FlowResets
from redwingswitch._internal.decisions.cookies.flow_table import FlowState, FlowTable
from redwingswitch._internal.decisions.cookies.server_directory import ListPresence, ServerDirectory
from redwingswitch._internal.decisions.cookies.server_offers import ServerOffers
from redwingswitch._internal.decisions.cookies.server_selection import ServerSelector
from redwingswitch._internal.decisions.cookies.slow_start_limits import SlowStartLimits
from redwingswitch._internal.decisions.cookies.unresolved_packets import MAX_HOLD_MS, HeldPackets
from redwingswitch._internal.decisions.cookies.unrouted_flows import UnroutedFlows
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowPacket,
    ForwardPacket,
    Observation,
    ResetFlow,
    Route,
    RouteAddress,
    RouteTable,
    SteeringAction,
    Verdict,
)
from redwingswitch._internal.ports import RandomSource

if TYPE_CHECKING:
    # A host imports these when it begins to use them, so that they do not delay its start.
    from redwingswitch._internal.decisions.cookies.opening_admission import OpeningAdmission
    from redwingswitch._internal.decisions.flow_admission.sources import DemandSource
    from redwingswitch._internal.decisions.load_sharing.load_sharing import LoadSharing


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
        self.slow_start: Final = slow_start or SlowStartLimits()
        self.directory = ServerDirectory()
        self.flows = FlowTable()
        self.failure_detector = PassiveFailureDetector(random_source=random_source)
        self._unrouted_flows = UnroutedFlows()
        self._held = HeldPackets()
        self._observations: list[Observation] = []
        self._selector = ServerSelector(
            failure_domain=failure_domain, load=self.flows, random_source=random_source
        )
        self._observer = FlowObserver(
            flows=self.flows,
            directory=self.directory,
            failure_detector=self.failure_detector,
            observations=self._observations,
        )
        self._offers = ServerOffers(
            flows=self.flows,
            directory=self.directory,
            failure_detector=self.failure_detector,
            slow_start=self.slow_start,
            selector=self._selector,
            observer=self._observer,
            observations=self._observations,
        )
        self._resets = FlowResets(
            directory=self.directory, failure_detector=self.failure_detector, offers=self._offers
        )
        self._random = random_source
        self._routes: RouteTable | None = None
        self._routes_confirmed_ms: int | None = None
        # None unless hosts tell each other the load that they observe.
        self.load_sharing: LoadSharing | None = None
        # Set while the routes and servers may have changed during a pause of this host. It then
        # opens and resets no flow, and only passes on the packets of open flows.
        self.is_list_outdated = False
        # Set while packets may have waited in the socket of this host because it stood still.
        self.may_handle_late_packets = False
        self.admission: OpeningAdmission | None = None

    def use_admission(self, demand_source: DemandSource) -> None:
        """Delay or reject new flows in a shortage, by the demand of all hosts."""
        from redwingswitch._internal.decisions.cookies import opening_admission  # noqa: PLC0415

        self.admission = opening_admission.OpeningAdmission(
            demand_source=demand_source,
            directory=self.directory,
            failure_detector=self.failure_detector,
            selector=self._selector,
            silence_source=self.load_sharing,
        )
        if self._routes is not None:
            self.admission.apply_routes(self._routes)
        self._observer.admission = self.admission

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force."""
        return self._routes

    @property
    def routes_confirmed_ms(self) -> int | None:
        """Return the latest time at which this host's routes are known to have been the newest.

        None if newer ones are known to exist.
        """
        return self._routes_confirmed_ms

    @routes_confirmed_ms.setter
    def routes_confirmed_ms(self, confirmed_ms: int | None) -> None:
        self._routes_confirmed_ms = confirmed_ms
        if confirmed_ms is not None:
            self._unrouted_flows.on_routes_confirmed(confirmed_ms)

    def share_load(self, *, all_domains: int) -> LoadSharing:
        """Begin to observe load and to use what other hosts observe; return both.

        ``all_domains`` is the number of failure domains of the deployment.
        """
        from redwingswitch._internal.decisions.load_sharing import load_sharing  # noqa: PLC0415

        self.load_sharing = load_sharing.LoadSharing(
            all_domains=all_domains,
            flows=self.flows,
            directory=self.directory,
            selector=self._selector,
            routes=lambda: self._routes,
            random_source=self._random,
        )
        self._observer.load_sharing = self.load_sharing
        self._offers.load_sharing = self.load_sharing
        return self.load_sharing

    def apply_routes(self, routes: RouteTable) -> bool:
        """Apply a newer version; ignore an older or equal one and return False."""
        if self._routes is not None and routes.version <= self._routes.version:
            return False
        if self._routes is not None:
            self._unrouted_flows.on_routes_replaced(self._routes, routes)
        self._routes = routes
        if self.admission is not None:
            self.admission.apply_routes(routes)
        self.slow_start.set_services(routes.slow_starts)
        return True

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is due."""
        deadlines = [self._offers.next_deadline_ms(), self._held.openings.next_deadline_ms()]
        if self.admission is not None and not self.is_list_outdated:
            deadlines.append(self.admission.next_deadline_ms())
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[SteeringAction]:
        """Offer flows whose opening packet was not answered in time to other servers.

        The caller accepts the first answer, so a late answer of the former server is harmless.
        Flows whose wait for room ends are offered or reset too.
        """
        self._observer.expire_suspicions(now_ms)
        actions: list[SteeringAction] = []
        for pending in self._offers.take_overdue(now_ms):
            route = self._route_of_new_flow(pending.flow.destination)
            action = self._offers.offer_elsewhere(pending, route, now_ms)
            if action is not None:
                actions.append(action)
        return actions + self._end_waits(now_ms) + self._retry_held_openings(now_ms)

    def _route_of_new_flow(self, destination: RouteAddress) -> Route | None:
        """Return the route of a destination, or None if no flow of it may be opened now."""
        if self.is_list_outdated or self._routes is None:
            return None
        return self._routes.routes.get(destination)

    def _retry_held_openings(self, now_ms: int) -> list[SteeringAction]:
        """Decide again on opening packets that wait for servers in slow start."""
        actions: list[SteeringAction] = []
        waiting: set[RouteAddress] = set()
        for deadline_ms, packet in self._held.openings.take_due(now_ms):
            if packet.flow.destination in waiting:
                self._held.openings.put(deadline_ms, packet, now_ms)
                continue
            action = self._choose_action(packet, now_ms, arrived_ms=deadline_ms - MAX_HOLD_MS)
            if isinstance(action, DiscardPacket) and self._held.hold(action, deadline_ms, now_ms):
                waiting.add(packet.flow.destination)
            else:
                actions.append(action)
        return actions

    def take_observations(self) -> list[Observation]:
        """Return the observations since the last call, for logs and metrics, and clear them."""
        taken = self._observations.copy()
        self._observations.clear()
        return taken

    @property
    def held_packets(self) -> int:
        """Return the number of packets held until their routes or servers are known."""
        return len(self._held)

    @property
    def held_openings(self) -> int:
        """Return the number of opening packets that wait for servers in slow start."""
        return len(self._held.openings)

    def on_list_changed(self, now_ms: int) -> list[SteeringAction]:
        """Decide again on the held packets after the routes or the servers have changed."""
        self._observer.expire_suspicions(now_ms)
        self.failure_detector.retain(self.directory.known_servers())
        actions: list[SteeringAction] = []
        for deadline_ms, packet in self._held.unresolved.take_unexpired(now_ms):
            action = self._choose_action(packet, now_ms, arrived_ms=deadline_ms - MAX_HOLD_MS)
            if isinstance(action, DiscardPacket) and self._held.hold(action, deadline_ms, now_ms):
                continue
            actions.append(action)
        return actions + self._end_waits(now_ms)

    def on_packet(self, packet: FlowPacket, now_ms: int) -> SteeringAction:
        """Decide what to do with a caller's packet; hold it when that cannot be decided yet."""
        if packet.opens or packet.resets:
            self._held.openings.remove(packet.flow)
        action = self._choose_action(packet, now_ms, arrived_ms=now_ms)
        if isinstance(action, DiscardPacket):
            self._held.hold(action, now_ms + MAX_HOLD_MS, now_ms)
        return action

    def _choose_action(self, packet: FlowPacket, now_ms: int, *, arrived_ms: int) -> SteeringAction:
        if self._routes is None:
            # Other hosts may know the route, so a reset could break a working flow.
            return DiscardPacket(packet, Verdict.HELD_NOT_CONFIGURED)
        self._observer.expire_suspicions(now_ms)
        if self.is_list_outdated and not self._names_listed_server(packet):
            return DiscardPacket(packet, Verdict.HELD_OUTDATED_LIST)
        self.flows.remove_idle(now_ms)
        route = self._routes.routes.get(packet.flow.destination)
        if self._is_first_copy(packet, now_ms, arrived_ms):
            self._unrouted_flows.remove(packet.flow)
        if route is None:
            return self._handle_unrouted_packet(packet, now_ms, arrived_ms)
        if packet.opens:
            return self._handle_opening_packet(packet, route, now_ms, arrived_ms)
        if self.admission is not None:
            self.admission.discard(packet.flow)
        return self._steer_by_cookie(packet, route, now_ms)

    def _handle_unrouted_packet(
        self, packet: FlowPacket, now_ms: int, arrived_ms: int
    ) -> SteeringAction:
        """Hold a packet of a flow that may be open until the routes are confirmed; else reset it.

        Another host may have newer routes and have opened the flow by them, to a server that this
        host has not heard of either. It has then written a cookie into the flow's packets, except
        for the copies of the opening packet.
        """
        state = self.flows.get(packet.flow)
        is_ended = state is not None and self._unrouted_flows.was_ended_by_removal(state)
        if packet.opens:
            may_be_open = not self._is_first_copy(packet, now_ms, arrived_ms)
        else:
            may_be_open = packet.cookie != NO_COOKIE and not is_ended
        if may_be_open and not self._unrouted_flows.is_route_gone(
            packet.flow, self._routes_confirmed_ms, now_ms, arrived_ms=arrived_ms
        ):
            return DiscardPacket(packet, Verdict.HELD_UNKNOWN_ROUTE)
        self.flows.remove(packet.flow)
        return ResetFlow(packet, Verdict.RESET_NO_ROUTE)

    def _is_first_copy(self, packet: FlowPacket, now_ms: int, arrived_ms: int) -> bool:
        """Return whether a packet shows that no host can have opened its flow yet.

        Later, the caller may have sent a copy that another host has taken.
        """
        is_on_time = arrived_ms == now_ms and not self.may_handle_late_packets
        return packet.opens and packet.copy_number == 0 and is_on_time

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
            self._observer.on_opening_repeated(state)
        verdict = Verdict.OPENED if packet.copy_number == 0 else Verdict.OPENED_AGAIN
        if may_refuse and self.admission is not None:
            route = self.admission.with_one_service(route)
            refused = self.admission.refuse(packet, route, now_ms, arrived_ms)
            if refused is not None:
                return refused
        may_reject = may_refuse and self._is_first_copy(packet, now_ms, arrived_ms)
        return self._open_flow(packet, route, state, verdict, now_ms, may_reject=may_reject)

    def _open_flow(
        self,
        packet: FlowPacket,
        route: Route,
        state: FlowState | None,
        verdict: Verdict,
        now_ms: int,
        *,
        may_reject: bool = False,
    ) -> SteeringAction:
        action = self._offers.offer(packet, route, state, verdict, now_ms) or self._offers.withhold(
            packet, route, now_ms, may_reject=may_reject
        )
        if action is not None:
            return action
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
                if isinstance(action, DiscardPacket):
                    self._held.hold(action, ended.first_ms + MAX_HOLD_MS, now_ms)
                action = action._replace(admission=ended.outcome)
            if action is not None:
                actions.append(action)
        return actions

    def _steer_by_cookie(self, packet: FlowPacket, route: Route, now_ms: int) -> SteeringAction:
        if packet.cookie == NO_COOKIE:
            return DiscardPacket(packet, Verdict.DROPPED_NO_COOKIE)
        known = self.directory.by_cookie(packet.cookie, packet.flow.destination)
        if known is None:
            # Another host may have read the server's entry earlier and opened the flow there. The
            # packet is held until this host has read the entry too.
            return DiscardPacket(packet, Verdict.HELD_UNKNOWN_COOKIE)
        is_gone = known.presence(now_ms) is ListPresence.GONE
        if is_gone and not self._resets.answered_since_removal(known):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_GONE, known.server.service)
        state = self._observer.on_packet(packet, known.server, route, now_ms)
        if self._resets.should_reset(state, known.server, packet, route, now_ms):
            self.flows.remove(packet.flow)
            return ResetFlow(packet, Verdict.RESET_SERVER_SILENT, known.server.service)
        if packet.resets:
            self.flows.remove(packet.flow)
        return ForwardPacket(known.server, packet.cookie, packet, Verdict.STEERED)
