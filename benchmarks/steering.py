"""Slopes of steering by cookie: time per packet, memory of flows and servers, size of updates.

Run with ``python -m benchmarks.steering``; it prints a table for docs/CAPACITY.md.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks.cookie_flows import (
    configure,
    flow_packet,
    idempotent_route,
    listed_server,
)
from benchmarks.slopes import measure
from redwingswitch._internal.daemon.server_list_exchange import ServerListExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.routes_history import RoutesHistory
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    Route,
    RouteAddress,
    RouteTable,
)
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import FeedRequest, ListOffer, RoutesDifference
from redwingswitch._internal.models.server_list import ServerChange, ServerList
from redwingswitch._internal.network.list_messages import (
    decode_routes_difference,
    decode_snapshot,
    encode_list_message,
    encode_routes_difference,
    encode_snapshot,
)
from redwingswitch._internal.platform.entries import decode_routes, decode_server
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.utils.clocks import MonotonicClock

SERVER_COUNTS = (10, 75, 300, 1_200)
FLOW_COUNTS = (2_500, 5_000, 10_000, 20_000)
FOLLOWER_COUNTS = (6, 22, 94, 188)
CHANGE_COUNTS = (0, 1, 3, 6)
ROUTE_COUNTS = (100, 200, 400, 800)
PACKET_COUNT = 5_000
# 200 new flows a second, twice the rate of a host at full size.
OPENING_INTERVAL_MS = 5
SERVICE_COUNT = 5
NS_PER_US = 1_000
NS_PER_MS = 1_000_000
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000
CHANGED_ROUTE_COUNTS = (1, 10, 100, 400)


def _route(number: int) -> Route:
    return idempotent_route(
        f"r-{number}",
        RouteAddress(0xC6120000 + number, 443),
        service=f"service-{number}",
        timeout_ms=2_000,
        latency_goal_ms=150,
    )


def _server(number: int) -> ListedServer:
    return listed_server(
        f"i-{number:08x}",
        service=f"service-{number % SERVICE_COUNT}",
        failure_domain=f"domain-{number % 5}",
        port=8_000,
        tunnel_prefix=number.to_bytes(8, "big"),
    )


def _host(servers: int) -> CookieSteering:
    host = CookieSteering(failure_domain="domain-0", random_source=random.Random(1))
    configure(
        host,
        routes=[_route(number) for number in range(SERVICE_COUNT)],
        servers=[_server(number) for number in range(servers)],
    )
    return host


def _packet(port: int, *, server: int | None, sequence: int = 1) -> FlowPacket:
    destination = _route(
        port % SERVICE_COUNT if server is None else server % SERVICE_COUNT
    ).destination
    flow = FlowEndpoints(0x64400000 + port // 60_000, port % 60_000, destination)
    if server is None:
        return flow_packet(flow, sequence=sequence)
    cookie = flow_cookie(server_id=f"i-{server:08x}", destination=destination)
    return flow_packet(flow, cookie=cookie, sequence=sequence, data_bytes=100)


def _packet_us(packets: list[FlowPacket], host: CookieSteering) -> float:
    start_ns = time.perf_counter_ns()
    for packet in packets:
        host.on_packet(packet, 0)
    return (time.perf_counter_ns() - start_ns) / len(packets) / NS_PER_US


def _opening_us(servers: int) -> float:
    host = _host(servers)
    elapsed_ns = 0
    for number in range(PACKET_COUNT):
        now_ms = number * OPENING_INTERVAL_MS
        packet = _packet(number, server=None)
        start_ns = time.perf_counter_ns()
        action = host.on_packet(packet, now_ms)
        elapsed_ns += time.perf_counter_ns() - start_ns
        assert isinstance(action, ForwardPacket)
        answer = packet._replace(opens=False, closes=True, cookie=action.cookie, acknowledged=1)
        host.on_packet(answer, now_ms + 1)
        host.on_timer(now_ms + 1)
    return elapsed_ns / PACKET_COUNT / NS_PER_US


def _steered_us(servers: int) -> float:
    host = _host(servers)
    packets = [_packet(n, server=n % servers) for n in range(PACKET_COUNT)]
    _packet_us(packets, host)
    later = [_packet(n, server=n % servers, sequence=101) for n in range(PACKET_COUNT)]
    return _packet_us(later, host)


def _allocated_mb(build: Callable[[], object]) -> float:
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

    return _allocated_mb(build)


def _servers_mb(servers: int) -> float:
    def build() -> CookieSteering:
        host = _host(servers)
        for number in range(SERVICE_COUNT):
            host.on_packet(_packet(1, server=number), 0)
        return host

    return _allocated_mb(build)


def _routes_ms(routes: int) -> float:
    chosen = [StandinRoute("198.18.0.1", 1 + n, "job-board") for n in range(routes)]
    value = json.dumps(build_configuration(version=1, routes=chosen)).encode()
    start_ns = time.perf_counter_ns()
    decode_routes(value)
    return (time.perf_counter_ns() - start_ns) / NS_PER_MS


def _list_ms(servers: int) -> float:
    value = json.dumps(build_server_entry(service="job-board", address="10.0.0.1:80")).encode()
    start_ns = time.perf_counter_ns()
    for number in range(servers):
        decode_server(f"i-{number:08x}", value)
    return (time.perf_counter_ns() - start_ns) / NS_PER_MS


class _DiscardingNetwork:
    """A network that counts and discards datagrams."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent_bytes += len(data)
        return True


