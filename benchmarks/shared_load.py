"""Ways to select a server by the load that all hosts know, and the bytes of telling it.

Run with ``python -m benchmarks.run_all shared_load``.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks.shared_load_model import SLOTS, Model, Request, SimulatedHost
from benchmarks.tables import Table
from redwingswitch._internal.daemon.load_exchange import REPORT_INTERVAL_MS
from redwingswitch._internal.decisions.cookies.server_selection import (
    REMOTE_DOMAIN_PENALTY_PER_SLOT,
    Candidate,
)
from redwingswitch._internal.decisions.load_sharing.avoided_servers import AvoidedServers
from redwingswitch._internal.models.cookie_flows import ListedServer, Route
from redwingswitch._internal.models.load_sharing import (
    MAX_SERVERS_PER_MESSAGE,
    DomainLoad,
    LoadReport,
    LoadSummary,
    LoadSums,
    RouteSums,
    ServerSums,
    ServiceBusy,
)
from redwingswitch._internal.network.list_messages import ListMessage, encode_list_message

SEED = 5
RUNS = 2
HOSTS = (9, 90, 300)
SERVERS, WORK_MS, BUSY_RATIO = 45, 50.0, 0.5
FAULT_MS, END_MS, BUDGET_MS = 3_000, 12_000, 1_700
PROCESSES = 3
MS_PER_S = 1_000
# IPv4 and UDP.
HEADER_BYTES = 28


class _NoneAvoided(AvoidedServers):
    """Does without faults of servers, for selections that go by load alone."""

    def update(
        self,
        entries: Mapping[str, ServerSums],
        *,
        host_count: int,
        load_factors: Mapping[str, float],
        mean_overdue_ratio: float,
        have_flows_moved: bool,
        now_ms: int,
    ) -> None:
        """Avoid no server."""


class _LeastShared:
    """Selects the least loaded of ``samples`` servers, or of all, by the sums as they are."""

    def __init__(self, *, host: SimulatedHost, samples: int | None, seed: int) -> None:
        self._host = host
        self._samples = samples
        self._random = random.Random(seed)

    def select_server(
        self, candidates: Sequence[Candidate], _route: Route, _usual_answer_ms: float | None
    ) -> ListedServer | None:
        """Return a server, or None without candidates."""
        if self._samples is not None:
            candidates = self._random.sample(candidates, min(self._samples, len(candidates)))
        best = min(candidates, key=lambda c: (self._cost(c), self._random.random()), default=None)
        return None if best is None else best.server

    def _cost(self, candidate: Candidate) -> float:
        others = self._host.load.shared.others_busy_flows(candidate.server)
        load = self._host.steering._selector.load_per_slot(candidate) + others / SLOTS
        is_local = candidate.server.failure_domain == self._host.domain
        return load + (0.0 if is_local else REMOTE_DOMAIN_PENALTY_PER_SLOT)


def _use_least(model: Model, samples: int | None) -> None:
    for number, host in enumerate(model.hosts):
        source = random.Random(number)
        host.load.shared.avoided = _NoneAvoided(random_source=source)
        host.load._selector = _LeastShared(host=host, samples=samples, seed=number)  # type: ignore[assignment]


WAYS: Mapping[str, Callable[[Model], None]] = {
    "own load (earlier)": lambda model: None,
    "two by shared load": lambda model: _use_least(model, 2),
    "shared sums": lambda model: _use_least(model, None),
    "choice": lambda model: None,
}
EARLIER = "own load (earlier)"


def _make_slow(model: Model) -> None:
    for server in _first(model, 2, 5):
        server.speed = 1 / 8


def _make_uneven(model: Model) -> None:
    for number, server in enumerate(model.servers.values()):
        server.speed = (0.7, 0.7, 1.7)[number // 3 % 3]


def _make_hang(model: Model) -> None:
    for server in _first(model, 1, 7):
        server.hang_ratio = 0.4


def _make_silent(model: Model) -> None:
    for server in _first(model, 1, 3):
        server.is_silent = True


def _first(model: Model, part: int, whole: int) -> list:  # type: ignore[type-arg]
    return list(model.servers.values())[: SERVERS * part // whole]


CASES: Mapping[str, Callable[[Model], None]] = {
    "even load": lambda model: None,
    "one hot failure domain": lambda model: model.call_at_rate("a", 300.0),
    "speeds 0.7, 0.7, 1.7": _make_uneven,
    "2 in 5 eight times slower": _make_slow,
    "1 in 7 leave 40 % unanswered": _make_hang,
    "1 in 3 silent": _make_silent,
}


class _Job(NamedTuple):
    case: str
    hosts: int
    way: str
    run: int


def _simulate(job: _Job) -> Model:
    model = Model(
        hosts=job.hosts,
        servers=SERVERS,
        seed=SEED + job.run,
        shares_load=job.way != EARLIER,
        work_ms=WORK_MS,
    )
    WAYS[job.way](model)
    rate_per_s = SERVERS * SLOTS * BUSY_RATIO * MS_PER_S / WORK_MS
    for domain in model.domains:
        model.call_at_rate(domain, rate_per_s / len(model.domains))
    model.run(FAULT_MS)
    CASES[job.case](model)
    model.run(END_MS)
    return model


def _requests(job: _Job) -> list[Request]:
    return [
        request
        for request in _simulate(job).requests
        if FAULT_MS <= request.began_ms < END_MS - BUDGET_MS
    ]


def _row(case: str, hosts: int, way: str, requests: list[list[Request]]) -> tuple[str, ...]:
    everything = [request for run in requests for request in run]
    waits_ms = sorted(r.wait_ms for r in everything if r.wait_ms is not None)
    seconds: dict[tuple[int, int], list[bool]] = {}
    for number, run in enumerate(requests):
        for request in run:
            second = (number, request.began_ms // MS_PER_S)
            seconds.setdefault(second, []).append(request.wait_ms is not None)
    worst = min(sum(served) / len(served) for served in seconds.values())
    return (
        case,
        str(hosts),
        way,
        str(waits_ms[len(waits_ms) // 2]),
        str(waits_ms[len(waits_ms) * 99 // 100]),
        f"{len(waits_ms) / len(everything):.4f}",
        f"{worst:.3f}",
    )


def _selection_table() -> Table:
    keys = [(case, hosts, way) for case in CASES for hosts in HOSTS for way in WAYS]
    jobs = [_Job(*key, run) for key in keys for run in range(RUNS)]
    with ProcessPoolExecutor(PROCESSES) as executor:
        results = list(executor.map(_requests, jobs))
    rows = [_row(*key, results[n * RUNS : (n + 1) * RUNS]) for n, key in enumerate(keys)]
    return Table(
        key="shared_load",
        title="Selection of servers by shared load",
        command="python -m benchmarks.run_all shared_load",
        seed=SEED,
        columns=(
            "case",
            "hosts",
            "selection",
            "wait at 50 %, ms",
            "wait at 99 %, ms",
            "served",
            "worst second",
        ),
        rows=tuple(rows),
        conclusion=(
            f"{SERVERS} servers of {SLOTS} slots in 3 failure domains, {WORK_MS:.0f} ms of work, "
            f"half of the slots busy, {RUNS} runs. The fault begins at {FAULT_MS // MS_PER_S} s; "
            "the figures are of the requests after it, those of the transition included."
        ),
    )


class _Site(NamedTuple):
    hosts: int
    domains: int


SITES = (_Site(90, 3), _Site(300, 5), _Site(470, 5))
# Of the routes and services of a deployment.
ROUTES, SERVICES = 3, 2


def _full_sums(domains: int) -> LoadSums:
    server = ServerSums(2**32 - 1, 12, 300, 1_500, 12, 4, 40, 100, 200)
    route = RouteSums(2**32 - 1, 8_443, 15_000, 15_000, 60_000, 220)
    service = ServiceBusy(2**32 - 1, 2**32 - 1, 200)
    return LoadSums(
        (server,) * MAX_SERVERS_PER_MESSAGE, (route,) * ROUTES, (service,) * SERVICES * domains
    )


def _size(message: ListMessage) -> int:
    return len(encode_list_message(incarnation=2**53, message=message)) + HEADER_BYTES


def _bytes_rows(name: str, sizes: Callable[[int], tuple[float, float, float]]) -> list:  # type: ignore[type-arg]
    rows = []
    for site in SITES:
        report, summary, domain_load = sizes(site.domains)
        per_s = MS_PER_S / REPORT_INTERVAL_MS
        followers = site.hosts / site.domains - 1
        reader = per_s * (followers * (report + summary) + 2 * (site.domains - 1) * domain_load)
        rows.append(
            (
                name,
                str(site.hosts),
                str(site.domains),
                f"{report:.0f}",
                f"{summary:.0f}",
                f"{domain_load:.0f}",
                f"{per_s * (report + summary) / MS_PER_S:.2f}",
                f"{reader / MS_PER_S:.1f}",
            )
        )
    return rows


def _full_sizes(domains: int) -> tuple[float, float, float]:
    sums = _full_sums(domains)
    return (
        _size(LoadReport(10**6, 2**32, (2**32 - 1,) * 8, sums)),
        _size(LoadSummary(2**32, 90, 94, 470, domains, sums)),
        _size(DomainLoad("hakata-depot", 10**6, 94, sums)),
    )


def _measured_sizes(case: str) -> tuple[float, float, float]:
    model = _simulate(_Job(case, 90, "choice", 0))
    report, summary, domain_load = (
        model.sent_bytes[kind] / model.sent[kind] + HEADER_BYTES
        for kind in ("LoadReport", "LoadSummary", "DomainLoad")
    )
    return report, summary, domain_load


def _bytes_table() -> Table:
    rows = []
    for case in ("even load", "2 in 5 eight times slower"):
        sizes = _measured_sizes(case)
        rows += _bytes_rows(f"{case}, mean", lambda _domains, sizes=sizes: sizes)
    rows += _bytes_rows("all messages full", _full_sizes)
    return Table(
        key="shared_load_bytes",
        title="Bytes of telling the load",
        command="python -m benchmarks.run_all shared_load",
        seed=SEED,
        columns=(
            "messages",
            "hosts",
            "failure domains",
            "report, B",
            "summary, B",
            "sums of a domain, B",
            "KB/s of a host",
            "KB/s of a reader",
        ),
        rows=tuple(rows),
        conclusion=(
            "Encoded messages with 28 bytes of IP and UDP, both directions, two reports a second. "
            "Means are of the model with 90 hosts and 10 requests a second at each. Messages at "
            "once because of a fault are in the means of their sizes, but not in the rates."
        ),
    )


def run() -> list[Table]:
    """Return the tables of selections and of bytes."""
    return [_selection_table(), _bytes_table()]
