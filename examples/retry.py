"""A server refuses every call for a while; retries stay within the budget."""

from __future__ import annotations

import random

from redwingswitch.coordination.retry import RetryBudget, backoff_ms

CALLS = 1_000
OUTAGE = range(200, 600)
RATIO = 0.1
BURST = 10
MAX_ATTEMPTS = 3


def main() -> None:
    """Make 1,000 calls, 400 of them during an outage."""
    budget = RetryBudget(ratio=RATIO, burst=BURST)
    source = random.Random(5)
    retries = 0
    longest_ms = 0
    for call in range(CALLS):
        budget.note_first_attempt()
        attempt = 1
        while call in OUTAGE and attempt < MAX_ATTEMPTS and budget.take():
            longest_ms = max(longest_ms, backoff_ms(attempt, source))
            attempt += 1
            retries += 1
    print(f"without a budget: {len(OUTAGE) * (MAX_ATTEMPTS - 1)} retries")
    print(f"longest delay before a retry: {longest_ms} ms")
    print(f"with the budget: {retries} retries, bound {BURST + RATIO * CALLS:.0f}")


if __name__ == "__main__":
    main()
