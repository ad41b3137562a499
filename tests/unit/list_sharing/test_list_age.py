"""Guards against a host that resumes after a pause and treats its old list as up to date."""

import pytest

from redwingswitch._internal.decisions.list_sharing.list_age import PAUSE_THRESHOLD_MS, ListAge

TICK_MS = 250


@pytest.mark.parametrize(
    ("paused_ms", "began_ms", "expected_ms"),
    [
        pytest.param(0, 0, 0, id="a response on a running host"),
        pytest.param(PAUSE_THRESHOLD_MS, 0, 0, id="a late timer"),
        pytest.param(3_000, 0, 3_000, id="a call that began before the pause"),
        pytest.param(3_000, 3_250, 0, id="a call that began after the pause"),
    ],
)
def test_only_calls_begun_after_a_pause_make_the_list_fresh(
    paused_ms: int, began_ms: int, expected_ms: int
) -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_response(0, TICK_MS)
    now_ms = TICK_MS + paused_ms
    age.on_tick(now_ms)
    age.on_response(began_ms, now_ms)
    assert age.age_ms(now_ms) == expected_ms


def test_a_response_handled_before_the_pause_is_detected_does_not_count() -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_response(0, 5_000)
    age.on_tick(5_001)
    assert age.age_ms(5_001) == 5_001 - TICK_MS
