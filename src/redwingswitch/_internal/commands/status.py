"""Show which revision is in force where, and what is suspected, draining or ejected."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from redwingswitch._internal.cli.status_codes import NOT_IN_FORCE, STORE_UNAVAILABLE, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    Connections,
    connections,
    host_endpoints,
    run_reporting,
    whole_number,
)
from redwingswitch._internal.configuration.apply import parse_accepted
from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.configuration.fleet import admin_endpoints
from redwingswitch._internal.configuration.overview import Overview, make_overview, render
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.configuration import Configuration, Document
from redwingswitch._internal.report.burn import Windows, burn_rows
from redwingswitch._internal.report.collect import fetch_twice
from redwingswitch._internal.report.indicators import indicators
from redwingswitch._internal.report.render import burning_lines


class _State(NamedTuple):
    """What was read from the store and from the entry hosts at ``endpoints``."""

    overview: Overview
    configuration: Configuration | None
    endpoints: tuple[str, ...]


def run(*, store: str, hosts: str, json: bool, every_host: bool, burn_s: int) -> int:
    """Print the state of the fleet; return the exit status."""
    seconds = whole_number("--burn_s", burn_s)
    return run_reporting(_status(store, hosts, json, every_host, seconds))


async def _status(store: str, hosts: str, json: bool, every_host: bool, burn_s: int) -> int:
    async with connections(store) as opened:
        state = await _read(opened, host_endpoints(hosts))
    overview = state.overview
    if json:
        print(msgspec.json.format(msgspec.json.encode(overview)).decode())
    else:
        print("\n".join(render(overview, every_host=every_host)))
        for line in await _burning(state, burn_s):
            print(line)
    if not overview["store_answered"]:
        return STORE_UNAVAILABLE
    complete = all(domain["complete"] for domain in overview["failure_domains"])
    return SUCCESS if complete else NOT_IN_FORCE


async def _burning(state: _State, burn_s: int) -> list[str]:
    """Watch the metrics for ``burn_s`` seconds; 0 leaves this out."""
    if not burn_s or state.configuration is None:
        return []
    fetched = await fetch_twice(state.endpoints, burn_s)
    scrapes = [item.scrape for item in fetched if item.scrape is not None]
    services = state.configuration.services
    rows = burn_rows(
        indicators(scrapes, services),
        services=services,
        windows=Windows(),
        now_ms=max((scrape.taken_ms for scrape in scrapes), default=0),
    )
    return burning_lines(rows, seconds=burn_s)


async def _read(opened: Connections, hosts: tuple[str, ...]) -> _State:
    """Read the store and the hosts; the hosts' reports are shown even when the store is down."""
    document: Document | None = None
    store_answered = True
    try:
        stored = await opened.store.get(CONFIGURATION_KEY)
        document = None if stored is None else decode_document(stored.value)
    except StoreUnavailableError:
        if not hosts:
            raise
        store_answered = False
    configuration = None if document is None else parse_accepted(document)
    declared = () if configuration is None else admin_endpoints(configuration)
    endpoints = tuple(hosts or declared)
    overview = make_overview(
        document=document,
        configuration=configuration,
        reading=await opened.fleet.read(endpoints),
        store_answered=store_answered,
    )
    return _State(overview, configuration, endpoints)
