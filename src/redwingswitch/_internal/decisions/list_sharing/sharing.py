"""The role of this host in sharing the list of backend servers within its failure domain."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.list_sharing.feed import ListFeed
from redwingswitch._internal.decisions.list_sharing.follower import FeedFollower
from redwingswitch._internal.decisions.list_sharing.held_routes import HeldRoutes
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_readers import NO_READER, ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListSharingRole,
    ReceivedChanges,
)
from redwingswitch._internal.models.server_list import (
    NONE_OUT_OF_SERVICE,
    OutOfService,
    ServerChange,
)
from redwingswitch._internal.ports import RandomSource

# Spreads the claims of the hosts of a failure domain: 20 hosts are 15 ms apart on average.
FIRST_CLAIM_DELAY_MS = 600
# Hosts with less bandwidth claim the reader role only when no other host does. On a day when 30 %
# of 3,000 servers are replaced, the changes took 5.8 Mbit/s of a reader with 100 followers.
MIN_READER_LINK_MBPS = 50.0
# A follower sends a request every 500 ms; two of them and their answers may be lost.
READER_SILENCE_LIMIT_MS = 1_250
# By then a host with a wider link has claimed the role and answered as the reader.
NARROW_LINK_CLAIM_DELAY_MS = 2_000
# A host that can reach the store but cannot reach other hosts claims the role again and again; this
# limits how often.
MAX_CLAIM_DELAY_MS = 30_000


class ListSharing:
    """Decides whether this host reads the list for itself, serves it, or follows a reader.

    The reader is the host that reads the list from the store and serves its changes to the others.
    The reader role is claimed by a conditional write of the reader's record in the store. The role
    only saves calls to the store: two readers at a time are harmless, and a host without a fresh
    reader reads for itself. The role therefore needs no lease. Hosts with a narrow link delay their
    claim, so that others take the role.
    """

    def __init__(
        self,
        *,
        local_reader: ListReader | None,
        age_limit_ms: int,
        random_source: RandomSource,
        link_mbps: float | None = None,
    ) -> None:
        self._local_reader = local_reader
        self._has_narrow_link = link_mbps is not None and link_mbps < MIN_READER_LINK_MBPS
        self._random = random_source
        self._feed = ListFeed(incarnation=local_reader.incarnation if local_reader else 0)
        # Whether the feed has all changes that this host knows since it last read the whole list.
        # It then serves the followers of a former reader from the start.
        self._is_feed_continuous = False
        self._follower = FeedFollower(age_limit_ms=age_limit_ms)
        self._registered_reader = NO_READER
        self._claim_attempts = 0
        self._claim_deadline_ms: int | None = None
        self._routes = HeldRoutes()
        self._out_of_service = NONE_OUT_OF_SERVICE

    @property
    def out_of_service(self) -> OutOfService:
        """Return the failure domains that are out of service, as last known."""
        return self._out_of_service

    @property
    def registered_reader(self) -> RegisteredReader:
        """Return the store's record of which host is the reader, as last known."""
        return self._registered_reader

    @property
    def has_narrow_link(self) -> bool:
        """Return whether this host takes the reader role only when no other host does."""
        return self._has_narrow_link

    @property
    def local_reader(self) -> ListReader | None:
        """Return this host as a reader, or None when it does not share the list."""
        return self._local_reader

    @property
    def revision(self) -> int:
        """Return the store revision up to which the whole list is known.

        That is the lowest one of its parts. The feed of a reader brings the servers, and the routes
        that it announces come later; a host that then reads the store itself must not miss them.
        """
        return min(self._follower.revision, self._routes.revision)

    @property
    def servers_revision(self) -> int:
        """Return the store revision up to which the servers are known, by reads or by the feed."""
        return self._follower.revision

    @property
    def latest_revision(self) -> int:
        """Return the latest store revision that this host has heard of, whatever it has of it.

        A call that begins now, and that may not be stale, shows the store at this one or later.
        """
        announced = self._routes.announced
        revisions = (self._follower.revision, self._routes.revision)
        return max(*revisions, 0 if announced is None else announced.revision)

    @property
    def needs_routes(self) -> bool:
        """Return whether the reader announced newer routes than this host has read."""
        return self._routes.announced is not None

    @property
    def announced_routes_version(self) -> int:
        """Return the version of the newer routes that a reader announced, 0 without any."""
        announced = self._routes.announced
        return 0 if announced is None else announced.version

    @property
    def routes_confirmed_ms(self) -> int | None:
        """Return the latest time at which a reader knew no routes newer than this host's."""
        return self._routes.confirmed_ms

    @property
    def may_miss_routes(self) -> bool:
        """Return whether other hosts may have later routes than the store's answers gave this one.

        A restored store may have lost them, or this host could not decode them.
        """
        return self._routes.may_miss_version

    @property
    def is_reader(self) -> bool:
        """Return whether this host is recorded as the reader."""
        return (
            self._local_reader is not None and self._registered_reader.reader == self._local_reader
        )

    @property
    def other_reader(self) -> ListReader | None:
        """Return another host that is recorded as the reader, or None."""
        return self._follower.reader

    def has_fresh_reader(self, now_ms: int) -> bool:
        """Return whether the followed reader has answered with a list that is still fresh."""
        return self._follower.has_fresh_reader(now_ms)

    def reader_silence_ms(self, now_ms: int) -> int:
        """Return milliseconds since this host sent the latest request that its reader answered."""
        return self._follower.silence_ms(now_ms)

    def is_reader_silent(self, now_ms: int) -> bool:
        """Return whether the followed reader left several requests unanswered."""
        return (
            self._follower.reader is not None
            and self.reader_silence_ms(now_ms) > READER_SILENCE_LIMIT_MS
        )

    def role(self, now_ms: int) -> ListSharingRole:
        """Return how this host gets the list."""
        if self.is_reader:
            return ListSharingRole.SERVING
        if self._follower.is_following(now_ms):
            return ListSharingRole.FOLLOWING
        return ListSharingRole.READING

    def list_age_ms(self, now_ms: int) -> int:
        """Return the age of the followed list."""
        return self._follower.list_age_ms(now_ms)

    def was_followed_list_fresh_after(self, since_ms: int) -> bool:
        """Return whether a call of the reader that began later brought this host's list."""
        return self._follower.was_fresh_after(since_ms)

    def on_reader_registered(
        self, registered: RegisteredReader, now_ms: int, *, is_newest: bool = False
    ) -> None:
        """Apply the reader's record; ignore one older than the latest known.

        ``is_newest`` is true for a record that the store has certainly not replaced by the latest
        known one, as in its answer to a claim.
        """
        is_older = registered.revision < self._registered_reader.revision
        if registered.reader is not None and is_older and not is_newest:
            return
        is_new_reader = registered.reader != self._registered_reader.reader
        self._registered_reader = registered
        if not is_new_reader:
            return
        self._claim_deadline_ms = None
        if self.is_reader:
            if not self._is_feed_continuous:
                self._begin_feed(self._follower.revision)
            self._follower.set_reader(None)
        else:
            self._follower.set_reader(registered.reader)
        self._schedule_claim(now_ms)

    def is_outdated(self, revision: int) -> bool:
        """Return whether the servers of a store response are older than those from the feed.

        An outdated response must be discarded: it would revert newer changes, and the feed does not
        send these a second time.
        """
        return revision < self._follower.revision

    def on_list_read(self, revision: int, now_ms: int, *, routes: RouteTable | None = None) -> None:
        """Record the whole list up to a revision; ``routes`` is None if it has none."""
        self.on_routes_read(routes, up_to_revision=revision)
        self._follower.on_store_read(revision)
        # The list shows only the current state, not the changes since the last read.
        self._begin_feed(revision)
        self._schedule_claim(now_ms)

    def on_changes_read(
        self,
        changes: Iterable[ServerChange],
        revision: int,
        now_ms: int,
        *,
        routes: RouteTable | None = None,
    ) -> None:
        """Record all changes after ``self.revision`` that this host read from the store.

        ``routes`` is None if they have not changed. Changes without an effect on this host must be
        included: they may affect a follower that read the list in between.
        """
        self.on_routes_read(routes, up_to_revision=revision)
        self.on_servers_read(changes, revision, now_ms)

    def on_servers_read(self, changes: Iterable[ServerChange], revision: int, now_ms: int) -> None:
        """Record the changes of servers alone, after ``self.servers_revision``."""
        self._follower.on_store_read(revision)
        if self._is_feed_continuous:
            self._feed.append(changes, revision)
        self._schedule_claim(now_ms)

    def on_routes_read(self, routes: RouteTable | None, *, up_to_revision: int | None) -> None:
        """Record routes that this host read; None if there are none that can be decoded.

        The store has no later ones up to ``up_to_revision``, which is None if that is not known.
        """
        version = None if routes is None else routes.version
        self._routes.on_read(version, up_to_revision=up_to_revision)

    def on_unreadable_routes(self) -> None:
        """Record that the newest routes in the store could not be decoded."""
        self._routes.on_unreadable()

    def on_out_of_service_read(self, found: OutOfService) -> None:
        """Record the failure domains out of service; ignore a set that is not newer."""
        if found.revision > self._out_of_service.revision:
            self._out_of_service = found

    def on_reader_silent(self, now_ms: int) -> None:
        """Prepare to claim the role of a reader that does not answer."""
        self._schedule_claim(now_ms)

    def on_store_lost(self) -> None:
        """Record that this host cannot read the store."""
        self._feed.note_outage()
        self._claim_deadline_ms = None

    def on_reader_lost(self, now_ms: int) -> None:
        """Record that this host reads for itself again."""
        self._follower.stop_following()
        self._schedule_claim(now_ms)

    def claim_deadline_ms(self, now_ms: int) -> int | None:
        """Return when to claim the reader role, or None when no claim is due."""
        has_reader = self._follower.has_fresh_reader(now_ms) and not self.is_reader_silent(now_ms)
        if self.is_reader or has_reader:
            self._claim_deadline_ms = None
        return self._claim_deadline_ms

    def claim_at(self, deadline_ms: int) -> None:
        """Claim the reader role at ``deadline_ms`` unless this host has it or follows a reader."""
        if self._local_reader is not None and not self.is_reader:
            self._claim_deadline_ms = deadline_ms

    def on_claim_attempt(self) -> None:
        """Record an attempt to claim the reader role."""
        self._claim_attempts += 1
        self._claim_deadline_ms = None

    def build_request(self, now_ms: int) -> tuple[ListReader, FeedRequest] | None:
        """Return the reader and the request for it; None when there is none or it is this host."""
        reader = self._follower.reader
        return None if reader is None else (reader, self._follower.build_request(now_ms))

    def build_update(
        self, request: FeedRequest, *, list_age_ms: int, routes_age_ms: int | None = None
    ) -> FeedUpdate | None:
        """Return the answer to a request; None when this host is not the reader.

        ``routes_age_ms`` is the time since a call began that found no later routes than this
        host's; None if there was none.
        """
        if not self.is_reader:
            return None
        return self._feed.build_update(
            request,
            list_age_ms=list_age_ms,
            routes_version=self._routes.version,
            out_of_service=self._out_of_service,
            routes_age_ms=routes_age_ms,
            routes_revision=self._routes.revision,
        )

    def on_update(self, update: FeedUpdate, now_ms: int) -> ReceivedChanges:
        """Apply an update of the reader."""
        known_revision = self._follower.revision
        taken = self._follower.on_update(update, now_ms)
        if taken.out_of_service is not None:
            self.on_out_of_service_read(taken.out_of_service)
        if taken.newest_routes is not None:
            self._routes.on_announced(taken.newest_routes)
        if taken.changes or self._follower.revision != known_revision:
            self._is_feed_continuous = False
        if self._follower.is_following(now_ms):
            self._claim_attempts = 0
        return taken

    def _begin_feed(self, revision: int) -> None:
        self._feed.begin(revision)
        self._is_feed_continuous = True

    def _schedule_claim(self, now_ms: int) -> None:
        if self._local_reader is None or self.is_reader or self._claim_deadline_ms is not None:
            return
        pause_ms = backoff_ms(
            self._claim_attempts + 1,
            self._random,
            base_ms=FIRST_CLAIM_DELAY_MS,
            limit_ms=MAX_CLAIM_DELAY_MS,
        )
        link_delay_ms = NARROW_LINK_CLAIM_DELAY_MS if self._has_narrow_link else 0
        self._claim_deadline_ms = now_ms + link_delay_ms + pause_ms
