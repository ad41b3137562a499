"""``redwingswitchctl apply``: make a configuration file the next revision."""

from __future__ import annotations

import asyncio
import datetime
import getpass
import secrets
import time
from typing import NamedTuple

from redwingswitch._internal.cli.status_codes import NOT_IN_FORCE, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    StoreAndStatusClients,
    check_whole_number,
    open_clients,
    parse_host_endpoints,
    read_file,
    run_command,
)
from redwingswitch._internal.commands.plan import format_plan
from redwingswitch._internal.configuration.apply import (
    ApplyRequest,
    ApplyResult,
    Plan,
    apply,
    plan,
)
from redwingswitch._internal.configuration.fleet import (
    DomainRollout,
    admin_endpoints,
    known_hosts,
    rollout_by_domain,
)
from redwingswitch._internal.models.configuration import Configuration, Document

APPLY_ID_BYTES = 8
ROLLOUT_POLL_INTERVAL_MS = 500
ANY_REVISION = -1
MS_PER_S = 1_000


class ApplyOptions(NamedTuple):
    """The command-line options of ``redwingswitchctl apply``."""

    file: str
    store: str
    hosts: str
    operator: str
    without_hosts: bool
    wait: bool
    wait_limit_s: int
    after: int


def run(
    *,
    file: str,
    store: str,
    hosts: str,
    operator: str,
    without_hosts: bool,
    wait: bool,
    wait_limit_s: int,
    after: int,
) -> int:
    """Apply ``file``, print the result, and return the exit status."""
    options = ApplyOptions(file, store, hosts, operator, without_hosts, wait, wait_limit_s, after)
    return run_command(_apply(options))


async def _apply(options: ApplyOptions) -> int:
    wait_limit_s = check_whole_number("--wait_limit_s", options.wait_limit_s)
    request = _build_request(options)
    async with open_clients(options.store) as clients:
        planned = await plan(request, store=clients.store, fleet=clients.fleet)
        print("\n".join(format_plan(planned)))
        result = await apply(
            request, planned, store=clients.store, fleet=clients.fleet, sleep_ms=_sleep_ms
        )
        _print_result(result)
        if not options.wait:
            return SUCCESS
        return await _wait_until_in_force(clients, request, planned, result.document, wait_limit_s)


def _build_request(options: ApplyOptions) -> ApplyRequest:
    now = datetime.datetime.now(datetime.UTC)
    return ApplyRequest(
        text=read_file(options.file),
        file=options.file,
        operator=options.operator or getpass.getuser(),
        apply_id=secrets.token_hex(APPLY_ID_BYTES),
        applied_at=now.strftime("%Y-%m-%dT%H:%M:%SZ"),
        hosts=parse_host_endpoints(options.hosts),
        without_hosts=options.without_hosts,
        after=(
            None if options.after == ANY_REVISION else check_whole_number("--after", options.after)
        ),
    )


async def _sleep_ms(milliseconds: int) -> None:
    await asyncio.sleep(milliseconds / MS_PER_S)


def _print_result(result: ApplyResult) -> None:
    document = result.document
    if not result.written:
        print(
            f"unchanged: revision {document['revision']}, applied by {document['operator']}, "
            "has the same text"
        )
        return
    print(f"accepted: revision {document['revision']}, apply id {document['apply_id']}")
    if result.superseded_by is not None:
        later = result.superseded_by
        print(f"superseded meanwhile: revision {later['revision']} by {later['operator']}")


async def _wait_until_in_force(
    clients: StoreAndStatusClients,
    request: ApplyRequest,
    planned: Plan,
    document: Document,
    wait_limit_s: int,
) -> int:
    """Poll the hosts until the revision is in force in each failure domain or the wait ends."""
    deadline_ms = time.monotonic() * MS_PER_S + wait_limit_s * MS_PER_S
    reported_domains: set[str] = set()
    while True:
        domains = await _read_rollout(clients, request, planned.configuration, document)
        for domain in domains:
            if domain.complete and domain.failure_domain not in reported_domains:
                reported_domains.add(domain.failure_domain)
                print(f"in force in {domain.failure_domain}: {', '.join(domain.in_force)}")
        if all(domain.complete for domain in domains):
            return SUCCESS
        if time.monotonic() * MS_PER_S >= deadline_ms:
            break
        await _sleep_ms(ROLLOUT_POLL_INTERVAL_MS)
    for domain in domains:
        if not domain.complete:
            print(f"NOT in force in {domain.failure_domain}: {_format_hosts_not_in_force(domain)}")
    return NOT_IN_FORCE


async def _read_rollout(
    clients: StoreAndStatusClients,
    request: ApplyRequest,
    configuration: Configuration,
    document: Document,
) -> list[DomainRollout]:
    endpoints = request.hosts or admin_endpoints(configuration)
    fleet_status = await clients.fleet.read(endpoints)
    return rollout_by_domain(
        known_hosts(configuration, fleet_status),
        fleet_status,
        revision=document["revision"],
        digest=document["digest"],
    )


def _format_hosts_not_in_force(domain: DomainRollout) -> str:
    parts = [
        f"{label} {', '.join(names)}"
        for label, names in (
            ("behind", domain.behind),
            ("dead", domain.dead),
            ("no answer from", domain.unknown),
        )
        if names
    ]
    return "; ".join(parts) or "no active entry host"
