"""Addresses of other hosts of the failure domain, learned from their messages."""

from __future__ import annotations

from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.ports import RandomSource

# Longer than a restart with all its retries. A host that was replaced has another address.
NEIGHBOUR_RETENTION_MS = 300_000
# A failure domain has 94 hosts at the growth target.
MAX_NEIGHBOURS = 256


class Neighbours:
    """Remembers neighbours, so that one that restarts can be found without the store.

    A restarted host knows no other one. The hosts that knew it before tell it that they have the
    list. Each of them picks one neighbour at a time at random, as in the SWIM protocol (Das, Gupta,
    Motivala, 2002), so that the messages a host gets do not grow with the failure domain.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._expires_at_ms: dict[Neighbour, int] = {}

    def __len__(self) -> int:
        return len(self._expires_at_ms)

    def on_heard(self, neighbour: Neighbour, now_ms: int) -> None:
        """Remember a neighbour that sent a message or was named in one."""
        self._expires_at_ms.pop(neighbour, None)
        if len(self._expires_at_ms) >= MAX_NEIGHBOURS:
            del self._expires_at_ms[next(iter(self._expires_at_ms))]
        self._expires_at_ms[neighbour] = now_ms + NEIGHBOUR_RETENTION_MS

    def choose(self, now_ms: int, *, other_than: Neighbour | None = None) -> Neighbour | None:
        """Return a random neighbour, or None without one."""
        self._remove_expired(now_ms)
        candidates = [each for each in self._expires_at_ms if each != other_than]
        if not candidates:
            return None
        return candidates[int(self._random.random() * len(candidates))]

    def _remove_expired(self, now_ms: int) -> None:
        # In the order of expiry, because each message moves its sender to the end.
        while self._expires_at_ms:
            oldest, expires_at_ms = next(iter(self._expires_at_ms.items()))
            if now_ms < expires_at_ms:
                return
            del self._expires_at_ms[oldest]
