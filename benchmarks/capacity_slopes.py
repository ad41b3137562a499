"""Measured slopes behind docs/CAPACITY.md, each at three or more sizes."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from functools import cache
from typing import NamedTuple

import msgspec

from benchmarks import configuration as configuration_benchmark
from benchmarks import membership as membership_benchmark
from benchmarks.slopes import Slope, fit, measure
from redwingswitch._internal.configuration.document import encode_document, make_document
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.decisions.entry_host import EntryHost
from redwingswitch._internal.decisions.flows.flow_records import FlowRecords
from redwingswitch._internal.decisions.flows.flow_steering import FlowSteering
from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    DeclaredEntryHost,
    FailureDomain,
    ServerState,
    Service,
    ServiceLevelObjectives,
    SizeClass,
)
from redwingswitch._internal.models.events import (
    BackendReportArrived,
    PacketArrived,
    PeerMessageArrived,
    TimerFired,
)
from redwingswitch._internal.models.identifiers import (
    FLOW_HASH_BITS,
    FlowKey,
    PacketKind,
    flow_hash,
)
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
    NeededRevision,
    WaitEstimate,
)
from redwingswitch._internal.models.messages import Ack, Ping
from redwingswitch._internal.models.requests import BackendReport

SEED = 20
DOMAINS = tuple(f"domain-{number}" for number in range(5))
SERVERS_PER_SERVICE = 5
PACKET_COUNT = 20_000
EVENT_COUNT = 100
REPEAT_COUNT = 3
MILLISECONDS_PER_S = 1_000


class ControlCost(NamedTuple):
    """Cost of membership and convergence for one host."""

    bytes_per_s: float
    core_percent: float
    store_calls_per_s: float


def service(number: int, *, servers: int = SERVERS_PER_SERVICE, draining: bool = False) -> Service:
    """Return a stream service; with ``draining`` its first server takes no new flows."""
    name = f"service-{number}"
    states = [
        ServerState.DRAINING if draining and n == 0 else ServerState.ACTIVE for n in range(servers)
    ]
    return Service(
        name=name,
        address=f"10.1.{number >> 8}.{number & 255}",
        port=443,
        listen_port=0,
        takes_streams=True,
        takes_requests=True,
        idempotent=False,
        size_class=SizeClass.SHORT,
        expected_service_ms=50,
        idle_limit_ms=900_000,
        objectives=ServiceLevelObjectives(),
        backend_servers=tuple(
            BackendServer(
                name=f"server-{number}-{n}",
                service=name,
                failure_domain=DOMAINS[n % len(DOMAINS)],
                address=f"10.{2 + n}.{number >> 8}.{number & 255}",
                tunnel_port=1,
                stream_port=2,
                request_port=3,
                report_port=4,
                slots=2,
                connection_limit=2000,
                state=state,
            )
            for n, state in enumerate(states)
        ),
    )


def configuration(revision: int, services: int, *, draining: int = 0) -> Configuration:
    """Return a configuration; the first ``draining`` services have a draining server."""
    return Configuration(
        revision=revision,
        digest=str(revision),
        failure_domains=tuple(FailureDomain(name, "region", 5) for name in DOMAINS),
        services=tuple(service(n, draining=n < draining) for n in range(services)),
        entry_hosts=_entry_hosts(10),
        changes=(),
    )


def view(hosts: int, revision: int) -> MembershipView:
    """Return a view in which all hosts are alive and hold ``revision``."""
    rows = [
        MemberView(entry.name, entry.failure_domain, 1, MemberState.ALIVE, HostDigest(revision))
        for entry in _entry_hosts(hosts)
    ]
    return MembershipView(tuple(sorted(rows)))


def _entry_hosts(count: int) -> tuple[DeclaredEntryHost, ...]:
    return tuple(
        DeclaredEntryHost(
            f"entry-{n}",
            DOMAINS[n % len(DOMAINS)],
            "127.0.0.1",
            1,
            2,
            3,
            4,
            "",
            ServerState.ACTIVE,
        )
        for n in range(count)
    )


def steering(services: int, *, hosts: int = 10, draining: int = 0) -> FlowSteering:
    """Return the steering part of one host, some seconds after its start."""
    part = FlowSteering(
        host="entry-0", failure_domain=DOMAINS[0], random_source=random.Random(SEED)
    )
    part.apply_configuration(configuration(1, services), 0)
    part.set_members(view(hosts, 1), 0)
    _run_timers(part, 0, 10_000)
    if draining:
        part.apply_configuration(configuration(2, services, draining=draining), 10_000)
        part.set_members(view(hosts, 2), 10_000)
        _run_timers(part, 10_000, 20_000)
    return part


def _run_timers(part: FlowSteering, from_ms: int, to_ms: int) -> None:
    for now_ms in range(from_ms, to_ms, 500):
        part.on_timer(now_ms)


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the processor time of ``action``, the minimum of a few runs."""
    times = []
    for _ in range(REPEAT_COUNT):
        begin = time.process_time()
        action()
        times.append(time.process_time() - begin)
    return min(times) * MILLISECONDS_PER_S


