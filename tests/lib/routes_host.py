"""A host that exchanges routes with others, without the rest of the daemon."""

from __future__ import annotations

import random
from collections.abc import Callable

from redwingswitch._internal.daemon.routes_exchange import RoutesExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.routes_history import RoutesHistory
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_readers import ListReader, Neighbour
from redwingswitch._internal.models.list_sharing import RoutesDifference
from redwingswitch._internal.network.list_messages import ListMessage
from redwingswitch._internal.utils.clocks import MonotonicClock


class RoutesHost:
    """The routes in force on a host, its view of the reader, and its exchange with the others."""

    def __init__(
        self, *, local: ListReader, send: Callable[[ListMessage, Neighbour], None]
    ) -> None:
        self.local = local
        self.at = Neighbour(local.address, local.port)
        self.history = RoutesHistory()
        self.in_force: RouteTable | None = None
        self.metrics = SteeringMetrics()
        self.sharing = ListSharing(
            local_reader=local, age_limit_ms=2_000, random_source=random.Random(1)
        )
        self.exchange = RoutesExchange(
            sharing=self.sharing,
            clock=MonotonicClock(),
            metrics=self.metrics,
            send=send,
            shared_routes=self,
        )

    @property
    def version_in_force(self) -> int:
        return self.history.version

    def build_routes_difference(self, known_version: int) -> RoutesDifference | None:
        return self.history.build_difference(known_version)

    def apply_routes_difference(self, difference: RoutesDifference) -> bool:
        routes = self.history.apply_difference(difference)
        if routes is None:
            return False
        self.put_in_force(routes, difference.revision)
        return True

    def put_in_force(self, routes: RouteTable, revision: int) -> None:
        """Put newer routes in force, as the daemon does."""
        if self.in_force is None or routes.version > self.in_force.version:
            self.in_force = routes
            self.history.add(routes, revision)
