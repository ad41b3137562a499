"""Check an operators' file without the store."""

from __future__ import annotations

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import read_file, run_reporting
from redwingswitch._internal.configuration.document import text_digest
from redwingswitch._internal.configuration.parse import parse_configuration


def run(*, file: str) -> int:
    """Print every finding in ``file``, or what it declares; return the exit status."""
    return run_reporting(_check(file))


async def _check(file: str) -> int:
    text = read_file(file)
    found = parse_configuration(text=text, file=file, revision=0, digest=text_digest(text))
    servers = sum(len(service.backend_servers) for service in found.services)
    print(f"{file}: no findings")
    print(
        f"failure domains: {len(found.failure_domains)}, entry hosts: {len(found.entry_hosts)}, "
        f"services: {len(found.services)}, backend servers: {servers}"
    )
    return SUCCESS
