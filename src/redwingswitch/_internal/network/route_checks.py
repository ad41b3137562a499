"""Checks of routes from other hosts; they accept what the decoder of the store accepts."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress, ServiceSlowStart
from redwingswitch._internal.network.packing import check_integer

MAX_PORT = 65_535
MAX_ADDRESS = 2**32 - 1
MAX_INTEGER = 2**63 - 1
# A double represents each integer up to here.
MAX_NUMBER = 2.0**53


def check_version_and_limit(*, version: int, idle_limit_ms: int) -> None:
    """Raise DecodeError if a version of the routes, or its idle limit, is out of range."""
    check_integer(version, name="version of the routes", maximum=MAX_INTEGER)
    check_integer(idle_limit_ms, name="idle limit", maximum=MAX_INTEGER)


def check_routes(routes: Iterable[Route]) -> None:
    """Raise DecodeError if a packet of a route could not be steered."""
    for route in routes:
        check_destination(route.destination)
        for name, value in (
            ("timeout", route.timeout_ms),
            ("latency goal", route.latency_goal_ms),
            ("priority", route.priority),
        ):
            check_integer(value, name=f"{name} of a route", maximum=MAX_INTEGER)
        if not route.shares:
            raise DecodeError("a route must have a service")
        for share in route.shares:
            _check_number(share.weight, name="weight of a service")


def check_destination(destination: RouteAddress) -> None:
    """Raise DecodeError unless a destination is an IPv4 address and a port."""
    check_integer(destination.address, name="address of a route", maximum=MAX_ADDRESS)
    check_integer(destination.port, name="port of a route", maximum=MAX_PORT)


def check_slow_starts(slow_starts: Iterable[ServiceSlowStart]) -> None:
    """Raise DecodeError if a slow start has a rate or duration that cannot be used."""
    for slow_start in slow_starts:
        _check_number(slow_start.requests_per_s, name="rate of a slow start")
        check_integer(slow_start.duration_ms, name="duration of a slow start", maximum=MAX_INTEGER)


def _check_number(value: float, *, name: str) -> None:
    # False for NaN too.
    if not 0 <= value <= MAX_NUMBER:
        raise DecodeError(f"the {name} must be a number from 0 to {MAX_NUMBER:.0f}")
