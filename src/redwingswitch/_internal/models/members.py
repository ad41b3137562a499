"""Models of group membership: the entry hosts as their peers see them.

The incarnation of a host is a number that normally rises with each start of its process. A host
also raises it to refute a wrong update about itself.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class MemberState(IntEnum):
    """State of an entry host; at equal incarnation, a higher value takes precedence."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(NamedTuple):
    """The state of one host as the sender knows it, piggybacked on probe messages."""

    host: str
    failure_domain: str
    incarnation: int
    state: MemberState


class Seed(NamedTuple):
    """An entry host from the settings, contacted before any configuration is known."""

    host: str
    failure_domain: str


class PendingTable(NamedTuple):
    """A lookup table that a host prepares or, with ``activates_in_ms`` 0, activated recently."""

    revision: int
    activates_in_ms: int


class NeededRevision(NamedTuple):
    """The lookup tables of one service that a host holds, prepares and still needs.

    A lookup table maps each bucket of flow hashes to a backend server, as of one configuration
    revision. ``revision`` is the oldest revision whose table its records still need, 0 for none;
    ``oldest_held_revision`` is the oldest whose table it holds. ``records_needed`` is true while it
    has records in buckets that were displaced, that is, affected by the ejection of a server.
    """

    service_id: int
    revision: int
    oldest_held_revision: int = 0
    pending: tuple[PendingTable, ...] = ()
    records_needed: bool = False


class WaitEstimate(NamedTuple):
    """The queueing delay that a dispatcher expects for new short requests of one service."""

    service_id: int
    wait_ms: int


class HostDigest(NamedTuple):
    """The status of a host, which it sends in each heartbeat.

    ``ejected_servers`` holds wire ids. ``abstaining`` is true while the host grants no claims.
    """

    revision: int = 0
    revision_digest: str = ""
    needed_revisions: tuple[NeededRevision, ...] = ()
    wait_estimates: tuple[WaitEstimate, ...] = ()
    ejected_servers: tuple[int, ...] = ()
    abstaining: bool = False


class MemberView(NamedTuple):
    """One host in a membership view."""

    host: str
    failure_domain: str
    incarnation: int
    state: MemberState
    digest: HostDigest


class MembershipStatistics(NamedTuple):
    """Counters of one host since its start.

    ``suspicions`` and ``deaths`` count those that this host declared itself; ``refutations`` counts
    updates about this host that it refuted, and ``refused_members`` hosts that it did not add
    because its member table was full.
    """

    suspicions: int
    deaths: int
    refutations: int
    refused_members: int


class MembershipView(NamedTuple):
    """The hosts that this host knows, including itself, sorted by name."""

    members: tuple[MemberView, ...]

    def serving(self) -> tuple[MemberView, ...]:
        """Return the hosts that may own buckets and dispatch requests: alive or suspected."""
        return tuple(m for m in self.members if m.state <= MemberState.SUSPECTED)

    def find(self, host: str) -> MemberView | None:
        """Return the view of ``host``, or None when it is not known."""
        return next((m for m in self.members if m.host == host), None)
