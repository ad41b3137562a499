"""Save scrapes of entry hosts, for reports over longer windows."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.commands.ctl_support import host_endpoints
from redwingswitch._internal.exceptions import RedwingswitchError
from redwingswitch._internal.report.collect import Fetched, fetch_all
from redwingswitch._internal.report.scrapes import save_scrape
from redwingswitch._internal.report.settings import ReportSettings, read_settings


def run(*, directory: str, settings: str, hosts: str, count: int, every_s: int) -> int:
    """Scrape all hosts ``count`` times, ``every_s`` seconds apart, and save what answers."""
    checked = read_settings(Path(settings)) if settings else ReportSettings()
    endpoints = host_endpoints(hosts) or checked.hosts
    if not endpoints:
        raise RedwingswitchError("no entry host is named; give --hosts or a settings file")
    target = Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_collect(target, endpoints, count, every_s))


async def _collect(target: Path, endpoints: Sequence[str], count: int, every_s: int) -> int:
    missed = 0
    for number in range(count):
        if number:
            await asyncio.sleep(every_s)
        missed += sum(not _save(target, item) for item in await fetch_all(endpoints))
    return status_codes.ERROR if missed else status_codes.SUCCESS


def _save(target: Path, item: Fetched) -> bool:
    if item.scrape is None:
        print(f"{item.endpoint}: no metrics: {item.problem}", file=sys.stderr)
        return False
    save_scrape(target, item.text, item.scrape)
    return True
