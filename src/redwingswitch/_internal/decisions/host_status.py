"""Member and server rows of the status of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.members import MembershipView
from redwingswitch._internal.models.status import MemberStatus, ServerStatus


def member_statuses(view: MembershipView) -> list[MemberStatus]:
    """Return one row for each known entry host."""
    return [
        MemberStatus(
            host=member.host,
            failure_domain=member.failure_domain,
            state=member.state.name.lower(),
            revision=member.digest.revision,
        )
        for member in view.members
    ]


def server_statuses(
    configuration: Configuration | None,
    *,
    ejected: frozenset[str],
    records: Mapping[str, int],
    busy_slots: Mapping[str, int],
    connections: Callable[[str], int],
) -> list[ServerStatus]:
    """Return one row for each configured backend server."""
    services = configuration.services if configuration else ()
    return [
        ServerStatus(
            name=server.name,
            service=service.name,
            failure_domain=server.failure_domain,
            state=server.state.value,
            ejected=server.name in ejected,
            records=records.get(server.name, 0),
            busy_slots=busy_slots.get(server.name, 0),
            open_connections=connections(server.name),
        )
        for service in services
        for server in service.backend_servers
    ]
