"""Age of a host's copy of the server list: the time since it was known to be up to date."""

from __future__ import annotations

from typing import NamedTuple

# A longer gap between two timer calls means that the host was paused.
PAUSE_THRESHOLD_MS = 1_000
# Callers send the first copy of an opening packet 200 ms after it. No packet has waited that long
# in the socket of a host that was running within this time.
LATE_PACKET_GAP_MS = 190
# Packets that waited in the socket of a host that stood still are handled within this time.
LATE_PACKET_DRAIN_MS = 100


class _Probe(NamedTuple):
    """A probe that found changes which this host has not read yet."""

    began_ms: int
    store_revision: int


class ListAge:
    """The time since the list had all changes, on a clock that advances while the host is paused.

    An answer shows that the list is up to date only if the list has the revision that the store had
    when it answered. A host that resumes may handle the response to a call from before the pause,
    which does not show that the list is up to date now. ``on_tick`` must be called several times a
    second to detect pauses.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._confirmed_ms = now_ms
        self._tick_ms = now_ms
        self._resumed_ms: int | None = None
        self._unmet_probe: _Probe | None = None
        self._proven_ms: int | None = None
        self._late_packets_deadline_ms = now_ms

    @property
    def proven_ms(self) -> int | None:
        """Return when the latest call began whose answer showed that the list had all changes.

        Unlike the age, this does not trust in an answer that was made shortly before it was
        handled. None before the first such answer.
        """
        return self._proven_ms

    @property
    def resumed_ms(self) -> int | None:
        """Return when this host last resumed after a pause, or None if it was never paused."""
        return self._resumed_ms

    def may_handle_late_packets(self, now_ms: int) -> bool:
        """Return whether packets may have waited until now for this host to run again."""
        return now_ms < self._late_packets_deadline_ms

    def on_tick(self, now_ms: int) -> None:
        """Record that the host is running; detect a pause since the last call."""
        if now_ms - self._tick_ms > LATE_PACKET_GAP_MS:
            self._late_packets_deadline_ms = now_ms + LATE_PACKET_DRAIN_MS
        if now_ms - self._tick_ms > PAUSE_THRESHOLD_MS:
            self._resumed_ms = now_ms
            self._confirmed_ms = min(self._confirmed_ms, self._tick_ms)
        self._tick_ms = now_ms

    def on_list_read(self, began_ms: int, answered_ms: int, *, revision: int) -> None:
        """Record a read, begun at ``began_ms``, that brought the list to a revision.

        The list is as the store had it at ``answered_ms``, the earliest time at which the store may
        have made its response. A read that began before or during a pause confirms the list only as
        of a probe whose revision it reaches. So does a read that lacks what a probe found before
        ``answered_ms``: its response was made earlier and was long under way.
        """
        unmet = self._unmet_probe
        if unmet and revision < unmet.store_revision and answered_ms >= unmet.began_ms:
            answered_ms = min(began_ms, unmet.began_ms)
        if self._began_since_pause(began_ms):
            self._confirm(answered_ms)
        self._prove(began_ms)
        if self._unmet_probe is not None and revision >= self._unmet_probe.store_revision:
            self._confirm(self._unmet_probe.began_ms)
            self._prove(self._unmet_probe.began_ms)
            self._unmet_probe = None

    def on_probe(self, began_ms: int, *, store_revision: int, known_revision: int) -> None:
        """Record the store's revision, asked for at ``began_ms``.

        The list is ``known_revision``; if the store has a later one, the list is confirmed only
        when it has reached that.
        """
        if not self._began_since_pause(began_ms):
            return
        if store_revision <= known_revision:
            self._unmet_probe = None
            self._confirm(began_ms)
            self._prove(began_ms)
        else:
            self._unmet_probe = _Probe(began_ms, store_revision)

    def age_ms(self, now_ms: int) -> int:
        """Return the age in milliseconds."""
        return now_ms - self._confirmed_ms

    def _began_since_pause(self, began_ms: int) -> bool:
        return self._resumed_ms is None or began_ms >= self._resumed_ms

    def _confirm(self, at_ms: int) -> None:
        self._confirmed_ms = max(self._confirmed_ms, at_ms)

    def _prove(self, began_ms: int) -> None:
        known_ms = self._proven_ms
        self._proven_ms = began_ms if known_ms is None else max(known_ms, began_ms)
