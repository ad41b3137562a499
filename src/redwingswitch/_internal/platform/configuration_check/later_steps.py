"""Findings on values that the decoder accepts and a later step of a host cannot use."""

from __future__ import annotations

from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    MAX_PART_BYTES,
    MAX_PARTS,
    split_snapshot,
)
from redwingswitch._internal.decisions.list_sharing.routes_history import NO_VERSION
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import ListedServer, RouteTable
from redwingswitch._internal.models.server_checks import (
    TUNNEL_PREFIX_BYTES,
    find_server_problem,
)
from redwingswitch._internal.models.server_list import ServerList
from redwingswitch._internal.network.list_messages import decode_snapshot, encode_snapshot
from redwingswitch._internal.platform.configuration_check.document import OperatorsConfiguration
from redwingswitch._internal.platform.configuration_check.findings import CheckFindings
from redwingswitch._internal.platform.configuration_check.route_rules import shares_by_place
from redwingswitch._internal.platform.entries import MAX_EXACT_NUMBER

# A server that differs from a usable one in no more than its service and its slow start.
_USABLE_SERVER = ListedServer(
    server_id="server-1",
    instance=1,
    service="",
    address="10.0.0.1",
    port=1,
    failure_domain="domain",
    slots=1,
    state=ServerState.ACTIVE,
    slow_start_left_ms=0,
    tunnel_prefix=bytes(TUNNEL_PREFIX_BYTES),
)


def check_later_steps(configuration: OperatorsConfiguration, findings: CheckFindings) -> None:
    """Add errors on values that the server list, the metrics or other hosts do not take."""
    _check_version(configuration.version, findings)
    for placed in configuration.routes:
        # Also shares without new flows: resets are counted for the first share of a route.
        for share in shares_by_place(placed):
            if problem := _find_service_problem(share.service):
                findings.add_error(share.path, problem, "name the service as its servers do")
    if configuration.table is not None:
        _check_encoding(configuration.table, findings)


def _find_service_problem(service: str) -> str | None:
    """Return why no server can offer a service of that name, or None if one can."""
    return find_server_problem(_USABLE_SERVER._replace(service=service))


def _check_version(version: int | None, findings: CheckFindings) -> None:
    if version == NO_VERSION:
        problem = f"version {NO_VERSION} never comes into force"
        findings.add_error(("Version",), problem, "use a higher version")
    elif version is not None and version > MAX_EXACT_NUMBER:
        problem = f"{version} is not shown exactly by metrics, and few versions can follow it"
        findings.add_error(("Version",), problem, f"use at most {MAX_EXACT_NUMBER}")


def _check_encoding(table: RouteTable, findings: CheckFindings) -> None:
    routes = ServerList(routes=table, servers=(), revision=1, routes_revision=1)
    try:
        encoded = encode_snapshot(routes)
        is_same = decode_snapshot(encoded) == routes
    except (DecodeError, ValueError, OverflowError) as error:
        findings.add_error((), f"the hosts cannot pass the routes on: {error}", "use fewer routes")
        return
    if not is_same:
        problem = "the routes change when the hosts pass them on"
        findings.add_error((), problem, "use usual values")
    elif not any(split_snapshot(encoded, transfer=1)):
        problem = (
            f"compressed, the routes have {len(encoded)} bytes, more than the "
            f"{MAX_PARTS * MAX_PART_BYTES} that hosts pass on, so that each reads them in the store"
        )
        findings.add_warning(("Routes",), problem, "use fewer routes or shorter names")
