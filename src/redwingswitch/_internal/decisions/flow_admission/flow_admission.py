"""Admission of new flows: each is admitted, waits for room, or is rejected.

A shortage needs evidence by fresh sums of all hosts. Without it every flow is admitted.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from redwingswitch._internal.decisions.flow_admission.admission_plan import (
    RatePlan,
    admitted_rates,
)
from redwingswitch._internal.decisions.flow_admission.own_demand import OwnDemand
from redwingswitch._internal.decisions.flow_admission.rate_share import RateBucket
from redwingswitch._internal.decisions.flow_admission.service_plans import (
    ServicePlan,
    ServicePlans,
)
from redwingswitch._internal.decisions.flow_admission.shortage import LoadEstimate
from redwingswitch._internal.decisions.flow_admission.sources import DemandSource, RoomSource
from redwingswitch._internal.decisions.flow_admission.waiting_flows import (
    CALLER_LIMIT_MS,
    CALLER_MARGIN_MS,
    MAX_WAITING_FLOWS,
    WaitingFlow,
    WaitingFlows,
)
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    Route,
    RouteAddress,
    RouteTable,
)

# Part of the time that the latency goal leaves in which a flow may wait at its host.
WAIT_RATIO = 0.5


class Admission(Enum):
    """What happens to a flow; ``ABANDON`` drops a waiting one whose caller has gone."""

    ADMIT = "admit"
    WAIT = "wait"
    REJECT = "reject"
    ABANDON = "abandon"


class OpeningDecision(NamedTuple):
    """The decision for an opening packet, with the wait so far and the one to expect."""

    admission: Admission
    wait_ms: int = 0
    expected_wait_ms: int = 0


class WaitEnd(NamedTuple):
    """The decision that ends the wait of a flow."""

    waiting: WaitingFlow
    admission: Admission
    wait_ms: int


class ServiceLoad(NamedTuple):
    """The demand and the room of a service, in slots."""

    service: str
    demand_slots: float
    room_slots: float


class WaitLimit(Protocol):
    """How long a flow may wait at its host."""

    def longest_wait_ms(self, route: Route, answer_ms: float) -> float:
        """Return the longest wait; ``answer_ms`` is the expected wait and work at a server."""


class LatencyGoalLimit:
    """Lets a flow wait for a part of the time that its latency goal leaves.

    In a shortage a queue is as long as the wait that is allowed. With waits up to the time budget
    nearly every answer of a route would miss its goal, and no more of them would be served.
    """

    def longest_wait_ms(self, route: Route, answer_ms: float) -> float:
        """Return half of the time that the goal leaves; the rest covers uneven servers."""
        limit_ms = min(route.latency_goal_ms, route.timeout_ms)
        return (limit_ms - answer_ms) * WAIT_RATIO


ADMITTED = OpeningDecision(Admission.ADMIT)


class FlowAdmission:
    """Decides on the opening packets of one host.

    The owner calls ``on_opening`` for each opening packet of a flow that this host has not
    forwarded, and ``on_timer`` at ``next_deadline_ms``.
    """

    def __init__(
        self,
        *,
        demand_source: DemandSource,
        room_source: RoomSource,
        wait_limit: WaitLimit | None = None,
        rate_plan: RatePlan = admitted_rates,
    ) -> None:
        self.own_demand = OwnDemand()
        self._wait_limit = wait_limit or LatencyGoalLimit()
        self._waiting = WaitingFlows()
        self._plans = ServicePlans(
            own_demand=self.own_demand,
            demand_source=demand_source,
            room_source=room_source,
            rate_plan=rate_plan,
        )
        self._next_number = 0
        self._processed_until_ms = -1

    def apply_routes(self, table: RouteTable) -> None:
        """Use new routes; with one route to each service and one priority, admit everything."""
        services = {share.service for route in table.routes.values() for share in route.shares}
        self.own_demand.retain(frozenset(table.routes), services)
        self._plans.apply_routes(table)

    def __len__(self) -> int:
        return len(self._waiting)

    def service_loads(self) -> list[ServiceLoad]:
        """Return the latest estimates, for metrics; both are 0 while the sums are not known."""
        return [
            (
                ServiceLoad(service, plan.estimate.demand_slots, plan.estimate.room_slots)
                if plan.estimate is not None
                else ServiceLoad(service, 0.0, 0.0)
            )
            for service, plan in self._plans.by_service.items()
        ]

    def estimate(self, service: str) -> LoadEstimate | None:
        """Return the latest estimate of a service, or None without fresh sums."""
        plan = self._plans.by_service.get(service)
        return None if plan is None else plan.estimate

    def on_opening(
        self, packet: FlowPacket, route: Route, service: str, now_ms: int, *, arrived_ms: int
    ) -> OpeningDecision:
        """Decide on an opening packet that arrived at ``arrived_ms`` and was held until now."""
        waiting = self._waiting.get(packet.flow)
        if waiting is not None:
            return self._on_copy(waiting, packet, now_ms, arrived_ms)
        if packet.copy_number == 0:
            self.own_demand.note_arrival(service, route.destination, now_ms)
        plan = self._plans.refreshed(service, now_ms)
        bucket = plan.buckets.get(route.destination)
        if bucket is None or not plan.is_short:
            return ADMITTED
        if packet.copy_number > 0:
            # Another host may have opened the flow, so it must not be rejected.
            bucket.charge(now_ms)
            return ADMITTED
        if not self._waiting.count(service, route.destination) and bucket.take(now_ms):
            return ADMITTED
        waiting = self._waiting_flow(packet, route, service, plan, arrived_ms)
        return self._wait_or_reject(waiting, plan, now_ms)

    def is_waiting(self, flow: FlowEndpoints) -> bool:
        """Return whether a flow waits at this host."""
        return self._waiting.get(flow) is not None

    def discard(self, flow: FlowEndpoints) -> None:
        """Forget a waiting flow that its caller has reset or opened through another host."""
        if self._waiting:
            self._waiting.remove(flow)

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is due, or None while no flow waits."""
        if not self._waiting:
            return None
        deadlines = [
            plan.refresh_deadline_ms
            for name in self._waiting.services()
            if (plan := self._plans.by_service.get(name)) and plan.refresh_deadline_ms is not None
        ]
        for head in self._waiting.heads():
            deadlines += self._wait_deadlines(head)
        return min(deadlines, default=self._processed_until_ms)

    def on_timer(self, now_ms: int) -> list[WaitEnd]:
        """Return the flows whose wait ends, in the order of the plan."""
        self._processed_until_ms = now_ms
        ends: list[WaitEnd] = []
        for service in sorted(self._waiting.services()):
            plan = self._plans.refreshed(service, now_ms)
            for destination in self._waiting.destinations(service):
                ends += self._end_waits(service, destination, plan, now_ms)
        for end in ends:
            self._waiting.remove(end.waiting.flow)
        return ends

    def _on_copy(
        self, before: WaitingFlow, packet: FlowPacket, now_ms: int, arrived_ms: int
    ) -> OpeningDecision:
        waiting = self._waiting.replace_packet(before, packet, arrived_ms)
        plan = self._plans.refreshed(waiting.service, now_ms)
        is_overdue = now_ms >= waiting.latest_start_ms
        is_rejected = is_overdue and plan.is_full and waiting.may_be_rejected(now_ms)
        if is_rejected:
            self._waiting.remove(packet.flow)
        return OpeningDecision(
            Admission.REJECT if is_rejected else Admission.WAIT,
            now_ms - waiting.first_ms,
            waiting.expected_wait_ms,
        )

    def _wait_or_reject(
        self, waiting: WaitingFlow, plan: ServicePlan, now_ms: int
    ) -> OpeningDecision:
        bucket = plan.buckets[waiting.flow.destination]
        position = 1 + self._waiting.count(waiting.service, waiting.flow.destination)
        host_wait_ms = bucket.wait_ms(position, now_ms)
        expected_wait_ms = round(min(host_wait_ms, CALLER_LIMIT_MS))
        # Each route has its share of the bound, so that one route's burst leaves places to others.
        has_place = len(self._waiting) < MAX_WAITING_FLOWS and position <= MAX_WAITING_FLOWS // len(
            plan.buckets
        )
        so_far_ms = now_ms - waiting.first_ms
        if has_place and now_ms + host_wait_ms < waiting.latest_start_ms:
            self._next_number += 1
            self._waiting.add(waiting._replace(expected_wait_ms=expected_wait_ms))
            return OpeningDecision(Admission.WAIT, so_far_ms, expected_wait_ms)
        if plan.is_full and waiting.may_be_rejected(now_ms):
            return OpeningDecision(Admission.REJECT, so_far_ms, expected_wait_ms)
        bucket.charge(now_ms)
        return ADMITTED

    def _waiting_flow(
        self, packet: FlowPacket, route: Route, service: str, plan: ServicePlan, arrived_ms: int
    ) -> WaitingFlow:
        return WaitingFlow(
            latest_start_ms=arrived_ms + self._longest_wait_ms(route, plan),
            work_ms=plan.work_ms[route.destination],
            number=self._next_number,
            first_ms=arrived_ms,
            packet_ms=arrived_ms,
            service=service,
            priority=route.priority,
            expected_wait_ms=0,
            packet=packet,
        )

    def _longest_wait_ms(self, route: Route, plan: ServicePlan) -> int:
        """Return how long a flow of a route may wait from its first opening packet on."""
        server_wait_ms = plan.estimate.server_wait_ms if plan.estimate else 0.0
        answer_ms = server_wait_ms + plan.work_ms[route.destination]
        return min(
            CALLER_LIMIT_MS - CALLER_MARGIN_MS,
            int(self._wait_limit.longest_wait_ms(route, answer_ms)),
            int(route.timeout_ms - answer_ms),
        )

    def _end_waits(
        self, service: str, destination: RouteAddress, plan: ServicePlan, now_ms: int
    ) -> list[WaitEnd]:
        ends = []
        bucket = plan.buckets.get(destination)
        position = 0
        for waiting in self._waiting.of_route(service, destination):
            position += 1
            admission = self._decide_waiting(waiting, position, plan, bucket, now_ms)
            if admission is Admission.WAIT:
                continue
            position -= 1
            ends.append(WaitEnd(waiting, admission, now_ms - waiting.first_ms))
        return ends

    def _decide_waiting(
        self,
        waiting: WaitingFlow,
        position: int,
        plan: ServicePlan,
        bucket: RateBucket | None,
        now_ms: int,
    ) -> Admission:
        if waiting.is_abandoned(now_ms):
            return Admission.ABANDON
        if bucket is None or not plan.is_short:
            return Admission.ADMIT
        is_overdue = now_ms >= waiting.latest_start_ms
        if not is_overdue and position == 1 and bucket.take(now_ms):
            return Admission.ADMIT
        can_be_served = now_ms + bucket.wait_ms(position, now_ms) < waiting.latest_start_ms
        if can_be_served:
            return Admission.WAIT
        if plan.is_full:
            return Admission.REJECT if waiting.may_be_rejected(now_ms) else Admission.WAIT
        return Admission.ADMIT if is_overdue else Admission.WAIT

    def _wait_deadlines(self, head: WaitingFlow) -> list[int]:
        """Return when the first waiting flow of a route may be admitted or has to be rejected."""
        plan = self._plans.by_service.get(head.service)
        bucket = plan.buckets.get(head.flow.destination) if plan else None
        token_ms = None if bucket is None else bucket.token_ms()
        deadlines = [head.latest_start_ms, *([] if token_ms is None else [token_ms])]
        # What was due at the last call and still waits is looked at with the next refresh.
        return [each for each in deadlines if each > self._processed_until_ms]
