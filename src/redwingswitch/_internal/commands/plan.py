"""``redwingswitchctl plan``: show what a configuration file would change."""

from __future__ import annotations

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    open_clients,
    parse_host_endpoints,
    read_file,
    run_command,
)
from redwingswitch._internal.configuration.apply import ApplyRequest, Plan, plan


def run(*, file: str, store: str, hosts: str, without_hosts: bool) -> int:
    """Print the differences from the accepted file; return the exit status."""
    return run_command(_plan(file, store, hosts, without_hosts))


async def _plan(file: str, store: str, hosts: str, without_hosts: bool) -> int:
    request = ApplyRequest(
        text=read_file(file),
        file=file,
        operator="",
        apply_id="",
        applied_at="",
        hosts=parse_host_endpoints(hosts),
        without_hosts=without_hosts,
    )
    async with open_clients(store) as clients:
        planned = await plan(request, store=clients.store, fleet=clients.fleet)
    for line in format_plan(planned):
        print(line)
    return SUCCESS


def format_plan(planned: Plan) -> list[str]:
    """Return lines with the base revision, the differences and the number of answering hosts."""
    accepted = planned.accepted
    base = "no file is accepted yet" if accepted is None else f"revision {accepted['revision']}"
    lines = [f"compared with: {base}"]
    lines.extend(f"  {difference}" for difference in planned.differences)
    if not planned.differences:
        lines.append("  no difference")
    queried_count = len(planned.fleet_status.statuses) + len(planned.fleet_status.silent_endpoints)
    lines.append(f"{len(planned.fleet_status.statuses)} of {queried_count} entry hosts answered")
    return lines
