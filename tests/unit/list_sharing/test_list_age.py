"""Guards against a host that takes an old list for an up-to-date one."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.decisions.list_sharing.list_age import PAUSE_THRESHOLD_MS, ListAge

TICK_MS = 250


@pytest.mark.parametrize(
    ("paused_ms", "began_ms", "expected_ms"),
    [
        pytest.param(0, 0, TICK_MS, id="an answer that came late"),
        pytest.param(0, TICK_MS, 0, id="a response on a running host"),
        pytest.param(PAUSE_THRESHOLD_MS, 0, TICK_MS + PAUSE_THRESHOLD_MS, id="a late timer"),
        pytest.param(3_000, 0, TICK_MS + 3_000, id="a call that began before the pause"),
        pytest.param(3_000, 3_250, 0, id="a call that began after the pause"),
    ],
)
def test_an_answer_makes_the_list_as_young_as_its_call(
    paused_ms: int, began_ms: int, expected_ms: int
) -> None:
    # The network held an answer up for 1.4 s. It was taken for one of now (review/13).
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_list_read(0, revision=5)
    now_ms = TICK_MS + paused_ms
    age.on_tick(now_ms)
    age.on_list_read(began_ms, revision=6)
    assert age.age_ms(now_ms) == expected_ms


def test_a_response_handled_before_the_pause_is_detected_counts_from_its_call() -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_list_read(0, revision=5)
    age.on_tick(5_001)
    assert age.age_ms(5_001) == 5_001


class Probe(NamedTuple):
    """A probe that found ``store_revision`` while the list had ``known_revision``."""

    began_ms: int
    store_revision: int
    known_revision: int = 5


class Read(NamedTuple):
    """A read that brought the list to ``revision``."""

    began_ms: int
    revision: int


@pytest.mark.parametrize(
    ("steps", "expected_ms"),
    [
        pytest.param([Probe(400, 5)], 600, id="no changes"),
        pytest.param([Probe(400, 9)], 1_000, id="changes that the list lacks"),
        pytest.param([Probe(400, 9), Probe(700, 9)], 1_000, id="the same changes twice"),
        pytest.param([Probe(400, 9), Read(0, 9)], 600, id="a read begun earlier has these changes"),
        pytest.param([Probe(400, 9), Read(0, 8)], 1_000, id="a read begun earlier has some"),
        pytest.param([Probe(400, 9), Read(0, 8), Read(800, 9)], 200, id="a later read has them"),
        # The store had acknowledged a change before the probe, and the list lacked it.
        pytest.param(
            [Probe(300, 5), Probe(400, 9), Read(0, 8)], 700, id="an earlier probe confirms it"
        ),
        pytest.param([Probe(400, 9), Read(0, 8), Read(650, 9)], 350, id="the next read has them"),
        pytest.param([Read(200, 9)], 800, id="a response that was long under way"),
        pytest.param([Probe(400, 5), Read(200, 9)], 600, id="a read begun before the latest probe"),
    ],
)
def test_an_answer_confirms_only_a_list_with_the_revision_of_the_store(
    steps: list[Probe | Read], expected_ms: int
) -> None:
    # A reader answered its followers that its list was fresh while it lacked changes 7 s old.
    age = ListAge(now_ms=0)
    for step in steps:
        if isinstance(step, Probe):
            age.on_probe(
                step.began_ms,
                store_revision=step.store_revision,
                known_revision=step.known_revision,
            )
        else:
            age.on_list_read(step.began_ms, revision=step.revision)
    assert age.age_ms(1_000) == expected_ms


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["write", "answer watch", "deliver", "probe"]), st.integers(0, 9)
        ),
        max_size=40,
    )
)
def test_a_list_is_never_confirmed_beyond_a_probe_that_found_more_than_it_has(
    steps: list[tuple[str, int]],
) -> None:
    """Compare with a store whose responses to watches are under way for any time."""
    age = ListAge(now_ms=0)
    now_ms, stored, known, watch_began_ms = 0, 1, 1, 0
    on_the_way: int | None = None
    latest_probe = (0, 1)
    # When each revision was written.
    written_ms = [0]
    for step, passed_ms in steps:
        now_ms += passed_ms
        if step == "write":
            stored += 1
            written_ms.append(now_ms)
        elif step == "answer watch" and on_the_way is None and stored > known:
            on_the_way = stored
        elif step == "deliver" and on_the_way is not None:
            known, on_the_way = on_the_way, None
            age.on_list_read(watch_began_ms, revision=known)
            watch_began_ms = now_ms
        elif step == "probe":
            latest_probe = (now_ms, stored)
            age.on_probe(now_ms, store_revision=stored, known_revision=known)
        probed_ms, found = latest_probe
        if found > known:
            assert now_ms - age.age_ms(now_ms) <= probed_ms
        # All that the store had then was under way or known.
        assert all(at_ms >= now_ms - age.age_ms(now_ms) for at_ms in written_ms[known:])


@pytest.mark.parametrize(
    ("began_ms", "expected_ms"),
    [
        pytest.param(TICK_MS, 3_000, id="a probe from before the pause"),
        pytest.param(TICK_MS + 3_000, 0, id="a probe after the pause"),
    ],
)
def test_a_probe_confirms_a_list_that_has_since_reached_its_revision(
    began_ms: int, expected_ms: int
) -> None:
    age = ListAge(now_ms=0)
    age.on_tick(TICK_MS)
    age.on_list_read(0, revision=5)
    age.on_tick(TICK_MS + 3_000)
    age.on_probe(began_ms, store_revision=9, known_revision=5)
    # The response to a watch that began before the pause.
    age.on_list_read(TICK_MS, revision=9)
    assert age.age_ms(TICK_MS + 3_000) == expected_ms


@pytest.mark.parametrize(
    ("ticks_ms", "expected"),
    [
        pytest.param([125, 250], False, id="running"),
        pytest.param([125, 315], False, id="a late timer"),
        pytest.param([125, 316], True, id="stood still"),
        pytest.param([125, 316, 330], True, id="further packets"),
        pytest.param([125, 316, 416], False, id="all that waited are handled"),
        pytest.param([125, 5_000], True, id="paused"),
    ],
)
def test_packets_may_be_late_while_a_host_that_stood_still_handles_what_has_waited(
    ticks_ms: list[int], expected: bool
) -> None:
    age = ListAge(now_ms=0)
    for tick_ms in ticks_ms:
        age.on_tick(tick_ms)
    assert age.may_handle_late_packets(ticks_ms[-1]) is expected
