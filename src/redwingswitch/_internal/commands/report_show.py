"""``redwingswitch-report show``: show error budgets and burn rates.

They are computed from saved scrapes or from the metrics of running hosts.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.commands.ctl_support import parse_host_endpoints
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.models.configuration import Service
from redwingswitch._internal.report.burn import ErrorBudgetRow, Severity, error_budget_rows
from redwingswitch._internal.report.collect import fetch_metrics_twice
from redwingswitch._internal.report.indicators import compute_indicators, steered_services
from redwingswitch._internal.report.render import highest_severity, render_json, render_text
from redwingswitch._internal.report.scrapes import Scrape, load_scrapes
from redwingswitch._internal.report.settings import ReportSettings, read_report_settings

STATUS_BY_SEVERITY = {
    Severity.OK: status_codes.SUCCESS,
    Severity.BURNING: status_codes.BUDGET_BURNING,
    Severity.EXHAUSTED: status_codes.BUDGET_EXHAUSTED,
}


def run(
    *, file: str, directory: str, settings: str, hosts: str, seconds: int, as_json: bool
) -> int:
    """Print the report and return the exit status for the highest severity of its rows.

    Without the configuration ``file``, the report covers the services of steering hosts, with the
    objectives of the settings. ``directory`` holds saved scrapes. Without it, each admin endpoint
    is scraped twice, ``seconds`` apart.
    """
    report_settings = read_report_settings(Path(settings)) if settings else ReportSettings()
    scrapes = _read_scrapes(
        directory, parse_host_endpoints(hosts) or report_settings.hosts, seconds
    )
    if not scrapes:
        raise RedwingswitchError("there is no scrape to report on; check --directory or --hosts")
    services = (
        _read_services(file) if file else steered_services(scrapes, report_settings.objectives)
    )
    rows = error_budget_rows(
        compute_indicators(scrapes, services),
        services=services,
        windows=report_settings.windows,
        now_ms=max(scrape.scraped_at_ms for scrape in scrapes),
    )
    _print_report(rows, as_json=as_json)
    return STATUS_BY_SEVERITY[highest_severity(rows)]


def _read_services(file: str) -> tuple[Service, ...]:
    text = Path(file).read_text(encoding="utf-8")
    return parse_configuration(text=text, file=file, revision=0, digest="").services


def _read_scrapes(directory: str, hosts: Sequence[str], seconds: int) -> list[Scrape]:
    if directory:
        return load_scrapes(Path(directory))
    return asyncio.run(_scrape_twice(hosts, seconds))


async def _scrape_twice(hosts: Sequence[str], seconds: int) -> list[Scrape]:
    results = await fetch_metrics_twice(hosts, seconds)
    for result in results:
        if result.scrape is None:
            print(f"{result.endpoint}: no metrics: {result.problem}", file=sys.stderr)
    return [result.scrape for result in results if result.scrape is not None]


def _print_report(rows: Sequence[ErrorBudgetRow], *, as_json: bool) -> None:
    print(render_json(rows) if as_json else render_text(rows))
