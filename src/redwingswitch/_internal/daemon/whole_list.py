"""Gets the whole list: at the start, and after the store lost its history."""

from __future__ import annotations

from redwingswitch._internal.daemon.list_reads import ListReads
from redwingswitch._internal.daemon.list_updates import ListUpdates
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.reader_following import ReaderFollowing
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.age_budget import READER_ANSWER_TIMEOUT_MS
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.ports import Clock

# At a cold start, when no host is the reader yet, a host without callers waits this long for one: a
# claim comes after 2,600 ms where all links are narrow, and its record is found 500 ms later.
COLD_START_WAIT_MS = 3_200
# How soon a host that waits at a cold start notices the first caller's packet.
CALLER_CHECK_INTERVAL_MS = 20


class WholeList:
    """Reads a list from the store, and waits for what confirms it."""

    def __init__(
        self,
        *,
        store: MeteredStore,
        steering: CookieSteering,
        sharing: ListSharing,
        updates: ListUpdates,
        following: ReaderFollowing,
        knowledge: StoreKnowledge,
        reads: ListReads,
        age_clock: Clock,
    ) -> None:
        self._store = store
        self._steering = steering
        self._sharing = sharing
        self._updates = updates
        self._following = following
        self._knowledge = knowledge
        self._reads = reads
        self._age_clock = age_clock

    async def load_stale(self) -> None:
        """Read the whole list at the start.

        A list that may be stale is enough if the reader's feed continues it.
        """
        stale = await self._store.read_all(may_be_stale=True)
        if self._knowledge.is_list_known:
            # A neighbour's list was applied meanwhile.
            if not await self._following.is_following_soon(limit_ms=READER_ANSWER_TIMEOUT_MS):
                await self._reads.catch_up()
            return
        self._updates.apply_unconfirmed_list(stale)
        # The list contained the record.
        self._following.postpone_lookup()
        if not await self._is_confirmed_by_reader():
            self._reads.apply_changes(await self._reads.read_changes(wait_ms=0))

    async def load_newest(self) -> None:
        """Read the whole list as the store has it."""
        fleet = await self._store.read_all()
        was_reader = self._sharing.is_reader
        self._updates.apply_list(fleet)
        if was_reader and not self._sharing.is_reader:
            # A restored store has an earlier record; the followers still know this host.
            self._sharing.claim_at(self._age_clock.now_ms())
            await self._following.claim_if_due()

    async def _is_confirmed_by_reader(self) -> bool:
        """Return whether a reader has confirmed the list that was read at the start.

        When all hosts start at once, there is no reader yet: the host waits until one has claimed
        the role, unless callers' packets wait. After a power loss they do, and the recorded reader
        is gone.
        """
        if self._has_callers() or self._sharing.local_reader is None:
            return False
        if await self._following.is_following_soon(limit_ms=READER_ANSWER_TIMEOUT_MS):
            return True
        deadline_ms = self._age_clock.now_ms() + COLD_START_WAIT_MS
        while self._role is ListSharingRole.READING and self._age_clock.now_ms() < deadline_ms:
            if self._has_callers():
                break
            await self._following.look_for_reader(wait_ms=CALLER_CHECK_INTERVAL_MS)
        return self._role is ListSharingRole.FOLLOWING

    def _has_callers(self) -> bool:
        return self._steering.held_packets > 0

    @property
    def _role(self) -> ListSharingRole:
        return self._sharing.role(self._age_clock.now_ms())
