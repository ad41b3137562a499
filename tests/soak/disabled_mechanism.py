"""The steering program with one mechanism disabled, to prove that the soak detects the fault.

Run as ``python -m tests.soak.disabled_mechanism MECHANISM``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from redwingswitch._internal.decisions.cookies import (
    cookie_steering,
    server_directory,
    server_offers,
    slow_start_limits,
)
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.platform.__main__ import main


def _without_service_in_cookie() -> None:
    """Compute cookies without the destination, so that they are valid for every service."""
    real = server_offers.flow_cookie

    def flow_cookie(*, server_id: str, destination: object) -> int:
        del destination
        return real(server_id=server_id, destination=server_directory.RouteAddress(0, 0))

    server_offers.flow_cookie = flow_cookie
    server_directory.flow_cookie = flow_cookie


def _without_drain_exclusion() -> None:
    """Assign new flows to draining servers."""

    def active_servers(self, service):
        return tuple(k for k in self._known.values() if k.server.service == service)

    server_directory.ServerDirectory.active_servers = active_servers


def _without_domain_exclusion() -> None:
    """Assign new flows to failure domains that are out of service."""

    def set_out_of_service(self, domains, now_ms):
        return False

    server_directory.ServerDirectory.set_out_of_service = set_out_of_service


def _without_route_removal() -> None:
    """Keep routes that a newer configuration has removed."""
    real = cookie_steering.CookieSteering.apply_routes

    def apply_routes(self, routes: RouteTable) -> bool:
        before = self.routes.routes if self.routes else {}
        return real(self, routes._replace(routes={**before, **routes.routes}))

    cookie_steering.CookieSteering.apply_routes = apply_routes


def _without_slow_start_limit() -> None:
    """Let every host send servers in slow start all flows."""

    def may_open(self, server_id, service, now_ms):
        return True

    slow_start_limits.SlowStartLimits.may_open = may_open


MECHANISMS: dict[str, Callable[[], None]] = {
    "service_in_cookie": _without_service_in_cookie,
    "drain_exclusion": _without_drain_exclusion,
    "domain_exclusion": _without_domain_exclusion,
    "route_removal": _without_route_removal,
    "slow_start_limit": _without_slow_start_limit,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv[1]]()
    sys.exit(main())
