"""Timed calls on a virtual clock."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class EventQueue:
    """A queue of timed calls; calls at the same time run in the order of their scheduling."""

    def __init__(self) -> None:
        self.now_ms: float = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def schedule(self, due_ms: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call."""
        self._order += 1
        heapq.heappush(self._heap, (max(due_ms, self.now_ms), self._order, call, arguments))

    def next_due_ms(self) -> float:
        """Return when the next call is due, infinity without any."""
        return self._heap[0][0] if self._heap else math.inf

    def run_next(self) -> None:
        """Run the next call."""
        self.now_ms, _, call, arguments = heapq.heappop(self._heap)
        call(*arguments)

    def run(self, until_ms: float = math.inf) -> None:
        """Run the calls that are due by ``until_ms``."""
        while self._heap and self.next_due_ms() <= until_ms:
            self.run_next()
