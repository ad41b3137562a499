"""Readiness of this host to receive packets from the routers."""

from __future__ import annotations

from enum import StrEnum


class Readiness(StrEnum):
    """The answer to a router's readiness check; the values are metric labels."""

    READY = "ready"
    NOT_CONFIGURED = "not_configured"
    STOPPING = "stopping"


def readiness(*, has_routes: bool, listed_servers: int, stopping: bool) -> Readiness:
    """Return the readiness; a host needs routes and at least one listed server to steer packets."""
    if stopping:
        return Readiness.STOPPING
    if not has_routes or not listed_servers:
        return Readiness.NOT_CONFIGURED
    return Readiness.READY
