"""Models of the list of backend servers as one host of a failure domain passes it on."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.fleet_list import ServerChange


class ListRole(StrEnum):
    """Where a host has the list from."""

    # It reads the store for itself alone.
    READING = "reading"
    # It reads the store for its failure domain.
    SERVING = "serving"
    # It takes the changes from the host that serves them.
    FOLLOWING = "following"


class FeedRequest(NamedTuple):
    """Asks a reader for the changes that the sender lacks.

    ``feed`` is the incarnation of the reader whose ``position`` the sender has reached, or 0;
    ``revision`` is the store's revision up to which the sender knows the list.
    """

    feed: int
    position: int
    revision: int


class FeedChange(NamedTuple):
    """A change, and the store's revision at which the reader knew of it."""

    revision: int
    change: ServerChange


class FeedUpdate(NamedTuple):
    """Changes from ``first_position`` on; the feed reaches ``end_position`` in all.

    The changes follow ``from_revision`` without a gap; at the end of the feed, the list is complete
    up to ``revision``. ``outages`` counts how often the reader lost the store. ``list_age_ms`` is
    the time since the store last answered the reader.
    """

    feed: int
    first_position: int
    from_revision: int
    changes: tuple[FeedChange, ...]
    end_position: int
    revision: int
    outages: int
    list_age_ms: int


class ReceivedChanges(NamedTuple):
    """What an update brings to its receiver.

    After a gap the receiver should ask again at once.
    """

    changes: tuple[ServerChange, ...] = ()
    after_outage: bool = False
    has_gap: bool = False
    is_fresh: bool = False
