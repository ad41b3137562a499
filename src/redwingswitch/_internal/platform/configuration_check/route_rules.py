"""Findings on routes, and on services as routes use them, that need only the file itself."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import IPv4Address
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import Route, RouteAddress
from redwingswitch._internal.platform.configuration_check.document import (
    OperatorsConfiguration,
    PlacedRoute,
)
from redwingswitch._internal.platform.configuration_check.findings import CheckFindings
from redwingswitch._internal.utils.toml_paths import KeyPath, format_key_path


class PlacedShare(NamedTuple):
    """A service of a route and the part of the route's new flows that it gets, from 0 to 1."""

    path: KeyPath
    service: str
    part: float


def check_routes(configuration: OperatorsConfiguration, findings: CheckFindings) -> None:
    """Add warnings on routes that the hosts use in another way than they are written."""
    if configuration.table is not None and not configuration.routes:
        problem = "no route, so that the hosts reset all flows"
        findings.add_warning(("Routes",), problem, "write the routes")
    _check_repeated(configuration, findings)
    for placed in configuration.routes:
        _check_shares(placed, findings)
        _check_latency_goal(placed, findings)
    _check_idle_limit(configuration, findings)
    _check_names_of_services(configuration, findings)


def shares_by_place(placed: PlacedRoute) -> Iterator[PlacedShare]:
    """Yield the shares of a route."""
    shares = placed.route.shares
    total_weight = sum(share.weight for share in shares)
    for position, share in enumerate(shares):
        path: KeyPath = (*placed.path, "Service")
        if placed.entry.split:
            path = (*placed.path, "Split", position, "Service")
        # Without any weight, the last share gets all new flows.
        is_last = position == len(shares) - 1
        part = share.weight / total_weight if total_weight else float(is_last)
        yield PlacedShare(path, share.service, part)


def format_destination(destination: RouteAddress) -> str:
    """Return an address and port as operators write them."""
    return f"{IPv4Address(destination.address)}:{destination.port}"


def _check_repeated(configuration: OperatorsConfiguration, findings: CheckFindings) -> None:
    last = {placed.route.destination: placed for placed in configuration.routes}
    names: dict[str, PlacedRoute] = {}
    for placed in configuration.routes:
        route = placed.route
        winner = last[route.destination]
        if winner is not placed:
            problem = (
                f"the route never matches, as {format_key_path(winner.path)} has "
                f"{format_destination(route.destination)} too and the hosts use the last"
            )
            findings.add_warning(placed.path, problem, "remove one of them")
        other = names.setdefault(route.name, placed)
        if other is not placed:
            problem = f"{route.name!r} is also {format_key_path((*other.path, 'Name'))}"
            findings.add_warning((*placed.path, "Name"), problem, "use another name")


def _check_shares(placed: PlacedRoute, findings: CheckFindings) -> None:
    entry = placed.entry
    if not entry.split:
        return
    if not any(share.weight for share in entry.split):
        problem = (
            f"the weights add up to zero, so that {entry.split[-1].service!r} gets all new flows"
        )
        findings.add_warning((*placed.path, "Split"), problem, "give one of them a weight above 0")
    if entry.service:
        remedy = "remove Service or Split"
        findings.add_warning((*placed.path, "Service"), "not used besides Split", remedy)


def _check_latency_goal(placed: PlacedRoute, findings: CheckFindings) -> None:
    route = placed.route
    if 0 < route.timeout_ms < route.latency_goal_ms:
        problem = (
            f"the latency goal of {route.latency_goal_ms} ms is above the time budget of "
            f"{route.timeout_ms} ms"
        )
        remedy = "lower it or raise TimeoutMs"
        findings.add_warning((*placed.path, "TargetLatencyMs"), problem, remedy)


def _check_idle_limit(configuration: OperatorsConfiguration, findings: CheckFindings) -> None:
    limit_ms = configuration.idle_limit_ms
    longer = [p.route for p in configuration.routes if 0 < limit_ms < p.route.timeout_ms]
    if longer:
        longest = max(longer, key=_time_budget_ms)
        problem = (
            f"the idle limit of {limit_ms} ms is below the time budget of {len(longer)} route(s), "
            f"such as {longest.name!r} with {longest.timeout_ms} ms"
        )
        remedy = f"use at least {longest.timeout_ms}"
        findings.add_warning(("Limits", "IdleTimeoutMs"), problem, remedy)


def _time_budget_ms(route: Route) -> int:
    return route.timeout_ms


def _check_names_of_services(
    configuration: OperatorsConfiguration, findings: CheckFindings
) -> None:
    written = [share for placed in configuration.routes for share in placed.route.shares]
    named = {share.service for share in written}
    declared: dict[str, KeyPath] = {}
    for service in configuration.services:
        name, path = service.entry.name, (*service.path, "Name")
        if name in declared:
            problem = f"{name!r} is also {format_key_path(declared[name])}"
            findings.add_warning(path, problem, "remove one of them")
        # A route that cannot be decoded may name the service.
        elif name not in named and configuration.table is not None:
            remedy = "remove it or give it a route"
            findings.add_warning(path, f"no route names the service {name!r}", remedy)
        declared.setdefault(name, path)
    if not declared:
        return
    for placed in configuration.routes:
        for share in shares_by_place(placed):
            if share.service and share.service not in declared:
                problem = f"{share.service!r} is not in Services"
                findings.add_warning(share.path, problem, "add it there or correct the name")
