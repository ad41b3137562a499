"""How long ago this host's list was known to be up to date, and whether a pause outdated it."""

from __future__ import annotations

from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.ports import Clock

# After a pause a host waits this long for its reader or the store to confirm the list. Without a
# limit, a host that is cut off from both would serve nobody.
PAUSE_CONFIRMATION_LIMIT_MS = 300


class ListConfirmation:
    """Combines the answers of the store and of the reader, by this host's role."""

    def __init__(self, *, store: MeteredStore, sharing: ListSharing, age_clock: Clock) -> None:
        self._store = store
        self._sharing = sharing
        self._age_clock = age_clock

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        role = self._sharing.role(self._age_clock.now_ms())
        if role is ListSharingRole.SERVING:
            return self._store.list_age_ms()
        feed_age_ms = self._sharing.list_age_ms(self._age_clock.now_ms())
        if role is ListSharingRole.FOLLOWING:
            return feed_age_ms
        # A host that has just lost its reader last knew the list from the feed.
        return min(feed_age_ms, self._store.list_age_ms())

    def is_outdated_by_pause(self) -> bool:
        """Return whether this host was paused and the list has not been confirmed since.

        Ends after ``PAUSE_CONFIRMATION_LIMIT_MS``. Detects a pause by itself, so it may be called
        before the timers of a resumed host have run.
        """
        now_ms = self._age_clock.now_ms()
        self._store.on_tick()
        resumed_ms = self._store.resumed_ms
        if resumed_ms is None or now_ms - resumed_ms > PAUSE_CONFIRMATION_LIMIT_MS:
            return False
        if self._sharing.role(self._age_clock.now_ms()) is not ListSharingRole.FOLLOWING:
            return self._store.list_age_ms() > now_ms - resumed_ms
        has_answer = self._sharing.reader_silence_ms(now_ms) <= now_ms - resumed_ms
        return not has_answer or self._sharing.needs_routes
