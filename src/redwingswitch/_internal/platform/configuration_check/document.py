"""A configuration in the terms of the file that an operator wrote."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import Route, RouteTable
from redwingswitch._internal.platform.configuration_check.shape import (
    decode_as,
    split_array,
    split_object,
)
from redwingswitch._internal.platform.entries import (
    MAX_EXACT_NUMBER,
    MAX_INTEGER,
    RouteDocument,
    build_route,
    decode_routes,
)
from redwingswitch._internal.utils.toml_paths import KeyPath

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]

# The keys of each object; None stands for the position in an array.
KNOWN_KEYS: dict[tuple[str | None, ...], frozenset[str]] = {
    (): frozenset({"Version", "Routes", "Services", "Limits"}),
    ("Routes", None): frozenset(
        {
            "Name",
            "Host",
            "Prefix",
            "Type",
            "TimeoutMs",
            "TargetLatencyMs",
            "Priority",
            "Service",
            "Split",
            "Attempts",
        }
    ),
    ("Routes", None, "Split", None): frozenset({"Service", "Weight"}),
    ("Services", None): frozenset(
        {"Name", "HealthPath", "MaxConns", "Protocol", "Tls", "RampS", "RampPerS"}
    ),
    ("Limits",): frozenset({"IdleTimeoutMs"}),
}


class ServiceEntry(msgspec.Struct):
    """A service; a slow start lasts ``ramp_s`` and gets ``ramp_per_s`` requests a second."""

    name: str = msgspec.field(name="Name")
    health_path: str = msgspec.field(name="HealthPath", default="")
    max_connections: _Count = msgspec.field(name="MaxConns", default=0)
    protocol: str = msgspec.field(name="Protocol", default="")
    ramp_s: _Number = msgspec.field(name="RampS", default=0.0)
    ramp_per_s: _Number = msgspec.field(name="RampPerS", default=0.0)


class _OtherRouteFields(msgspec.Struct):
    attempts: _Count = msgspec.field(name="Attempts", default=0)


class OtherFields(msgspec.Struct):
    """The fields that the hosts do not decode."""

    routes: list[_OtherRouteFields] = msgspec.field(name="Routes", default_factory=list)
    services: list[ServiceEntry] = msgspec.field(name="Services", default_factory=list)


class _NamedEntry(msgspec.Struct):
    name: str = msgspec.field(name="Name")


class PlacedRoute(NamedTuple):
    """A route as written and as the hosts use it."""

    path: KeyPath
    entry: RouteDocument
    route: Route


class PlacedService(NamedTuple):
    """A service and the JSON texts of its fields."""

    path: KeyPath
    entry: ServiceEntry
    fields: dict[str, bytes]


class OperatorsConfiguration(NamedTuple):
    """The valid parts of a configuration; ``table`` is None if the hosts reject it."""

    version: int | None
    routes: tuple[PlacedRoute, ...]
    services: tuple[PlacedService, ...]
    idle_limit_ms: int
    table: RouteTable | None


def read_configuration(value: bytes) -> OperatorsConfiguration:
    """Return the valid parts of the JSON text ``value``."""
    try:
        table = decode_routes(value)
    except DecodeError:
        table = None
    root = split_object(value)
    version = decode_as(root.get("Version"), int)
    idle_limit_ms = decode_as(split_object(root.get("Limits")).get("IdleTimeoutMs"), int)
    return OperatorsConfiguration(
        version=None if version is None or not 0 <= version <= MAX_INTEGER else version,
        routes=_read_routes(split_array(root.get("Routes"))),
        services=_read_services(split_array(root.get("Services"))),
        idle_limit_ms=idle_limit_ms or 0,
        table=table,
    )


def _read_routes(values: list[bytes]) -> tuple[PlacedRoute, ...]:
    found = []
    for position, value in enumerate(values):
        entry = decode_as(value, RouteDocument)
        if entry is None:
            continue
        try:
            found.append(PlacedRoute(("Routes", position), entry, build_route(entry)))
        except ValueError:
            continue
    return tuple(found)


def _read_services(values: list[bytes]) -> tuple[PlacedService, ...]:
    found = []
    for position, value in enumerate(values):
        entry = decode_as(value, ServiceEntry)
        if entry is None and (named := decode_as(value, _NamedEntry)) is not None:
            entry = ServiceEntry(named.name)
        if entry is not None:
            found.append(PlacedService(("Services", position), entry, split_object(value)))
    return tuple(found)
