"""Documents that operators and backend servers write into the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class StandinRoute(NamedTuple):
    """A route; ``kind`` is the value of the platform's ``Type`` field."""

    address: str
    port: int
    service: str
    kind: str = "idempotent"


def build_configuration(
    *,
    version: int,
    routes: Sequence[StandinRoute],
    idle_limit_ms: int = 15_000,
    slow_start_per_s: float = 0,
) -> dict[str, object]:
    """Return a complete configuration document in the format of the platform's store."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": f"r-{number}",
                "Host": route.address,
                "Prefix": f"/{route.port}/",
                "Type": route.kind,
                "TimeoutMs": 2_000,
                "TargetLatencyMs": 150,
                "Priority": 2,
                "Service": route.service,
                "Attempts": 2,
            }
            for number, route in enumerate(routes)
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConns": 2_000,
                "RampS": 30,
                "RampPerS": slow_start_per_s,
            }
            for name in sorted({route.service for route in routes})
        ],
        "Limits": {"IdleTimeoutMs": idle_limit_ms},
    }


def build_server_entry(
    *,
    service: str,
    address: str,
    zone: str = "huon",
    state: str = "ready",
    sequence: int = 1,
    born: int = 1,
    slow_start_left_ms: int = 0,
) -> dict[str, object]:
    """Return the entry of a backend server; ``address`` has the form ``address:port``."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 2,
        "State": state,
        "RampLeftMs": slow_start_left_ms,
        "Seq": sequence,
        "born": born,
    }