@cache
def control_cost(hosts: int) -> ControlCost:
    """Measure membership and convergence of a whole fleet on the virtual clock."""
    cluster = membership_benchmark.start_cluster(hosts, seed=SEED)
    for _ in range(membership_benchmark.WARM_UP_ROUNDS):
        membership_benchmark._empty_update_queues(cluster)
        cluster.run_ms(membership_benchmark.WARM_UP_MS)
    calls = sum(cluster.store.calls.values())
    begin = time.process_time()
    traffic = membership_benchmark._measure_traffic(cluster)
    spent_s = time.process_time() - begin
    elapsed_s = membership_benchmark.MEASURED_MS / MILLISECONDS_PER_S
    return ControlCost(
        bytes_per_s=traffic.near + traffic.far,
        core_percent=100 * spent_s / hosts / elapsed_s,
        store_calls_per_s=(sum(cluster.store.calls.values()) - calls) / elapsed_s,
    )


def heartbeat_bytes() -> Slope:
    """Bytes per second of membership, by members."""
    return measure(
        "heartbeats", "members", "B/s a host", (9, 30, 90), lambda n: control_cost(n).bytes_per_s
    )


def control_cpu_time() -> Slope:
    """Processor time of membership and convergence, by members; it includes the test network."""
    return measure(
        "membership and convergence",
        "members",
        "% of a core",
        (9, 30, 90),
        lambda n: control_cost(n).core_percent,
    )


def digest_bytes() -> Slope:
    """Bytes of one heartbeat message, by services with displaced buckets in its digest."""

    def sample(entries: int) -> float:
        needed = tuple(NeededRevision(3_000_000_000 + n, 800, 800) for n in range(entries))
        message = Ack(1, "entry-1", (), HostDigest(890, "0123456789abcdef", needed))
        return float(len(msgspec.msgpack.encode([1, "entry-1", 1 << 56, 1, *message])))

    return measure("heartbeat message", "services in its digest", "B", (0, 16, 32, 64), sample)


def table_memory() -> Slope:
    """Memory of lookup tables, by services with five servers and one table each."""

    def sample(services: int) -> float:
        tracemalloc.start()
        kept = steering(services)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return used / 1e6

    return measure("lookup tables", "services", "MB", (40, 160, 320), sample)


def displaced_table_memory() -> Slope:
    """Memory of a second table, by services whose server drains."""
    services = 160

    def sample(draining: int) -> float:
        tracemalloc.start()
        kept = steering(services, draining=draining)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return used / 1e6

    return measure("tables of a drain", "draining services", "MB", (1, 40, 80, 160), sample)


def apply_cpu_time() -> Slope:
    """Processor time to apply a revision with one changed service, by services."""

    def sample(services: int) -> float:
        changed = [
            configuration(revision, services, draining=revision % 2) for revision in (3, 4, 5)
        ]
        part = steering(services)
        pending = iter(changed)
        return cpu_ms(lambda: part.apply_configuration(next(pending), 20_000))

    return measure("applying a revision", "services", "ms", (80, 160, 320, 670), sample)


def parse_cpu_time() -> Slope:
    """Processor time to parse and check the file, by backend servers."""

    def sample(servers: int) -> float:
        text = operators_file(servers)
        return cpu_ms(lambda: parse_configuration(text=text, file="file", revision=1, digest=""))

    return measure("parsing the file", "backend servers", "ms", (200, 400, 800), sample)


def document_bytes() -> Slope:
    """Bytes of the compressed document, by backend servers."""

    def sample(servers: int) -> float:
        document = make_document(
            text=operators_file(servers), revision=1, apply_id="a" * 32, operator="o", previous=None
        )
        return len(encode_document(document)) / MILLISECONDS_PER_S

    return measure("document in the store", "backend servers", "KB", (200, 400, 800), sample)


