"""Guards against waits and calls that together exceed the limit for noticing a change."""

import pytest

from redwingswitch._internal.decisions.list_sharing.age_budget import age_budget
from redwingswitch._internal.decisions.list_sharing.sharing import READER_SILENCE_LIMIT_MS


@pytest.mark.parametrize(
    ("limit_ms", "fits"),
    [
        pytest.param(3_000, True, id="the limit of the users' deployments"),
        pytest.param(9_000, True, id="the limit at the growth target"),
        pytest.param(2_400, True, id="the shortest one"),
        pytest.param(2_390, False, id="too short for a reader that loses the store"),
    ],
)
def test_the_parts_of_a_limit_add_up(limit_ms: int, fits: bool) -> None:
    # A wait for the reader of 1.1 s came on top of the others (review/12).
    assert age_budget(limit_ms).fits is fits


@pytest.mark.parametrize("limit_ms", [3_000, 9_000])
def test_a_reader_is_not_abandoned_between_two_reads(limit_ms: int) -> None:
    budget = age_budget(limit_ms)
    assert budget.read_interval_ms < budget.reader_age_ms
    assert budget.reader_age_ms > READER_SILENCE_LIMIT_MS
