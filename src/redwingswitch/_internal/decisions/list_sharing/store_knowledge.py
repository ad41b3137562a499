"""What a host knows of the store: up to which revision, since when, from what and from whom."""

from __future__ import annotations

from redwingswitch._internal.decisions.list_sharing.list_age import ListAge
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.list_sharing import ListOffer, ListSharingRole
from redwingswitch._internal.models.store_knowledge import (
    BeginEra,
    CallAgain,
    CallFailed,
    CaughtUp,
    ChangesRead,
    FeedReceived,
    HistoryLost,
    ListSource,
    ListTaken,
    NextRead,
    NoteListLost,
    NoteListRead,
    OtherReadersRead,
    PartsBegun,
    ProbeAnswered,
    ReportHistoryLost,
    ReportStoreLost,
    ReportStoreRegained,
    RoleChanged,
    RoutesCompared,
    RoutesRead,
    ServersRead,
    StaleListRead,
    StoreAction,
    StoreAnswered,
    StoreEvent,
    WatchAbandoned,
    WholeListRead,
)
from redwingswitch._internal.models.store_revisions import era_of
from redwingswitch._internal.ports import RandomSource

MIN_RETRY_MS = 100
MAX_RETRY_MS = 1_000
# In an outage of the store, followers whose reader answers leave the frequent calls to it.
MIN_FOLLOWER_RETRY_MS = 1_000
MAX_FOLLOWER_RETRY_MS = 2_000
# After the store lost its history, every host reads the full list; a random delay up to this limit
# spreads these reads.
MAX_RELOAD_JITTER_MS = 100
# At a start, the store and the reader answer within 100 ms. A host that waits longer takes the list
# of a neighbour.
SNAPSHOT_DELAY_MS = 300
# After a pause a host waits this long for its reader or the store to confirm the list. Without a
# limit, a host that is cut off from both would serve nobody.
PAUSE_CONFIRMATION_LIMIT_MS = 300


