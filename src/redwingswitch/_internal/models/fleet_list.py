"""What the platform's store tells a host about routes and backend servers."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import ListedServer, RouteTable
from redwingswitch._internal.models.list_readers import NO_READER, RegisteredReader


class ServerChange(NamedTuple):
    """A change of one server's entry.

    ``server`` is None when the entry was removed, or is listed but cannot be read.
    """

    server_id: str
    server: ListedServer | None
    is_listed: bool


class FleetList(NamedTuple):
    """The whole list at ``revision``; ``routes`` is None when there are none yet.

    ``reader`` is the record of the host that reads for this host's failure domain.
    """

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int
    reader: RegisteredReader = NO_READER


class FleetChanges(NamedTuple):
    """The changes up to ``revision``; what did not change is None."""

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int
    reader: RegisteredReader | None = None


class RoutesChange(NamedTuple):
    """The routes at ``revision``; ``routes`` is None when they did not change."""

    routes: RouteTable | None
    revision: int
