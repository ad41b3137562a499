"""The demand of a service, from the sums over all known hosts."""

from __future__ import annotations

from redwingswitch._internal.decisions.load_sharing.server_sums import SUM_WINDOW_S, TENTHS
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress, RouteTable
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import (
    LoadSummary,
    RouteDemand,
    RouteSums,
    ServiceDemand,
)


def service_demand(
    service: str, summary: LoadSummary, routes: RouteTable, *, all_domains: int, deadline_ms: int
) -> ServiceDemand:
    """Return the demand of the routes to a service; a divided route counts by its weights."""
    demands = []
    for sums in summary.sums.routes:
        route = routes.routes.get(RouteAddress(sums.address, sums.port))
        part = 0.0 if route is None else _part_of_service(route, service)
        if part:
            demands.append(_route_demand(sums, part))
    service_id = wire_id(service)
    busy = sum(each.busy_flows for each in summary.sums.services if each.service == service_id)
    return ServiceDemand(
        routes=tuple(demands),
        busy_flows=busy,
        known_domains=summary.known_domains,
        all_domains=all_domains,
        deadline_ms=deadline_ms,
        host_count=summary.total_hosts,
    )


def _route_demand(sums: RouteSums, part: float) -> RouteDemand:
    return RouteDemand(
        destination=RouteAddress(sums.address, sums.port),
        requests_per_s=part * sums.requests_tenths / TENTHS / SUM_WINDOW_S,
        work_ms=sums.work_tenths / TENTHS,
    )


def _part_of_service(route: Route, service: str) -> float:
    weights = sum(share.weight for share in route.shares)
    weight = sum(share.weight for share in route.shares if share.service == service)
    return weight / weights if weights else 0.0
