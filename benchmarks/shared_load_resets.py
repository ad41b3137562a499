"""Ways to find servers that reset their callers, by opening packets that hosts cannot confirm.

Run with ``PYTHONHASHSEED=0 python -m benchmarks.run_all shared_load_resets``, since the order of
sets affects the model.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Any, NamedTuple
from unittest.mock import patch

from benchmarks.shared_load_model import SLOTS, Model, SimulatedHost, SimulatedServer
from benchmarks.tables import Table
from redwingswitch._internal.decisions.load_sharing import unconfirmed_silence
from redwingswitch._internal.decisions.load_sharing.avoided_servers import Fault
from redwingswitch._internal.decisions.load_sharing.observations import LoadObservations

SEED = 5
RUNS = 2
HOSTS = (9, 90, 300)
SERVERS = 45
# Of deployment A, and of the other tables on shared load.
USUAL_LOAD, HALF_LOAD = (22.0, 0.15), (50.0, 0.5)
FAULT_MS, CRASH_MS, END_MS, BUDGET_MS = 3_000, 4_500, 12_000, 1_700
ROTATION_MS, ROTATION_INTERVAL_MS = 1_000, 3_000
SAMPLE_MS = 20
# A server is in use again when no more than this part of the hosts avoids it.
MAX_AVOIDING = 0.1
PROCESSES = 2
MS_PER_S = 1_000


class _Case(NamedTuple):
    """``begin`` causes the fault and returns the faulty servers."""

    begin: Callable[[Model], list[SimulatedServer]]
    load: tuple[float, float] = HALF_LOAD


def _first(model: Model, part: int, whole: int) -> list[SimulatedServer]:
    return list(model.servers.values())[: SERVERS * part // whole]


def _crash(model: Model) -> list[SimulatedServer]:
    servers = _first(model, 1, 10)

    def change(*, is_crashed: bool) -> None:
        for server in servers:
            server.resets_openings = is_crashed

    change(is_crashed=True)
    model.after(CRASH_MS, lambda: change(is_crashed=False))
    return servers


def _make_silent(model: Model) -> list[SimulatedServer]:
    servers = _first(model, 1, 3)
    for server in servers:
        server.is_silent = True
    return servers


def _make_hot(model: Model) -> list[SimulatedServer]:
    model.call_at_rate("a", 300.0)
    return []


def _rotate(model: Model) -> list[SimulatedServer]:
    model.rotation_deadline_ms = model.time_ms + ROTATION_MS
    model.after(ROTATION_INTERVAL_MS, lambda: _rotate(model) and None)
    return []


def _crash_in_rotation(model: Model) -> list[SimulatedServer]:
    _rotate(model)
    return _crash(model)


CASES: Mapping[str, _Case] = {
    "1 in 10 reset for 4.5 s, usual load": _Case(_crash, USUAL_LOAD),
    "1 in 10 reset for 4.5 s, half load": _Case(_crash),
    "the same during rotations, usual load": _Case(_crash_in_rotation, USUAL_LOAD),
    "rotations, usual load": _Case(_rotate, USUAL_LOAD),
    "rotations, half load": _Case(_rotate),
    "even, half load": _Case(lambda _model: []),
    "one hot failure domain": _Case(_make_hot),
    "1 in 3 silent": _Case(_make_silent),
}


def _with_offers(is_first_offer: bool) -> AbstractContextManager[Any]:
    """Take all unconfirmed openings as of a first offer, or all as of a later one."""
    record = LoadObservations.on_opening_unanswered

    def changed(observations: LoadObservations, server_id: str, **changes: Any) -> None:
        changes["is_first_offer"] = is_first_offer
        record(observations, server_id, **changes)

    return patch.object(LoadObservations, "on_opening_unanswered", changed)


@contextmanager
def _without_unconfirmed() -> Iterator[None]:
    """Report no unconfirmed openings, and keep pairs of them while flows move."""

    def forget(observations: LoadObservations) -> None:
        observations._overdue.forget()

    with _with_offers(False), patch.object(LoadObservations, "forget_waiting", forget):
        yield


def _with(**constants: float) -> AbstractContextManager[Any]:
    return patch.multiple(unconfirmed_silence, **constants)


NONE, CHOICE = "none", "choice"
WAYS: Mapping[str, Callable[[], AbstractContextManager[Any]]] = {
    NONE: _without_unconfirmed,
    "2 hosts": lambda: _with(MIN_UNCONFIRMED_HOSTS=2),
    "4 hosts": lambda: _with(MIN_UNCONFIRMED_HOSTS=4),
    "offers to all servers": lambda: _with_offers(True),
    "without regard to moved flows": lambda: _with(MOVED_FLOWS_MS=0, MAX_UNCONFIRMED_RATIO=1.0),
    CHOICE: nullcontext,
}
MAIN_WAYS = (NONE, CHOICE)
# The other ways run with one number of hosts and in the cases that tell them apart.
ALTERNATIVES_HOSTS = 90
ALTERNATIVES_CASES = (
    "1 in 10 reset for 4.5 s, usual load",
    "rotations, usual load",
    "one hot failure domain",
)


class _Job(NamedTuple):
    case: str
    hosts: int
    way: str
    run: int


class _Result(NamedTuple):
    """Waits in ms; None for requests that failed.

    ``avoided_after_ms`` and ``used_after_ms`` are the times after which all hosts avoided each
    faulty server, and nine in ten used it after its return. ``resets`` counts the tries that met
    one. ``wrongly_avoided`` is the number of servers without a fault that a host found silent.
    """

    waits_ms: list[int | None]
    resets: int
    avoided_after_ms: list[int | None]
    used_after_ms: list[int | None]
    wrongly_avoided: float
    messages_kb: float


def _simulate(job: _Job) -> _Result:
    case = CASES[job.case]
    with WAYS[job.way]():
        return _run(job, case)


def _run(job: _Job, case: _Case) -> _Result:
    work_ms, busy_ratio = case.load
    model = Model(hosts=job.hosts, servers=SERVERS, seed=SEED + job.run, work_ms=work_ms)
    if job.way == NONE:
        for host in model.hosts:
            host.load.observations._next_moved_report_ms = END_MS
    for domain in model.domains:
        model.call_at_rate(
            domain, SERVERS * SLOTS * busy_ratio * MS_PER_S / work_ms / len(model.domains)
        )
    model.run(FAULT_MS)
    faulty = case.begin(model)
    avoided_ms: dict[str, int] = {}
    used_ms: dict[str, int] = {}
    for now_ms in range(FAULT_MS, END_MS, SAMPLE_MS):
        model.run(now_ms)
        for server in faulty:
            name = server.server.server_id
            avoiding = sum(_avoids(host, server) for host in model.hosts)
            is_over = now_ms > FAULT_MS + CRASH_MS
            if avoiding == len(model.hosts) and not is_over:
                avoided_ms.setdefault(name, now_ms - FAULT_MS)
            if avoiding <= MAX_AVOIDING * len(model.hosts) and is_over:
                used_ms.setdefault(name, now_ms - FAULT_MS - CRASH_MS)
    names = [server.server.server_id for server in faulty]
    wrongly = sum(
        number
        for host in model.hosts
        for (name, fault), number in host.metrics.counts["avoided_servers_total"].items()
        if fault == Fault.SILENT and name not in names
    )
    return _Result(
        waits_ms=[
            request.wait_ms
            for request in model.requests
            if FAULT_MS <= request.began_ms < END_MS - BUDGET_MS
        ],
        resets=sum(server.resets for server in faulty),
        avoided_after_ms=[avoided_ms.get(name) for name in names],
        used_after_ms=[used_ms.get(name) for name in names],
        wrongly_avoided=wrongly / len(model.hosts),
        messages_kb=sum(model.sent_bytes.values()) / 1_000 / len(model.hosts),
    )


def _avoids(host: SimulatedHost, server: SimulatedServer) -> bool:
    is_suspected = host.steering.failure_detector.is_suspected(server.server)
    return is_suspected or host.load.shared.avoided.get(server.server.server_id) is not None


def _row(case: str, hosts: int, way: str, results: list[_Result]) -> tuple[str, ...]:
    waits_ms = [wait_ms for result in results for wait_ms in result.waits_ms]
    served = sorted(wait_ms for wait_ms in waits_ms if wait_ms is not None)
    return (
        case,
        str(hosts),
        way,
        str(len(waits_ms) - len(served)),
        str(sum(result.resets for result in results)),
        f"{len(served) / len(waits_ms):.4f}",
        str(served[len(served) * 99 // 100]),
        _times([each for result in results for each in result.avoided_after_ms]),
        _times([each for result in results for each in result.used_after_ms]),
        f"{sum(result.wrongly_avoided for result in results) / len(results):.2f}",
        f"{sum(result.messages_kb for result in results) / len(results):.1f}",
    )


def _times(times_ms: list[int | None]) -> str:
    """Return the mean and the longest time, and how many servers have one."""
    if not times_ms:
        return ""
    known = [each for each in times_ms if each is not None]
    if not known:
        return f"none of {len(times_ms)}"
    text = f"{sum(known) / len(known):.0f}, {max(known)}"
    return text if len(known) == len(times_ms) else f"{text} ({len(known)} of {len(times_ms)})"


def run() -> list[Table]:
    """Return the table of the ways."""
    keys = [
        (case, hosts, way)
        for case in CASES
        for hosts in HOSTS
        for way in WAYS
        if way in MAIN_WAYS or (hosts == ALTERNATIVES_HOSTS and case in ALTERNATIVES_CASES)
    ]
    jobs = [_Job(*key, run) for key in keys for run in range(RUNS)]
    with ProcessPoolExecutor(PROCESSES) as executor:
        results = list(executor.map(_simulate, jobs))
    rows = [_row(*key, results[n * RUNS : (n + 1) * RUNS]) for n, key in enumerate(keys)]
    table = Table(
        key="shared_load_resets",
        title="Servers that reset their callers",
        command="PYTHONHASHSEED=0 python -m benchmarks.run_all shared_load_resets",
        seed=SEED,
        columns=(
            "case",
            "hosts",
            "unconfirmed openings",
            "failed callers",
            "tries reset",
            "served",
            "wait at 99 %, ms",
            "avoided by all after, ms",
            "used again after, ms",
            "wrongly silent",
            "KB of a host",
        ),
        rows=tuple(rows),
        conclusion=(
            f"{SERVERS} servers of {SLOTS} slots in 3 failure domains, {RUNS} runs of 12 s. Usual "
            "load: 22 ms of work, 15 % of the slots busy; half load: 50 ms, 50 %. The fault begins "
            "at 3 s; rotations last 1 s of every 3 s. Times are mean and maximum over the faulty "
            "servers, until all hosts avoid them and, after their return, nine in ten use them. "
            "Wrongly silent: servers without a fault that a host began to avoid as silent, mean of "
            "all hosts."
        ),
    )
    return [table]
