"""Guards against lists that are put together from parts of different snapshots, or incomplete."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    MAX_PART_BYTES,
    MAX_PARTS,
    PartCollector,
    split_snapshot,
)
from redwingswitch._internal.decisions.list_sharing.neighbours import (
    MAX_NEIGHBOURS,
    NEIGHBOUR_RETENTION_MS,
    Neighbours,
)
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.list_sharing import SnapshotPart

ENCODED = bytes(range(256)) * 20
PARTS = tuple(split_snapshot(ENCODED, transfer=1))
FIRST = Neighbour("10.0.0.1", 7720)
SECOND = Neighbour("10.0.0.2", 7720)


@given(st.randoms(use_true_random=False))
def test_parts_in_any_order_and_twice_give_the_snapshot_once(order: random.Random) -> None:
    sent = [*PARTS, *PARTS[:-1]]
    order.shuffle(sent)
    collector = PartCollector()
    found = [each for part in sent if (each := collector.add(part, incarnation=5)) is not None]
    assert found[:1] == [ENCODED]


@pytest.mark.parametrize(
    ("other", "incarnation"),
    [
        pytest.param(PARTS[1]._replace(transfer=2), 5, id="another snapshot"),
        pytest.param(PARTS[1], 6, id="another host"),
        pytest.param(PARTS[1]._replace(part_count=2), 5, id="another length"),
    ],
)
def test_parts_of_different_snapshots_are_not_mixed(other: SnapshotPart, incarnation: int) -> None:
    collector = PartCollector()
    for part in (PARTS[0], *PARTS[2:]):
        assert collector.add(part, incarnation=5) is None
    assert collector.add(other, incarnation=incarnation) is None
    assert collector.add(PARTS[1], incarnation=5) is None


@pytest.mark.parametrize(
    "part",
    [
        pytest.param(SnapshotPart(1, 0, 0, b""), id="no parts"),
        pytest.param(SnapshotPart(1, 3, 3, b""), id="a part after the last"),
        pytest.param(SnapshotPart(1, 0, MAX_PARTS + 1, b""), id="too many parts"),
        pytest.param(SnapshotPart(1, -1, 1, b""), id="a negative part"),
        pytest.param(SnapshotPart(1, 0, 1, bytes(MAX_PART_BYTES + 1)), id="too many bytes"),
    ],
)
def test_impossible_parts_are_ignored(part: SnapshotPart) -> None:
    assert PartCollector().add(part, incarnation=5) is None


def test_a_list_of_too_many_parts_is_not_sent() -> None:
    assert not list(split_snapshot(bytes(MAX_PART_BYTES * MAX_PARTS + 1), transfer=1))


def neighbours() -> Neighbours:
    return Neighbours(random_source=random.Random(1))


def test_each_neighbour_is_chosen_until_it_has_not_been_heard_for_long() -> None:
    known = neighbours()
    known.on_heard(FIRST, 0)
    known.on_heard(SECOND, 1_000)
    assert {known.choose(1_000) for _ in range(50)} == {FIRST, SECOND}
    assert {known.choose(1_000, other_than=FIRST) for _ in range(50)} == {SECOND}
    assert {known.choose(NEIGHBOUR_RETENTION_MS) for _ in range(50)} == {SECOND}
    known.on_heard(SECOND, NEIGHBOUR_RETENTION_MS)
    assert known.choose(NEIGHBOUR_RETENTION_MS + 1_000) == SECOND
    assert known.choose(2 * NEIGHBOUR_RETENTION_MS) is None


def test_the_number_of_neighbours_is_bounded() -> None:
    known = neighbours()
    for number in range(MAX_NEIGHBOURS + 10):
        known.on_heard(Neighbour("10.0.0.1", number), number)
    assert len(known) == MAX_NEIGHBOURS
