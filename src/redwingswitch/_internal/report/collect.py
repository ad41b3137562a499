"""Fetch the metrics of entry hosts over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPError

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.report.scrapes import Scrape, parse_scrape
from redwingswitch._internal.utils.clocks import wall_clock_ms

FETCH_TIMEOUT_S = 5.0


class FetchResult(NamedTuple):
    """The result of one fetch; on failure, ``scrape`` is None and ``problem`` has the reason."""

    endpoint: str
    text: str
    scrape: Scrape | None
    problem: str = ""


async def fetch_metrics(endpoints: Sequence[str]) -> list[FetchResult]:
    """Fetch the metrics of all admin endpoints concurrently."""
    return list(await asyncio.gather(*(_fetch(endpoint) for endpoint in endpoints)))


async def fetch_metrics_twice(endpoints: Sequence[str], interval_s: int) -> list[FetchResult]:
    """Fetch the metrics of all admin endpoints, and again ``interval_s`` later."""
    first = await fetch_metrics(endpoints)
    await asyncio.sleep(interval_s)
    return [*first, *await fetch_metrics(endpoints)]


async def _fetch(endpoint: str) -> FetchResult:
    client = AsyncHTTPClient()
    try:
        response = await client.fetch(f"http://{endpoint}/metrics", request_timeout=FETCH_TIMEOUT_S)
        text = response.body.decode()
        return FetchResult(endpoint, text, parse_scrape(text, scraped_at_ms=wall_clock_ms()))
    except (HTTPError, OSError, DecodeError) as error:
        return FetchResult(endpoint, "", None, str(error))
