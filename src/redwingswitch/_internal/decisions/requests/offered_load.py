"""Offered load of a dispatcher and the expected wait that results from it."""

from __future__ import annotations

import math

AVERAGING_TIME_MS = 2_000
MAX_STABLE_LOAD_RATIO = 0.97
OVERLOAD_WAIT_SLOPE_MS = 5_000


class OfferedLoad:
    """Exponentially weighted average of the work that arrives, including refused requests.

    The average follows a change of the arrival rate at once and does not accumulate like a queue.
    Traffic shares that depend on it converge, whereas shares that depend on the current queue
    oscillate.
    """

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._updated_at_ms = 0

    def note_arrival(self, service_ms: float, now_ms: int) -> None:
        """Count a request that needs a slot for ``service_ms``."""
        self._decay(now_ms)
        self._work_ms += service_ms

    def busy_slots(self, now_ms: int) -> float:
        """Return the average number of slots that the offered load would keep busy."""
        self._decay(now_ms)
        return self._work_ms / AVERAGING_TIME_MS

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_at_ms)
        self._work_ms *= math.exp(-elapsed_ms / AVERAGING_TIME_MS)
        self._updated_at_ms = now_ms


def expected_wait_ms(busy_slots: float, slots: int, service_ms: float) -> float:
    """Return the mean wait in a queue with several slots (approximation of Sakasegawa, 1977).

    Above ``MAX_STABLE_LOAD_RATIO`` the wait increases linearly with the excess load.
    """
    load = busy_slots / max(1, slots)
    stable = min(load, MAX_STABLE_LOAD_RATIO)
    exponent: float = math.sqrt(2 * (max(1, slots) + 1)) - 1
    wait_ms: float = service_ms * stable**exponent / (max(1, slots) * (1 - stable))
    return wait_ms + (load - stable) * OVERLOAD_WAIT_SLOPE_MS
