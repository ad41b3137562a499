"""Settings of the report: metrics endpoints, burn rate windows and objectives."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.report.burn import BurnRateWindows
from redwingswitch._internal.report.indicators import SteeringObjectives
from redwingswitch._internal.utils.toml_reader import (
    FindingCollector,
    TableReader,
    address_problem,
    read_document,
)

MIN_WINDOW_S = 60
MAX_WINDOW_S = 90 * 24 * 3600
MAX_BURNING_RATE = 1000.0
# An objective of 0 leaves no error budget, by which the burn rate is divided.
MIN_OBJECTIVE_RATIO = 1e-6
DEFAULT_WINDOWS = BurnRateWindows()


class ReportSettings(NamedTuple):
    """Checked settings; ``hosts`` are admin or metrics endpoints as ``address:port``.

    ``objectives`` apply to all services of steering hosts.
    """

    hosts: tuple[str, ...] = ()
    windows: BurnRateWindows = DEFAULT_WINDOWS
    objectives: SteeringObjectives = SteeringObjectives()


def read_report_settings(path: Path) -> ReportSettings:
    """Read and check a settings file.

    Raises ``InvalidInputGroup`` with all findings.
    """
    return parse_report_settings(text=path.read_text(encoding="utf-8"), file=str(path))


def parse_report_settings(*, text: str, file: str) -> ReportSettings:
    """Parse and check the text of a settings file.

    Raises ``InvalidInputGroup`` with all findings.
    """
    collector = FindingCollector(file=file)
    settings = ReportSettings()
    root = read_document(text=text, collector=collector)
    if root is not None:
        settings = ReportSettings(
            hosts=_read_hosts(root), windows=_read_windows(root), objectives=_read_objectives(root)
        )
        root.check_unknown_keys()
    findings = collector.findings(text)
    if findings:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return settings


def _read_hosts(root: TableReader) -> tuple[str, ...]:
    hosts = root.strings("hosts")
    for host in hosts:
        address, _, port = host.rpartition(":")
        if not port.isdigit() or address_problem(address):
            root.add_finding("hosts", f"{host!r} is not an admin endpoint", "use ADDRESS:PORT")
    return tuple(hosts)


def _read_windows(root: TableReader) -> BurnRateWindows:
    table = root.table("windows")
    if table is None:
        return DEFAULT_WINDOWS
    windows = BurnRateWindows(
        short_s=_read_window(table, "short_s", DEFAULT_WINDOWS.short_s),
        long_s=_read_window(table, "long_s", DEFAULT_WINDOWS.long_s),
        budget_s=_read_window(table, "budget_s", DEFAULT_WINDOWS.budget_s),
        burning_rate=table.number(
            "burning_rate",
            minimum=1.0,
            maximum=MAX_BURNING_RATE,
            default=DEFAULT_WINDOWS.burning_rate,
        ),
    )
    if not windows.short_s < windows.long_s < windows.budget_s:
        table.add_finding("", "the windows are not in order", "use short_s < long_s < budget_s")
    table.check_unknown_keys()
    return windows


def _read_objectives(root: TableReader) -> SteeringObjectives:
    table = root.table("objectives")
    default = SteeringObjectives()
    if table is None:
        return default
    objectives = SteeringObjectives(
        broken_flows_ratio=_read_ratio(table, "broken_flows_ratio", default.broken_flows_ratio),
        late_answers_ratio=_read_ratio(table, "late_answers_ratio", default.late_answers_ratio),
    )
    table.check_unknown_keys()
    return objectives


def _read_ratio(table: TableReader, key: str, default: float) -> float:
    return table.number(key, minimum=MIN_OBJECTIVE_RATIO, maximum=1.0, default=default)


def _read_window(table: TableReader, key: str, default: int) -> int:
    return table.integer(key, minimum=MIN_WINDOW_S, maximum=MAX_WINDOW_S, default=default)
