"""Builders of routes, backend servers and packets of flows that carry a cookie."""

from __future__ import annotations

import random
from collections.abc import Iterable

from redwingswitch._internal.decisions.cookies.cookie import NO_COOKIE, flow_cookie
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import LAPSED_ENTRY_GRACE_MS
from redwingswitch._internal.decisions.cookies.slow_start_limits import SlowStartLimits
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    ServiceShare,
    SteeringAction,
)

JOB_BOARD = RouteAddress(0xC6120001, 443)
PHOTOS = RouteAddress(0xC6120002, 443)
SIGN_OFFS = RouteAddress(0xC6120001, 8080)
UNROUTED = RouteAddress(0xC6120009, 1)
NEAR_DOMAIN = "huon"
FAR_DOMAIN = "hobart"
FIRST_CALLER_ADDRESS = 0x64400001


def server(
    server_id: str,
    *,
    service: str = "job-board",
    failure_domain: str = NEAR_DOMAIN,
    state: ServerState = ServerState.ACTIVE,
    slots: int = 2,
    instance: int = 1,
    slow_start_left_ms: int = 0,
    report_number: int = 0,
) -> ListedServer:
    """Return a backend server."""
    return ListedServer(
        server_id=server_id,
        instance=instance,
        service=service,
        address="10.0.0.1",
        port=8000 + int(server_id.rpartition("-")[2] or 0),
        failure_domain=failure_domain,
        slots=slots,
        state=state,
        slow_start_left_ms=slow_start_left_ms,
        tunnel_prefix=b"\0" * 8,
        report_number=report_number,
    )


def route(
    destination: RouteAddress,
    *services: str,
    kind: RouteKind = RouteKind.IDEMPOTENT,
) -> Route:
    """Return a route with equal shares for its services."""
    return Route(
        name=f"route-{destination.port}",
        destination=destination,
        shares=tuple(ServiceShare(service, 1.0) for service in services),
        kind=kind,
        timeout_ms=2_000,
        latency_goal_ms=150,
        priority=2,
    )


def route_table(*routes: Route, version: int = 1) -> RouteTable:
    """Return a version of the routes."""
    chosen = routes or (
        route(JOB_BOARD, "job-board"),
        route(SIGN_OFFS, "job-board", kind=RouteKind.NON_IDEMPOTENT),
        route(PHOTOS, "photos", kind=RouteKind.DOWNLOAD),
    )
    return RouteTable(
        version=version,
        routes={each.destination: each for each in chosen},
        idle_limit_ms=15_000,
    )


def steering(
    servers: Iterable[ListedServer],
    *,
    seed: int = 1,
    routes: RouteTable | None = None,
    slow_start: SlowStartLimits | None = None,
) -> CookieSteering:
    """Return a host in ``NEAR_DOMAIN`` that knows routes and servers."""
    host = CookieSteering(
        failure_domain=NEAR_DOMAIN, random_source=random.Random(seed), slow_start=slow_start
    )
    host.apply_routes(routes or route_table())
    host.directory.on_list_read(-LAPSED_ENTRY_GRACE_MS)
    for each in servers:
        host.directory.put(each, 0)
    return host


def flow_id(port: int, destination: RouteAddress = JOB_BOARD) -> FlowEndpoints:
    """Return a flow of one caller."""
    return FlowEndpoints(FIRST_CALLER_ADDRESS, port, destination)


def opening_packet(flow: FlowEndpoints, *, copy_number: int = 0) -> FlowPacket:
    """Return an opening packet."""
    return packet(flow, opens=True, copy_number=copy_number)


def packet(
    flow: FlowEndpoints,
    *,
    opens: bool = False,
    closes: bool = False,
    resets: bool = False,
    copy_number: int = 0,
    cookie: int = NO_COOKIE,
    sequence: int = 1,
    acknowledged: int = 0,
    data_bytes: int = 0,
) -> FlowPacket:
    """Return a caller's packet."""
    return FlowPacket(
        flow=flow,
        opens=opens,
        closes=closes,
        resets=resets,
        copy_number=copy_number,
        cookie=cookie,
        sequence=sequence,
        acknowledged=acknowledged,
        data_bytes=data_bytes,
        datagram=b"packet",
    )


def request_packet(
    flow: FlowEndpoints, server_id: str, *, sequence: int = 1, acknowledged: int = 1
) -> FlowPacket:
    """Return the packet of a request on a flow that is open at a server."""
    cookie = flow_cookie(server_id=server_id, destination=flow.destination)
    return packet(flow, cookie=cookie, sequence=sequence, acknowledged=acknowledged, data_bytes=100)


def acknowledgement_packet(flow: FlowEndpoints, server_id: str, acknowledged: int) -> FlowPacket:
    """Return a packet that acknowledges a server's data."""
    cookie = flow_cookie(server_id=server_id, destination=flow.destination)
    return packet(flow, cookie=cookie, acknowledged=acknowledged)


def as_forwarded(action: SteeringAction) -> ForwardPacket:
    """Return the action after asserting that it forwards a packet."""
    assert isinstance(action, ForwardPacket), action
    return action


def open_flow(host: CookieSteering, flow: FlowEndpoints, now_ms: int) -> str:
    """Open a flow; return the first offered server, which answers."""
    chosen = as_forwarded(host.on_packet(opening_packet(flow), now_ms)).server.server_id
    host.on_packet(acknowledgement_packet(flow, chosen, 1), now_ms + 10)
    return chosen


def fire_timers_until(host: CookieSteering, until_ms: int) -> list[SteeringAction]:
    """Fire the timer of the host at each deadline up to a time; return the actions."""
    actions: list[SteeringAction] = []
    while (deadline_ms := host.next_deadline_ms()) is not None and deadline_ms <= until_ms:
        actions += host.on_timer(deadline_ms)
    return actions


def open_flow_past_silent(
    host: CookieSteering, flow: FlowEndpoints, silent: set[str], now_ms: int
) -> int:
    """Open a flow that servers in ``silent`` do not answer; return the time of the answer."""
    asked = as_forwarded(host.on_packet(opening_packet(flow), now_ms)).server.server_id
    while asked in silent:
        now_ms = host.next_deadline_ms() or now_ms
        offers = [action for action in host.on_timer(now_ms) if action.packet.flow == flow]
        if offers:
            asked = as_forwarded(offers[-1]).server.server_id
    host.on_packet(acknowledgement_packet(flow, asked, 1), now_ms + 1)
    # The request stays unanswered, so that the silent servers have the least load.
    host.on_packet(request_packet(flow, asked), now_ms + 2)
    return now_ms + 3
