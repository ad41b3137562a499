"""Tests of the admission queue, the retry budget, server slots and failure domain shares."""

from __future__ import annotations

import random

import pytest

from redwingswitch._internal.decisions.requests import target_selection
from redwingswitch._internal.decisions.requests.admission import (
    LONG_AGEING_MS,
    AdmissionQueue,
    QueuedRequest,
    SlotUse,
)
from redwingswitch._internal.decisions.requests.service_times import ServiceTimes
from redwingswitch._internal.decisions.requests.target_selection import (
    DomainChooser,
    DomainLoad,
    ServerSlots,
)
from redwingswitch._internal.decisions.retry import RetryBudget, backoff_ms
from redwingswitch._internal.models.configuration import SizeClass
from tests.lib.request_cluster import AlwaysHealthy, server

SHORT, LONG = SizeClass.SHORT, SizeClass.LONG
IDLE, FULL = SlotUse(4, 0, 0), SlotUse(4, 4, 0)


def _queue(bound: int = 16) -> AdmissionQueue:
    times = ServiceTimes(expected_ms=50, declared=SHORT)
    return AdmissionQueue(times=times, bound=bound)


def _request(number: int, size: SizeClass = SHORT, caller: str = "", **times: int) -> QueuedRequest:
    caller = caller or f"caller-{number}"
    return QueuedRequest(
        b"%016d" % number, caller, size, times.get("queued_ms", 0), times.get("deadline_ms", 60_000)
    )


@pytest.mark.parametrize(
    ("waiting", "use", "deadline_ms", "reason"),
    [
        pytest.param(0, IDLE, 200, "", id="fits"),
        pytest.param(0, IDLE, 60, "deadline", id="deadline below a cautious service time"),
        pytest.param(8, FULL, 150, "deadline", id="the wait leaves too little time"),
        pytest.param(8, FULL, 400, "", id="the wait leaves enough time"),
        pytest.param(16, FULL, 60_000, "queue is full", id="queue is full"),
    ],
)
def test_refusal_is_early_and_says_why(
    waiting: int, use: SlotUse, deadline_ms: int, reason: str
) -> None:
    queue = _queue()
    for number in range(waiting):
        assert queue.offer(_request(number), use, 0) is None
    refusal = queue.offer(_request(99, deadline_ms=deadline_ms), use, 0)
    assert (refusal is None) == (reason == "")
    if refusal is not None:
        assert reason in refusal.reason
        assert refusal.retry_after_ms >= 50


def test_a_caller_has_a_quarter_of_the_queue_and_takes_turns() -> None:
    queue = _queue()
    refused = [queue.offer(_request(n, caller="greedy"), FULL, 0) for n in range(6)]
    assert [r is not None for r in refused] == [False] * 4 + [True] * 2
    queue.offer(_request(9, caller="modest"), FULL, 0)
    order = [queue.take(SlotUse(4, 3, 0), 0) for _ in range(3)]
    assert [r.caller for r in order if r] == ["greedy", "modest", "greedy"]


@pytest.mark.parametrize(
    ("waiting", "use", "waited_ms", "taken"),
    [
        pytest.param([SHORT], FULL, 0, None, id="no slot"),
        pytest.param([SHORT, LONG], SlotUse(4, 0, 1), 0, SHORT, id="short first"),
        pytest.param([SHORT, LONG], SlotUse(4, 3, 0), 0, LONG, id="minimum share of long work"),
        pytest.param([LONG], SlotUse(4, 0, 2), 0, None, id="reserved for short work"),
        pytest.param([LONG], SlotUse(4, 0, 2), LONG_AGEING_MS, LONG, id="aged, no short request"),
        pytest.param(
            [LONG, SHORT], SlotUse(4, 0, 2), LONG_AGEING_MS, SHORT, id="aged, one short request"
        ),
        pytest.param(
            [LONG],
            SlotUse(4, 0, 3),
            LONG_AGEING_MS,
            None,
            id="only one reserved slot for aged requests",
        ),
        pytest.param([LONG], SlotUse(1, 0, 0), 0, LONG, id="a single slot"),
    ],
)
def test_order_of_size_classes(
    waiting: list[SizeClass], use: SlotUse, waited_ms: int, taken: SizeClass | None
) -> None:
    queue = _queue()
    for number, size in enumerate(waiting):
        assert queue.offer(_request(number, size), FULL, 0) is None
    request = queue.take(use, waited_ms)
    assert (request.size if request else None) is taken


def test_observed_times_replace_the_declared_one() -> None:
    times = ServiceTimes(expected_ms=50, declared=SHORT)
    for _ in range(300):
        times.observe(SHORT, 200)
    assert times.mean_ms(SHORT) == pytest.approx(200, rel=0.01)
    assert times.long_after_ms() == pytest.approx(1_600, rel=0.01)


@pytest.mark.parametrize("first_attempts", [0, 100, 1_000])
def test_retries_stay_below_the_stated_bound(first_attempts: int) -> None:
    budget = RetryBudget(ratio=0.1, burst=10)
    granted = sum(budget.take() for _ in range(50))
    for _ in range(first_attempts):
        budget.note_first_attempt()
        granted += sum(budget.take() for _ in range(3))
    assert granted <= 10 + 0.1 * first_attempts


@pytest.mark.parametrize(("attempt", "low", "high"), [(1, 11, 20), (3, 41, 80), (40, 501, 1_000)])
def test_backoff_is_jittered_and_bounded(attempt: int, low: int, high: int) -> None:
    source = random.Random(3)
    delays = {backoff_ms(attempt, source) for _ in range(400)}
    assert low <= min(delays) < max(delays) <= high


def test_slots_are_exact_and_a_new_dispatcher_starts_with_one() -> None:
    slots = ServerSlots(health=AlwaysHealthy(), random_source=random.Random(1))
    slots.set_servers([server("s0", "x", "a"), server("s1", "x", "a")], 0)
    slots.begin_warm_up(0)

    def fill(now_ms: int) -> list[str]:
        taken = []
        while (name := slots.choose(idempotent=False, exclude=frozenset(), now_ms=now_ms)) and (
            len(taken) < 9
        ):
            slots.occupy(name, now_ms)
            taken.append(name)
        return sorted(taken)

    assert fill(999) == ["s0", "s1"]
    assert fill(1_000) == ["s0", "s1"]
    slots.release("s1", 1_010)
    slots.note_refusal("s1", 1_010)
    assert fill(1_011) == [], "a server that refused a request must be paused"
    assert fill(1_010 + target_selection.REFUSAL_PAUSE_LIMIT_MS) == ["s1"]


@pytest.mark.parametrize(
    ("local_ms", "other_ms", "least", "most"),
    [
        pytest.param(0, 0, 1.0, 1.0, id="local domain first"),
        pytest.param(24, 0, 1.0, 1.0, id="within link cost and margin"),
        pytest.param(200, 0, 0.0, 0.85, id="beyond the margin"),
        pytest.param(0, 200, 1.0, 1.0, id="other domain is slower"),
    ],
)
def test_shares_move_only_beyond_the_margin(
    local_ms: int, other_ms: int, least: float, most: float
) -> None:
    chooser = DomainChooser(local_domain="a", random_source=random.Random(1))
    loads = {"a": DomainLoad(local_ms, 0, 4), "b": DomainLoad(other_ms, 5, 4)}
    before = 1.0
    for now_ms in range(0, 10_000, 50):
        chooser.choose(loads, now_ms)
        share = chooser.shares()["a"]
        assert (
            before - share <= target_selection.DOMAIN_SHARE_STEP + 1e-9
        ), "a share must change in small steps"
        before = share
    assert least <= before <= most
