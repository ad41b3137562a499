"""Waits for changes of the list at the store, and detects a watch that does not deliver them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from redwingswitch._internal.daemon.list_reads import ListReads
from redwingswitch._internal.daemon.list_updates import ListUpdates
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.reader_following import ReaderFollowing
from redwingswitch._internal.daemon.store_contact import StoreContact
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.store_knowledge import WatchAbandoned
from redwingswitch._internal.models.store_revisions import format_revision
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.utils.event_log import EventLog

MS_PER_S = 1_000
# A server's entry expires after three missed reports, which takes 2 s or more. A probe detects a
# store outage of that length before the entries that expired during it are taken for stopped
# servers.
PROBE_INTERVAL_MS = 1_000
# Keeps a watch that answers immediately from causing an extra probe.
MIN_PROBE_DELAY_MS = 50
# A watch that has not delivered a change this long after a probe found it is abandoned: its
# connection is silent, or it transfers each version of changed routes over a narrow link. A store
# that is 50 times slower than usual answers within 200 ms.
WATCH_LAG_LIMIT_MS = 500
# The platform allows 30 s. TCP keep-alive closes a silent connection earlier than that.
MAX_WATCH_WAIT_MS = 20_000


class ListWatch:
    """Watches the store, and probes it meanwhile, until changes come or the watch lags."""

    def __init__(
        self,
        *,
        store: MeteredStore,
        sharing: ListSharing,
        updates: ListUpdates,
        following: ReaderFollowing,
        reads: ListReads,
        knowledge: StoreKnowledge,
        contact: StoreContact,
        clock: Clock,
        age_clock: Clock,
    ) -> None:
        self._store = store
        self._sharing = sharing
        self._updates = updates
        self._following = following
        self._reads = reads
        self._knowledge = knowledge
        self._contact = contact
        self._age_clock = age_clock
        self._event_log = EventLog(part="fleet", clock=clock)
        # Set when the host resumes after a pause, so that a probe need not wait until it is due.
        self._probe_requested = asyncio.Event()

    def request_probe(self) -> None:
        """Let the next probe begin at once."""
        self._probe_requested.set()

    async def watch_changes(self) -> None:
        """Apply changes, or return when the watch lags or this host starts to follow a reader.

        Raises the error of a failed probe.
        """
        watch = asyncio.create_task(self._watch_and_apply())
        probe_task = asyncio.create_task(self._probe_until_watch_lags())
        role_change = asyncio.create_task(self._following.wait_until_following())
        done = await _wait_for_first(watch, probe_task, role_change)
        if watch in done:
            await watch
        elif probe_task in done:
            # Raises the error of a failed probe.
            await probe_task
            self._contact.report(WatchAbandoned())

    async def _watch_and_apply(self) -> None:
        # In one task: until the changes are applied, no other one may take the list as confirmed.
        self._reads.apply_changes(await self._reads.read_changes(wait_ms=self._watch_wait_ms()))

    def _watch_wait_ms(self) -> int:
        """Return how long to wait for changes: at most until the next claim of the reader role."""
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        if deadline_ms is None:
            return MAX_WATCH_WAIT_MS
        return min(MAX_WATCH_WAIT_MS, max(1, deadline_ms - now_ms))

    async def _probe_until_watch_lags(self) -> None:
        """Return when the watch, which runs meanwhile, has not delivered what a probe found."""
        while True:
            # Without probes, the list would seem too old to the followers, which then abandon this
            # reader.
            list_age_ms = self._knowledge.own_list_age_ms(self._age_clock.now_ms())
            delay_ms = max(MIN_PROBE_DELAY_MS, PROBE_INTERVAL_MS - list_age_ms)
            with suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / MS_PER_S):
                    await self._probe_requested.wait()
            self._probe_requested.clear()
            store_revision = await self._store.probe(known_revision=self._sharing.revision)
            if store_revision <= self._sharing.revision:
                self._updates.release_unrouted_packets()
                continue
            await asyncio.sleep(WATCH_LAG_LIMIT_MS / MS_PER_S)
            # A follower's list may have reached that revision through the feed.
            if store_revision > self._sharing.revision:
                self._event_log.warning(
                    "watch abandoned",
                    known_revision=format_revision(self._sharing.revision),
                    store_revision=format_revision(store_revision),
                )
                return


async def _wait_for_first(*tasks: asyncio.Task[Any]) -> set[asyncio.Task[Any]]:
    """Wait until one of the tasks is done and cancel the others; return the tasks that are done."""
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return done
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
