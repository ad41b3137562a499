"""The part of an admitted rate that one host spends, and the bucket that spends it."""

from __future__ import annotations

import math

MS_PER_S = 1_000
# Flows that may be admitted at once after a pause in the arrivals. With one, irregular arrivals
# would leave part of the rate unused; servers queue the surplus.
BURST_FLOWS = 2.0
# The sum of many refills may fall short of 1 by a rounding error, which would cost a whole refresh.
ONE_TOKEN = 1 - 1e-9
# Bounds of the factor by which the room is corrected.
MIN_ROOM_FACTOR = 0.5
MAX_ROOM_FACTOR = 3.0
# Change of the factor at each refresh of the plan; it doubles in about 1.5 s.
ROOM_FACTOR_STEP = 0.05


def next_room_factor(factor: float, *, stretch: float | None, target: float) -> float:
    """Return the factor by which the room of the plan is multiplied from now on.

    ``stretch`` is the recent ratio of service times to work. While it is below its target, servers
    have room for more than was planned, and above it they have less.
    """
    if stretch is None:
        return factor
    step = 1 + ROOM_FACTOR_STEP
    changed = factor * step if stretch < target else factor / step
    return min(MAX_ROOM_FACTOR, max(MIN_ROOM_FACTOR, changed))


class RateBucket:
    """Token bucket for the admitted flows of one route at this host."""

    def __init__(self, *, now_ms: int) -> None:
        self.rate_per_s = 0.0
        self._tokens = 1.0
        self._updated_at_ms = now_ms

    def set_rate(self, rate_per_s: float, now_ms: int) -> None:
        """Change the rate from ``now_ms`` on."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s

    def take(self, now_ms: int) -> bool:
        """Take a token if there is one."""
        self._refill(now_ms)
        if self._tokens < ONE_TOKEN:
            return False
        self._tokens -= 1
        return True

    def charge(self, now_ms: int) -> None:
        """Take a token for a flow that is admitted in any case."""
        self._refill(now_ms)
        self._tokens = max(-BURST_FLOWS, self._tokens - 1)

    def wait_ms(self, position: int, now_ms: int) -> float:
        """Return the wait until the token number ``position``, counted from 1."""
        self._refill(now_ms)
        missing = position - self._tokens
        if missing <= 0:
            return 0.0
        return missing * MS_PER_S / self.rate_per_s if self.rate_per_s > 0 else math.inf

    def token_ms(self) -> int | None:
        """Return when the next token is there, or None without a rate."""
        if self._tokens >= ONE_TOKEN:
            return self._updated_at_ms
        if self.rate_per_s <= 0:
            return None
        missing_ms = (1 - self._tokens) * MS_PER_S / self.rate_per_s
        return self._updated_at_ms + math.ceil(missing_ms)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_at_ms)
        self._tokens = min(BURST_FLOWS, self._tokens + elapsed_ms * self.rate_per_s / MS_PER_S)
        self._updated_at_ms = now_ms
