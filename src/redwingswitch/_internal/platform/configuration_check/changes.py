"""What a configuration changes of the one in force, and what becomes of open flows."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.configuration.differences import (
    ChangeAction,
    Difference,
    FieldDifference,
)
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress
from redwingswitch._internal.platform.configuration_check.document import OperatorsConfiguration
from redwingswitch._internal.platform.configuration_check.route_rules import format_destination

# The name of each field of a route in the operators' file.
_ROUTE_FIELDS = {
    "name": "Name",
    "shares": "Service",
    "kind": "Type",
    "timeout_ms": "TimeoutMs",
    "latency_goal_ms": "TargetLatencyMs",
    "priority": "Priority",
}
NOT_SET = "not set"


class OpenFlows(StrEnum):
    """What becomes of open flows; ``MOVED`` ones stay at their server until they end."""

    NONE = "none yet"
    KEPT = "kept"
    RESET = "reset"
    MOVED = "kept; moved at the next opening"


class ConfigurationChange(NamedTuple):
    """A difference and its effect on open flows."""

    difference: Difference
    open_flows: OpenFlows

    def __str__(self) -> str:
        return f"{self.difference}; open flows: {self.open_flows}"


def find_changes(
    before: OperatorsConfiguration | None, after: OperatorsConfiguration
) -> list[ConfigurationChange]:
    """Return the changes of routes, services and limits; all are added if ``before`` is None."""
    return [
        *_find_route_changes(_routes_of(before), _routes_of(after)),
        *_find_service_changes(_services_of(before), _services_of(after)),
        *_find_limit_changes(before, after),
    ]


def _routes_of(configuration: OperatorsConfiguration | None) -> Mapping[RouteAddress, Route]:
    if configuration is None or configuration.table is None:
        return {}
    return configuration.table.routes


def _services_of(configuration: OperatorsConfiguration | None) -> dict[str, dict[str, bytes]]:
    services = () if configuration is None else configuration.services
    return {service.entry.name: service.fields for service in services}


def _find_route_changes(
    before: Mapping[RouteAddress, Route], after: Mapping[RouteAddress, Route]
) -> Iterator[ConfigurationChange]:
    for destination in sorted(before.keys() | after.keys()):
        old, new = before.get(destination), after.get(destination)
        shown = new or old
        assert shown is not None
        target = f"route {shown.name!r} at {format_destination(destination)}"
        if old is None:
            added = Difference(ChangeAction.ADD, target, ())
            yield ConfigurationChange(added, OpenFlows.NONE)
        elif new is None:
            removed = Difference(ChangeAction.REMOVE, target, ())
            yield ConfigurationChange(removed, OpenFlows.RESET)
        elif old != new:
            altered = Difference(ChangeAction.ALTER, target, tuple(_compare_routes(old, new)))
            is_moved = old.shares != new.shares
            yield ConfigurationChange(altered, OpenFlows.MOVED if is_moved else OpenFlows.KEPT)


def _compare_routes(old: Route, new: Route) -> Iterator[FieldDifference]:
    for field, name in _ROUTE_FIELDS.items():
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield FieldDifference(name, _format_value(before), _format_value(after))


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        services = [_one_line(share.service) for share in value]
        if len(services) == 1:
            return services[0]
        weights = [share.weight for share in value]
        parts = zip(services, weights, strict=True)
        return " + ".join(f"{service} x {weight:g}" for service, weight in parts)
    return _one_line(str(value))


def _one_line(text: str) -> str:
    return text if text.isprintable() else ascii(text)


def _find_service_changes(
    before: dict[str, dict[str, bytes]], after: dict[str, dict[str, bytes]]
) -> Iterator[ConfigurationChange]:
    for name in sorted(before.keys() | after.keys()):
        target = f"service {name!r}"
        if name not in before:
            added = Difference(ChangeAction.ADD, target, ())
            yield ConfigurationChange(added, OpenFlows.NONE)
        elif name not in after:
            # Flows end with their route, not with the entry of their service.
            removed = Difference(ChangeAction.REMOVE, target, ())
            yield ConfigurationChange(removed, OpenFlows.KEPT)
        elif fields := tuple(_compare_fields(before[name], after[name])):
            altered = Difference(ChangeAction.ALTER, target, fields)
            yield ConfigurationChange(altered, OpenFlows.KEPT)


def _compare_fields(old: dict[str, bytes], new: dict[str, bytes]) -> Iterator[FieldDifference]:
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before != after:
            yield FieldDifference(name, _format_json(before), _format_json(after))


def _format_json(value: bytes | None) -> str:
    if value is None:
        return NOT_SET
    return _one_line(" ".join(value.decode(errors="replace").split()))


def _find_limit_changes(
    before: OperatorsConfiguration | None, after: OperatorsConfiguration
) -> Iterator[ConfigurationChange]:
    old_ms = 0 if before is None else before.idle_limit_ms
    if old_ms != after.idle_limit_ms:
        field = FieldDifference("IdleTimeoutMs", str(old_ms), str(after.idle_limit_ms))
        altered = Difference(ChangeAction.ALTER, "limits", (field,))
        yield ConfigurationChange(altered, OpenFlows.KEPT)
