"""Timers of requests."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import NamedTuple


class TimerKind(IntEnum):
    """The kind of a request timer.

    ``DEADLINE``: the request's deadline. ``LAST_START``: the request can no longer start in time.
    ``RETRY``: the retry delay is over. ``HEDGE``: a second, parallel attempt may start.
    """

    DEADLINE = 0
    LAST_START = 1
    RETRY = 2
    HEDGE = 3


class Timer(NamedTuple):
    """A timer of one request."""

    due_ms: int
    kind: TimerKind
    request_id: bytes


class RequestTimers:
    """The pending timers, the earliest first.

    RequestTimers are not cancelled: the caller ignores those of finished requests.
    """

    def __init__(self) -> None:
        self._heap: list[Timer] = []

    def add(self, due_ms: int, kind: TimerKind, request_id: bytes) -> None:
        """Add a timer."""
        heapq.heappush(self._heap, Timer(due_ms, kind, request_id))

    def pop_due(self, now_ms: int) -> list[Timer]:
        """Remove and return the timers that are due."""
        fired = []
        while self._heap and self._heap[0].due_ms <= now_ms:
            fired.append(heapq.heappop(self._heap))
        return fired

    def next_ms(self) -> int | None:
        """Return when the earliest timer is due."""
        return self._heap[0].due_ms if self._heap else None
