"""Show which revision is in force where, and what is suspected, draining or ejected."""

from __future__ import annotations

import msgspec

from redwingswitch._internal.cli.status_codes import NOT_IN_FORCE, STORE_UNAVAILABLE, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    Connections,
    connections,
    host_endpoints,
    run_reporting,
)
from redwingswitch._internal.configuration.apply import parse_accepted
from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.configuration.fleet import admin_endpoints
from redwingswitch._internal.configuration.overview import Overview, make_overview, render
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.configuration import Document


def run(*, store: str, hosts: str, json: bool, every_host: bool) -> int:
    """Print the state of the fleet; return the exit status."""
    return run_reporting(_status(store, hosts, json, every_host))


async def _status(store: str, hosts: str, json: bool, every_host: bool) -> int:
    async with connections(store) as opened:
        overview = await _read(opened, host_endpoints(hosts))
    if json:
        print(msgspec.json.format(msgspec.json.encode(overview)).decode())
    else:
        print("\n".join(render(overview, every_host=every_host)))
    if not overview["store_answered"]:
        return STORE_UNAVAILABLE
    complete = all(domain["complete"] for domain in overview["failure_domains"])
    return SUCCESS if complete else NOT_IN_FORCE


async def _read(opened: Connections, hosts: tuple[str, ...]) -> Overview:
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
    reading = await opened.fleet.read(hosts or declared)
    return make_overview(
        document=document,
        configuration=configuration,
        reading=reading,
        store_answered=store_answered,
    )
