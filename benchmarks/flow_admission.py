"""What callers get in a shortage of servers, by how hosts admit new flows.

A model on a virtual clock: the hosts use the decision objects of the steering daemon, callers
retry twice, and servers have 2 slots and a queue of 8 and refuse what exceeds it. Large sites are
thinned: they have fewer servers for each host, so that a host sees few flows.

    python -m benchmarks.flow_admission [--seed 1] [--hosts 9,90,300] [--wait_limits]
"""

from __future__ import annotations

import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

import fire

from benchmarks.event_queue import EventQueue
from redwingswitch._internal.decisions.flow_admission.admission_plan import (
    RatePlan,
    admitted_rates,
)
from redwingswitch._internal.decisions.flow_admission.flow_admission import (
    Admission,
    FlowAdmission,
    WaitLimit,
)
from redwingswitch._internal.decisions.flow_admission.own_demand import OwnDemand
from redwingswitch._internal.decisions.flow_admission.shortage import RouteLoad
from redwingswitch._internal.decisions.flow_admission.sources import UsableRoom
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from redwingswitch._internal.models.load_sharing import RouteDemand, ServiceDemand

SERVICE = "forms"
SLOTS, QUEUE = 2, 8
TRIES = 3
ONE_WAY_MS = 3
SUMS_INTERVAL_MS, SUMS_LAG_MS, SUMS_LIFETIME_MS = 500, 500, 1_500
WARM_UP_MS = 3_000
SERVERS = {9: 6, 90: 12, 300: 24}
LOOKUP, COMMIT, EXPORT = (RouteAddress(1, port) for port in (80, 81, 82))
NAMES = {LOOKUP: "lookup", COMMIT: "commit", EXPORT: "export"}
WORK_MS = {LOOKUP: 22.0, COMMIT: 29.0, EXPORT: 5.0}
SHARE = {LOOKUP: 569.0, COMMIT: 163.0, EXPORT: 48.8}
# Value of an answer in time and of a late one.
VALUE = {LOOKUP: (1.0, 0.3), COMMIT: (2.0, 0.6), EXPORT: (1.0, 0.3)}
ROUTES = {
    key: Route(NAMES[key], key, (ServiceShare(SERVICE, 1.0),), kind, budget, goal, priority)
    for key, kind, budget, goal, priority in (
        (LOOKUP, RouteKind.IDEMPOTENT, 1_632, 326, 2),
        (COMMIT, RouteKind.NON_IDEMPOTENT, 1_638, 327, 1),
        (EXPORT, RouteKind.DOWNLOAD, 4_360, 872, 2),
    )
}


class Scenario(NamedTuple):
    """Demand relative to the room, and what changes after the warm-up."""

    name: str
    demand_ratio: float
    bursts: Mapping[RouteAddress, float] = {}
    lost_ratio: float = 0.0
    domain_weights: tuple[float, float, float] = (1.0, 1.0, 1.0)


SCENARIOS = (
    Scenario("room for 60 % of the demand", 1 / 0.6),
    Scenario("lookup at four times its rate", 0.6, {LOOKUP: 4.0}),
    Scenario("all routes at three times their rate", 0.6, dict.fromkeys(ROUTES, 3.0)),
    Scenario("a third of the servers lost", 0.9, lost_ratio=1 / 3),
    Scenario("uneven demand of failure domains", 1 / 0.6, domain_weights=(4.0, 1.0, 1.0)),
    Scenario("no shortage", 0.6),
)


class _BudgetLimit:
    """Lets a flow wait while it can be served within its time budget."""

    def longest_wait_ms(self, route: Route, answer_ms: float) -> float:
        return route.timeout_ms - answer_ms


class _GoalLimit:
    """Lets a flow wait while it can be served within its latency goal."""

    def longest_wait_ms(self, route: Route, answer_ms: float) -> float:
        return route.latency_goal_ms - answer_ms


class _NoWait:
    """Lets no flow wait."""

    def longest_wait_ms(self, _route: Route, _answer_ms: float) -> float:
        return 0.0


def strict_rates(loads: Sequence[RouteLoad], room_slots: float) -> dict[RouteAddress, float]:
    """Return admitted rates by priority alone; equal priorities share by demand."""
    rates: dict[RouteAddress, float] = {}
    ordered = sorted(loads, key=lambda load: load.priority)
    for _, group in itertools.groupby(ordered, key=lambda load: load.priority):
        found = list(group)
        wanted = sum(load.slots for load in found)
        ratio = min(1.0, max(0.0, room_slots) / wanted) if wanted else 0.0
        room_slots -= wanted
        rates.update({load.destination: load.requests_per_s * ratio for load in found})
    return rates


