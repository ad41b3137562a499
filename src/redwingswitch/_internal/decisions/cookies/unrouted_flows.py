"""Flows to destinations for which this host knows no route."""

from __future__ import annotations

from redwingswitch._internal.decisions.cookies.flow_table import FlowState
from redwingswitch._internal.models.cookie_flows import FlowEndpoints, RouteAddress, RouteTable

# The time of a confirmation comes from up to three clocks, each of them rounded to a millisecond.
CONFIRMATION_MARGIN_MS = 3
# The first four retransmissions of a caller come within 3 s; by then the routes are confirmed.
FIRST_ARRIVAL_RETENTION_MS = 5_000
# More than half of the flows of a host at the growth target, 1.1 MB. So many may move here at once,
# when the rotation changes just after the removal of their route.
MAX_UNROUTED_FLOWS = 4_096
# Flows that were open with a removed route are reset at once; flows of a forgotten one wait for the
# next confirmation of the routes. The deployment has 130 routes.
MAX_REMOVED_ROUTES = 4_096


class UnroutedFlows:
    """When the first packet of each flow arrived whose route this host does not know.

    A flow that was open then had a route then. Confirmations of the routes may be further apart
    than the time for which a packet is held, so the first packet counts for later ones too.

    A flow needs no first packet if it was open while its route, which is removed now, was confirmed
    to be in the newest version: the removal came later and ended it. Without that the flow may have
    been opened by a still later version that has the route again.
    """

    def __init__(self) -> None:
        self._first_arrivals_ms: dict[FlowEndpoints, int] = {}
        # When the routes in force were last confirmed to be the newest.
        self._confirmed_ms: int | None = None
        # Removed routes, in the order of their latest removal, and when the version that had them
        # was last confirmed to be the newest.
        self._removed_confirmed_ms: dict[RouteAddress, int] = {}

    def on_routes_confirmed(self, confirmed_ms: int) -> None:
        """Record that the routes in force were the newest at a time."""
        self._confirmed_ms = confirmed_ms

    def on_routes_replaced(self, former: RouteTable, routes: RouteTable) -> None:
        """Remember the routes that a newer version lacks."""
        confirmed_ms, self._confirmed_ms = self._confirmed_ms, None
        for address in former.routes:
            if address not in routes.routes:
                self._removed_confirmed_ms.pop(address, None)
                if confirmed_ms is not None:
                    self._removed_confirmed_ms[address] = confirmed_ms
        while len(self._removed_confirmed_ms) > MAX_REMOVED_ROUTES:
            del self._removed_confirmed_ms[next(iter(self._removed_confirmed_ms))]

    def was_ended_by_removal(self, state: FlowState) -> bool:
        """Return whether a flow was open before the removal of its route."""
        confirmed_ms = self._removed_confirmed_ms.get(state.flow.destination)
        return (
            confirmed_ms is not None
            and state.opened_ms is not None
            and confirmed_ms > state.opened_ms + CONFIRMATION_MARGIN_MS
        )

    def is_route_gone(
        self,
        flow: FlowEndpoints,
        routes_confirmed_ms: int | None,
        now_ms: int,
        *,
        arrived_ms: int,
    ) -> bool:
        """Return whether routes that lack the flow's route were confirmed since it was open.

        ``arrived_ms`` is when the packet that is decided arrived here.
        """
        first_ms = self._note_arrival(flow, now_ms, arrived_ms)
        return (
            routes_confirmed_ms is not None
            and routes_confirmed_ms > first_ms + CONFIRMATION_MARGIN_MS
        )

    def remove(self, flow: FlowEndpoints) -> None:
        """Forget a flow; a later one may have the same endpoints."""
        self._first_arrivals_ms.pop(flow, None)

    def _note_arrival(self, flow: FlowEndpoints, now_ms: int, arrived_ms: int) -> int:
        first_ms = self._first_arrivals_ms.get(flow)
        if first_ms is not None and now_ms - first_ms < FIRST_ARRIVAL_RETENTION_MS:
            return first_ms
        self.remove(flow)
        if len(self._first_arrivals_ms) >= MAX_UNROUTED_FLOWS:
            self.remove(next(iter(self._first_arrivals_ms)))
        self._first_arrivals_ms[flow] = arrived_ms
        return arrived_ms
