"""Guards against sample files that the programs refuse, and undocumented keys and metrics."""

import re
import runpy
from pathlib import Path

import pytest

from redwingswitch._internal.cli.ctl import main
from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.configuration.declared_changes import check_declared_changes
from redwingswitch._internal.configuration.differences import diff_configurations
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.daemon.metrics import _COUNTERS, _GAUGES
from redwingswitch._internal.models.configuration import (
    BackendServer,
    DeclaredChange,
    DeclaredEntryHost,
    FailureDomain,
    Service,
    ServiceLevelObjectives,
)
from redwingswitch._internal.report.settings import read_report_settings
from redwingswitch._internal.settings import PeerKey, SeedSettings, Settings, read_settings

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs" / "operators"
EXAMPLES = ROOT / "examples" / "files"
SOURCES = ROOT / "src" / "redwingswitch"
# Names of fields that the files have in another unit or as a table.
DOCUMENTED_NAMES = {
    "idle_limit_ms": "idle_limit_s",
    "grace_period_ms": "grace_period_s",
    "peers": "[[peers]]",
    "seeds": "[[seeds]]",
}
NESTED_FIELDS = {"backend_servers", "objectives"}


@pytest.mark.parametrize(
    ("page", "models"),
    [
        (
            "configuration.md",
            [
                FailureDomain,
                DeclaredEntryHost,
                Service,
                ServiceLevelObjectives,
                BackendServer,
                DeclaredChange,
            ],
        ),
        ("settings.md", [Settings, PeerKey, SeedSettings]),
    ],
)
def test_every_key_is_documented(page, models):
    text = (DOCS / page).read_text()
    fields = [field for model in models for field in model._fields if field not in NESTED_FIELDS]
    missing = [f for f in fields if f"`{DOCUMENTED_NAMES.get(f, f)}`" not in text]
    assert missing == []


def test_the_files_of_the_first_run_are_accepted(tmp_path):
    make_keys = runpy.run_path(str(DOCS / "first-run" / "make_keys.py"))
    make_keys["make_files"](tmp_path)
    for host in make_keys["HOSTS"]:
        read_settings(tmp_path / f"{host}.toml")
    read_report_settings(tmp_path / "report.toml")
    first = (tmp_path / "fleet.toml").read_text()
    before = parse_configuration(text=first, file="", revision=1, digest="")
    for name in ("drain-job-1.toml", "drain-job-2.toml"):
        text = (tmp_path / name).read_text()
        after = parse_configuration(text=text, file="", revision=2, digest="")
        differences = diff_configurations(before=before, after=after)
        check_declared_changes(text=text, file="", configuration=after, differences=differences)


@pytest.mark.parametrize(
    ("name", "counts"),
    [
        ("huon.toml", "failure domains: 3, entry hosts: 7, services: 2, backend servers: 10"),
        ("chikushi.toml", "failure domains: 4, entry hosts: 9, services: 2, backend servers: 11"),
    ],
)
def test_the_sample_files_are_accepted(name, counts, capsys):
    with pytest.raises(SystemExit) as caught:
        main(["check", str(EXAMPLES / name)])
    assert caught.value.code == SUCCESS
    assert counts in capsys.readouterr().out


def test_every_metric_and_part_of_the_log_is_documented():
    pages = [(DOCS / page).read_text() for page in ("metrics.md", "logs.md")]
    metrics = [*_COUNTERS, *_GAUGES, "request_latency_ms"]
    assert [m for m in metrics if f"`{m}`" not in pages[0]] == []
    parts = {
        part
        for path in SOURCES.rglob("*.py")
        for part in re.findall(r'\b(?:Logger|Log)\(\s*"([a-z-]+)"', path.read_text())
    }
    assert [part for part in sorted(parts) if f"`{part}`" not in pages[1]] == []
