"""Admission of opening packets: turns its decisions into actions on packets."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.decisions.cookies.failure_detector import PassiveFailureDetector
from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.decisions.cookies.server_selection import ServerSelector
from redwingswitch._internal.decisions.flow_admission.flow_admission import (
    Admission,
    FlowAdmission,
    ServiceLoad,
    WaitEnd,
)
from redwingswitch._internal.decisions.flow_admission.sources import (
    DemandSource,
    SilenceSource,
    UsableRoom,
)
from redwingswitch._internal.models.cookie_flows import (
    AdmissionOutcome,
    DiscardPacket,
    FlowEndpoints,
    FlowPacket,
    ListedServer,
    ResetFlow,
    Route,
    RouteAddress,
    RouteTable,
    ServiceShare,
    Verdict,
)


class EndedWait(NamedTuple):
    """A packet whose wait has ended; it is forwarded when ``action`` is None."""

    packet: FlowPacket
    route: Route | None
    first_ms: int
    outcome: AdmissionOutcome
    action: ResetFlow | DiscardPacket | None


class OpeningAdmission:
    """Keeps opening packets that wait for room at the servers of their service."""

    def __init__(
        self,
        *,
        demand_source: DemandSource,
        directory: ServerDirectory,
        failure_detector: PassiveFailureDetector,
        selector: ServerSelector,
        silence_source: SilenceSource | None = None,
    ) -> None:
        self._silence_source = silence_source
        self._directory = directory
        self._failure_detector = failure_detector
        self._selector = selector
        self._admission = FlowAdmission(demand_source=demand_source, room_source=self)
        self._routes: RouteTable | None = None

    def __len__(self) -> int:
        return len(self._admission)

    def apply_routes(self, routes: RouteTable) -> None:
        """Use new routes; the flows that wait are decided by them."""
        self._routes = routes
        self._admission.apply_routes(routes)

    def usable_room(self, service: str, now_ms: int) -> UsableRoom:
        """Return the servers of a service that may get new flows.

        The room is that of all hosts. A failure domain that only this host suspects counts, since
        its servers serve the callers of other hosts.
        """
        usable = [
            known.server
            for known in self._directory.active_servers(service)
            if known.may_be_offered(now_ms)
            and not self._failure_detector.is_server_suspected(known.server)
            and not self._is_silent(known.server, now_ms)
        ]
        return UsableRoom(
            slots=sum(server.slots for server in usable),
            servers=len(usable),
        )

    def _is_silent(self, server: ListedServer, now_ms: int) -> bool:
        source = self._silence_source
        return source is not None and source.is_silent(server, now_ms)

    def service_loads(self) -> list[ServiceLoad]:
        """Return demand and room of the services, for metrics."""
        return self._admission.service_loads()

    def with_one_service(self, route: Route) -> Route:
        """Return the route with the service that its next flow goes to, drawn by weight."""
        if len(route.shares) == 1:
            return route
        return route._replace(shares=(ServiceShare(self._selector.select_service(route), 1.0),))

    def note_service_time(self, route: Route, service: str, service_time_ms: int) -> None:
        """Record the service time of a request of a route at a service."""
        self._admission.own_demand.note_service_time(
            route.destination, service_time_ms, service=service
        )

    def work_ms(self, destination: RouteAddress) -> float | None:
        """Return the work of a route as this host observed it, or None before enough answers."""
        return self._admission.own_demand.work_ms(destination)

    def discard(self, flow: FlowEndpoints) -> None:
        """Forget a waiting flow whose caller has reset it or opened it through another host."""
        self._admission.discard(flow)

    def refuse(
        self, packet: FlowPacket, route: Route, now_ms: int, arrived_ms: int
    ) -> ResetFlow | DiscardPacket | None:
        """Return the action for a packet that is not forwarded now, or None to forward it."""
        service = route.shares[0].service
        decision = self._admission.on_opening(packet, route, service, now_ms, arrived_ms=arrived_ms)
        if decision.admission is Admission.ADMIT:
            return None
        outcome = self._outcome(
            service, route.priority, decision.wait_ms, decision.expected_wait_ms
        )
        if decision.admission is Admission.WAIT:
            return DiscardPacket(packet, Verdict.WAITING, outcome)
        return ResetFlow(packet, Verdict.REJECTED_SHORTAGE, service, outcome)

    def next_deadline_ms(self) -> int | None:
        """Return when ``end_waits`` is due."""
        return self._admission.next_deadline_ms()

    def end_waits(self, now_ms: int) -> list[EndedWait]:
        """Return the packets whose wait ends, in the order in which they are to be handled."""
        return [self._ended(end) for end in self._admission.on_timer(now_ms)]

    def _outcome(
        self, service: str, priority: int, wait_ms: int, expected_wait_ms: int
    ) -> AdmissionOutcome:
        estimate = self._admission.estimate(service)
        if estimate is None:
            return AdmissionOutcome(service, priority, wait_ms, expected_wait_ms)
        return AdmissionOutcome(
            service,
            priority,
            wait_ms,
            expected_wait_ms,
            demand_slots=estimate.demand_slots,
            room_slots=estimate.room_slots,
            busy_flows=estimate.busy_flows,
            stretch=self._admission.own_demand.stretch(service) or 0.0,
        )

    def _ended(self, end: WaitEnd) -> EndedWait:
        waiting, packet = end.waiting, end.waiting.packet
        outcome = self._outcome(
            waiting.service, waiting.priority, end.wait_ms, waiting.expected_wait_ms
        )
        route = None if self._routes is None else self._routes.routes.get(waiting.flow.destination)
        action: ResetFlow | DiscardPacket | None = None
        if end.admission is Admission.ABANDON:
            action = DiscardPacket(packet, Verdict.DROPPED_ABANDONED, outcome)
        elif end.admission is Admission.REJECT:
            verdict = Verdict.REJECTED_SHORTAGE
            action = ResetFlow(packet, verdict, waiting.service, outcome)
        elif route is None:
            action = ResetFlow(packet, Verdict.RESET_NO_ROUTE, admission=outcome)
        elif any(share.service == waiting.service for share in route.shares):
            route = route._replace(shares=(ServiceShare(waiting.service, 1.0),))
        return EndedWait(packet, route, waiting.first_ms, outcome, action)