class Strategy(NamedTuple):
    """How hosts admit flows; a host without a plan admits up to ``limit_ratio`` of the slots."""

    name: str
    rate_plan: RatePlan | None = None
    wait_limit: WaitLimit | None = None
    limit_ratio: float | None = None


STRATEGIES = (
    Strategy("no admission"),
    Strategy("first come, limit", limit_ratio=3.0),
    Strategy("strict priority", strict_rates),
    Strategy("the choice", admitted_rates),
)
WAIT_LIMITS = (
    Strategy("wait to the time budget", admitted_rates, _BudgetLimit()),
    Strategy("wait to the latency goal", admitted_rates, _GoalLimit()),
    Strategy("no wait", admitted_rates, _NoWait()),
)


class _Request:
    """One request of a caller, over all its tries."""

    def __init__(self, destination: RouteAddress, began_ms: float) -> None:
        self.destination = destination
        self.began_ms = began_ms
        self.tries = 0
        self.waited_ms = 0.0
        self.is_over = False


class _Server:
    def __init__(self) -> None:
        self.is_lost = False
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()

    @property
    def load(self) -> int:
        return self.running + len(self.queue)


class _Host:
    """The admission of one host, with what it knows of room and demand."""

    def __init__(self, model: _Model, strategy: Strategy) -> None:
        self.model = model
        self.busy = 0
        self.admission: FlowAdmission | None = None
        self.timer_ms: int | None = None
        if strategy.rate_plan is not None:
            self.admission = FlowAdmission(
                demand_source=model,
                room_source=self,
                wait_limit=strategy.wait_limit,
                rate_plan=strategy.rate_plan,
            )
            self.admission.apply_routes(RouteTable(1, ROUTES, 15_000))

    def usable_room(self, service: str, now_ms: int) -> UsableRoom:
        del service, now_ms
        servers = sum(not server.is_lost for server in self.model.servers)
        return UsableRoom(SLOTS * servers, servers)


