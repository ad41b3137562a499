"""Apply an operators' file."""

from __future__ import annotations

import asyncio
import datetime
import getpass
import secrets
import time
from typing import NamedTuple

from redwingswitch._internal.cli.status_codes import NOT_IN_FORCE, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    Connections,
    connections,
    host_endpoints,
    read_file,
    run_reporting,
    whole_number,
)
from redwingswitch._internal.commands.plan import describe
from redwingswitch._internal.configuration.apply import (
    Accepted,
    ApplyRequest,
    Plan,
    apply,
    plan,
)
from redwingswitch._internal.configuration.fleet import (
    DomainForce,
    admin_endpoints,
    force_by_domain,
    known_hosts,
)
from redwingswitch._internal.models.configuration import Configuration, Document

APPLY_ID_BYTES = 8
FORCE_POLL_MS = 500
ANY_REVISION = -1
MS_PER_S = 1_000


class ApplyOptions(NamedTuple):
    """The options of the command."""

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
    """Apply ``file``, say what became of it, and return the exit status."""
    options = ApplyOptions(file, store, hosts, operator, without_hosts, wait, wait_limit_s, after)
    return run_reporting(_apply(options))


async def _apply(options: ApplyOptions) -> int:
    wait_limit_s = whole_number("--wait_limit_s", options.wait_limit_s)
    request = _request(options)
    async with connections(options.store) as opened:
        planned = await plan(request, store=opened.store, fleet=opened.fleet)
        print("\n".join(describe(planned)))
        accepted = await apply(request, planned, store=opened.store, pause=_pause)
        _print_accepted(accepted)
        if not options.wait:
            return SUCCESS
        return await _wait(opened, request, planned, accepted.document, wait_limit_s)


def _request(options: ApplyOptions) -> ApplyRequest:
    now = datetime.datetime.now(datetime.UTC)
    return ApplyRequest(
        text=read_file(options.file),
        file=options.file,
        operator=options.operator or getpass.getuser(),
        apply_id=secrets.token_hex(APPLY_ID_BYTES),
        applied_at=now.strftime("%Y-%m-%dT%H:%M:%SZ"),
        hosts=host_endpoints(options.hosts),
        without_hosts=options.without_hosts,
        after=None if options.after == ANY_REVISION else whole_number("--after", options.after),
    )


async def _pause(milliseconds: int) -> None:
    await asyncio.sleep(milliseconds / MS_PER_S)


def _print_accepted(accepted: Accepted) -> None:
    document = accepted.document
    if not accepted.written:
        print(
            f"unchanged: revision {document['revision']}, applied by {document['operator']}, "
            "has the same text"
        )
        return
    print(f"accepted: revision {document['revision']}, apply id {document['apply_id']}")
    if accepted.superseded_by is not None:
        later = accepted.superseded_by
        print(f"superseded meanwhile: revision {later['revision']} by {later['operator']}")


async def _wait(
    opened: Connections,
    request: ApplyRequest,
    planned: Plan,
    document: Document,
    wait_limit_s: int,
) -> int:
    """Ask the hosts until the revision is in force in each failure domain or the time is up."""
    deadline_ms = time.monotonic() * MS_PER_S + wait_limit_s * MS_PER_S
    shown: set[str] = set()
    while True:
        domains = await _force(opened, request, planned.configuration, document)
        for domain in domains:
            if domain.complete and domain.failure_domain not in shown:
                shown.add(domain.failure_domain)
                print(f"in force in {domain.failure_domain}: {', '.join(domain.in_force)}")
        if all(domain.complete for domain in domains):
            return SUCCESS
        if time.monotonic() * MS_PER_S >= deadline_ms:
            break
        await _pause(FORCE_POLL_MS)
    for domain in domains:
        if not domain.complete:
            print(f"NOT in force in {domain.failure_domain}: {_missing(domain)}")
    return NOT_IN_FORCE


async def _force(
    opened: Connections, request: ApplyRequest, configuration: Configuration, document: Document
) -> list[DomainForce]:
    endpoints = request.hosts or admin_endpoints(configuration)
    reading = await opened.fleet.read(endpoints)
    return force_by_domain(
        known_hosts(configuration, reading),
        reading,
        revision=document["revision"],
        digest=document["digest"],
    )


def _missing(domain: DomainForce) -> str:
    parts = [
        f"{word} {', '.join(names)}"
        for word, names in (
            ("behind", domain.behind),
            ("dead", domain.dead),
            ("no answer from", domain.unknown),
        )
        if names
    ]
    return "; ".join(parts) or "no active entry host"
