"""Guards against sending work to unusable backend servers, and against ejecting usable ones."""

import random

import pytest

from redwingswitch._internal.decisions.health.backend_health import BackendHealth
from redwingswitch._internal.models.actions import PollBackendReport
from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    ServerState,
    Service,
    ServiceLevelObjectives,
    SizeClass,
)
from redwingswitch._internal.models.requests import BackendReport, FailureKind

TIMEOUT = FailureKind.TIMEOUT


def configuration(states="aaaaaaa", *, revision=1, idempotent=True) -> Configuration:
    kinds = {"a": ServerState.ACTIVE, "d": ServerState.DRAINING, "l": ServerState.LEAVING}
    servers = tuple(
        BackendServer(f"job-{n}", "jobs", "a", "127.0.0.1", 1, 2, 3, 4, 2, 2_000, kinds[state])
        for n, state in enumerate(states, start=1)
    )
    service = Service(
        "jobs", "10.1.0.1", 443, 0, True, True, idempotent, SizeClass.SHORT, 50, 900_000,
        ServiceLevelObjectives(), servers,
    )  # fmt: skip
    return Configuration(revision, "digest", (), (service,), (), ())


def make_health(states="aaaaaaa", **options) -> BackendHealth:
    health = BackendHealth(random_source=random.Random(1))
    health.apply_configuration(configuration(states, **options), 0)
    return health


def fail(health, server, times=5, kind=TIMEOUT, now_ms=0):
    for _ in range(times):
        health.on_failure(server, kind, now_ms)


def report(server="job-1", *, busy=0, connections=0, draining=False, healthy=True):
    return BackendReport(server, busy, connections, draining, healthy)


@pytest.mark.parametrize(
    ("events", "is_ejected"),
    [
        ("-----", True),
        ("----", False),
        ("----r----", False),
        ("a-----", False),
        ("a------......-----", True),
    ],
)
def test_silent_load_endpoint_ejects_a_server_without_other_signs_of_life(events, is_ejected):
    # One event per second: "-" unanswered poll, "r" report, "a" answered request, "." no event.
    health = make_health()
    for second, event in enumerate(events):
        now_ms = second * 1_000
        if event == "-":
            health.on_report_failed("job-1", now_ms)
        elif event == "r":
            health.on_report(report(), now_ms)
        elif event == "a":
            health.on_success("job-1", 50, now_ms)
    assert ("job-1" in health.ejected(len(events) * 1_000)) == is_ejected


@pytest.mark.parametrize(
    ("kinds", "is_ejected"),
    [
        ([TIMEOUT] * 5, True),
        ([TIMEOUT] * 4, False),
        ([FailureKind.REFUSED, FailureKind.RESET, TIMEOUT] * 2, True),
        ([FailureKind.SHED] * 50, False),
        ([TIMEOUT] * 4 + [None] + [TIMEOUT] * 4, False),
        ([TIMEOUT] * 4 + [FailureKind.SHED] + [TIMEOUT], True),
    ],
)
def test_ejection_after_five_consecutive_failures(kinds, is_ejected):
    health = make_health()
    for kind in kinds:
        if kind is None:
            health.on_success("job-1", 50, 0)
        else:
            health.on_failure("job-1", kind, 0)
    assert ("job-1" in health.ejected(0)) == is_ejected


@pytest.mark.parametrize(
    ("states", "bound"), [("a", 0), ("aa", 1), ("aaa", 1), ("aaaaaaa", 3), ("aaaaddd", 2)]
)
def test_at_most_half_of_the_active_servers_are_ejected(states, bound):
    health = make_health(states)
    for n in range(1, len(states) + 1):
        fail(health, f"job-{n}", times=20)
    active = {f"job-{n}" for n, state in enumerate(states, start=1) if state == "a"}
    assert len(health.ejected(0) & active) == bound


def test_ejections_beyond_the_bound_end_when_servers_start_to_drain():
    health = make_health()
    for n in (1, 2, 3):
        fail(health, f"job-{n}")
    health.apply_configuration(configuration("aaaaddd", revision=2), 10)
    assert len(health.ejected(10)) == 2


def test_backoff_doubles_with_jitter_from_1_s_to_30_s():
    health = make_health()
    fail(health, "job-1")
    now_ms = 0
    for doubled_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]:
        waited_ms = next(
            wait
            for wait in range(0, 40_000, 50)
            if health.may_dispatch("job-1", True, now_ms + wait)
        )
        assert 0.8 * doubled_ms <= waited_ms <= doubled_ms + 50
        now_ms += waited_ms
        health.on_failure("job-1", TIMEOUT, now_ms)


