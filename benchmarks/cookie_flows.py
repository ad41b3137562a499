"""Servers, routes and packets of callers for the benchmarks of the steering by cookie."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    ListedServer,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    ServiceShare,
)

IDLE_LIMIT_MS = 15_000
# The list of the hosts is known to be whole for longer than any grace period.
LIST_READ_MS = -10_000


def listed_server(
    server_id: str, *, service: str, failure_domain: str, port: int, tunnel_prefix: bytes = b""
) -> ListedServer:
    """Return an active server with two slots."""
    return ListedServer(
        server_id=server_id,
        instance=1,
        service=service,
        address="10.0.0.1",
        port=port,
        failure_domain=failure_domain,
        slots=2,
        state=ServerState.ACTIVE,
        slow_start_left_ms=0,
        tunnel_prefix=tunnel_prefix,
    )


def idempotent_route(
    name: str, destination: RouteAddress, *, service: str, timeout_ms: int, latency_goal_ms: int
) -> Route:
    """Return a route whose requests may be repeated."""
    return Route(
        name=name,
        destination=destination,
        shares=(ServiceShare(service, 1.0),),
        kind=RouteKind.IDEMPOTENT,
        timeout_ms=timeout_ms,
        latency_goal_ms=latency_goal_ms,
        priority=1,
    )


def configure(
    host: CookieSteering, *, routes: Iterable[Route], servers: Iterable[ListedServer]
) -> None:
    """Let a host know routes and servers."""
    table = {route.destination: route for route in routes}
    host.apply_routes(RouteTable(1, table, IDLE_LIMIT_MS))
    host.directory.on_list_read(LIST_READ_MS)
    for server in servers:
        host.directory.put(server, 0)


def flow_packet(
    flow: FlowEndpoints,
    *,
    copy_number: int = 0,
    cookie: int = 0,
    sequence: int = 1,
    acknowledged: int = 1,
    data_bytes: int = 0,
    closes: bool = False,
) -> FlowPacket:
    """Return a packet of a caller; one without a cookie opens the flow."""
    return FlowPacket(
        flow=flow,
        opens=not cookie,
        closes=closes,
        resets=False,
        copy_number=copy_number,
        cookie=cookie,
        sequence=sequence,
        acknowledged=acknowledged,
        data_bytes=data_bytes,
        datagram=b"",
    )
