"""Guards against taking routes for the newest ones while other hosts may have later ones."""

import pytest

from redwingswitch._internal.decisions.list_sharing.held_routes import HeldRoutes
from redwingswitch._internal.models.list_sharing import NewestRoutes
from redwingswitch._internal.models.store_revisions import make_revision

Read = tuple[int | None, int | None]
UNREADABLE = None


def read(version: int | None, *, era: int, number: int) -> Read:
    return version, make_revision(era=era, number=number)


@pytest.mark.parametrize(
    ("reads", "expected"),
    [
        pytest.param([read(11, era=0, number=5)], False, id="never restored"),
        pytest.param(
            [read(11, era=0, number=5), UNREADABLE, read(None, era=0, number=6)],
            True,
            id="a version that cannot be decoded",
        ),
        pytest.param(
            [read(11, era=0, number=5), UNREADABLE, read(13, era=0, number=7)],
            False,
            id="and a later one",
        ),
        pytest.param([read(11, era=1, number=5)], True, id="started after a restore"),
        pytest.param(
            [read(11, era=0, number=5), read(11, era=1, number=5)], True, id="ran through a restore"
        ),
        pytest.param(
            [read(11, era=1, number=5), read(None, era=1, number=6)], True, id="other changes since"
        ),
        pytest.param(
            [read(11, era=1, number=5), read(13, era=1, number=6)], False, id="written since"
        ),
        pytest.param(
            [read(11, era=1, number=5), (12, None)], True, id="another host's routes of before"
        ),
        pytest.param(
            [read(12, era=0, number=7), read(11, era=1, number=5), read(12, era=1, number=6)],
            False,
            id="the lost version is written again",
        ),
        pytest.param(
            [read(11, era=1, number=5), read(13, era=1, number=6), read(13, era=2, number=6)],
            True,
            id="restored again",
        ),
    ],
)
def test_answers_prove_nothing_while_other_hosts_may_have_routes_that_they_lack(
    reads: list[Read | None], expected: bool
) -> None:
    held = HeldRoutes()
    for each in reads:
        if each is UNREADABLE:
            held.on_unreadable()
        else:
            version, up_to_revision = each
            held.on_read(version, up_to_revision=up_to_revision)
    assert held.may_miss_version is expected


@pytest.mark.parametrize(
    ("version", "expected_ms"),
    [
        pytest.param(11, 700, id="the reader's routes are those of this host"),
        pytest.param(12, None, id="the reader has newer routes"),
    ],
)
def test_a_reader_that_knows_better_confirms_the_routes_of_a_restored_store(
    version: int, expected_ms: int | None
) -> None:
    held = HeldRoutes()
    held.on_read(11, up_to_revision=make_revision(era=1, number=5))
    held.on_announced(NewestRoutes(version, revision=0, as_of_ms=700))
    assert held.confirmed_ms == expected_ms
