"""Events and actions of what a host knows of the store; see ``decisions.list_sharing``.

A time ``began_ms`` is when a call began, on the clock that advances while the host is paused.
"""

from __future__ import annotations

from enum import StrEnum, auto
from typing import NamedTuple

from redwingswitch._internal.models.list_sharing import ListSharingRole


class ListSource(StrEnum):
    """Where a whole list came from."""

    STORE = "list"
    # A read that may be seconds old.
    STALE_STORE = "stale_list"
    NEIGHBOUR = "neighbour"


class NextRead(StrEnum):
    """What a host does next for its list."""

    STALE_LIST = auto()
    WHOLE_LIST = auto()
    # Follow the reader, without a call to the store.
    FOLLOW = auto()
    # Read what has changed, without a wait.
    CATCH_UP = auto()
    # Read the changes of servers and the newest routes alone.
    PARTS = auto()
    # Claim the reader role if that is due; otherwise wait for changes.
    WATCH = auto()


class StoreAnswered(NamedTuple):
    """The store answered a call that brings no list."""


class FeedReceived(NamedTuple):
    """The reader sent an update, which may show that the store has answered it."""


class StaleListRead(NamedTuple):
    """The store answered with a whole list that may be stale."""


class WholeListRead(NamedTuple):
    """The store answered with the whole list."""

    began_ms: int
    revision: int


class ChangesRead(NamedTuple):
    """The store answered a watch of all keys."""

    began_ms: int
    revision: int


class ServersRead(NamedTuple):
    """The store answered with the changes of servers only; the routes must be read next."""

    began_ms: int
    revision: int


class RoutesRead(NamedTuple):
    """The store answered with the newest routes; ``revision`` is 0 if it has none."""

    revision: int = 0


class ProbeAnswered(NamedTuple):
    """The store named its revision while this host's list had ``known_revision``."""

    began_ms: int
    store_revision: int
    known_revision: int


class ListTaken(NamedTuple):
    """A whole list that the store has not confirmed is about to be applied."""

    source: ListSource
    revision: int


class RoutesCompared(NamedTuple):
    """The routes of a read were compared with those in force before it."""

    have_changed: bool


class PartsBegun(NamedTuple):
    """A read in parts begins, which does not show records of the readers of other domains."""


class OtherReadersRead(NamedTuple):
    """The records of the readers of other failure domains are known, or are not needed."""


class WatchAbandoned(NamedTuple):
    """A watch did not deliver the changes that a probe had found."""


class CaughtUp(NamedTuple):
    """A read without a wait, as ``NextRead.CATCH_UP``, has been applied."""


class RoleChanged(NamedTuple):
    """The host gets the list in another way from now on."""

    role: ListSharingRole


class CallFailed(NamedTuple):
    """The store did not answer a call, or refused it."""

    reason: str


class HistoryLost(NamedTuple):
    """The store cannot tell what changed after the known revision."""

    reason: str


StoreEvent = (
    StoreAnswered
    | FeedReceived
    | StaleListRead
    | WholeListRead
    | ChangesRead
    | ServersRead
    | RoutesRead
    | ProbeAnswered
    | ListTaken
    | RoutesCompared
    | PartsBegun
    | OtherReadersRead
    | WatchAbandoned
    | CaughtUp
    | RoleChanged
    | CallFailed
    | HistoryLost
)


class BeginEra(NamedTuple):
    """Take missing servers for unknown, not for stopped: the store lacks what came after a copy."""

    era: int
    former: int | None
    source: ListSource
    store_revision: int
    known_revision: int


class NoteListRead(NamedTuple):
    """Tell the directory of servers that the list was read."""


class NoteListLost(NamedTuple):
    """Tell the directory of servers that the list cannot be read."""


class ReportStoreRegained(NamedTuple):
    """Log the end of an outage after so many failed calls."""

    failures: int


class ReportStoreLost(NamedTuple):
    """Log the begin of an outage."""

    reason: str
    retry_ms: int


class ReportHistoryLost(NamedTuple):
    """Log that the whole list must be read."""

    known_revision: int
    reason: str


class CallAgain(NamedTuple):
    """Make the next call after a delay."""

    delay_ms: int


StoreAction = (
    BeginEra
    | NoteListRead
    | NoteListLost
    | ReportStoreRegained
    | ReportStoreLost
    | ReportHistoryLost
    | CallAgain
)
