"""Datagrams that arrive before a configuration is in force."""

from __future__ import annotations

from collections import deque

# A caller's own copies and later tries take over after this time.
HOLD_MS = 1_000
# 1.2 MB at most.
MAX_HELD = 1_024


class HeldDatagrams:
    """Keeps datagrams for the short time in which a starting host cannot decide on them."""

    def __init__(self) -> None:
        self._held: deque[tuple[int, bytes]] = deque(maxlen=MAX_HELD)

    def __len__(self) -> int:
        return len(self._held)

    def add(self, datagram: bytes, now_ms: int) -> None:
        """Keep a datagram; beyond the bound the oldest one goes."""
        self._held.append((now_ms + HOLD_MS, datagram))

    def take(self, now_ms: int) -> list[bytes]:
        """Return what is not too old, in the order of arrival, and keep nothing."""
        held = [datagram for deadline_ms, datagram in self._held if now_ms < deadline_ms]
        self._held.clear()
        return held
