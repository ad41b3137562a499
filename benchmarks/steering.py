"""Slopes of steering by cookie: time of a packet, memory of flows and servers, size of the list.

Run with ``python -m benchmarks.steering``; it prints a table for docs/CAPACITY.md.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks.slopes import measure
from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    FlowId,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from redwingswitch._internal.platform.entries import decode_routes, decode_server
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    configuration,
    server_entry,
)

SERVERS = (10, 75, 300, 1_200)
FLOWS = (2_500, 5_000, 10_000, 20_000)
ROUTES = (100, 200, 400, 800)
PACKETS = 5_000
# 200 new flows a second, twice the rate of a host at full size.
OPENING_INTERVAL_MS = 5
SERVICES = 5
NS_PER_US = 1_000
NS_PER_MS = 1_000_000
BYTES_PER_MB = 1_000_000


def _route(number: int) -> Route:
    return Route(
        name=f"r-{number}",
        destination=RouteAddress(0xC6120000 + number, 443),
        shares=(ServiceShare(f"service-{number}", 1.0),),
        kind=RouteKind.IDEMPOTENT,
        timeout_ms=2_000,
        latency_goal_ms=150,
        priority=1,
    )


def _server(number: int) -> ListedServer:
    return ListedServer(
        server_id=f"i-{number:08x}",
        instance=1,
        service=f"service-{number % SERVICES}",
        address="10.0.0.1",
        port=8_000,
        failure_domain=f"domain-{number % 5}",
        slots=2,
        state=ServerState.ACTIVE,
        slow_start_left_ms=0,
        tunnel_prefix=number.to_bytes(8, "big"),
    )


def _host(servers: int) -> CookieSteering:
    host = CookieSteering(failure_domain="domain-0", random_source=random.Random(1))
    routes = [_route(number) for number in range(SERVICES)]
    host.apply_routes(RouteTable(1, {route.destination: route for route in routes}, 15_000))
    host.directory.on_list_read(-10_000)
    for number in range(servers):
        host.directory.put(_server(number), 0)
    return host


def _packet(port: int, *, server: int | None, sequence: int = 1) -> FlowPacket:
    destination = _route(port % SERVICES if server is None else server % SERVICES).destination
    cookie = 0
    if server is not None:
        cookie = flow_cookie(server_id=f"i-{server:08x}", destination=destination)
    return FlowPacket(
        flow=FlowId(0x64400000 + port // 60_000, port % 60_000, destination),
        opens=server is None,
        closes=False,
        resets=False,
        copy_number=0,
        cookie=cookie,
        sequence=sequence,
        acknowledged=1,
        data_bytes=0 if server is None else 100,
        datagram=b"",
    )


def _microseconds(packets: list[FlowPacket], host: CookieSteering) -> float:
    began = time.perf_counter_ns()
    for packet in packets:
        host.on_packet(packet, 0)
    return (time.perf_counter_ns() - began) / len(packets) / NS_PER_US


def _opening_us(servers: int) -> float:
    host = _host(servers)
    elapsed_ns = 0
    for number in range(PACKETS):
        now_ms = number * OPENING_INTERVAL_MS
        packet = _packet(number, server=None)
        began = time.perf_counter_ns()
        action = host.on_packet(packet, now_ms)
        elapsed_ns += time.perf_counter_ns() - began
        assert isinstance(action, ForwardPacket)
        answer = packet._replace(opens=False, closes=True, cookie=action.cookie, acknowledged=1)
        host.on_packet(answer, now_ms + 1)
        host.on_timer(now_ms + 1)
    return elapsed_ns / PACKETS / NS_PER_US


def _steered_us(servers: int) -> float:
    host = _host(servers)
    packets = [_packet(n, server=n % servers) for n in range(PACKETS)]
    _microseconds(packets, host)
    later = [_packet(n, server=n % servers, sequence=101) for n in range(PACKETS)]
    return _microseconds(later, host)


def _megabytes(build: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / BYTES_PER_MB


def _flows_mb(flows: int) -> float:
    def build() -> CookieSteering:
        host = _host(10)
        for number in range(flows):
            host.on_packet(_packet(number, server=number % 10), 0)
        return host

    return _megabytes(build)


def _servers_mb(servers: int) -> float:
    def build() -> CookieSteering:
        host = _host(servers)
        for number in range(SERVICES):
            host.on_packet(_packet(1, server=number), 0)
        return host

    return _megabytes(build)


def _routes_ms(routes: int) -> float:
    chosen = [StandinRoute("198.18.0.1", 1 + n, "job-board") for n in range(routes)]
    value = json.dumps(configuration(version=1, routes=chosen)).encode()
    began = time.perf_counter_ns()
    decode_routes(value)
    return (time.perf_counter_ns() - began) / NS_PER_MS


def _list_ms(servers: int) -> float:
    value = json.dumps(server_entry(service="job-board", address="10.0.0.1:80")).encode()
    began = time.perf_counter_ns()
    for number in range(servers):
        decode_server(f"i-{number:08x}", value)
    return (time.perf_counter_ns() - began) / NS_PER_MS


MEASURED: tuple[tuple[str, str, str, tuple[int, ...], Callable[[int], float]], ...] = (
    ("opening packet", "servers", "us", SERVERS, _opening_us),
    ("packet of an open flow", "servers", "us", SERVERS, _steered_us),
    ("followed flows", "flows", "MB", FLOWS, _flows_mb),
    ("servers and their cookies", "servers", "MB", SERVERS, _servers_mb),
    ("reading a configuration", "routes", "ms", ROUTES, _routes_ms),
    ("reading the list", "servers", "ms", SERVERS, _list_ms),
)


def main() -> None:
    """Print the slopes as rows of a table."""
    for name, x_unit, y_unit, sizes, sample in MEASURED:
        slope = measure(name, x_unit, y_unit, sizes, sample)
        shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        print(
            f"| {name}, {y_unit} by {x_unit} | {shown} | {slope.slope:.3g} "
            f"| {slope.intercept:.3g} | {slope.r_squared:.3f} |"
        )


if __name__ == "__main__":
    main()
