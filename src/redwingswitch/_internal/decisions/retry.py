"""Retry budget and backoff."""

from __future__ import annotations

from redwingswitch._internal.ports import RandomSource

BACKOFF_BASE_MS = 20
BACKOFF_LIMIT_MS = 1_000


class RetryBudget:
    """A token bucket that limits retries and hedged requests to a share of first attempts.

    After n first attempts, at most ``burst + ratio * n`` retries have been granted.
    """

    def __init__(self, *, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    def note_first_attempt(self) -> None:
        """Add ``ratio`` tokens for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take the token for a retry; return False if the budget is used up."""
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
    """Return a random delay in the upper half of the exponential backoff for an attempt (from 1).

    The random part spreads callers that failed at the same time.
    """
    doublings = min(max(attempt, 1) - 1, 16)
    ceiling_ms = min(limit_ms, base_ms << doublings)
    return ceiling_ms // 2 + 1 + int(random_source.random() * (ceiling_ms // 2))
