"""Models of the routes and backend servers in the platform's store, and of their changes."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import ListedServer, RouteTable
from redwingswitch._internal.models.list_readers import NO_READER, DomainReader, RegisteredReader


class ServerChange(NamedTuple):
    """A change of one server's entry.

    ``server`` is None when the entry was removed, or when it is listed but cannot be decoded.
    """

    server_id: str
    server: ListedServer | None
    is_listed: bool


class OutOfService(NamedTuple):
    """All failure domains that are out of service, as known up to a store revision.

    The set is always whole, so of two sets the one with the higher revision is right. It may name
    failure domains that do not exist.
    """

    domains: frozenset[str] = frozenset()
    revision: int = 0


NONE_OUT_OF_SERVICE = OutOfService()


class ServerList(NamedTuple):
    """The whole list at ``revision``; ``routes`` is None when there are none yet.

    ``reader`` is the record of the host that reads the list on behalf of this failure domain.
    ``routes_revision`` is the store revision at which the routes were written, 0 without routes.
    ``other_readers`` are the records of the readers of other failure domains.
    ``has_unreadable_routes`` says that the newest routes could not be decoded.
    """

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int
    reader: RegisteredReader = NO_READER
    routes_revision: int = 0
    out_of_service: OutOfService = NONE_OUT_OF_SERVICE
    other_readers: tuple[DomainReader, ...] = ()
    has_unreadable_routes: bool = False


class ServerListChanges(NamedTuple):
    """The changes up to ``revision``; ``routes`` and ``reader`` are None when unchanged.

    ``routes_revision`` is the store revision at which the routes were written, 0 when unchanged.
    ``out_of_service`` is the whole set, not a change of it; None when it was not read.
    ``other_readers`` are the changed records of the readers of other failure domains.
    ``has_unreadable_routes`` says that the newest routes could not be decoded.
    """

    routes: RouteTable | None
    servers: tuple[ServerChange, ...]
    revision: int
    reader: RegisteredReader | None = None
    routes_revision: int = 0
    out_of_service: OutOfService | None = None
    other_readers: tuple[DomainReader, ...] = ()
    has_unreadable_routes: bool = False


class StoredRoutes(NamedTuple):
    """The newest routes and the store revision at which they were written.

    ``routes`` is None, and ``revision`` 0, when there are none; routes that cannot be decoded have
    a revision only. ``has_unreadable`` says that these, or later ones, could not be decoded.
    """

    routes: RouteTable | None
    revision: int
    has_unreadable: bool = False
