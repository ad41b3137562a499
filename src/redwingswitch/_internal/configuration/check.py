"""Checks of a configuration file that involve several keys or entries.

An entry is one TOML table of the file: a failure domain, an entry host, a service or a backend
server. The wire id of a name is the 32-bit hash that stands for it in messages between hosts.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from redwingswitch._internal.configuration.sections import Located, Sections
from redwingswitch._internal.models.configuration import (
    BackendServer,
    DeclaredEntryHost,
    FailureDomain,
    ServerState,
    Service,
)
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.utils.toml_reader import TableReader

RESERVED_WIRE_ID = 0

NamedEntry = (
    Located[FailureDomain] | Located[DeclaredEntryHost] | Located[Service] | Located[BackendServer]
)


class Endpoint(NamedTuple):
    """A transport (tcp or udp), address and port that only one entry may use."""

    transport: str
    address: str
    port: int


def check_configuration(sections: Sections) -> None:
    """Add the findings that involve several keys or entries."""
    _check_names(sections)
    _check_references(sections)
    _check_wire_ids(sections.services)
    _check_wire_ids(sections.backend_servers)
    _check_services(sections)
    _check_failure_domains(sections)
    _check_public_keys(sections.entry_hosts)
    _check_endpoints(sections)


def _check_names(sections: Sections) -> None:
    groups: Sequence[Iterable[NamedEntry]] = (
        sections.failure_domains,
        sections.entry_hosts,
        sections.services,
        sections.backend_servers,
    )
    for group in groups:
        tables_by_name: dict[str, TableReader] = {}
        for entry in group:
            name = entry.value.name
            if name and name in tables_by_name:
                other_path = tables_by_name[name].key_path("name")
                entry.table.add_finding(
                    "name", f"{name!r} is also {other_path}", "use another name"
                )
            tables_by_name.setdefault(name, entry.table)


def _check_references(sections: Sections) -> None:
    domains = {d.value.name for d in sections.failure_domains}
    services = {s.value.name for s in sections.services}
    for host in sections.entry_hosts:
        _check_reference(host.table, "failure_domain", host.value.failure_domain, domains)
    for server in sections.backend_servers:
        _check_reference(server.table, "failure_domain", server.value.failure_domain, domains)
        _check_reference(server.table, "service", server.value.service, services)


def _check_reference(table: TableReader, key: str, name: str, known: set[str]) -> None:
    if name and name not in known:
        table.add_finding(
            key, f"{name!r} is not declared", f"declare a [[{key}s]] entry of that name"
        )


def _check_wire_ids(entries: Iterable[Located[Service]] | Iterable[Located[BackendServer]]) -> None:
    names_by_wire_id: dict[int, str] = {}
    for entry in entries:
        name = entry.value.name
        if not name:
            continue
        identifier = wire_id(name)
        other = names_by_wire_id.setdefault(identifier, name)
        if other != name:
            entry.table.add_finding(
                "name", f"{name!r} has the wire id of {other!r}", "use another name"
            )
        if identifier == RESERVED_WIRE_ID:
            entry.table.add_finding(
                "name", f"{name!r} has the reserved wire id 0", "use another name"
            )


def _check_services(sections: Sections) -> None:
    services_with_active_server = {
        s.value.service for s in sections.backend_servers if s.value.state is ServerState.ACTIVE
    }
    tables_by_destination: dict[tuple[str, int], TableReader] = {}
    for service in sections.services:
        _check_traffic_types(service)
        value, table = service
        if value.name and value.name not in services_with_active_server:
            table.add_finding(
                "", f"{value.name!r} has no active backend server", "add or activate one"
            )
        destination = (value.address, value.port)
        if value.address and destination in tables_by_destination:
            other_path = tables_by_destination[destination].key_path("port")
            problem = f"{value.address}:{value.port} is also {other_path}"
            table.add_finding("port", problem, "use another destination")
        tables_by_destination.setdefault(destination, table)


def _check_traffic_types(service: Located[Service]) -> None:
    value, table = service
    if not value.takes_streams and not value.takes_requests:
        table.add_finding(
            "takes_streams", "the service takes nothing", "set one of takes_* to true"
        )
    if value.listen_port and not value.takes_streams:
        table.add_finding(
            "listen_port", "a listener needs streams", "set takes_streams or remove the port"
        )


def _check_failure_domains(sections: Sections) -> None:
    domains_with_hosts = {h.value.failure_domain for h in sections.entry_hosts}
    for domain in sections.failure_domains:
        name = domain.value.name
        if name and name not in domains_with_hosts:
            domain.table.add_finding(
                "name", f"{name!r} has no entry host", "add one or remove the domain"
            )


def _check_public_keys(hosts: Iterable[Located[DeclaredEntryHost]]) -> None:
    tables_by_key: dict[str, TableReader] = {}
    for value, table in hosts:
        if value.public_key:
            if value.public_key in tables_by_key:
                other_path = tables_by_key[value.public_key].key_path("public_key")
                table.add_finding(
                    "public_key", f"the key is also {other_path}", "make a key for each host"
                )
            tables_by_key.setdefault(value.public_key, table)
        elif (
            value.address
            and not table.string("public_key", default="")
            and not ipaddress.IPv4Address(value.address).is_loopback
        ):
            table.add_finding(
                "public_key",
                f"no key, and {value.address} is not a loopback address",
                "add the host's CURVE public key",
            )


def _check_endpoints(sections: Sections) -> None:
    reserved: dict[Endpoint, str] = {}
    for value, table in sections.entry_hosts:
        _check_port(reserved, table, value.address, "tcp", ("peer_port", value.peer_port))
        _check_port(reserved, table, value.address, "tcp", ("admin_port", value.admin_port))
        _check_port(reserved, table, value.address, "udp", ("data_port", value.data_port))
        _check_port(reserved, table, value.address, "udp", ("request_port", value.request_port))
    for server, table in sections.backend_servers:
        _check_port(reserved, table, server.address, "udp", ("tunnel_port", server.tunnel_port))
        _check_port(reserved, table, server.address, "tcp", ("stream_port", server.stream_port))
        _check_port(reserved, table, server.address, "tcp", ("request_port", server.request_port))
        _check_port(reserved, table, server.address, "tcp", ("report_port", server.report_port))
    # Each entry host opens the listeners of all services, so a port must be free on all of them.
    for service, table in sections.services:
        if service.listen_port:
            for host in sections.entry_hosts:
                field = ("listen_port", service.listen_port)
                _check_port(reserved, table, host.value.address, "tcp", field)


def _check_port(
    reserved: dict[Endpoint, str],
    table: TableReader,
    address: str,
    transport: str,
    field: tuple[str, int],
) -> None:
    """Record that a field uses a port, or add a finding if another field uses the same."""
    key, port = field
    if not address or not table.has(key):
        return
    endpoint = Endpoint(transport, address, port)
    other_path = reserved.get(endpoint)
    path = table.key_path(key)
    if other_path == path:
        problem = f"{transport} {address}:{port} is needed by two entry hosts"
        table.add_finding(key, problem, "give them two addresses or set the port to 0")
    elif other_path is not None:
        table.add_finding(
            key, f"{transport} {address}:{port} is also {other_path}", "use another port"
        )
    else:
        reserved[endpoint] = path
