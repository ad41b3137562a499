"""Plans of services: the estimate of room and demand, and the rates of the limited routes."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.decisions.flow_admission.admission_plan import RatePlan
from redwingswitch._internal.decisions.flow_admission.own_demand import OwnDemand
from redwingswitch._internal.decisions.flow_admission.rate_share import (
    RateBucket,
    next_room_factor,
)
from redwingswitch._internal.decisions.flow_admission.shortage import (
    LoadEstimate,
    RouteLoad,
    estimate_load,
)
from redwingswitch._internal.decisions.flow_admission.sources import DemandSource, RoomSource
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress, RouteTable
from redwingswitch._internal.models.load_sharing import RouteDemand, ServiceDemand

# The sums change every 500 ms; in a shortage, service times correct the room of the plan between.
REFRESH_INTERVAL_MS = 100
# A route whose planned rate is this part of its demand is not limited: its flows would wait only
# because they arrive irregularly.
MET_DEMAND_RATIO = 0.99


class ServicePlan:
    """The latest estimate of a service and the buckets of the routes that are limited."""

    def __init__(self) -> None:
        self.refresh_deadline_ms: int | None = None
        self.sums: ServiceDemand | None = None
        self.estimate: LoadEstimate | None = None
        self.work_ms: dict[RouteAddress, float] = {}
        self.buckets: dict[RouteAddress, RateBucket] = {}
        self.room_factor = 1.0
        self.learnt_work_ms: dict[RouteAddress, float] = {}

    @property
    def is_short(self) -> bool:
        return self.estimate is not None and self.estimate.is_short

    @property
    def is_full(self) -> bool:
        return self.estimate is not None and self.estimate.is_full

    def end_shortage(self) -> None:
        self.buckets.clear()
        self.room_factor = 1.0


class ServicePlans:
    """Refreshes the plan of each service while flows to it arrive or wait.

    Without a shortage, a plan limits no route.
    """

    def __init__(
        self,
        *,
        own_demand: OwnDemand,
        demand_source: DemandSource,
        room_source: RoomSource,
        rate_plan: RatePlan,
    ) -> None:
        self.by_service: dict[str, ServicePlan] = {}
        self._own_demand = own_demand
        self._demand_source = demand_source
        self._room_source = room_source
        self._rate_plan = rate_plan
        self._routes: Mapping[RouteAddress, Route] = {}
        self._is_needed = False

    def apply_routes(self, table: RouteTable) -> None:
        """Use new routes; with one route to each service and one priority, limit none."""
        self._routes = table.routes
        services = [share.service for route in table.routes.values() for share in route.shares]
        has_priorities = len({route.priority for route in table.routes.values()}) > 1
        self._is_needed = has_priorities or len(set(services)) < len(services)
        self.by_service = {name: plan for name, plan in self.by_service.items() if name in services}

    def refreshed(self, service: str, now_ms: int) -> ServicePlan:
        """Return the plan of a service, refreshed if it is due."""
        plan = self.by_service.get(service)
        if plan is None:
            plan = self.by_service[service] = ServicePlan()
        if plan.refresh_deadline_ms is None or now_ms >= plan.refresh_deadline_ms:
            self._refresh(service, plan, now_ms)
        return plan

    def _refresh(self, service: str, plan: ServicePlan, now_ms: int) -> None:
        plan.refresh_deadline_ms = now_ms + REFRESH_INTERVAL_MS
        sums = self._demand_source.service_demand(service, now_ms) if self._is_needed else None
        if sums is None or now_ms >= sums.deadline_ms or not sums.all_domains:
            plan.sums, plan.estimate = None, None
            plan.end_shortage()
            return
        plan.refresh_deadline_ms = min(plan.refresh_deadline_ms, sums.deadline_ms)
        if sums == plan.sums and not plan.is_short:
            return
        usable = self._room_source.usable_room(service, now_ms)
        if sums.busy_flows < usable.slots:
            # Without queues at the servers, service times show the work.
            plan.learnt_work_ms = {each.destination: each.work_ms for each in sums.routes}
            self._own_demand.on_no_queues(plan.learnt_work_ms)
        loads = self._route_loads(service, sums, now_ms)
        plan.sums = sums
        plan.estimate = estimate_load(
            loads,
            usable=usable,
            busy_flows=sums.busy_flows,
            known_ratio=min(1.0, sums.known_domains / sums.all_domains),
            was_short=plan.is_short,
            stretch=self._own_demand.stretch(service),
        )
        if plan.is_short:
            self._set_rates(service, plan, loads, max(1, sums.host_count), now_ms)
        else:
            plan.end_shortage()

    def _route_loads(self, service: str, sums: ServiceDemand, now_ms: int) -> list[RouteLoad]:
        """Return the demand of each route, that of rejected flows included.

        The sums have only what was admitted. The routers spread flows evenly over the hosts, so the
        host's own arrivals tell the rest.
        """
        loads = []
        for demand in sums.routes:
            route = self._routes.get(demand.destination)
            work_ms = self._work_ms(service, demand)
            arrivals_per_s = self._own_demand.requests_per_s(service, demand.destination, now_ms)
            if route is not None and work_ms:
                loads.append(
                    RouteLoad(
                        destination=demand.destination,
                        priority=route.priority,
                        requests_per_s=max(demand.requests_per_s, sums.host_count * arrivals_per_s),
                        work_ms=work_ms,
                        latency_goal_ms=route.latency_goal_ms,
                    )
                )
        return loads

    def _work_ms(self, service: str, demand: RouteDemand) -> float:
        """Return the least known work of a route, since queues only lengthen service times."""
        known = (
            self.by_service[service].learnt_work_ms.get(demand.destination),
            self._own_demand.work_ms(demand.destination),
            demand.work_ms,
        )
        return min((each for each in known if each), default=0.0)

    def _set_rates(
        self,
        service: str,
        plan: ServicePlan,
        loads: list[RouteLoad],
        host_count: int,
        now_ms: int,
    ) -> None:
        if plan.estimate is None:
            return
        plan.room_factor = next_room_factor(
            plan.room_factor,
            stretch=self._own_demand.stretch(service),
            target=plan.estimate.target_stretch,
        )
        rates = self._rate_plan(loads, plan.estimate.room_slots * plan.room_factor)
        # The factor varies; which routes are limited does not.
        planned = self._rate_plan(loads, plan.estimate.room_slots)
        plan.work_ms = {load.destination: load.work_ms for load in loads}
        limited = {
            load.destination: rates[load.destination] / host_count
            for load in loads
            if planned.get(load.destination, load.requests_per_s)
            < load.requests_per_s * MET_DEMAND_RATIO
        }
        for destination in set(plan.buckets) - set(limited):
            del plan.buckets[destination]
        for destination, rate_per_s in limited.items():
            bucket = plan.buckets.setdefault(destination, RateBucket(now_ms=now_ms))
            bucket.set_rate(rate_per_s, now_ms)
