"""The follower: a host that receives the changes of the list of backend servers from the reader.

The reader is the host that reads the list from the store for its failure domain.
"""

from __future__ import annotations

from redwingswitch._internal.models.list_readers import ListReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    NewestRoutes,
    ReceivedChanges,
)


class FeedFollower:
    """Follows the feed of one reader while the reader answers with a fresh list.

    A list is fresh while its age at the reader plus the time since the request that the reader last
    answered is at most ``age_limit_ms``. The time of the request counts, not that of the update, so
    that an update which waited in a socket while this host was paused does not seem recent.
    """

    def __init__(self, *, age_limit_ms: int) -> None:
        self._age_limit_ms = age_limit_ms
        self._reader: ListReader | None = None
        self._feed_incarnation = 0
        self._position = 0
        self._revision = 0
        # This host has read the changes up to this revision from the store itself.
        self._store_read_revision = 0
        self._outages = 0
        self._is_complete = False
        # The latest time at which the reader's list was known to be up to date, and the latest one
        # at which this host had all of that list.
        self._reader_fresh_ms: int | None = None
        self._list_fresh_ms: int | None = None
        # The time of the latest request that the reader answered.
        self._answered_request_ms: int | None = None

    @property
    def reader(self) -> ListReader | None:
        """Return the reader that requests are sent to."""
        return self._reader

    @property
    def revision(self) -> int:
        """Return the store revision up to which the servers are known."""
        return self._revision

    def set_reader(self, reader: ListReader | None) -> None:
        """Send requests to another reader, or to none, from now on."""
        if reader != self._reader:
            self._reader = reader
            self.stop_following()
            self._reader_fresh_ms = None
            self._list_fresh_ms = None
            self._answered_request_ms = None

    def stop_following(self) -> None:
        """Leave the feed until the reader answers the next request."""
        self._feed_incarnation = 0
        self._is_complete = False

    def on_store_read(self, revision: int) -> None:
        """Record that this host read the store itself.

        A partly received batch is requested again, because the store's response may have replaced
        some of its changes by older states.
        """
        self.stop_following()
        self._revision = max(self._revision, revision)
        self._store_read_revision = self._revision

    def build_request(self, now_ms: int) -> FeedRequest:
        """Return the request for the changes that this host lacks."""
        return FeedRequest(self._feed_incarnation, self._position, self._revision, now_ms)

    def has_fresh_reader(self, now_ms: int) -> bool:
        """Return whether the reader has answered with a list that is still fresh."""
        return self._is_recent(self._reader_fresh_ms, now_ms)

    def is_following(self, now_ms: int) -> bool:
        """Return whether the list is up to date through the feed."""
        return self._is_complete and self._is_recent(self._list_fresh_ms, now_ms)

    def list_age_ms(self, now_ms: int) -> int:
        """Return the milliseconds since this host's list was last known to be up to date."""
        return now_ms if self._list_fresh_ms is None else now_ms - self._list_fresh_ms

    def was_fresh_after(self, since_ms: int) -> bool:
        """Return whether the list was known to be up to date later than ``since_ms``."""
        return self._list_fresh_ms is not None and self._list_fresh_ms > since_ms

    def silence_ms(self, now_ms: int) -> int:
        """Return the milliseconds since the latest request that the reader answered."""
        return now_ms if self._answered_request_ms is None else now_ms - self._answered_request_ms

    def _is_recent(self, fresh_ms: int | None, now_ms: int) -> bool:
        return fresh_ms is not None and now_ms - fresh_ms <= self._age_limit_ms

    def on_update(self, update: FeedUpdate, now_ms: int) -> ReceivedChanges:
        """Apply an update of the current reader; ignore updates of others."""
        if self._reader is None or update.feed != self._reader.incarnation:
            return ReceivedChanges()
        # A request cannot have been sent later than now, whatever the reader returns.
        request_ms = min(update.request_sent_ms, now_ms)
        self._answered_request_ms = _latest(self._answered_request_ms, request_ms)
        fresh_ms = request_ms - update.list_age_ms
        self._reader_fresh_ms = _latest(self._reader_fresh_ms, fresh_ms)
        routes_age_ms = update.routes_age_ms
        newest_routes = NewestRoutes(
            update.routes_version,
            update.routes_revision,
            as_of_ms=None if routes_age_ms is None else request_ms - routes_age_ms,
        )
        continues = (
            update.feed == self._feed_incarnation and update.first_position <= self._position
        )
        if not continues and not self._join(update):
            had_feed = self._feed_incarnation != 0
            # Forget the feed and the position in it, so that the reader answers the next request
            # with the changes after this host's revision.
            self.stop_following()
            return ReceivedChanges(
                has_gap=had_feed,
                out_of_service=update.out_of_service,
                newest_routes=newest_routes,
            )
        received = self._apply(update)
        if self._is_complete:
            self._list_fresh_ms = _latest(self._list_fresh_ms, fresh_ms)
        return received._replace(
            is_fresh=self.is_following(now_ms),
            out_of_service=update.out_of_service,
            newest_routes=newest_routes,
        )

    def _join(self, update: FeedUpdate) -> bool:
        """Join a feed at the update's position; return False when changes would be missed."""
        if update.from_revision > self._revision:
            return False
        if update.feed != self._feed_incarnation:
            self._outages = update.outages
        self._feed_incarnation = update.feed
        self._position = update.first_position
        return True

    def _apply(self, update: FeedUpdate) -> ReceivedChanges:
        new_changes = update.changes[self._position - update.first_position :]
        self._position += len(new_changes)
        self._is_complete = self._position >= update.end_position
        after_outage = update.outages != self._outages
        self._outages = update.outages
        if self._is_complete:
            self._revision = max(self._revision, update.revision)
        return ReceivedChanges(
            # Leave out changes that this host has already read from the store; the reader may be
            # behind this host.
            changes=tuple(
                each.change for each in new_changes if each.revision > self._store_read_revision
            ),
            after_outage=after_outage,
            has_gap=not self._is_complete,
        )


def _latest(known_ms: int | None, new_ms: int) -> int:
    return new_ms if known_ms is None else max(known_ms, new_ms)
