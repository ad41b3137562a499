"""The feed: changes of the list of backend servers, as the reader sends them to its followers.

The reader is the host that reads the list from the store for its failure domain.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from redwingswitch._internal.models.list_sharing import FeedChange, FeedRequest, FeedUpdate
from redwingswitch._internal.models.server_list import (
    NONE_OUT_OF_SERVICE,
    OutOfService,
    ServerChange,
)

# A change has up to 180 bytes, and a datagram of up to 1,200 bytes is not fragmented.
MAX_CHANGES_PER_UPDATE = 6
# The loss of one of 5 failure domains with 3,500 servers in all causes fewer changes than this. At
# the limit the changes take about 0.5 MB.
MAX_RETAINED_CHANGES = 1_024


class ListFeed:
    """Numbers the changes of the list and answers requests for them.

    Only the latest changes are retained; a host that needs older ones reads the store.
    """

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._changes: deque[FeedChange] = deque(maxlen=MAX_RETAINED_CHANGES)
        self._end = 0
        self._revision = 0
        # The retained changes follow this revision without a gap.
        self._start_revision = 0
        self._outages = 0

    def begin(self, revision: int) -> None:
        """Restart the feed at a revision up to which this host knows the list.

        Requests with an earlier position cannot continue, since the changes between it and the
        restart are not in the feed.
        """
        self._changes.clear()
        self._end += 1
        self._revision = revision
        self._start_revision = revision

    def append(self, changes: Iterable[ServerChange], revision: int) -> None:
        """Append the changes up to a revision."""
        for change in changes:
            if len(self._changes) == MAX_RETAINED_CHANGES:
                self._start_revision = self._changes[0].revision
            self._changes.append(FeedChange(revision, change))
            self._end += 1
        self._revision = max(self._revision, revision)

    def note_outage(self) -> None:
        """Record an outage of the store, during which entries of running servers may expire."""
        self._outages += 1

    def build_update(
        self,
        request: FeedRequest,
        *,
        list_age_ms: int,
        routes_version: int,
        out_of_service: OutOfService = NONE_OUT_OF_SERVICE,
        routes_age_ms: int | None = None,
        routes_revision: int = 0,
    ) -> FeedUpdate:
        """Return the changes that the sender of a request lacks, or as many as fit one update."""
        first = self._end - len(self._changes)
        if request.feed == self._incarnation and first <= request.position <= self._end:
            position = request.position
        else:
            known = sum(change.revision <= request.revision for change in self._changes)
            position = first + known
        begin = position - first
        # A host that does not continue at the position, because it has read an older list since its
        # request, must have all changes before the position.
        from_revision = self._changes[begin - 1].revision if begin else self._start_revision
        changes = tuple(islice(self._changes, begin, begin + MAX_CHANGES_PER_UPDATE))
        return FeedUpdate(
            feed=self._incarnation,
            first_position=position,
            from_revision=from_revision,
            changes=changes,
            end_position=self._end,
            revision=self._revision,
            outages=self._outages,
            list_age_ms=list_age_ms,
            request_sent_ms=request.sent_ms,
            routes_version=routes_version,
            out_of_service=out_of_service,
            routes_age_ms=routes_age_ms,
            routes_revision=routes_revision,
        )
