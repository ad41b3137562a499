"""Findings that need the version in force or the backend servers in the store."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping

from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import ListedServer
from redwingswitch._internal.platform.configuration_check.document import OperatorsConfiguration
from redwingswitch._internal.platform.configuration_check.findings import CheckFindings
from redwingswitch._internal.platform.configuration_check.in_force import InForce
from redwingswitch._internal.platform.configuration_check.route_rules import shares_by_place


def check_version(
    configuration: OperatorsConfiguration, in_force: InForce, findings: CheckFindings
) -> None:
    """Add an error if the hosts ignore the file since its version is not higher."""
    current = in_force.configuration
    if current is None or current.table is None or configuration.version is None:
        return
    if configuration.version <= current.table.version:
        problem = (
            f"version {configuration.version} is not higher than {current.table.version}, which is "
            "in force, so that the hosts ignore the file"
        )
        findings.add_error(("Version",), problem, f"use {current.table.version + 1} or more")


def check_servers(
    configuration: OperatorsConfiguration, in_force: InForce, findings: CheckFindings
) -> None:
    """Add a finding on each service that has no server for new flows; none without servers."""
    if not in_force.servers:
        return
    active = _active_servers(in_force)
    offered = {server.service for server in active}
    usable = {s.service for s in active if s.failure_domain not in in_force.out_of_service}
    used = _used_services(in_force.configuration)
    reported: set[str] = set()
    for placed in configuration.routes:
        for path, service, part in shares_by_place(placed):
            if not part or service in usable or service in reported:
                continue
            reported.add(service)
            if service not in offered:
                problem = f"no server offers the service {service!r}"
                findings.add_warning(path, problem, "start its servers first or correct the name")
                continue
            domains = ", ".join(sorted({s.failure_domain for s in active if s.service == service}))
            problem = f"all servers of {service!r} are in {domains}, which is out of service"
            remedy = "use a service with servers elsewhere or end that first"
            if service in used:
                findings.add_warning(path, problem, remedy)
            else:
                findings.add_error(path, problem, remedy)


def check_slow_start(
    configuration: OperatorsConfiguration,
    in_force: InForce,
    requests_per_s_by_route: Mapping[str, float],
    findings: CheckFindings,
) -> None:
    """Add a warning on each slow-start rate that is too low for the given demand.

    A failure domain whose servers are all in slow start must carry the part of the demand that
    corresponds to its part of the slots. The hosts of each failure domain may send a server a whole
    number of requests a second, at least 1.
    """
    if configuration.table is not None:
        _check_demand_names(configuration, requests_per_s_by_route, findings)
    demand = _demand_by_service(configuration, requests_per_s_by_route)
    active = _active_servers(in_force)
    domain_count = len({server.failure_domain for server in active})
    for service in configuration.services:
        rate_per_s = service.entry.ramp_per_s
        servers = [server for server in active if server.service == service.entry.name]
        if not rate_per_s or not servers:
            continue
        domain, needed_per_s = _greatest_need(servers, demand.get(service.entry.name, 0.0))
        allowed_per_s = domain_count * max(1, math.floor(rate_per_s / domain_count))
        if needed_per_s > allowed_per_s:
            remedy = f"use at least {math.ceil(needed_per_s / domain_count) * domain_count}"
            problem = (
                f"in slow start, each server of {service.entry.name!r} in {domain} may get "
                f"{allowed_per_s} requests/s and needs {needed_per_s:.1f} to carry the demand"
            )
            findings.add_warning((*service.path, "RampPerS"), problem, remedy)


def _check_demand_names(
    configuration: OperatorsConfiguration,
    requests_per_s_by_route: Mapping[str, float],
    findings: CheckFindings,
) -> None:
    names = {placed.route.name for placed in configuration.routes}
    for name in sorted(requests_per_s_by_route.keys() - names):
        findings.add_warning(("--demand",), f"no route has the name {name!r}", "correct the name")


def _active_servers(in_force: InForce) -> list[ListedServer]:
    return [server for server in in_force.servers if server.state is ServerState.ACTIVE]


def _used_services(configuration: OperatorsConfiguration | None) -> set[str]:
    routes = () if configuration is None else configuration.routes
    return {share.service for placed in routes for share in shares_by_place(placed) if share.part}


def _demand_by_service(
    configuration: OperatorsConfiguration, requests_per_s_by_route: Mapping[str, float]
) -> dict[str, float]:
    """Return the requests a second of each service."""
    # The last route of an address is the one that matches.
    matching = {placed.route.destination: placed for placed in configuration.routes}
    demand: defaultdict[str, float] = defaultdict(float)
    for placed in matching.values():
        for share in shares_by_place(placed):
            requests_per_s = requests_per_s_by_route.get(placed.route.name, 0.0)
            demand[share.service] += share.part * requests_per_s
    return demand


def _greatest_need(servers: list[ListedServer], demand_per_s: float) -> tuple[str, float]:
    """Return the failure domain whose servers need most requests a second each, and how many."""
    slots: Counter[str] = Counter()
    for server in servers:
        slots[server.failure_domain] += server.slots
    counts = Counter(server.failure_domain for server in servers)
    total_slots = sum(slots.values())
    needs = {
        domain: demand_per_s * slots[domain] / total_slots / counts[domain] for domain in slots
    }
    return max(needs.items(), key=lambda need: need[1])
