"""Reads from the store what this host's list lacks, as a whole or in parts, and applies it."""

from __future__ import annotations

from redwingswitch._internal.daemon.list_updates import ListUpdates
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.reader_following import ReaderFollowing
from redwingswitch._internal.daemon.store_contact import StoreContact
from redwingswitch._internal.decisions.list_sharing.age_budget import READER_ANSWER_TIMEOUT_MS
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.models.server_list import ServerListChanges
from redwingswitch._internal.models.store_knowledge import (
    OtherReadersRead,
    PartsBegun,
    RoutesCompared,
)
from redwingswitch._internal.ports import Clock

# When the store is back, a follower gives its reader this long to reach it too: the longest delay
# of the reader's next call, and one request.
READER_RECOVERY_WAIT_MS = 1_100


class ListReads:
    """Makes the calls that ``StoreKnowledge`` asks for; errors of the store pass through."""

    def __init__(
        self,
        *,
        store: MeteredStore,
        sharing: ListSharing,
        updates: ListUpdates,
        following: ReaderFollowing,
        knowledge: StoreKnowledge,
        contact: StoreContact,
        age_clock: Clock,
        shares_load: bool,
    ) -> None:
        self._store = store
        self._sharing = sharing
        self._updates = updates
        self._following = following
        self._knowledge = knowledge
        self._contact = contact
        self._age_clock = age_clock
        self._shares_load = shares_load

    async def catch_up(self) -> None:
        """Read everything that has changed, without waiting for more."""
        if self._sharing.role(self._age_clock.now_ms()) is ListSharingRole.SERVING:
            if self._knowledge.must_read_parts():
                await self.read_parts_and_record()
                return
            # The followers need each change in its order, that of the reader's record included.
            self.apply_changes(await self.read_changes(wait_ms=0))
            return
        # The cheapest call goes first: all hosts repeat it in an outage of the store, and a host
        # whose reader has a successor needs no other one.
        known = self._sharing.registered_reader
        self._updates.apply_reader(await self._store.read_reader())
        is_new_reader = self._sharing.registered_reader != known
        if await self._following.is_following_soon(
            limit_ms=self._reader_wait_ms(is_new_reader=is_new_reader)
        ):
            self._contact.on_response()
            return
        await self.read_parts()

    async def read_parts(self) -> None:
        """Read the changes of servers, and the newest routes alone.

        A watch returns each version of the routes. In a storm of configurations a narrow link needs
        seconds for them, and the changes of servers would wait behind.
        """
        known_version = self._updates.version_in_force
        changes = await self._store.read_server_changes(
            after_revision=self._sharing.servers_revision
        )
        self._updates.apply_server_changes(changes)
        up_to_revision = self._sharing.latest_revision
        routes = await self._store.read_routes()
        self._updates.apply_routes(routes, up_to_revision=up_to_revision)
        have_changed = self._updates.version_in_force != known_version
        self._contact.report(RoutesCompared(have_changed))

    async def read_parts_and_record(self) -> None:
        """Read the changes in parts, and the record of a host that claimed the reader role."""
        self._contact.report(PartsBegun())
        await self.read_parts()
        registered = await self._store.read_reader()
        # The answer may be from before this host's own claim.
        if registered.reader is not None:
            self._updates.apply_reader(registered)

    async def read_other_readers_if_needed(self) -> None:
        """Read the records of the readers of other failure domains if some may be missing."""
        if self._knowledge.needs_other_readers and self._shares_load:
            self._updates.other_readers.apply(await self._store.read_other_readers())
        self._contact.report(OtherReadersRead())

    async def read_changes(self, *, wait_ms: int) -> ServerListChanges:
        """Return what changed since the known revision, waiting up to ``wait_ms`` for a change."""
        return await self._store.read_changes(
            after_revision=self._sharing.revision, wait_ms=wait_ms
        )

    def apply_changes(self, changes: ServerListChanges) -> None:
        """Apply what ``read_changes`` returned."""
        self._contact.report(RoutesCompared(have_changed=changes.routes is not None))
        self._updates.apply_changes(changes)

    def _reader_wait_ms(self, *, is_new_reader: bool) -> int:
        """Return how long to wait for the reader before the list is read without it."""
        if self._knowledge.is_store_lost and self._following.has_answering_reader:
            return READER_RECOVERY_WAIT_MS
        return READER_ANSWER_TIMEOUT_MS if is_new_reader else 0
