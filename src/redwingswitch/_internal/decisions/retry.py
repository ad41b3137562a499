"""Retry budget and backoff."""

from __future__ import annotations

from redwingswitch._internal.ports import RandomSource

BACKOFF_BASE_MS = 20
BACKOFF_LIMIT_MS = 1_000


class RetryBudget:
    """A token bucket that bounds retries and hedges to a share of first attempts.

    After n first attempts, at most ``burst + ratio * n`` retries have been granted.
    """

    def __init__(self, *, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    def note_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(
    attempt: int,
    random_source: RandomSource,
    *,
    base_ms: int = BACKOFF_BASE_MS,
    limit_ms: int = BACKOFF_LIMIT_MS,
) -> int:
    """Return a delay for the given attempt (from 1): doubling, bounded, in its upper half.

    The random half spreads callers that failed together.
    """
    doublings = min(max(attempt, 1) - 1, 16)
    ceiling_ms = min(limit_ms, base_ms << doublings)
    return ceiling_ms // 2 + 1 + int(random_source.random() * (ceiling_ms // 2))
