"""The platform's lagging list of hosts, used as a hint only."""

from __future__ import annotations

from redwingswitch._internal.models.events import HostListChanged

HINT_MS = 30_000


class PlatformHints:
    """The last list that was read; it is forgotten after ``HINT_MS``."""

    def __init__(self) -> None:
        self._running: frozenset[str] = frozenset()
        self._deadline_ms: int | None = None

    def take(self, event: HostListChanged, now_ms: int) -> None:
        """Keep the hosts that the platform lists as running and not leaving."""
        self._running = frozenset(row.host for row in event.hosts if not row.leaving)
        self._deadline_ms = now_ms + HINT_MS

    def lists(self, host: str, now_ms: int) -> bool:
        """Tell whether a fresh list has the host as running."""
        return self._is_fresh(now_ms) and host in self._running

    def omits(self, host: str, now_ms: int) -> bool:
        """Tell whether a fresh list has the host as leaving or not at all."""
        return self._is_fresh(now_ms) and host not in self._running

    def _is_fresh(self, now_ms: int) -> bool:
        return self._deadline_ms is not None and now_ms < self._deadline_ms
