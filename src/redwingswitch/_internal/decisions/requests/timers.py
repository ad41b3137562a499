"""A table of deadlines."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import NamedTuple


class TimerKind(IntEnum):
    """What becomes due for a request."""

    DEADLINE = 0
    LAST_START = 1
    RETRY = 2
    HEDGE = 3


class Timer(NamedTuple):
    """A deadline of one request."""

    due_ms: int
    kind: TimerKind
    request_id: bytes


class Timers:
    """Deadlines of requests, nearest first; a timer of a finished request fires in vain."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []

    def add(self, due_ms: int, kind: TimerKind, request_id: bytes) -> None:
        """Add a deadline."""
        heapq.heappush(self._heap, Timer(due_ms, kind, request_id))

    def due(self, now_ms: int) -> list[Timer]:
        """Remove and return the timers that are due."""
        fired = []
        while self._heap and self._heap[0].due_ms <= now_ms:
            fired.append(heapq.heappop(self._heap))
        return fired

    def next_ms(self) -> int | None:
        """Return the nearest deadline."""
        return self._heap[0].due_ms if self._heap else None
