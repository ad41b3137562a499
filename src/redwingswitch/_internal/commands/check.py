"""``redwingswitchctl check``: check a configuration file without the store."""

from __future__ import annotations

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import read_file, run_command
from redwingswitch._internal.configuration.document import text_digest
from redwingswitch._internal.configuration.parse import parse_configuration


def run(*, file: str) -> int:
    """Check ``file`` and return the exit status.

    Prints the number of failure domains, entry hosts, services and servers of a valid file. For an
    invalid file, the parser raises InvalidInputGroup, and ``run_command`` prints the findings.
    """
    return run_command(_check(file))


async def _check(file: str) -> int:
    text = read_file(file)
    parsed = parse_configuration(text=text, file=file, revision=0, digest=text_digest(text))
    server_count = sum(len(service.backend_servers) for service in parsed.services)
    print(f"{file}: no findings")
    print(
        f"failure domains: {len(parsed.failure_domains)}, entry hosts: {len(parsed.entry_hosts)}, "
        f"services: {len(parsed.services)}, backend servers: {server_count}"
    )
    return SUCCESS
