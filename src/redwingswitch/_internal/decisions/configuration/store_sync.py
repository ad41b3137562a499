"""Watch of the document in the store, and restoring writes if the store has an older one.

A restoring write puts the newer document of this host back into the store.
"""

from __future__ import annotations

from redwingswitch._internal.models.actions import Action, RestoreDocument, WatchStore
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.ports import RandomSource

MIN_WATCH_RETRY_MS = 500
MAX_WATCH_RETRY_MS = 4_000
RESTORE_RETRY_INTERVAL_MS = 2_000
# A change must reach all hosts within 9 s, even if the connection of a watch is lost without an
# error.
WATCH_RENEWAL_INTERVAL_MS = 5_000
JITTER_RATIO = 0.2


class StoreSync:
    """Starts, retries and renews the watch; repeats restoring writes until the store is current."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._watching = False
        self._failures = 0
        self._next_watch_ms: int | None = None
        self._revision: int | None = None
        self._version = 0
        self._next_restore_ms: int | None = None

    def set_watching(self, watching: bool, now_ms: int) -> list[Action]:
        """Start or stop the watch; the store's revision is unknown until it is delivered again."""
        if watching == self._watching:
            return []
        self._watching = watching
        self._next_watch_ms = now_ms + WATCH_RENEWAL_INTERVAL_MS if watching else None
        self._revision = None
        self._next_restore_ms = None
        return [WatchStore(watching)]

    def on_document(self, *, revision: int, version: int, now_ms: int) -> None:
        """Record the revision (0 for no document) and key version that the store delivered."""
        self._failures = 0
        if self._watching:
            self._next_watch_ms = now_ms + WATCH_RENEWAL_INTERVAL_MS
        if version != self._version:
            self._next_restore_ms = None
        self._revision = revision
        self._version = version

    def on_unavailable(self, now_ms: int) -> None:
        """Schedule a retry after a failed call.

        The store may hold any revision when it is available again.
        """
        if not self._watching:
            return
        self._revision = None
        backoff_ms = min(MAX_WATCH_RETRY_MS, MIN_WATCH_RETRY_MS << min(self._failures, 8))
        self._failures += 1
        retry_at_ms = now_ms + int(backoff_ms * (1 - JITTER_RATIO * self._random.random()))
        # Repeated failures of other calls must not postpone the watch indefinitely.
        self._next_watch_ms = min(self._next_watch_ms or retry_at_ms, retry_at_ms)

    def restore_if_older(
        self, document: Document, fencing_version: int, now_ms: int
    ) -> list[Action]:
        """Return a write of ``document`` if the store has an older one.

        A write is repeated only after ``RESTORE_RETRY_INTERVAL_MS``.
        """
        if self._revision is None or self._revision >= document["revision"]:
            self._next_restore_ms = None
            return []
        if self._next_restore_ms is not None and now_ms < self._next_restore_ms:
            return []
        self._next_restore_ms = now_ms + RESTORE_RETRY_INTERVAL_MS
        return [RestoreDocument(document, self._version, fencing_version)]

    def next_deadline_ms(self) -> int | None:
        """Return when to restart the watch or repeat a restoring write, or None."""
        restore_retry_ms = self._next_restore_ms if self._revision is not None else None
        deadlines = (self._next_watch_ms, restore_retry_ms)
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Restart the watch after a failure or a renewal interval without a delivery."""
        if self._next_watch_ms is None or now_ms < self._next_watch_ms:
            return []
        self._next_watch_ms = now_ms + WATCH_RENEWAL_INTERVAL_MS
        return [WatchStore(True)]
