"""Clocks of the local host."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


class MonotonicClock:
    """A ``Clock`` that reads the host's monotonic clock."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary point; never goes back."""
        return time.monotonic_ns() // NS_PER_MS


class BootClock:
    """A ``Clock`` that also counts while the host is suspended; it measures the age of data."""

    def now_ms(self) -> int:
        """Return milliseconds since the host booted; never goes back."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_clock_ms() -> int:
    """Return wall-clock milliseconds.

    The wall clock may be set back, so use it only where an occasional decrease does no harm.
    """
    return time.time_ns() // NS_PER_MS
