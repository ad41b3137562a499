"""Age of a host's copy of the server list: the time since it was known to be up to date."""

from __future__ import annotations

# A longer gap between two timer calls means that the host was paused.
PAUSE_THRESHOLD_MS = 1_000


class ListAge:
    """The time since the store last answered, on a clock that advances while the host is paused.

    A host that resumes may handle the response to a call from before the pause, which does not show
    that the list is up to date now. ``on_tick`` must be called several times a second to detect
    pauses.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._answered_ms = now_ms
        self._tick_ms = now_ms
        self._resumed_ms: int | None = None

    @property
    def resumed_ms(self) -> int | None:
        """Return when this host last resumed after a pause, or None if it was never paused."""
        return self._resumed_ms

    def on_tick(self, now_ms: int) -> None:
        """Record that the host is running; detect a pause since the last call."""
        if now_ms - self._tick_ms > PAUSE_THRESHOLD_MS:
            self._resumed_ms = now_ms
            self._answered_ms = min(self._answered_ms, self._tick_ms)
        self._tick_ms = now_ms

    def on_response(self, began_ms: int, now_ms: int) -> None:
        """Record the response to a call; ignore it when the call began before or during a pause."""
        if self._resumed_ms is None or began_ms >= self._resumed_ms:
            self._answered_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return the age in milliseconds."""
        return now_ms - self._answered_ms
