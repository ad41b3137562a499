"""How long ago a host's copy of the list was known to be up to date."""

from __future__ import annotations

# Timers are late by less on a host that runs.
PAUSE_THRESHOLD_MS = 1_000


class ListAge:
    """The time since the store last answered, on a clock that goes on while the host stands still.

    A host that wakes may still hold a response from before, which says nothing about the time
    since. ``on_tick`` is called several times a second to notice that.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._answered_ms = now_ms
        self._tick_ms = now_ms
        self._resumed_ms = now_ms

    def on_tick(self, now_ms: int) -> None:
        """Note that the host runs."""
        if now_ms - self._tick_ms > PAUSE_THRESHOLD_MS:
            self._resumed_ms = now_ms
            self._answered_ms = min(self._answered_ms, self._tick_ms)
        self._tick_ms = now_ms

    def on_response(self, began_ms: int, now_ms: int) -> None:
        """Note the response to a call that began at ``began_ms``."""
        if began_ms >= self._resumed_ms:
            self._answered_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return the age in milliseconds."""
        return now_ms - self._answered_ms