def test_one_idempotent_probe_then_slow_start():
    health = make_health()
    fail(health, "job-1")
    assert (health.slots("job-1", 100), health.weight("job-1", 100)) == (0, 0.0)
    assert health.may_dispatch("job-1", True, 1_000)
    assert not health.may_dispatch("job-1", False, 1_000)
    assert health.slots("job-1", 1_000) == 1
    health.on_dispatched("job-1", 1_000)
    assert not health.may_dispatch("job-1", True, 1_100)
    health.on_success("job-1", 50, 1_200)
    assert health.ejected(1_200) == frozenset()
    weights = [health.weight("job-1", 1_200 + wait) for wait in (0, 5_000, 10_000)]
    assert weights == pytest.approx([0.1, 0.55, 1.0])


# Each row: idempotent service, report received meanwhile, time until the server gets work again.
READMISSIONS = [
    (False, report(), 1_000),
    (True, report(), 6_000),
    (False, None, 31_000),
    (False, report(healthy=False), 31_000),
]


@pytest.mark.parametrize(("idempotent", "arrived", "after_ms"), READMISSIONS)
def test_server_is_readmitted_without_probe_when_no_request_can_probe_it(
    idempotent, arrived, after_ms
):
    health = make_health(idempotent=idempotent)
    fail(health, "job-1")
    for now_ms in range(0, after_ms, 500):
        if arrived is not None:
            health.on_report(arrived, now_ms)
        if now_ms < 0.8 * after_ms - 500:
            assert "job-1" in health.ejected(now_ms)
    health.on_report(arrived or report("job-2"), after_ms)
    assert health.may_dispatch("job-1", False, after_ms)
    health.on_failure("job-1", TIMEOUT, after_ms)
    assert "job-1" in health.ejected(after_ms)


# Each row: report, age in ms, usable slots, weight; job-1 has 2 slots and 2,000 connections.
REPORTS = [
    (report(busy=-50), 0, 2, 1.0),
    (report(busy=0), 0, 2, 1.0),
    (report(busy=900), 0, 2, 1.0),
    (report(healthy=False), 0, 2, 0.5),
    (report(healthy=False), 5_000, 2, 1.0),
    (report(connections=2_000), 0, 2, 0.5),
    (report(draining=True), 0, 0, 0.0),
    (report(draining=True), 59_000, 0, 0.0),
]


@pytest.mark.parametrize(("arrived", "age_ms", "slots", "weight"), REPORTS)
def test_reports_are_hints_that_never_raise_the_slots(arrived, age_ms, slots, weight):
    health = make_health()
    health.on_report(arrived, 0)
    health.on_report_failed("job-1", 10)
    assert (health.slots("job-1", age_ms), health.weight("job-1", age_ms)) == (slots, weight)
    assert health.ejected(age_ms) == frozenset()


def test_shed_makes_one_slot_busy_for_a_second():
    health = make_health()
    fail(health, "job-1", times=9, kind=FailureKind.SHED)
    assert [health.slots("job-1", now_ms) for now_ms in (0, 999, 1_000)] == [1, 1, 2]


@pytest.mark.parametrize(("states", "usable"), [("adl", [True, False, False])])
def test_operator_state_takes_precedence_over_reports(states, usable):
    health = make_health(states)
    for n in (1, 2, 3):
        health.on_report(report(f"job-{n}"), 0)
    assert [health.may_dispatch(f"job-{n}", True, 0) for n in (1, 2, 3)] == usable
    assert not health.may_dispatch("unknown", True, 0)


def test_slow_server_gets_less_work_and_the_others_as_much_as_before():
    health = make_health()
    for n in range(1, 8):
        health.on_success(f"job-{n}", 5_000 if n == 1 else 50, 0)
    assert [health.weight(f"job-{n}", 0) for n in range(1, 8)] == [0.25] + [1.0] * 6


def test_server_added_later_starts_slowly_and_each_is_polled_once_a_second():
    health = make_health("aaa")
    health.apply_configuration(configuration("aaaa", revision=2), 1_000)
    assert [round(health.weight(f"job-{n}", 1_000), 2) for n in (1, 4)] == [1.0, 0.1]
    polled = []
    while (now_ms := health.next_deadline_ms()) < 21_000:
        polled += [
            a.backend_server for a in health.on_timer(now_ms) if isinstance(a, PollBackendReport)
        ]
    assert {name: 19 <= polled.count(name) <= 21 for name in set(polled)} == {
        f"job-{n}": True for n in range(1, 5)
    }