def operators_file(servers: int) -> str:
    """Return a configuration file with five servers per service."""
    parts = [f'[[failure_domains]]\nname = "{d}"\nregion = "r"\nlink_cost_ms = 5' for d in DOMAINS]
    for number, domain in enumerate(DOMAINS):
        parts.append(
            f'[[entry_hosts]]\nname = "entry-{number}"\nfailure_domain = "{domain}"\n'
            f'address = "127.0.0.{number + 1}"\npeer_port = 1\ndata_port = 2\n'
            "request_port = 3\nadmin_port = 4"
        )
    for number in range(servers // SERVERS_PER_SERVICE):
        parts.append(
            f'[[services]]\nname = "service-{number}"\n'
            f'address = "10.1.{number >> 8}.{number & 255}"\nport = 443\nexpected_service_ms = 50'
        )
        parts += [_server_text(number, n) for n in range(SERVERS_PER_SERVICE)]
    return "\n\n".join(parts) + "\n"


def _server_text(number: int, n: int) -> str:
    return (
        f'[[backend_servers]]\nname = "server-{number}-{n}"\nservice = "service-{number}"\n'
        f'failure_domain = "{DOMAINS[n]}"\naddress = "10.{2 + n}.{number >> 8}.{number & 255}"\n'
        "tunnel_port = 1\nstream_port = 2\nrequest_port = 3\nreport_port = 4"
    )


def view_cpu_time() -> Slope:
    """Processor time of a membership change in steering, by members, with one displaced service."""

    def sample(hosts: int) -> float:
        part = steering(160, hosts=hosts, draining=1)
        views = iter([view(hosts - gone, 2) for gone in range(1, REPEAT_COUNT + 1)])
        return cpu_ms(lambda: part.set_members(next(views), 21_000))

    return measure("membership change in steering", "members", "ms", (30, 120, 470), sample)


def entry_host(services: int, *, hosts: int) -> EntryHost:
    """Return a complete entry host with ``hosts`` peers and an applied revision."""
    host = EntryHost(
        host="entry-0",
        failure_domain=DOMAINS[0],
        incarnation=1,
        abstain_until_ms=0,
        random_source=random.Random(SEED),
    )
    declared = configuration(1, services)._replace(entry_hosts=_entry_hosts(hosts))
    host.apply_configuration(declared, 0)
    for now_ms in range(0, 10_000, 250):
        host.handle(TimerFired(), now_ms)
    return host


def heartbeat_cpu_time() -> Slope:
    """Processor time of a heartbeat with a changed digest at a complete host, by members."""

    def sample(hosts: int) -> float:
        host = entry_host(40, hosts=hosts)
        waits = iter(range(10**6))

        def receive() -> None:
            for sender in range(1, EVENT_COUNT + 1):
                digest = HostDigest(1, "1", (), (WaitEstimate(5, next(waits)),))
                message = Ping(1, (), digest)
                host.handle(PeerMessageArrived(f"entry-{sender % 9 + 1}", 1, message), 10_000)

        return cpu_ms(receive) / EVENT_COUNT

    return measure("heartbeat at a host", "members", "ms", (30, 120, 470), sample)


def event_cpu_time() -> Slope:
    """Processor time of one event at a complete host, by services with five servers each."""

    def sample(services: int) -> float:
        host = entry_host(services, hosts=10)
        report = BackendReport("server-0-0", 1, 10, False, True)

        def receive() -> None:
            for _ in range(EVENT_COUNT):
                host.handle(BackendReportArrived(report), 10_000)

        return cpu_ms(receive) / EVENT_COUNT

    return measure("event at a host", "services", "ms", (40, 160, 670), sample)


def packet_cpu_time(*, displaced: bool) -> Slope:
    """Processor time of one packet, by services."""

    def sample(services: int) -> float:
        part = steering(services, draining=services if displaced else 0)
        events = _packets(part, services, displaced=displaced)
        spent_ms = cpu_ms(lambda: [part.on_packet(event, 21_000) for event in events])
        return spent_ms * MILLISECONDS_PER_S / len(events)

    kind = "displaced" if displaced else "undisplaced"
    return measure(f"packet of {kind} buckets", "services", "us", (10, 80, 320), sample)


def _packets(part: FlowSteering, services: int, *, displaced: bool) -> list[PacketArrived]:
    source = random.Random(SEED)
    matching: list[PacketArrived] = []
    tables = {name: known.tables for name, known in part._context.services_by_name.items()}
    while len(matching) < PACKET_COUNT:
        number = source.randrange(services)
        address = bytes([10, 1, number >> 8, number & 255])
        flow = FlowKey(6, source.randbytes(4), source.randrange(65536), address, 443)
        hashed = flow_hash(flow)
        known = tables[f"service-{number}"]
        if (known.server_by_bucket[hashed % known.size] is None) == displaced:
            matching.append(PacketArrived(flow, hashed, PacketKind.DATA, b""))
    return matching


def record_memory() -> Slope:
    """Memory of flow records, by records."""

    def sample(count: int) -> float:
        records = FlowRecords(bound=count, idle_limit_ms=900_000)
        source = random.Random(SEED)
        tracemalloc.start()
        for _ in range(count):
            records.put(source.getrandbits(FLOW_HASH_BITS), 3)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / 1e6

    return measure("flow records", "records", "MB", (50_000, 100_000, 200_000, 400_000), sample)


def store_calls() -> Slope:
    """Measure calls per second at the store without changes, by failure domains."""
    points = []
    for hosts, domains in ((7, 3), (9, 4), (30, 5)):
        cluster = configuration_benchmark._settled_cluster(hosts, SEED)
        before = sum(cluster.store.calls.values())
        cluster.run_ms(30_000)
        calls = sum(cluster.store.calls.values()) - before
        points.append((float(domains), calls / 30))
    return fit("store calls, idle", "failure domains", "calls/s of the fleet", points)
