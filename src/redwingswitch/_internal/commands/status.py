"""``redwingswitchctl status``: show the revision in force and what needs attention."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from redwingswitch._internal.cli.status_codes import NOT_IN_FORCE, STORE_UNAVAILABLE, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    StoreAndStatusClients,
    check_whole_number,
    open_clients,
    parse_host_endpoints,
    run_command,
)
from redwingswitch._internal.configuration.apply import parse_accepted_document
from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.configuration.fleet import admin_endpoints
from redwingswitch._internal.configuration.overview import Overview, make_overview, render_overview
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.configuration import Configuration, Document
from redwingswitch._internal.report.burn import BurnRateWindows, error_budget_rows
from redwingswitch._internal.report.collect import fetch_metrics_twice
from redwingswitch._internal.report.indicators import compute_indicators
from redwingswitch._internal.report.render import burn_rate_lines


class _FleetState(NamedTuple):
    """The state read from the store and from the entry hosts at ``endpoints``."""

    overview: Overview
    configuration: Configuration | None
    endpoints: tuple[str, ...]


def run(*, store: str, hosts: str, json: bool, every_host: bool, burn_s: int) -> int:
    """Print the state of the fleet; return the exit status."""
    seconds = check_whole_number("--burn_s", burn_s)
    return run_command(_status(store, hosts, json, every_host, seconds))


async def _status(store: str, hosts: str, json: bool, every_host: bool, burn_s: int) -> int:
    async with open_clients(store) as clients:
        state = await _read_fleet_state(clients, parse_host_endpoints(hosts))
    overview = state.overview
    if json:
        print(msgspec.json.format(msgspec.json.encode(overview)).decode())
    else:
        print("\n".join(render_overview(overview, every_host=every_host)))
        for line in await _burn_rate_lines(state, burn_s):
            print(line)
    if not overview["store_answered"]:
        return STORE_UNAVAILABLE
    complete = all(domain["complete"] for domain in overview["failure_domains"])
    return SUCCESS if complete else NOT_IN_FORCE


async def _burn_rate_lines(state: _FleetState, burn_s: int) -> list[str]:
    """Compare metrics over ``burn_s`` seconds; return a line per error budget that burns too fast.

    Returns no lines when ``burn_s`` is 0.
    """
    if not burn_s or state.configuration is None:
        return []
    results = await fetch_metrics_twice(state.endpoints, burn_s)
    scrapes = [result.scrape for result in results if result.scrape is not None]
    services = state.configuration.services
    rows = error_budget_rows(
        compute_indicators(scrapes, services),
        services=services,
        windows=BurnRateWindows(),
        now_ms=max((scrape.scraped_at_ms for scrape in scrapes), default=0),
    )
    return burn_rate_lines(rows, seconds=burn_s)


async def _read_fleet_state(clients: StoreAndStatusClients, hosts: tuple[str, ...]) -> _FleetState:
    """Read the store and the hosts; an unavailable store raises only when ``hosts`` is empty."""
    document: Document | None = None
    store_answered = True
    try:
        stored = await clients.store.get(CONFIGURATION_KEY)
        document = None if stored is None else decode_document(stored.value)
    except StoreUnavailableError:
        if not hosts:
            raise
        store_answered = False
    configuration = None if document is None else parse_accepted_document(document)
    declared_endpoints = () if configuration is None else admin_endpoints(configuration)
    endpoints = tuple(hosts or declared_endpoints)
    overview = make_overview(
        document=document,
        configuration=configuration,
        fleet_status=await clients.fleet.read(endpoints),
        store_answered=store_answered,
    )
    return _FleetState(overview, configuration, endpoints)
