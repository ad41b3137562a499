"""Guards against a host that wakes and takes what it knew before for up to date."""

import pytest

from redwingswitch._internal.decisions.list_sharing.age import STANDSTILL_MS, ListAge

TICK_MS = 250


@pytest.mark.parametrize(
    ("stands_still_ms", "began_ms", "expected_ms"),
    [
        pytest.param(0, 0, 0, id="a response on a running host"),
        pytest.param(STANDSTILL_MS, 0, 0, id="a late timer"),
        pytest.param(3_000, 0, 3_000, id="a response from before the host stood still"),
        pytest.param(3_000, 3_250, 0, id="a call that began after waking"),
    ],
)
def test_only_calls_of_a_running_host_make_the_list_fresh(
    stands_still_ms: int, began_ms: int, expected_ms: int
) -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_answer(0, TICK_MS)
    now_ms = TICK_MS + stands_still_ms
    age.on_tick(now_ms)
    age.on_answer(began_ms, now_ms)
    assert age.age_ms(now_ms) == expected_ms


def test_an_answer_that_is_taken_before_the_standstill_is_noticed_does_not_count() -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_answer(0, 5_000)
    age.on_tick(5_001)
    assert age.age_ms(5_001) == 5_001 - TICK_MS
