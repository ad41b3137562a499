"""Counts the packets of the busiest sliding second."""

from collections.abc import Iterable

SECOND_MS = 1_000


def most_in_a_second(arrivals_ms: Iterable[float]) -> int:
    """Return the largest number of arrivals within a second, both ends included."""
    ordered = sorted(arrivals_ms)
    first = most = 0
    for index, at_ms in enumerate(ordered):
        while at_ms - ordered[first] > SECOND_MS:
            first += 1
        most = max(most, index - first + 1)
    return most
