"""Guards against documented files and keys that the programs do not accept."""

from pathlib import Path

import pytest

from redwingswitch._internal.configuration.declared import check_declared_changes
from redwingswitch._internal.configuration.differences import differences
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.models.configuration import (
    BackendServer,
    EntryHostEntry,
    FailureDomain,
    IntendedChange,
    Objectives,
    Service,
)
from redwingswitch._internal.settings import PeerKey, Seed, Settings, read_settings

DOCS = Path(__file__).parents[2] / "docs" / "operators"
# Fields that the files state in another unit or place.
RENAMED = {
    "idle_limit_ms": "idle_limit_s",
    "grace_period_ms": "grace_period_s",
    "peers": "[[peers]]",
    "seeds": "[[seeds]]",
}
NOT_STATED = {"backend_servers", "objectives"}


@pytest.mark.parametrize(
    ("page", "models"),
    [
        (
            "configuration.md",
            [FailureDomain, EntryHostEntry, Service, Objectives, BackendServer, IntendedChange],
        ),
        ("settings.md", [Settings, PeerKey, Seed]),
    ],
)
def test_every_key_is_documented(page, models):
    text = (DOCS / page).read_text()
    fields = [field for model in models for field in model._fields if field not in NOT_STATED]
    missing = [f for f in fields if f"`{RENAMED.get(f, f)}`" not in text]
    assert missing == []


def test_the_files_of_the_first_run_are_accepted():
    read_settings(DOCS / "first-run" / "entry-1.toml")
    read_settings(DOCS / "first-run" / "entry-2.toml")
    texts = [(DOCS / "first-run" / name).read_text() for name in ("fleet.toml", "drain-job-2.toml")]
    first, second = (
        parse_configuration(text=text, file="", revision=1, digest="") for text in texts
    )
    found = differences(before=first, after=second)
    check_declared_changes(text=texts[1], file="", configuration=second, found=found)
