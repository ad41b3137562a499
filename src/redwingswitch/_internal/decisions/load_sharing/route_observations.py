"""What one host observes of the requests of one route."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.decisions.load_sharing.route_times import RouteTimes
from redwingswitch._internal.decisions.load_sharing.server_sums import TENTHS
from redwingswitch._internal.models.cookie_flows import RouteAddress
from redwingswitch._internal.models.load_sharing import MAX_ROUTES_PER_MESSAGE, RouteSums


class RouteObservations:
    """Decaying sums of a route's requests and answers, and its usual times."""

    __slots__ = ("answers", "requests", "service_time_ms", "times")

    def __init__(self) -> None:
        self.requests = 0.0
        self.answers = 0.0
        self.service_time_ms = 0.0
        self.times = RouteTimes()

    def decay(self, factor: float) -> None:
        """Multiply the sums by ``factor``."""
        self.requests *= factor
        self.answers *= factor
        self.service_time_ms *= factor


def sum_routes(routes: Mapping[RouteAddress, RouteObservations]) -> tuple[RouteSums, ...]:
    """Return what to report of routes, those with the most requests first."""
    sums = [
        RouteSums(
            address=destination.address,
            port=destination.port,
            requests_tenths=round(TENTHS * route.requests),
            answers_tenths=round(TENTHS * route.answers),
            service_time_ms=round(route.service_time_ms),
            work_tenths=round(TENTHS * route.times.work_ms),
        )
        for destination, route in routes.items()
        if TENTHS * route.requests >= 1 or TENTHS * route.answers >= 1
    ]
    sums.sort(key=lambda each: -each.requests_tenths)
    return tuple(sums[:MAX_ROUTES_PER_MESSAGE])
