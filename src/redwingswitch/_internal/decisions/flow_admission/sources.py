"""What the admission of new flows needs to know from other parts."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from redwingswitch._internal.models.cookie_flows import ListedServer
from redwingswitch._internal.models.load_sharing import ServiceDemand


class UsableRoom(NamedTuple):
    """The servers of a service that may get new flows, as this host knows them."""

    slots: int
    servers: int


class DemandSource(Protocol):
    """Provides the demand that the hosts of a deployment observe together."""

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        """Return the demand of a service, or None when it is not known at ``now_ms``."""


class RoomSource(Protocol):
    """Provides the servers that may get new flows."""

    def usable_room(self, service: str, now_ms: int) -> UsableRoom:
        """Return the usable servers of a service."""


class SilenceSource(Protocol):
    """Provides the servers that the hosts of a deployment find silent together."""

    def is_silent(self, server: ListedServer, now_ms: int) -> bool:
        """Return whether hosts find a server silent that has not answered this one since."""


class NoSharedDemand:
    """The demand source of a host that hears of no other host's load."""

    def service_demand(self, _service: str, _now_ms: int) -> ServiceDemand | None:
        """Return None, so that every flow is admitted."""
        return None
