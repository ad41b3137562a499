"""Guards the limit of servers in slow start over many hosts, on a virtual clock.

Summaries get lost and are late, hosts and readers change, and failure domains are cut off.
"""

import heapq
import math
import random
from itertools import count
from typing import NamedTuple

import pytest

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import LAPSED_ENTRY_GRACE_MS
from redwingswitch._internal.decisions.cookies.slow_start_limits import SlowStartLimits
from redwingswitch._internal.models.cookie_flows import (
    ForwardPacket,
    ServiceSlowStart,
    SteeringAction,
)
from redwingswitch._internal.models.load_sharing import HostRank
from tests.lib.cookie_flows import (
    acknowledgement_packet,
    flow_id,
    opening_packet,
    route_table,
    server,
)
from tests.lib.sliding_seconds import most_in_a_second

DOMAINS = ("hobart", "huon", "bruny")
HOSTS_PER_DOMAIN = 8
SERVERS = tuple(f"i-{number}" for number in range(1, 6))
RATE_PER_S = 15.0
OPENINGS_PER_TICK = 4
TICK_MS = 10
REPORT_MS = 500
REPORT_LIFE_MS = 1_500
FORMER_READER_MS = 4_000
MAX_LIST_AGE_AT_HOST_MS = 1_500
MAX_SERVER_DELAY_MS = 45
RUN_MS = 24_000
# All faults but a cut-off end here, so that the last span is undisturbed.
FAULTS_END_MS = 13_000
# By then, hosts of an undisturbed failure domain have been entitled for long enough.
SETTLED_MS = 5_000
CALM_SPAN_MS = 3_000


class Faults(NamedTuple):
    """What goes wrong; counts are means for each second of the run."""

    loss: float = 0.0
    late: float = 0.0
    host_changes_per_s: float = 0.0
    reader_changes_per_s: float = 0.0
    cut_off: tuple[str, ...] = ()