class StoreKnowledge:
    """Takes the answers of the store, and the lists that are applied, as events.

    What the reader sends goes to ``ListSharing``, which knows from whom this host has its list. All
    times are on the clock that advances while the host is paused.
    """

    def __init__(self, *, sharing: ListSharing, random_source: RandomSource, now_ms: int) -> None:
        self._sharing = sharing
        self._random = random_source
        self._start_ms = now_ms
        self._list_age = ListAge(now_ms=now_ms)
        self._consecutive_failures = 0
        self._failed_ms = now_ms
        self._is_list_known = False
        self._may_load_stale_list = True
        self._era: int | None = None
        self._era_began_ms = 0
        # The latest changes of servers that were read without the routes. They do not confirm the
        # list, which includes the routes, until the routes are read too.
        self._unpaired_read: ServersRead | None = None
        # A new reader may lack changes after the last update of its predecessor. Only a read that
        # does not wait shows that the list is complete.
        self._is_new_reader = False
        # Set after a watch that did not deliver the changes that a probe had found.
        self._has_abandoned_watch = False
        # Whether the latest read brought other routes, so that more changes of them may follow.
        self._have_routes_changed = False
        # Whether records of the readers of other failure domains may have been missed. Hosts that
        # do not watch all keys do not see them.
        self._needs_other_readers = False

    @property
    def is_list_known(self) -> bool:
        """Return whether this host has a list that changes can continue."""
        return self._is_list_known

    @property
    def is_store_lost(self) -> bool:
        """Return whether the latest call to the store failed, as far as this host knows.

        A host that follows a reader makes no calls. It knows from the reader's list that the store
        has answered a later call.
        """
        has_failed = self._consecutive_failures > 0
        return has_failed and not self._sharing.was_followed_list_fresh_after(self._failed_ms)

    @property
    def has_abandoned_watch(self) -> bool:
        """Return whether changes are known that a watch did not deliver."""
        return self._has_abandoned_watch

    @property
    def needs_other_readers(self) -> bool:
        """Return whether records of the readers of other failure domains may be missing."""
        return self._needs_other_readers

    def era_age_ms(self, now_ms: int) -> int:
        """Return milliseconds since the list follows the present era of the store."""
        return now_ms - self._era_began_ms

    def has_answering_reader(self, now_ms: int) -> bool:
        """Return whether another host is the reader and answers."""
        has_reader = self._sharing.other_reader is not None
        return has_reader and not self._sharing.is_reader_silent(now_ms)

    def own_list_age_ms(self, now_ms: int) -> int:
        """Return milliseconds since the store last showed that the list had all changes."""
        return self._list_age.age_ms(now_ms)

    def list_age_ms(self, now_ms: int) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        role = self._sharing.role(now_ms)
        if role is ListSharingRole.SERVING:
            # Followers must not trust a list of which the store has shown nothing yet.
            is_confirmed = self._list_age.confirmed_ms is not None
            return self.own_list_age_ms(now_ms) if is_confirmed else now_ms
        feed_age_ms = self._sharing.list_age_ms(now_ms)
        if role is ListSharingRole.FOLLOWING:
            return feed_age_ms
        # A host that has just lost its reader last knew the list from the feed.
        return min(feed_age_ms, self.own_list_age_ms(now_ms))

    def routes_confirmed_ms(self) -> int | None:
        """Return the latest time at which this host's routes certainly were the newest.

        That is when a call to the store began, of this host or of a reader. An answer may have been
        made long before it is handled, so its arrival shows nothing of that kind. None while newer
        routes are known to exist, and before the first answer. Answers without routes that other
        hosts may have do not count.
        """
        if self._sharing.needs_routes:
            return None
        own_ms = None if self._sharing.may_miss_routes else self._list_age.confirmed_ms
        times_ms = (own_ms, self._sharing.routes_confirmed_ms)
        return max((each for each in times_ms if each is not None), default=None)

    def is_outdated_by_pause(self, now_ms: int) -> bool:
        """Return whether this host was paused and the list has not been confirmed since.

        Ends after ``PAUSE_CONFIRMATION_LIMIT_MS``. Detects a pause by itself, so it may be called
        before the timers of a resumed host have run; must be called every 125 ms.
        """
        self._list_age.on_tick(now_ms)
        resumed_ms = self._list_age.resumed_ms
        if resumed_ms is None or now_ms - resumed_ms > PAUSE_CONFIRMATION_LIMIT_MS:
            return False
        if self._sharing.role(now_ms) is not ListSharingRole.FOLLOWING:
            return self.own_list_age_ms(now_ms) > now_ms - resumed_ms
        has_answer = self._sharing.reader_silence_ms(now_ms) <= now_ms - resumed_ms
        return not has_answer or self._sharing.needs_routes

    def may_handle_late_packets(self, now_ms: int) -> bool:
        """Return whether this host stood still, so that packets may have waited in its socket.

        ``is_outdated_by_pause`` must be called before.
        """
        return self._list_age.may_handle_late_packets(now_ms)

    def wants_neighbours_list(self, offer: ListOffer, now_ms: int) -> bool:
        """Return whether to take a neighbour's list: this host gets none from reader and store."""
        if self._sharing.role(now_ms) is not ListSharingRole.READING:
            return False
        if self._sharing.has_fresh_reader(now_ms):
            # The rest of a batch of changes is on its way.
            return False
        if self.is_store_lost:
            return not self._is_list_known or offer.revision > self._sharing.revision
        is_store_late = now_ms - self._start_ms > SNAPSHOT_DELAY_MS
        return is_store_late and not self._is_list_known

    def next_read(self, now_ms: int) -> NextRead:
        """Return what to do next for the list."""
        if not self._is_list_known:
            return NextRead.STALE_LIST if self._may_load_stale_list else NextRead.WHOLE_LIST
        if self._sharing.role(now_ms) is ListSharingRole.FOLLOWING:
            return NextRead.FOLLOW
        if self.is_store_lost or self._is_new_reader or self._has_abandoned_watch:
            # Without a wait, so that the end of an outage is noticed immediately.
            return NextRead.CATCH_UP
        if self._sharing.has_narrow_link and self._have_routes_changed:
            return NextRead.PARTS
        return NextRead.WATCH

    def must_read_parts(self) -> bool:
        """Return whether the reader must catch up without each version of the routes.

        A response with each version may be what failed: too large, or too late.
        """
        has_failed = self._has_abandoned_watch or self.is_store_lost
        has_failed = has_failed or self._unpaired_read is not None
        # The changes after the whole list's revision would repeat those of servers from the feed.
        lacks_routes = self._sharing.revision < self._sharing.servers_revision
        return self._sharing.has_narrow_link or has_failed or lacks_routes

    def on_event(self, event: StoreEvent, now_ms: int) -> list[StoreAction]:
        """Apply an event; return the actions in their order."""
        match event:
            case StoreAnswered():
                return self._on_answer()
            case FeedReceived():
                # Routes that the reader has announced may still have to come from the store.
                is_missing = self.is_store_lost or self._sharing.needs_routes
                return [] if is_missing else self._on_answer()
            case StaleListRead():
                self._may_load_stale_list = False
                return self._on_answer()
            case ListTaken():
                self._is_list_known = True
                self._may_load_stale_list = False
                return self._begin_era_if_newer(event.source, event.revision, now_ms)
            case WholeListRead() | ChangesRead() | ServersRead():
                return self._on_list_read(event, now_ms)
            case RoutesRead() | ProbeAnswered():
                self._on_confirmation(event)
            case CallFailed():
                return self._on_failure(event.reason, now_ms)
            case HistoryLost():
                self._is_list_known = False
                delay_ms = int(self._random.random() * MAX_RELOAD_JITTER_MS)
                return [
                    ReportHistoryLost(self._sharing.revision, event.reason),
                    CallAgain(delay_ms),
                ]
            case _:
                self._note_course(event)
        return []

    def _note_course(
        self,
        event: (
            RoutesCompared | PartsBegun | OtherReadersRead | WatchAbandoned | CaughtUp | RoleChanged
        ),
    ) -> None:
        """Record what the next reads must include."""
        match event:
            case RoutesCompared():
                self._have_routes_changed = event.have_changed
            case PartsBegun():
                self._needs_other_readers = True
            case OtherReadersRead():
                self._needs_other_readers = False
            case WatchAbandoned():
                self._has_abandoned_watch = True
            case CaughtUp():
                self._is_new_reader = False
                self._has_abandoned_watch = False
            case RoleChanged():
                self._is_new_reader = event.role is ListSharingRole.SERVING
                self._needs_other_readers = self._is_new_reader

    def _on_list_read(
        self, event: WholeListRead | ChangesRead | ServersRead, now_ms: int
    ) -> list[StoreAction]:
        actions: list[StoreAction] = []
        match event:
            case WholeListRead():
                self._is_list_known = True
                self._may_load_stale_list = False
                self._unpaired_read = None
                self._list_age.on_list_read(event.began_ms, revision=event.revision)
                # Before the list counts as read: the grace period of missing servers begins anew.
                actions = self._begin_era_if_newer(ListSource.STORE, event.revision, now_ms)
            case ChangesRead():
                if self._unpaired_read is None:
                    self._list_age.on_list_read(event.began_ms, revision=event.revision)
            case ServersRead():
                self._unpaired_read = event
        return [*actions, *self._on_answer(), NoteListRead()]

    def _on_confirmation(self, event: RoutesRead | ProbeAnswered) -> None:
        unpaired = self._unpaired_read
        match event:
            case RoutesRead():
                # Routes of a later era do not belong to the servers of the former one.
                if unpaired is not None and era_of(event.revision) <= era_of(unpaired.revision):
                    self._unpaired_read = None
                    self._list_age.on_list_read(unpaired.began_ms, revision=unpaired.revision)
            case ProbeAnswered():
                if unpaired is None:
                    self._list_age.on_probe(
                        event.began_ms,
                        store_revision=event.store_revision,
                        known_revision=event.known_revision,
                    )

    def _on_answer(self) -> list[StoreAction]:
        failures, self._consecutive_failures = self._consecutive_failures, 0
        return [ReportStoreRegained(failures)] if failures else []

    def _on_failure(self, reason: str, now_ms: int) -> list[StoreAction]:
        self._consecutive_failures += 1
        self._failed_ms = now_ms
        actions: list[StoreAction] = []
        if self._sharing.role(now_ms) is not ListSharingRole.FOLLOWING:
            self._sharing.on_store_lost()
            actions.append(NoteListLost())
        has_reader = self.has_answering_reader(now_ms)
        delay_ms = backoff_ms(
            self._consecutive_failures,
            self._random,
            base_ms=MIN_FOLLOWER_RETRY_MS if has_reader else MIN_RETRY_MS,
            limit_ms=MAX_FOLLOWER_RETRY_MS if has_reader else MAX_RETRY_MS,
        )
        if self._consecutive_failures == 1:
            actions.append(ReportStoreLost(reason, delay_ms))
        return [*actions, CallAgain(delay_ms)]

    def _begin_era_if_newer(
        self, source: ListSource, revision: int, now_ms: int
    ) -> list[StoreAction]:
        """Begin the era of a whole list.

        A store that was restored lacks entries until their servers have written them again.
        """
        era, former = era_of(revision), self._era
        if former is not None and era <= former:
            return []
        self._era = era
        self._era_began_ms = now_ms
        return [BeginEra(era, former, source, revision, self._sharing.revision)]
