"""Model of several hosts that tell each other the load of servers, on a virtual clock.

The hosts run the decisions and the exchange of the product; messages between them are encoded.
Callers, servers and the network are simulated.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from benchmarks.cookie_flows import (
    configure,
    flow_packet,
    idempotent_route,
    listed_server,
)
from benchmarks.event_queue import EventQueue
from redwingswitch._internal.daemon.load_exchange import CHECK_INTERVAL_MS, LoadExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.load_sharing.other_readers import OtherReaders
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    ForwardPacket,
    ListedServer,
    ResetFlow,
    RouteAddress,
    SteeringAction,
)
from redwingswitch._internal.models.list_readers import (
    DomainReader,
    ListReader,
    Neighbour,
    RegisteredReader,
)
from redwingswitch._internal.network.list_messages import (
    ListMessage,
    decode_list_message,
    encode_list_message,
)

SERVICE = "lookup"
DESTINATION = RouteAddress(0xC6120001, 443)
LATENCY_GOAL_MS, TIME_BUDGET_MS = 326, 1_632
SLOTS, QUEUE_LIMIT = 2, 8
LOCAL_DELAY_MS, REMOTE_DELAY_MS, CALLER_DELAY_MS = 1, 5, 3
OPENING_COPIES_MS = (0, 200, 600)
MAX_TRIES = 3
RETRY_DELAY_MS = 10
DATA_BYTES = 100


class SimulatedServer:
    """A server with slots and a queue; its speed and faults may be changed.

    ``resets_openings`` is a server that has crashed: its machine resets callers.
    """

    def __init__(self, *, server: ListedServer) -> None:
        self.server = server
        self.speed = 1.0
        self.is_silent = False
        self.resets_openings = False
        # Callers' tries that met a reset since the crash.
        self.resets = 0
        self.hang_ratio = 0.0
        self.working = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.offered: list[int] = []

    @property
    def is_full(self) -> bool:
        """Return whether a further request is refused."""
        return len(self.queue) >= QUEUE_LIMIT


class SimulatedHost:
    """One host; its failure domain, steering and exchange."""

    def __init__(self, *, record: ListReader, domain: str, seed: int, clock: Model) -> None:
        self.record = record
        self.domain = domain
        self.is_running = True
        # Whether all its packets to servers are lost.
        self.has_bad_link = False
        source = random.Random(seed)
        self.steering = CookieSteering(failure_domain=domain, random_source=source)
        self.sharing = ListSharing(
            local_reader=record, age_limit_ms=2_000, random_source=random.Random(seed + 1)
        )
        self.other_readers = OtherReaders()
        self.metrics = SteeringMetrics()
        self.timer_ms: int | None = None
        self.load = self.steering.share_load(all_domains=len(clock.domains))
        self.exchange = LoadExchange(
            steering=self.steering,
            load_sharing=self.load,
            sharing=self.sharing,
            other_readers=self.other_readers,
            local=record,
            failure_domain=domain,
            clock=clock,
            age_clock=clock,
            metrics=self.metrics,
            send=lambda message, receiver: clock.send(self, message, receiver),
        )


class Request(NamedTuple):
    """When a caller began a request, and how long it took; None if it was not answered."""

    began_ms: int
    wait_ms: int | None


class _Attempt:
    """One try of a caller: a flow through one host."""

    __slots__ = ("began_ms", "domain", "flow", "has_moved", "host", "is_over", "server", "tries")

    def __init__(self, *, began_ms: int, domain: str, tries: int) -> None:
        self.began_ms = began_ms
        self.domain = domain
        self.tries = tries
        self.is_over = False
        # Whether its packets take another host than its opening packet.
        self.has_moved = False
        self.server: SimulatedServer | None = None
        self.host: SimulatedHost
        self.flow: FlowEndpoints


class Model:
    """Hosts, callers and servers of several failure domains; also the clock of all of them."""

    def __init__(
        self,
        *,
        hosts: int,
        servers: int,
        seed: int,
        domains: tuple[str, ...] = ("a", "b", "c"),
        shares_load: bool = True,
        work_ms: float = 50.0,
        loss: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.domains = domains
        self.work_ms = work_ms
        self.loss = loss
        self.shares_load = shares_load
        # Pairs of a host's failure domain and another host's or server's that cannot communicate.
        self.cuts: set[tuple[str, str]] = set()
        # Until then, the routers change their rotation and send each packet to any host.
        self.rotation_deadline_ms = 0
        self.requests: list[Request] = []
        self.resets = 0
        # Numbers and bytes of the messages between hosts by kind.
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._events = EventQueue()
        self._flow_numbers = count()
        self._open: dict[FlowEndpoints, _Attempt] = {}
        self.servers = {
            each.server_id: SimulatedServer(server=each)
            for each in (
                listed_server(
                    f"i-{n}",
                    service=SERVICE,
                    failure_domain=domains[n % len(domains)],
                    port=8_000 + n,
                )
                for n in range(servers)
            )
        }
        self.hosts = [self._create_host(n, seed) for n in range(hosts)]
        for position, domain in enumerate(domains):
            self.elect(self.hosts[position], domain, revision=1)

    @property
    def time_ms(self) -> int:
        """Return the virtual time."""
        return int(self._events.now_ms)

    def now_ms(self) -> int:
        """Return the virtual time, as a clock does."""
        return self.time_ms

    def elect(self, host: SimulatedHost, domain: str, *, revision: int) -> None:
        """Make a host the reader of its failure domain and let all hosts know."""
        registered = RegisteredReader(host.record, revision)
        for other in self.hosts:
            if other.domain == domain:
                other.sharing.on_reader_registered(registered, self.time_ms, is_newest=True)
            else:
                other.other_readers.apply([DomainReader(domain, registered)])

    def run(self, until_ms: int) -> None:
        """Handle all events up to a time."""
        self._events.run(until_ms)
        self._events.now_ms = until_ms

    def after(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Call ``event`` after a delay."""
        self._events.schedule(self.time_ms + max(0, round(delay_ms)), event)

    def call_at_rate(self, domain: str, rate_per_s: float) -> None:
        """Let callers of a failure domain begin requests at random times from now on."""

        def begin() -> None:
            self._try(_Attempt(began_ms=self.time_ms, domain=domain, tries=0))
            self.after(1_000 * self.random.expovariate(rate_per_s), begin)

        self.after(1_000 * self.random.expovariate(rate_per_s), begin)

    def send(self, sender: SimulatedHost, message: ListMessage, receiver: Neighbour) -> None:
        """Deliver a message between hosts, unless it is lost."""
        data = encode_list_message(incarnation=sender.record.incarnation, message=message)
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        target = self.hosts[receiver.port]
        if self.random.random() < self.loss or self._is_cut(sender.domain, target.domain):
            return
        delay_ms = self._delay_ms(sender.domain, target.domain)
        origin = Neighbour(sender.record.address, sender.record.port)

        def deliver() -> None:
            if target.is_running:
                incarnation, received = decode_list_message(data)
                target.exchange.on_message(received, incarnation=incarnation, sender=origin)  # type: ignore[arg-type]

        self.after(delay_ms, deliver)

    def _create_host(self, number: int, seed: int) -> SimulatedHost:
        record = ListReader(f"host-{number}", "10.0.0.1", number, 1_000 + number)
        domain = self.domains[number % len(self.domains)]
        host = SimulatedHost(record=record, domain=domain, seed=seed + number, clock=self)
        route = idempotent_route(
            "r",
            DESTINATION,
            service=SERVICE,
            timeout_ms=TIME_BUDGET_MS,
            latency_goal_ms=LATENCY_GOAL_MS,
        )
        servers = [each.server for each in self.servers.values()]
        configure(host.steering, routes=[route], servers=servers)

        def check() -> None:
            if host.is_running and self.shares_load:
                host.exchange.send_due_messages()
            self.after(CHECK_INTERVAL_MS, check)

        self.after(self.random.uniform(0, CHECK_INTERVAL_MS), check)
        return host

    def _is_cut(self, left: str, right: str) -> bool:
        return (left, right) in self.cuts or (right, left) in self.cuts

    def _delay_ms(self, left: str, right: str) -> int:
        return LOCAL_DELAY_MS if left == right else REMOTE_DELAY_MS

    def _choose_host(self, domain: str) -> SimulatedHost:
        return self.random.choice([h for h in self.hosts if h.domain == domain and h.is_running])

    def _route(self, attempt: _Attempt) -> SimulatedHost:
        """Return the host that the next packet of a flow takes."""
        if self.time_ms < self.rotation_deadline_ms:
            attempt.host = self._choose_host(attempt.domain)
            attempt.has_moved = True
        return attempt.host

    def _acknowledge(self, attempt: _Attempt, cookie: int, acknowledged: int) -> None:
        """Send the caller's acknowledgement of an answer of the server.

        Flows that have not moved go without, since their next packet acknowledges too.
        """
        host = self._route(attempt)
        if attempt.has_moved:
            packet = flow_packet(attempt.flow, cookie=cookie, acknowledged=acknowledged)
            self._perform(host, host.steering.on_packet(packet, self.time_ms))

    def _try(self, attempt: _Attempt) -> None:
        attempt.host = self._choose_host(attempt.domain)
        attempt.has_moved = False
        attempt.server = None
        attempt.tries += 1
        number = next(self._flow_numbers)
        attempt.flow = FlowEndpoints(0x64400000 + number // 60_000, number % 60_000, DESTINATION)
        self._open[attempt.flow] = attempt
        for copy_number, delay_ms in enumerate(OPENING_COPIES_MS):
            self.after(
                CALLER_DELAY_MS + delay_ms,
                self._opening_sender(attempt, attempt.tries, copy_number),
            )
        if attempt.tries == 1:
            self.after(TIME_BUDGET_MS, lambda: self._end(attempt, is_answered=False))

    def _opening_sender(
        self, attempt: _Attempt, tries: int, copy_number: int
    ) -> Callable[[], None]:
        def send() -> None:
            is_waiting = attempt.tries == tries and attempt.server is None
            if is_waiting and not attempt.is_over:
                packet = flow_packet(attempt.flow, copy_number=copy_number)
                host = self._route(attempt) if copy_number else attempt.host
                self._perform(host, host.steering.on_packet(packet, self.time_ms))

        return send

    def _perform(self, host: SimulatedHost, action: SteeringAction) -> None:
        self._set_timer(host)
        if isinstance(action, ResetFlow):
            self.resets += 1
        if not isinstance(action, ForwardPacket) or not action.packet.opens:
            return
        server = self.servers[action.server.server_id]
        server.offered.append(self.time_ms)
        attempt = self._open.get(action.packet.flow)
        is_cut = host.has_bad_link or self._is_cut(host.domain, server.server.failure_domain)
        lost = server.is_silent or is_cut
        if attempt is None or lost:
            return
        tries = attempt.tries
        trip_ms = 2 * self._delay_ms(host.domain, server.server.failure_domain)

        def answer() -> None:
            if not attempt.is_over and attempt.tries == tries and attempt.server is None:
                server.resets += server.resets_openings
                if server.is_full or server.resets_openings:
                    self._refuse(attempt)
                else:
                    attempt.server = server
                    self._request(attempt, server, action.cookie, trip_ms)

        self.after(trip_ms + 2 * CALLER_DELAY_MS, answer)

    def _set_timer(self, host: SimulatedHost) -> None:
        deadline_ms = host.steering.next_deadline_ms()
        if host.timer_ms is not None or deadline_ms is None:
            return
        host.timer_ms = deadline_ms

        def fire() -> None:
            host.timer_ms = None
            for action in host.steering.on_timer(self.time_ms):
                self._perform(host, action)
            self._set_timer(host)

        self.after(deadline_ms - self.time_ms, fire)

    def _refuse(self, attempt: _Attempt) -> None:
        del self._open[attempt.flow]
        if attempt.tries < MAX_TRIES:
            self.after(RETRY_DELAY_MS, lambda: None if attempt.is_over else self._try(attempt))
        else:
            self._end(attempt, is_answered=False)

    def _request(
        self, attempt: _Attempt, server: SimulatedServer, cookie: int, trip_ms: int
    ) -> None:
        self._acknowledge(attempt, cookie, 1)
        self._route(attempt).steering.on_packet(
            flow_packet(attempt.flow, cookie=cookie, data_bytes=DATA_BYTES), self.time_ms
        )
        if self.random.random() < server.hang_ratio:
            return

        def work() -> None:
            server.working += 1
            duration_ms = self.random.gammavariate(4.0, self.work_ms / 4) / server.speed
            self.after(duration_ms, finish)

        def finish() -> None:
            server.working -= 1
            if server.queue:
                server.queue.popleft()()
            if server.resets_openings:
                # The requests in progress end with the crash.
                self.after(trip_ms / 2 + CALLER_DELAY_MS, lambda: self._lose(attempt))
            else:
                self.after(trip_ms / 2 + CALLER_DELAY_MS, lambda: self._answered(attempt, cookie))

        if server.working < SLOTS:
            work()
        else:
            server.queue.append(work)

    def _lose(self, attempt: _Attempt) -> None:
        if not attempt.is_over:
            self._refuse(attempt)

    def _answered(self, attempt: _Attempt, cookie: int) -> None:
        self._end(attempt, is_answered=True)
        self._acknowledge(attempt, cookie, 2)
        closing = flow_packet(
            attempt.flow, cookie=cookie, sequence=1 + DATA_BYTES, acknowledged=2, closes=True
        )
        self.after(
            CALLER_DELAY_MS,
            lambda: self._route(attempt).steering.on_packet(closing, self.time_ms),
        )

    def _end(self, attempt: _Attempt, *, is_answered: bool) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        self._open.pop(attempt.flow, None)
        wait_ms = self.time_ms - attempt.began_ms if is_answered else None
        self.requests.append(Request(attempt.began_ms, wait_ms))