class _Model:
    """One run of a scenario with a strategy."""

    def __init__(
        self, *, strategy: Strategy, scenario: Scenario, hosts: int, seed: int, duration_s: float
    ) -> None:
        self.random = random.Random(seed)
        self.strategy, self.scenario = strategy, scenario
        self.servers = [_Server() for _ in range(SERVERS[hosts])]
        self.hosts = [_Host(self, strategy) for _ in range(hosts)]
        weights = scenario.domain_weights
        self.host_weights = [weights[number % len(weights)] for number in range(hosts)]
        self.end_ms = WARM_UP_MS + duration_s * 1_000
        self.events = EventQueue()
        self.flow_numbers = itertools.count()
        self.demand = OwnDemand()
        self.sums: deque[tuple[float, ServiceDemand]] = deque(maxlen=3)
        self.waiting: dict[FlowEndpoints, _Request] = {}
        self.results: list[tuple[_Request, float | None]] = []
        self.refusals: Counter[str] = Counter()

    @property
    def now_ms(self) -> float:
        return self.events.now_ms

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        self.events.schedule(at_ms, call)

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        del service
        known = [s for known_ms, s in self.sums if known_ms <= now_ms < s.deadline_ms]
        return known[-1] if known else None

    def run(self) -> _Model:
        work_per_s = sum(SHARE[key] * WORK_MS[key] / 1_000 for key in ROUTES)
        base = self.scenario.demand_ratio * SLOTS * len(self.servers) / work_per_s
        for key in ROUTES:
            at_ms = 0.0
            while at_ms < self.end_ms:
                burst = self.scenario.bursts.get(key, 1.0) if at_ms >= WARM_UP_MS else 1.0
                at_ms += self.random.expovariate(base * SHARE[key] * burst / 1_000)
                self.at(at_ms, partial(self.begin, _Request(key, at_ms)))
        self.at(0, self.add_up)
        self.at(WARM_UP_MS, self.lose_servers)
        self.events.run(self.end_ms + 5_000)
        return self

    def lose_servers(self) -> None:
        for server in self.servers[: round(len(self.servers) * self.scenario.lost_ratio)]:
            server.is_lost = True

    def add_up(self) -> None:
        """Publish the sums of all hosts, late as reports and summaries make them."""
        now_ms = int(self.now_ms)
        # The observed work is a low quantile of the service times.
        routes = tuple(
            RouteDemand(key, self.demand.requests_per_s(SERVICE, key, now_ms), 0.85 * WORK_MS[key])
            for key in ROUTES
        )
        busy = sum(host.busy for host in self.hosts)
        known_ms = now_ms + SUMS_LAG_MS
        deadline_ms = known_ms + SUMS_LIFETIME_MS
        sums = ServiceDemand(routes, busy, 3, 3, deadline_ms, host_count=len(self.hosts))
        self.sums.append((known_ms, sums))
        self.at(self.now_ms + SUMS_INTERVAL_MS, self.add_up)

    def begin(self, request: _Request) -> None:
        route = ROUTES[request.destination]
        self.at(self.now_ms + route.timeout_ms, lambda: self.finish(request, None))
        self.start_try(request)

    def finish(self, request: _Request, latency_ms: float | None) -> None:
        if not request.is_over:
            request.is_over = True
            self.results.append((request, latency_ms))

    def start_try(self, request: _Request) -> None:
        if request.is_over:
            return
        if request.tries == TRIES:
            self.finish(request, None)
            return
        request.tries += 1
        host = self.random.choices(self.hosts, self.host_weights)[0]
        flow = FlowEndpoints(1, next(self.flow_numbers), request.destination)
        self.at(self.now_ms + ONE_WAY_MS, lambda: self.open(request, host, flow, 0))

    def open(self, request: _Request, host: _Host, flow: FlowEndpoints, copy_number: int) -> None:
        now_ms = int(self.now_ms)
        if copy_number == 0:
            self.demand.note_arrival(SERVICE, flow.destination, now_ms)
        if host.admission is None:
            limit = self.strategy.limit_ratio
            per_host = limit and max(1.0, limit * SLOTS * len(self.servers) / len(self.hosts))
            if per_host and host.busy >= per_host:
                self.refuse(request, "host")
            else:
                self.forward(request, host)
            return
        if copy_number > 0 and (request.is_over or not host.admission.is_waiting(flow)):
            host.admission.discard(flow)
            return
        packet = FlowPacket(flow, True, False, False, copy_number, 0, 0, 0, 0, b"")
        route = ROUTES[flow.destination]
        decision = host.admission.on_opening(packet, route, SERVICE, now_ms, arrived_ms=now_ms)
        if decision.admission is Admission.ADMIT:
            self.forward(request, host)
        elif decision.admission is Admission.REJECT:
            self.refuse(request, "host")
        else:
            self.waiting[flow] = request
            again_ms = self.now_ms + (200 << copy_number)
            self.at(again_ms, lambda: self.open(request, host, flow, copy_number + 1))
        self.set_timer(host)

    def set_timer(self, host: _Host) -> None:
        due_ms = host.admission.next_deadline_ms() if host.admission else None
        if due_ms is not None and (host.timer_ms is None or due_ms < host.timer_ms):
            host.timer_ms = due_ms
            self.at(max(due_ms, self.now_ms), lambda: self.fire(host, due_ms))

    def fire(self, host: _Host, due_ms: int) -> None:
        if host.timer_ms != due_ms or host.admission is None:
            return
        host.timer_ms = None
        for end in host.admission.on_timer(int(self.now_ms)):
            request = self.waiting.pop(end.waiting.flow)
            request.waited_ms += end.wait_ms
            if request.is_over or end.admission is Admission.ABANDON:
                continue
            if end.admission is Admission.ADMIT:
                self.forward(request, host)
            else:
                self.refuse(request, "host")
        self.set_timer(host)

    def refuse(self, request: _Request, by: str) -> None:
        self.refusals[by] += 1
        pause_ms = ONE_WAY_MS + self.random.uniform(5, 15)
        self.at(self.now_ms + pause_ms, lambda: self.start_try(request))

    def forward(self, request: _Request, host: _Host) -> None:
        """Send the request after the opening's round trip to the less busy of two servers."""
        usable = [server for server in self.servers if not server.is_lost]
        server = min(self.random.sample(usable, 2), key=lambda each: each.load)
        host.busy += 1
        self.at(self.now_ms + 2 * ONE_WAY_MS, lambda: self.arrive(request, host, server))

    def arrive(self, request: _Request, host: _Host, server: _Server) -> None:
        arrived_ms = self.now_ms
        if server.load >= SLOTS + QUEUE:
            host.busy -= 1
            self.refuse(request, "server")
            return
        work_ms = WORK_MS[request.destination] * self.random.uniform(0.7, 1.3)

        def end() -> None:
            server.running -= 1
            if server.queue:
                server.queue.popleft()()
            service_ms = self.now_ms - arrived_ms
            self.at(self.now_ms + 2 * ONE_WAY_MS, lambda: self.answered(request, host, service_ms))

        def start() -> None:
            server.running += 1
            self.at(self.now_ms + work_ms, end)

        if server.running < SLOTS:
            start()
        else:
            server.queue.append(start)

    def answered(self, request: _Request, host: _Host, service_ms: float) -> None:
        host.busy -= 1
        if host.admission is not None:
            own_demand = host.admission.own_demand
            own_demand.note_service_time(request.destination, service_ms, service=SERVICE)
        self.finish(request, self.now_ms - request.began_ms)