class Reader:
    """Ranks the hosts whose reports are not too old."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.reports: dict[int, int] = {}

    def rank(self, host: int, now_ms: int) -> tuple[int, int]:
        self.reports[host] = now_ms
        known = sorted(h for h, at_ms in self.reports.items() if now_ms - at_ms <= REPORT_LIFE_MS)
        return known.index(host), len(known)


class Host:
    def __init__(self, *, number: int, domain: str, reader: Reader, now_ms: int, seed: int) -> None:
        self.number, self.domain, self.reader = number, domain, reader
        self.report_ms = now_ms + seed % REPORT_MS
        self.confirmed_ms = now_ms
        # Set while the host follows a reader that has been replaced.
        self.former_until_ms: int | None = None
        limits = SlowStartLimits(failure_domain=domain, failure_domains=DOMAINS)
        self.steering = CookieSteering(
            failure_domain=domain, random_source=random.Random(seed), slow_start=limits
        )
        limit = ServiceSlowStart("job-board", RATE_PER_S, RUN_MS)
        self.steering.apply_routes(route_table()._replace(slow_starts=(limit,)))
        self.steering.directory.on_list_read(now_ms - LAPSED_ENTRY_GRACE_MS)
        for name in SERVERS:
            listed = server(name, slow_start_left_ms=2 * RUN_MS, report_number=9)
            self.steering.directory.put(listed, now_ms)


class Fleet:
    def __init__(self, faults: Faults, *, seed: int) -> None:
        self.faults = faults
        self.random = random.Random(seed)
        self.now_ms = 0
        self.numbers = count(1)
        self.order = count()
        self.readers = {domain: Reader(next(self.numbers)) for domain in DOMAINS}
        self.hosts = [self.new_host(domain) for domain in DOMAINS for _ in range(HOSTS_PER_DOMAIN)]
        self.messages: list[tuple[int, int, Host, HostRank | None, int, Reader]] = []
        self.arrivals: dict[str, list[int]] = {name: [] for name in SERVERS}

    def new_host(self, domain: str) -> Host:
        # Restarted hosts sort anywhere among the others.
        number = self.random.getrandbits(20) << 20 | next(self.numbers)
        seed = self.random.getrandbits(16)
        return Host(
            number=number,
            domain=domain,
            reader=self.readers[domain],
            now_ms=self.now_ms,
            seed=seed,
        )

    def run(self) -> None:
        while self.now_ms < RUN_MS:
            self.now_ms += TICK_MS
            self.change_fleet()
            self.exchange()
            for host in self.hosts:
                self.confirm_list(host)
                due_ms = host.steering.next_deadline_ms()
                if due_ms is not None and due_ms <= self.now_ms:
                    for action in host.steering.on_timer(self.now_ms):
                        self.deliver(host, action)
            for _ in range(OPENINGS_PER_TICK):
                host = self.random.choice(self.hosts)
                opening = opening_packet(flow_id(next(self.numbers)))
                self.deliver(host, host.steering.on_packet(opening, self.now_ms))

    def occurs(self, times_per_s: float) -> bool:
        return self.random.random() < times_per_s * TICK_MS / 1_000

    def change_fleet(self) -> None:
        if self.now_ms >= FAULTS_END_MS:
            self.faults = Faults(cut_off=self.faults.cut_off)
        if self.occurs(self.faults.host_changes_per_s):
            index = self.random.randrange(len(self.hosts))
            self.hosts[index] = self.new_host(self.hosts[index].domain)
        if self.occurs(self.faults.reader_changes_per_s):
            domain = self.random.choice(DOMAINS)
            self.readers[domain] = Reader(next(self.numbers))
            for host in self.hosts:
                if host.domain == domain and self.random.random() < 0.5:
                    host.reader, host.former_until_ms = self.readers[domain], None
                elif host.domain == domain and host.former_until_ms is None:
                    host.former_until_ms = self.now_ms + FORMER_READER_MS

    def confirm_list(self, host: Host) -> None:
        """Confirm the list by the reader of the failure domain; a former one confirms nothing."""
        if host.domain in self.faults.cut_off and self.now_ms >= SETTLED_MS:
            return
        if host.former_until_ms is not None and self.now_ms >= host.former_until_ms:
            host.reader, host.former_until_ms = self.readers[host.domain], None
        if host.former_until_ms is None:
            age_ms = self.random.randrange(MAX_LIST_AGE_AT_HOST_MS)
            host.confirmed_ms = max(host.confirmed_ms, self.now_ms - age_ms)
        host.steering.slow_start.entitlement.on_list_checked(
            confirmed_ms=host.confirmed_ms, reader=host.reader.incarnation
        )

    def exchange(self) -> None:
        for host in self.hosts:
            if self.now_ms >= host.report_ms:
                host.report_ms += REPORT_MS
                if host.domain not in self.faults.cut_off or self.now_ms < SETTLED_MS:
                    self.send(host, None, self.now_ms, host.reader)
        while self.messages and self.messages[0][0] <= self.now_ms:
            _, _, host, rank, sent_ms, reader = heapq.heappop(self.messages)
            if rank is None:
                found = reader.rank(host.number, self.now_ms)
                self.send(host, HostRank(*found, sent_ms + REPORT_LIFE_MS), sent_ms, reader)
            elif host.reader is reader:
                host.steering.slow_start.entitlement.set_host_rank(
                    rank, reader=reader.incarnation, now_ms=self.now_ms
                )

    def send(self, host: Host, rank: HostRank | None, sent_ms: int, reader: Reader) -> None:
        if self.random.random() < self.faults.loss:
            return
        is_late = self.random.random() < self.faults.late
        delay_ms = self.random.randrange(3_000) if is_late else self.random.randrange(1, 5)
        message = (self.now_ms + delay_ms, next(self.order), host, rank, sent_ms, reader)
        heapq.heappush(self.messages, message)

    def deliver(self, host: Host, action: SteeringAction) -> None:
        if not isinstance(action, ForwardPacket):
            return
        name = action.server.server_id
        delay_ms = self.random.randrange(MAX_SERVER_DELAY_MS)
        self.arrivals[name].append(self.now_ms + delay_ms)
        if self.random.random() < 0.9:
            answer = acknowledgement_packet(action.packet.flow, name, 1)
            host.steering.on_packet(answer, self.now_ms)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(), id="calm"),
        pytest.param(Faults(loss=0.2, late=0.2), id="lost and late summaries"),
        pytest.param(Faults(host_changes_per_s=0.5), id="host changes"),
        pytest.param(Faults(reader_changes_per_s=0.5), id="two readers at a time"),
        pytest.param(Faults(cut_off=DOMAINS[:1]), id="a failure domain is cut off"),
        pytest.param(
            Faults(loss=0.1, late=0.1, host_changes_per_s=0.2, reader_changes_per_s=0.2),
            id="all at once",
        ),
    ],
)
def test_all_hosts_together_keep_the_limit_in_every_sliding_second(
    faults: Faults, seed: int
) -> None:
    fleet = Fleet(faults, seed=seed)
    fleet.run()
    for name, arrivals_ms in fleet.arrivals.items():
        assert most_in_a_second(arrivals_ms) <= RATE_PER_S, name
        is_disturbed = faults != Faults(cut_off=faults.cut_off)
        calm_ms = RUN_MS - CALM_SPAN_MS if is_disturbed else SETTLED_MS
        spans = range(math.ceil(calm_ms / CALM_SPAN_MS), RUN_MS // CALM_SPAN_MS)
        assert {at_ms // CALM_SPAN_MS for at_ms in arrivals_ms} >= set(spans), name
