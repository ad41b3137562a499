"""Show what an operators' file would change."""

from __future__ import annotations

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    connections,
    host_endpoints,
    read_file,
    run_reporting,
)
from redwingswitch._internal.configuration.apply import ApplyRequest, Plan, plan


def run(*, file: str, store: str, hosts: str, without_hosts: bool) -> int:
    """Print the differences from the accepted file; return the exit status."""
    return run_reporting(_plan(file, store, hosts, without_hosts))


async def _plan(file: str, store: str, hosts: str, without_hosts: bool) -> int:
    request = ApplyRequest(
        text=read_file(file),
        file=file,
        operator="",
        apply_id="",
        applied_at="",
        hosts=host_endpoints(hosts),
        without_hosts=without_hosts,
    )
    async with connections(store) as opened:
        planned = await plan(request, store=opened.store, fleet=opened.fleet)
    for line in describe(planned):
        print(line)
    return SUCCESS


def describe(planned: Plan) -> list[str]:
    """Return the differences and what is known of the revision in force, one a line."""
    accepted = planned.accepted
    held = "no file is accepted yet" if accepted is None else f"revision {accepted['revision']}"
    lines = [f"compared with: {held}"]
    lines.extend(f"  {difference}" for difference in planned.differences)
    if not planned.differences:
        lines.append("  no difference")
    asked = len(planned.reading.statuses) + len(planned.reading.silent_endpoints)
    lines.append(f"{len(planned.reading.statuses)} of {asked} entry hosts answered")
    return lines