def percentile(values: Sequence[float], ratio: float) -> float:
    """Return a percentile of the values, 0 without any."""
    return sorted(values)[min(len(values) - 1, int(len(values) * ratio))] if values else 0.0


def summarize(model: _Model) -> dict[str, object]:
    """Return what the callers that began after the warm-up got."""
    began: Counter[RouteAddress] = Counter()
    in_time: Counter[RouteAddress] = Counter()
    late: Counter[RouteAddress] = Counter()
    by_second: dict[int, list[float]] = {}
    for request, latency_ms in model.results:
        if request.began_ms < WARM_UP_MS or request.began_ms >= model.end_ms:
            continue
        key = request.destination
        value = 0.0
        began[key] += 1
        if latency_ms is not None and latency_ms <= ROUTES[key].latency_goal_ms:
            in_time[key] += 1
            value = VALUE[key][0]
        elif latency_ms is not None:
            late[key] += 1
            value = VALUE[key][1]
        second = by_second.setdefault(int(request.began_ms // 1_000), [0.0, 0.0])
        second[0] += value
        second[1] += VALUE[key][0]
    waits = [request.waited_ms for request, _ in model.results if request.waited_ms]
    owed = sum(second[1] for second in by_second.values())
    return {
        "value": sum(second[0] for second in by_second.values()) / owed,
        "worst second": min(second[0] / second[1] for second in by_second.values()),
        **{
            f"{NAMES[key]} ({ROUTES[key].priority})": (
                in_time[key] / began[key],
                late[key] / began[key],
            )
            for key in ROUTES
        },
        "wait p50": percentile(waits, 0.5),
        "wait p99": percentile(waits, 0.99),
        "refused by servers": model.refusals["server"] / sum(began.values()),
    }


def run_one(job: tuple[int, int, int, int, float]) -> dict[str, object]:
    """Run one combination, in a process of its own."""
    hosts, scenario, strategy, seed, duration_s = job
    model = _Model(
        strategy=(STRATEGIES + WAIT_LIMITS)[strategy],
        scenario=SCENARIOS[scenario],
        hosts=hosts,
        seed=seed,
        duration_s=duration_s,
    )
    return summarize(model.run())


def format_cell(value: object) -> str:
    """Return a number with two digits, or the shares in time and late."""
    if isinstance(value, tuple):
        return " + ".join(f"{part:.2f}" for part in value)
    return f"{value:.0f}" if isinstance(value, float) and value > 5 else f"{value:.2f}"


def main(
    seed: int = 1,
    hosts: str = "9,90,300",
    duration_s: float = 6.0,
    processes: int = 3,
    wait_limits: bool = False,
) -> None:
    """Print a table of results; the shares of a route are in time + late.

    With ``wait_limits``, compare the choice with other limits of the wait.
    """
    first = len(STRATEGIES) - 1 if wait_limits else 0
    last = len(STRATEGIES) + (len(WAIT_LIMITS) if wait_limits else 0)
    sizes = [int(size) for size in str(hosts).strip("()").split(",")]
    jobs = [
        (size, scenario, strategy, seed, duration_s)
        for size in sizes
        for scenario in range(len(SCENARIOS))
        for strategy in range(first, last)
    ]
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(run_one, jobs))
    print("| hosts | scenario | admission |", " | ".join(results[0]), "|")
    print("|---|---|---|" + "---|" * len(results[0]))
    for (size, scenario, strategy, _, _), result in zip(jobs, results, strict=True):
        cells = " | ".join(format_cell(value) for value in result.values())
        name = (STRATEGIES + WAIT_LIMITS)[strategy].name
        print(f"| {size} | {SCENARIOS[scenario].name} | {name} | {cells} |")


if __name__ == "__main__":
    fire.Fire(main)
