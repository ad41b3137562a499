"""Which host of a failure domain reads the list for the others."""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.list_sharing.feed import ListFeed
from redwingswitch._internal.decisions.list_sharing.follower import FeedFollower
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.fleet_list import ServerChange
from redwingswitch._internal.models.list_readers import NO_READER, ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListRole,
    ReceivedChanges,
)
from redwingswitch._internal.ports import RandomSource

# Two hosts of a failure domain seldom draw the same moment: 20 hosts are 25 ms apart on average.
FIRST_CLAIM_DELAY_MS = 1_000
# Hosts with less take the part only when no other host does: the changes of a day on which 30 % of
# 3,000 servers are replaced took 5.8 Mbit/s of a reader with 100 followers.
MIN_READER_LINK_MBPS = 50.0
# Hosts with wide links have claimed by then, and their reader has answered.
NARROW_LINK_CLAIM_DELAY_MS = 2_000
# A host that hears no other, but reaches the store, takes the part over and over; this bounds it.
MAX_CLAIM_DELAY_MS = 30_000


class ListSharing:
    """Decides whether this host reads the list for itself, serves it, or follows a reader.

    The part of the reader is taken by a conditional write of its record in the store. It saves
    calls and nothing else: two readers at a time do no harm, and a host that hears none reads for
    itself. Hence it has no lease. A host whose link is narrow leaves the part to others.
    """

    def __init__(
        self,
        *,
        local: ListReader | None,
        age_limit_ms: int,
        random_source: RandomSource,
        link_mbps: float | None = None,
    ) -> None:
        self._local = local
        is_narrow = link_mbps is not None and link_mbps < MIN_READER_LINK_MBPS
        self._narrow_link_delay_ms = NARROW_LINK_CLAIM_DELAY_MS if is_narrow else 0
        self._random = random_source
        self._feed = ListFeed(incarnation=local.incarnation if local else 0)
        self._follower = FeedFollower(age_limit_ms=age_limit_ms)
        self._registered = NO_READER
        self._claim_attempts = 0
        self._claim_deadline_ms: int | None = None

    @property
    def registered(self) -> RegisteredReader:
        """Return the reader's record in the store as last seen."""
        return self._registered

    @property
    def local(self) -> ListReader | None:
        """Return this host as a reader; None when it shares nothing."""
        return self._local

    @property
    def revision(self) -> int:
        """Return the store's revision up to which the list is known."""
        return self._follower.revision

    def role(self, now_ms: int) -> ListRole:
        """Return where this host has the list from."""
        if self._is_reader():
            return ListRole.SERVING
        if self._follower.is_following(now_ms):
            return ListRole.FOLLOWING
        return ListRole.READING

    def list_age_ms(self, now_ms: int) -> int:
        """Return the age of the followed list."""
        return self._follower.list_age_ms(now_ms)

    def on_registered(self, registered: RegisteredReader, now_ms: int) -> None:
        """Take the reader's record; an older one than the last is ignored."""
        if registered.reader is not None and registered.revision < self._registered.revision:
            return
        is_new_reader = registered.reader != self._registered.reader
        self._registered = registered
        if not is_new_reader:
            return
        self._claim_deadline_ms = None
        if self._is_reader():
            self._feed.begin(self._follower.revision)
            self._follower.set_reader(None)
        else:
            self._follower.set_reader(registered.reader)
        self._schedule_claim(now_ms)

    def is_outdated(self, revision: int) -> bool:
        """Return whether the feed has brought a later list than a response of the store.

        Such a response must not be used: the feed does not repeat what it would take back.
        """
        return revision < self._follower.revision

    def on_list_read(self, revision: int, now_ms: int) -> None:
        """Note that this host read the whole list itself."""
        self._follower.on_store_read(revision)
        if self._is_reader():
            # What changed since the last read is not known, only what the list holds now.
            self._feed.begin(revision)
        self._schedule_claim(now_ms)

    def on_changes_read(self, changes: Iterable[ServerChange], revision: int, now_ms: int) -> None:
        """Note the changes that this host read itself, all of them.

        One that changes nothing here may change the list of a follower that read in between.
        """
        self._follower.on_store_read(revision)
        if self._is_reader():
            self._feed.append(changes, revision)
        self._schedule_claim(now_ms)

    def on_store_lost(self) -> None:
        """Note that this host cannot read the store."""
        self._feed.note_outage()
        self._claim_deadline_ms = None

    def on_reader_lost(self, now_ms: int) -> None:
        """Note that this host reads for itself again."""
        self._follower.stop_following()
        self._schedule_claim(now_ms)

    def claim_deadline_ms(self, now_ms: int) -> int | None:
        """Return when this host should take the part of the reader, unless one is heard."""
        if self._is_reader() or self._follower.has_fresh_reader(now_ms):
            self._claim_deadline_ms = None
        return self._claim_deadline_ms

    def on_claim_attempt(self) -> None:
        """Note that this host tried to take the part."""
        self._claim_attempts += 1
        self._claim_deadline_ms = None

    def request(self) -> tuple[ListReader, FeedRequest] | None:
        """Return what to ask the reader; None when there is none or it is this host."""
        reader = self._follower.reader
        return None if reader is None else (reader, self._follower.request())

    def answer(self, request: FeedRequest, *, list_age_ms: int) -> FeedUpdate | None:
        """Return the answer to a request; None when this host is not the reader."""
        return (
            self._feed.build_update(request, list_age_ms=list_age_ms) if self._is_reader() else None
        )

    def on_update(self, update: FeedUpdate, now_ms: int) -> ReceivedChanges:
        """Take an update of the reader."""
        taken = self._follower.on_update(update, now_ms)
        if self._follower.is_following(now_ms):
            self._claim_attempts = 0
        return taken

    def _is_reader(self) -> bool:
        return self._local is not None and self._registered.reader == self._local

    def _schedule_claim(self, now_ms: int) -> None:
        if self._local is None or self._is_reader() or self._claim_deadline_ms is not None:
            return
        pause_ms = backoff_ms(
            self._claim_attempts + 1,
            self._random,
            base_ms=FIRST_CLAIM_DELAY_MS,
            limit_ms=MAX_CLAIM_DELAY_MS,
        )
        self._claim_deadline_ms = now_ms + self._narrow_link_delay_ms + pause_ms
