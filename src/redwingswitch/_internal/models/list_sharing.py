"""Models for sharing the list of backend servers among the hosts of a failure domain.

The reader is the host that reads the list from the store for its failure domain. Its feed is the
sequence of changes that it serves to the other hosts.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import (
    Route,
    RouteAddress,
    ServiceSlowStart,
)
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.server_list import OutOfService, ServerChange


class ListSharingRole(StrEnum):
    """How a host gets the list of backend servers."""

    # Reads the store for itself only.
    READING = "reading"
    # Reads the store and serves the changes to its failure domain.
    SERVING = "serving"
    # Gets the changes from the host that serves them.
    FOLLOWING = "following"


class FeedRequest(NamedTuple):
    """Asks a reader for the changes that the sender does not have.

    ``feed`` is the incarnation of the reader whose feed the sender has followed up to ``position``,
    or 0. ``revision`` is the store revision up to which the sender has the list. ``sent_ms`` is the
    time of the request on the sender's own clock.
    """

    feed: int
    position: int
    revision: int
    sent_ms: int


class FeedChange(NamedTuple):
    """A change, and the store revision at which the reader learned of it."""

    revision: int
    change: ServerChange


class NewestRoutes(NamedTuple):
    """The newest routes that a reader knows have ``version``.

    The store had no later ones up to ``revision``, and at ``as_of_ms`` on the receiver's clock,
    which is None if the reader does not know when.
    """

    version: int
    revision: int
    as_of_ms: int | None


class FeedUpdate(NamedTuple):
    """Changes from ``first_position`` on, of a feed that ends at ``end_position``.

    The changes continue the feed at ``first_position``, and without a gap any list of
    ``from_revision`` or later. A receiver that has the feed up to its end has the complete list of
    ``revision``. ``outages`` counts how often the reader lost its connection to the store.
    ``list_age_ms`` is the time since the store last answered the reader. ``request_sent_ms`` is
    copied from the receiver's last request: the update was sent after it, so an update that was
    delayed on the way is not taken for a recent one. ``routes_version`` is the operators' version
    of the newest routes that the reader knows. ``out_of_service`` is the whole set that the reader
    knows; it needs no continuous feed. ``neighbour`` is another follower. ``routes_age_ms`` is the
    time since the beginning of the call that showed that the store has no later routes; None if the
    reader knows of later ones, or sends no such time. ``routes_revision`` is the store revision up
    to which there are no later routes, which may be lower than ``revision``; 0 if not sent.
    """

    feed: int
    first_position: int
    from_revision: int
    changes: tuple[FeedChange, ...]
    end_position: int
    revision: int
    outages: int
    list_age_ms: int
    request_sent_ms: int
    routes_version: int
    out_of_service: OutOfService
    neighbour: Neighbour | None = None
    routes_age_ms: int | None = None
    routes_revision: int = 0


class ListOffer(NamedTuple):
    """Tells a neighbour that the sender has routes, and the list at a store revision."""

    revision: int


class SnapshotRequest(NamedTuple):
    """Asks a neighbour for its whole list if that has at least ``revision``."""

    revision: int


class SnapshotPart(NamedTuple):
    """Part number ``part``, from 0, of the ``part_count`` parts of an encoded list.

    ``transfer`` distinguishes the lists that one sender has sent.
    """

    transfer: int
    part: int
    part_count: int
    data: bytes


class RoutesRequest(NamedTuple):
    """Asks the reader for its routes; ``known_version`` is that of the sender's, 0 without any."""

    known_version: int


class RoutesPart(NamedTuple):
    """Part number ``part``, from 0, of the ``part_count`` parts of an encoded difference of routes.

    ``transfer`` distinguishes the differences that one sender has sent.
    """

    transfer: int
    part: int
    part_count: int
    data: bytes


class RoutesDifference(NamedTuple):
    """What turns the routes of ``base_version`` into those of ``version``.

    Both are the operators' versions; ``base_version`` is 0 when ``changed`` has all routes.
    ``revision`` is the store revision at which the sender read the routes. ``slow_starts`` has all
    of ``version``, or is None if they are those of ``base_version``.
    """

    base_version: int
    version: int
    revision: int
    idle_limit_ms: int
    changed: tuple[Route, ...]
    removed: tuple[RouteAddress, ...]
    slow_starts: tuple[ServiceSlowStart, ...] | None = ()


class ReceivedChanges(NamedTuple):
    """The result of applying a ``FeedUpdate``.

    If ``has_gap`` is true, the receiver should send another request immediately. ``after_outage``
    is true if the reader has lost its connection to the store since the update before.
    ``is_fresh`` is true if the reader's list was known to be up to date recently.
    ``out_of_service`` and ``newest_routes`` are None if the update was not the followed reader's.
    """

    changes: tuple[ServerChange, ...] = ()
    after_outage: bool = False
    has_gap: bool = False
    is_fresh: bool = False
    out_of_service: OutOfService | None = None
    newest_routes: NewestRoutes | None = None
