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

    An answer shows what the store had when the call began, whenever it arrives: it may have been
    held up on the network, in the socket of a paused host, or by a busy event loop. ``on_tick``
    must be called several times a second to detect pauses.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._start_ms = now_ms
        self._confirmed_ms: int | None = None
        self._tick_ms = now_ms
        self._resumed_ms: int | None = None
        self._unmet_probe: _Probe | None = None
        self._late_packets_deadline_ms = now_ms

    @property
    def confirmed_ms(self) -> int | None:
        """Return when the latest call began whose answer showed that the list had all changes.

        None before the first such answer.
        """
        return self._confirmed_ms

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
        self._tick_ms = now_ms

    def on_list_read(self, began_ms: int, *, revision: int) -> None:
        """Record a read, begun at ``began_ms``, that brought the list to a revision.

        If the list then has what a probe found, it is as the store had it when the probe began.
        """
        self._confirm(began_ms)
        if self._unmet_probe is not None and revision >= self._unmet_probe.store_revision:
            self._confirm(self._unmet_probe.began_ms)
            self._unmet_probe = None

    def on_probe(self, began_ms: int, *, store_revision: int, known_revision: int) -> None:
        """Record the store's revision, asked for at ``began_ms``.

        The list is ``known_revision``; if the store has a later one, the list is confirmed only
        when it has reached that.
        """
        if store_revision <= known_revision:
            self._unmet_probe = None
            self._confirm(began_ms)
        else:
            self._unmet_probe = _Probe(began_ms, store_revision)

    def age_ms(self, now_ms: int) -> int:
        """Return the age in milliseconds; before the first answer, the time since the start."""
        return now_ms - (self._start_ms if self._confirmed_ms is None else self._confirmed_ms)

    def _confirm(self, began_ms: int) -> None:
        known_ms = self._confirmed_ms
        self._confirmed_ms = began_ms if known_ms is None else max(known_ms, began_ms)
