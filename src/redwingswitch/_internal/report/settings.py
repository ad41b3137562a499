"""Settings of the report: where the daemons are, and the windows of the burn rates."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.report.burn import Windows
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
# An objective of 0 has no budget that could burn.
MIN_RATIO = 1e-6
DEFAULTS = Windows()


class ReportSettings(NamedTuple):
    """Checked settings; ``hosts`` are admin or metrics endpoints as ``address:port``.

    ``objectives`` hold for all services of hosts that steer by cookies.
    """

    hosts: tuple[str, ...] = ()
    windows: Windows = DEFAULTS
    objectives: SteeringObjectives = SteeringObjectives()


def read_settings(path: Path) -> ReportSettings:
    """Read and check a settings file.

    Raises ``InvalidInputGroup`` with all findings.
    """
    return parse_settings(text=path.read_text(encoding="utf-8"), file=str(path))


def parse_settings(*, text: str, file: str) -> ReportSettings:
    """Parse and check the text of a settings file.

    Raises ``InvalidInputGroup`` with all findings.
    """
    collector = FindingCollector(file=file)
    settings = ReportSettings()
    root = read_document(text=text, collector=collector)
    if root is not None:
        settings = ReportSettings(
            hosts=_hosts(root), windows=_windows(root), objectives=_objectives(root)
        )
        root.check_unknown_keys()
    findings = collector.findings(text)
    if findings:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return settings


def _hosts(root: TableReader) -> tuple[str, ...]:
    hosts = root.strings("hosts")
    for host in hosts:
        address, _, port = host.rpartition(":")
        if not port.isdigit() or address_problem(address):
            root.add_finding("hosts", f"{host!r} is not an admin endpoint", "use ADDRESS:PORT")
    return tuple(hosts)


def _windows(root: TableReader) -> Windows:
    table = root.table("windows")
    if table is None:
        return DEFAULTS
    windows = Windows(
        short_s=_window(table, "short_s", DEFAULTS.short_s),
        long_s=_window(table, "long_s", DEFAULTS.long_s),
        budget_s=_window(table, "budget_s", DEFAULTS.budget_s),
        burning_rate=table.number(
            "burning_rate", minimum=1.0, maximum=MAX_BURNING_RATE, default=DEFAULTS.burning_rate
        ),
    )
    if not windows.short_s < windows.long_s < windows.budget_s:
        table.add_finding("", "the windows are not in order", "use short_s < long_s < budget_s")
    table.check_unknown_keys()
    return windows


def _objectives(root: TableReader) -> SteeringObjectives:
    table = root.table("objectives")
    default = SteeringObjectives()
    if table is None:
        return default
    objectives = SteeringObjectives(
        broken_flows_ratio=_ratio(table, "broken_flows_ratio", default.broken_flows_ratio),
        late_answers_ratio=_ratio(table, "late_answers_ratio", default.late_answers_ratio),
    )
    table.check_unknown_keys()
    return objectives


def _ratio(table: TableReader, key: str, default: float) -> float:
    return table.number(key, minimum=MIN_RATIO, maximum=1.0, default=default)


def _window(table: TableReader, key: str, default: int) -> int:
    return table.integer(key, minimum=MIN_WINDOW_S, maximum=MAX_WINDOW_S, default=default)
