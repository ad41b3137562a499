"""Guards against revisions of a restored store that pass for earlier ones."""

import pytest

from redwingswitch._internal.models.store_revisions import (
    MAX_ERA,
    MAX_NUMBER,
    era_of,
    format_revision,
    make_revision,
    number_of,
)


@pytest.mark.parametrize("era", [0, 1, MAX_ERA])
@pytest.mark.parametrize("number", [0, 1, MAX_NUMBER])
def test_a_revision_names_its_era_and_number(era: int, number: int) -> None:
    revision = make_revision(era=era, number=number)
    assert (era_of(revision), number_of(revision)) == (era, number)
    assert format_revision(revision) == (f"{era}:{number}" if era else str(number))
    assert revision < 2**63


def test_each_revision_after_a_restore_follows_all_before_it() -> None:
    assert make_revision(era=1, number=0) > make_revision(era=0, number=MAX_NUMBER)


@pytest.mark.parametrize(
    ("era", "number"), [(-1, 0), (MAX_ERA + 1, 0), (0, -1), (0, MAX_NUMBER + 1)]
)
def test_a_revision_out_of_range_is_an_error(era: int, number: int) -> None:
    with pytest.raises(ValueError, match="out of range"):
        make_revision(era=era, number=number)
