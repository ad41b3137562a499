"""``redwingswitch-report collect``: save the hosts' metrics, for reports over longer windows."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.commands.ctl_support import parse_host_endpoints
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.report.collect import FetchResult, fetch_metrics
from redwingswitch._internal.report.scrapes import save_scrape
from redwingswitch._internal.report.settings import ReportSettings, read_report_settings


def run(*, directory: str, settings: str, hosts: str, count: int, every_s: int) -> int:
    """Scrape all hosts ``count`` times, ``every_s`` seconds apart, and save the results.

    Returns ERROR when any scrape failed.
    """
    report_settings = read_report_settings(Path(settings)) if settings else ReportSettings()
    endpoints = parse_host_endpoints(hosts) or report_settings.hosts
    if not endpoints:
        raise RedwingswitchError("no entry host is named; give --hosts or a settings file")
    target_directory = Path(directory)
    target_directory.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_collect(target_directory, endpoints, count, every_s))


async def _collect(
    target_directory: Path, endpoints: Sequence[str], count: int, every_s: int
) -> int:
    failed_count = 0
    for number in range(count):
        if number:
            await asyncio.sleep(every_s)
        failed_count += sum(
            not _save_result(target_directory, result) for result in await fetch_metrics(endpoints)
        )
    return status_codes.ERROR if failed_count else status_codes.SUCCESS


def _save_result(target_directory: Path, result: FetchResult) -> bool:
    if result.scrape is None:
        print(f"{result.endpoint}: no metrics: {result.problem}", file=sys.stderr)
        return False
    save_scrape(target_directory, result.text, result.scrape)
    return True