class _NoList:
    """A list that is neither offered nor wanted."""

    def build_offer(self) -> ListOffer | None:
        return None

    def build_snapshot(self) -> ServerList:
        raise NotImplementedError

    def wants_snapshot(self, offer: ListOffer) -> bool:
        return False

    def apply_snapshot(self, fleet: ServerList) -> None:
        raise NotImplementedError

    @property
    def revision_in_force(self) -> int:
        return 0

    def build_routes_difference(self, known_revision: int) -> RoutesDifference | None:
        return None

    def apply_routes_difference(self, difference: RoutesDifference) -> bool:
        return False


def _asked_reader(followers: int) -> tuple[ServerListExchange, ListSharing, _DiscardingNetwork]:
    """Return a reader that has received a request from each of its followers."""
    local = ListReader("entry-1", "10.0.0.1", 7_720, 1)
    sharing = ListSharing(local_reader=local, age_limit_ms=2_000, random_source=random.Random(1))
    sharing.on_reader_registered(RegisteredReader(local, 1), 0)
    peers = ServerListExchange(
        sharing=sharing,
        clock=MonotonicClock(),
        metrics=SteeringMetrics(),
        random_source=random.Random(1),
        list_age_ms=lambda: 0,
        routes_age_ms=lambda: 0,
        on_changes=lambda _: None,
        shared_list=_NoList(),
        shared_routes=_NoList(),
    )
    network = _DiscardingNetwork()
    peers.set_sender(network)
    request = encode_list_message(incarnation=2, message=FeedRequest(1, 1, 1, 1))
    for number in range(followers):
        peers.on_datagram(request, ("10.0.0.2", 1 + number))
    return peers, sharing, network


def _notification_ms(followers: int) -> float:
    peers, sharing, _ = _asked_reader(followers)
    sharing.on_changes_read([ServerChange("i-1", _server(1), is_listed=True)], 2, 0)
    start_ns = time.perf_counter_ns()
    peers.notify_followers()
    return (time.perf_counter_ns() - start_ns) / NS_PER_MS


def _reply_us(followers: int) -> float:
    peers, _, _ = _asked_reader(0)
    request = encode_list_message(incarnation=2, message=FeedRequest(1, 1, 1, 1))
    start_ns = time.perf_counter_ns()
    for number in range(followers):
        peers.on_datagram(request, ("10.0.0.2", 1 + number))
    return (time.perf_counter_ns() - start_ns) / followers / NS_PER_US


def _notification_bytes(changes: int) -> float:
    peers, sharing, network = _asked_reader(1)
    before = network.sent_bytes
    listed = [ServerChange(f"i-{n:08x}", _server(n), is_listed=True) for n in range(changes)]
    sharing.on_changes_read(listed, 2, 0)
    peers.notify_followers()
    return float(network.sent_bytes - before)


