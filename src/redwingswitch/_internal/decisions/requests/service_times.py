"""Observed service times by size class, starting from the declared expected time."""

from __future__ import annotations

from redwingswitch._internal.models.configuration import SizeClass
from redwingswitch._internal.models.requests import SizeHint

SMOOTHING_FACTOR = 1 / 32
DEVIATION_FACTOR = 2.0
OVERRUN_FACTOR = 8
MIN_MEAN_MS = 1.0
LONG_TO_SHORT_RATIO = 20


class ServiceTimes:
    """Smoothed mean and deviation of the service time of each size class.

    They are computed like TCP's round-trip time estimate (Jacobson, SIGCOMM 1988).
    """

    def __init__(self, *, expected_ms: int, declared: SizeClass) -> None:
        self._declared = declared
        short_ms = float(expected_ms)
        long_ms = float(expected_ms * LONG_TO_SHORT_RATIO)
        if declared is SizeClass.LONG:
            short_ms, long_ms = expected_ms / LONG_TO_SHORT_RATIO, float(expected_ms)
        self._mean_ms = {SizeClass.SHORT: short_ms, SizeClass.LONG: long_ms}
        self._deviation_ms = {SizeClass.SHORT: short_ms / 4, SizeClass.LONG: long_ms / 4}

    def classify(self, hint: SizeHint) -> SizeClass:
        """Return the size class of a request before it runs: its hint or the declared class."""
        if hint is SizeHint.SHORT:
            return SizeClass.SHORT
        if hint is SizeHint.LONG:
            return SizeClass.LONG
        return self._declared

    def long_after_ms(self) -> int:
        """Return the run time after which a short request counts as long."""
        return round(OVERRUN_FACTOR * max(MIN_MEAN_MS, self._mean_ms[SizeClass.SHORT]))

    def mean_ms(self, size: SizeClass) -> float:
        """Return the smoothed service time of a size class."""
        return max(MIN_MEAN_MS, self._mean_ms[size])

    def cautious_ms(self, size: SizeClass) -> float:
        """Return a service time that most requests of a size class do not exceed."""
        return self.mean_ms(size) + DEVIATION_FACTOR * self._deviation_ms[size]

    def observe(self, size: SizeClass, elapsed_ms: float) -> None:
        """Update the estimate with the service time of a completed request."""
        error_ms = elapsed_ms - self._mean_ms[size]
        self._mean_ms[size] += SMOOTHING_FACTOR * error_ms
        self._deviation_ms[size] += SMOOTHING_FACTOR * (abs(error_ms) - self._deviation_ms[size])
