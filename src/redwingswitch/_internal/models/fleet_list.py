"""What the platform's store tells a host about routes and backend servers."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import ListedServer, RouteTable


class ServerChange(NamedTuple):
    """A change of one server's entry.

    ``server`` is None when the entry was removed, or is listed but cannot be read.
    """

    server_id: str
    server: ListedServer | None
    is_listed: bool


class FleetList(NamedTuple):
    """The whole list at ``revision``; ``routes`` is None when there are none yet."""

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int


class FleetChanges(NamedTuple):
    """The changes up to ``revision``; ``routes`` is None when they did not change."""

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int
