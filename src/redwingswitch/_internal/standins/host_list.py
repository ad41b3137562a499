"""Stand-in for the platform's list of hosts, which lags behind."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from redwingswitch._internal.models.events import ListedHost
from redwingswitch._internal.ports import Clock

MAX_PENDING_CHANGES = 1_000


class LaggingHostList:
    """Implements ``ports.HostList``; a change becomes visible after ``lag_ms``."""

    def __init__(self, *, clock: Clock, lag_ms: int) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._visible_hosts: tuple[ListedHost, ...] = ()
        self._pending_changes: deque[tuple[int, tuple[ListedHost, ...]]] = deque(
            maxlen=MAX_PENDING_CHANGES
        )

    def publish(self, hosts: Sequence[ListedHost]) -> None:
        """Replace the list; the change becomes visible after the lag."""
        self._pending_changes.append((self._clock.now_ms() + self._lag_ms, tuple(hosts)))

    async def read(self) -> Sequence[ListedHost]:
        """Return the list as it was ``lag_ms`` ago."""
        now_ms = self._clock.now_ms()
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            self._visible_hosts = self._pending_changes.popleft()[1]
        return self._visible_hosts