def _snapshot(servers: int) -> ServerList:
    """Return a list with one route for each five servers, as at the growth target."""
    routes = {
        route.destination: route for route in (_route(n) for n in range(max(1, servers // 5)))
    }
    return ServerList(
        routes=RouteTable(version=1, routes=routes, idle_limit_ms=15_000),
        servers=tuple(
            ServerChange(f"i-{n:08x}", _server(n), is_listed=True) for n in range(servers)
        ),
        revision=1,
    )


def _snapshot_kb(servers: int) -> float:
    return len(encode_snapshot(_snapshot(servers))) / BYTES_PER_KB


def _snapshot_ms(servers: int) -> float:
    """Return the time to encode and decode a list."""
    fleet = _snapshot(servers)
    start_ns = time.perf_counter_ns()
    decode_snapshot(encode_snapshot(fleet))
    return (time.perf_counter_ns() - start_ns) / NS_PER_MS


def _routes_history(routes: int, *, changed: int) -> RoutesHistory:
    """Return the history of a reader after a change of some of its routes."""
    before = {route.destination: route for route in map(_route, range(routes))}
    after = before | {
        address: route._replace(timeout_ms=3_000)
        for address, route in list(before.items())[:changed]
    }
    history = RoutesHistory()
    history.add(RouteTable(version=1, routes=before, idle_limit_ms=15_000), 1)
    history.add(RouteTable(version=2, routes=after, idle_limit_ms=15_000), 2)
    return history


def _difference(history: RoutesHistory) -> RoutesDifference:
    difference = history.build_difference(1)
    if difference is None:
        raise ValueError("the history has no routes")
    return difference


def _difference_bytes(changed: int) -> float:
    history = _routes_history(max(ROUTE_COUNTS), changed=changed)
    return float(len(encode_routes_difference(_difference(history))))


def _difference_ms(routes: int) -> float:
    """Return the time to build, encode and decode a difference of one route."""
    history = _routes_history(routes, changed=1)
    start_ns = time.perf_counter_ns()
    decode_routes_difference(encode_routes_difference(_difference(history)))
    return (time.perf_counter_ns() - start_ns) / NS_PER_MS


MEASUREMENTS: tuple[tuple[str, str, str, tuple[int, ...], Callable[[int], float]], ...] = (
    ("opening packet", "servers", "us", SERVER_COUNTS, _opening_us),
    ("packet of an open flow", "servers", "us", SERVER_COUNTS, _steered_us),
    ("followed flows", "flows", "MB", FLOW_COUNTS, _flows_mb),
    ("servers and their cookies", "servers", "MB", SERVER_COUNTS, _servers_mb),
    ("reading a configuration", "routes", "ms", ROUTE_COUNTS, _routes_ms),
    ("reading the list", "servers", "ms", SERVER_COUNTS, _list_ms),
    ("telling followers of a change", "followers", "ms", FOLLOWER_COUNTS, _notification_ms),
    ("answering a follower", "followers", "us", FOLLOWER_COUNTS, _reply_us),
    ("datagram to a follower", "changes", "B", CHANGE_COUNTS, _notification_bytes),
    ("list of a neighbour", "servers", "KB", SERVER_COUNTS, _snapshot_kb),
    ("list of a neighbour, both ends", "servers", "ms", SERVER_COUNTS, _snapshot_ms),
    ("difference of routes", "changed routes", "B", CHANGED_ROUTE_COUNTS, _difference_bytes),
    ("difference of routes, both ends", "routes", "ms", ROUTE_COUNTS, _difference_ms),
)


def main() -> None:
    """Print the slopes as rows of a table."""
    for name, x_unit, y_unit, sizes, sample in MEASUREMENTS:
        slope = measure(name, x_unit, y_unit, sizes, sample)
        shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        print(
            f"| {name}, {y_unit} by {x_unit} | {shown} | {slope.slope:.3g} "
            f"| {slope.intercept:.3g} | {slope.r_squared:.3f} |"
        )


if __name__ == "__main__":
    main()
