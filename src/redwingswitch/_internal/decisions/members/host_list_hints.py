"""The list of hosts that the platform on which the entry hosts run provides.

The list lags behind, so it only makes probes of dead hosts earlier and suspicions shorter.
"""

from __future__ import annotations

from redwingswitch._internal.models.events import HostListChanged

HINT_VALIDITY_MS = 30_000


class HostListHints:
    """The last list that was read, ignored after ``HINT_VALIDITY_MS``."""

    def __init__(self) -> None:
        self._running: frozenset[str] = frozenset()
        self._deadline_ms: int | None = None

    def update(self, event: HostListChanged, now_ms: int) -> None:
        """Store the hosts that the platform lists and that are not leaving."""
        self._running = frozenset(listed.host for listed in event.hosts if not listed.leaving)
        self._deadline_ms = now_ms + HINT_VALIDITY_MS

    def reports_running(self, host: str, now_ms: int) -> bool:
        """Return whether an unexpired list contains the host as running."""
        return self._is_fresh(now_ms) and host in self._running

    def reports_not_running(self, host: str, now_ms: int) -> bool:
        """Return whether an unexpired list omits the host or contains it as leaving."""
        return self._is_fresh(now_ms) and host not in self._running

    def _is_fresh(self, now_ms: int) -> bool:
        return self._deadline_ms is not None and now_ms < self._deadline_ms
