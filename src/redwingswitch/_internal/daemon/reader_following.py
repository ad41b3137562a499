"""Follows the reader of the failure domain: finds its record, its feed and its routes.

The reader is the host that reads the list of backend servers from the store for the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from redwingswitch._internal.daemon.list_updates import ListUpdates
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.decisions.list_sharing.age_budget import (
    FOLLOW_CHECK_INTERVAL_MS,
    READER_ANSWER_TIMEOUT_MS,
    ROUTES_ANSWER_TIMEOUT_MS,
    ROUTES_REQUESTS,
)
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.ports import Clock

MS_PER_S = 1_000
# How often a host without a working reader looks for the record of a new one.
READER_LOOKUP_INTERVAL_MS = 500


class ReaderFollowing:
    """Waits for the reader's answers, and looks for its successor when there are none.

    Errors of the store pass through; ``on_response`` is called after a successful read.
    """

    def __init__(
        self,
        *,
        store: MeteredStore,
        sharing: ListSharing,
        knowledge: StoreKnowledge,
        updates: ListUpdates,
        age_clock: Clock,
        on_response: Callable[[], None],
    ) -> None:
        self._store = store
        self._sharing = sharing
        self._knowledge = knowledge
        self._updates = updates
        self._age_clock = age_clock
        self._on_response = on_response
        self._next_lookup_ms = 0

    @property
    def _role(self) -> ListSharingRole:
        return self._sharing.role(self._age_clock.now_ms())

    @property
    def has_answering_reader(self) -> bool:
        """Return whether another host is the reader and answers."""
        return self._knowledge.has_answering_reader(self._age_clock.now_ms())

    async def follow(self) -> None:
        """Follow the reader, and get the routes that it announces, until it is lost."""
        while await self.is_following_soon(limit_ms=READER_ANSWER_TIMEOUT_MS):
            if self._sharing.needs_routes and not await self._get_routes_from_reader():
                await self._read_announced_routes()
            if self._sharing.is_reader_silent(self._age_clock.now_ms()):
                self._sharing.on_reader_silent(self._age_clock.now_ms())
                await self.look_for_reader(wait_ms=FOLLOW_CHECK_INTERVAL_MS)
            else:
                await self.wait_for_feed(FOLLOW_CHECK_INTERVAL_MS)

    async def is_following_soon(self, *, limit_ms: int) -> bool:
        """Return whether the list is up to date through a reader; wait for its answer if needed."""
        deadline_ms = self._age_clock.now_ms() + limit_ms
        while self._role is ListSharingRole.READING and self._sharing.other_reader is not None:
            left_ms = deadline_ms - self._age_clock.now_ms()
            if left_ms <= 0:
                break
            await self.wait_for_feed(left_ms)
        return self._role is ListSharingRole.FOLLOWING

    async def wait_for_feed(self, limit_ms: int) -> None:
        """Wait until the reader sends something, or until ``limit_ms`` have passed."""
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await self._updates.wait_for_feed()
        except TimeoutError:
            return

    async def wait_until_following(self) -> None:
        """Wait until the list is up to date through a reader."""
        while self._role is not ListSharingRole.FOLLOWING:
            await asyncio.sleep(FOLLOW_CHECK_INTERVAL_MS / MS_PER_S)

    def postpone_lookup(self) -> None:
        """Record that the reader's record has just been read."""
        self._next_lookup_ms = self._age_clock.now_ms() + READER_LOOKUP_INTERVAL_MS

    async def look_for_reader(self, *, wait_ms: int) -> None:
        """Look for another reader's record, claim the role if that is due, and wait for a feed."""
        if self._age_clock.now_ms() >= self._next_lookup_ms:
            self.postpone_lookup()
            self._updates.apply_reader(await self._store.read_reader())
            self._on_response()
        await self.claim_if_due()
        await self.wait_for_feed(wait_ms)

    async def claim_if_due(self) -> bool:
        """Try to become the reader of the failure domain if a claim is due; return whether it was.

        The store keeps another host's record if it is newer than the one that this host knows.
        """
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        local = self._sharing.local_reader
        if local is None or deadline_ms is None or now_ms < deadline_ms:
            return False
        self._sharing.on_claim_attempt()
        expected = self._sharing.registered_reader.revision
        registered = await self._store.register_reader(local, expected=expected)
        self._updates.apply_reader(registered, is_newest=True)
        return True

    async def _get_routes_from_reader(self) -> bool:
        """Return whether the reader has sent the routes that it announced."""
        for _ in range(ROUTES_REQUESTS):
            self._updates.peers.request_routes()
            deadline_ms = self._age_clock.now_ms() + ROUTES_ANSWER_TIMEOUT_MS
            while self._sharing.needs_routes:
                left_ms = deadline_ms - self._age_clock.now_ms()
                if left_ms <= 0:
                    break
                await self.wait_for_feed(left_ms)
            if not self._sharing.needs_routes:
                return True
        return False

    async def _read_announced_routes(self) -> None:
        """Read routes at least as new as the reader announced."""
        routes = await self._store.read_routes(may_be_stale=True)
        up_to_revision = None
        if routes.routes is None or routes.routes.version < self._sharing.announced_routes_version:
            up_to_revision = self._sharing.latest_revision
            routes = await self._store.read_routes()
        self._on_response()
        self._updates.apply_routes(routes, up_to_revision=up_to_revision)
