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


class Fetched(NamedTuple):
    """The outcome of one fetch; ``scrape`` is None when ``problem`` says why not."""

    endpoint: str
    text: str
    scrape: Scrape | None
    problem: str = ""


async def fetch_all(endpoints: Sequence[str]) -> list[Fetched]:
    """Fetch the metrics of all admin endpoints at once."""
    return list(await asyncio.gather(*(_fetch(endpoint) for endpoint in endpoints)))


async def fetch_twice(endpoints: Sequence[str], seconds: int) -> list[Fetched]:
    """Fetch the metrics of all admin endpoints, and again ``seconds`` later."""
    first = await fetch_all(endpoints)
    await asyncio.sleep(seconds)
    return [*first, *await fetch_all(endpoints)]


async def _fetch(endpoint: str) -> Fetched:
    client = AsyncHTTPClient()
    try:
        response = await client.fetch(f"http://{endpoint}/metrics", request_timeout=FETCH_TIMEOUT_S)
        text = response.body.decode()
        return Fetched(endpoint, text, parse_scrape(text, taken_ms=wall_clock_ms()))
    except (HTTPError, OSError, DecodeError) as error:
        return Fetched(endpoint, "", None, str(error))
