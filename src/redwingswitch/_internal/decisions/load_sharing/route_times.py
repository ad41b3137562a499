"""Usual times of the requests of a route, learnt from the answers that this host sees."""

from __future__ import annotations

SMOOTHING_FACTOR = 1 / 32
# One answer that took much longer than usual, as from a server that hangs, moves a mean by at most
# an eighth.
MAX_SAMPLE_RATIO = 5.0
# Requests wait in the queues of servers, so that the work is nearer to the shorter service times.
WORK_QUANTILE = 0.3
# The step of the quantile estimate, relative to the estimate.
QUANTILE_STEP_RATIO = 0.05
# Latencies are measured in whole milliseconds and include delays of packets on the way.
RESOLUTION_MS = 5.0
MIN_WORK_MS = 0.5


class RouteTimes:
    """Smoothed means of answer latency and service time, and a low quantile of the latter.

    The quantile is estimated as in "Frugal Streaming for Estimating Quantiles" (Ma, Muthukrishnan,
    Sandler, 2013), with steps relative to the estimate.
    """

    __slots__ = ("answer_ms", "service_ms", "work_ms")

    def __init__(self) -> None:
        self.answer_ms: float | None = None
        self.service_ms: float | None = None
        self.work_ms = 0.0

    def on_answer(self, latency_ms: int) -> None:
        """Record the latency of an answer."""
        self.answer_ms = _smooth(self.answer_ms, latency_ms)

    def on_service_time(self, service_ms: int) -> None:
        """Record a service time."""
        if self.service_ms is None:
            self.work_ms = max(MIN_WORK_MS, float(service_ms))
        elif service_ms < self.work_ms:
            self.work_ms -= self.work_ms * QUANTILE_STEP_RATIO * (1 - WORK_QUANTILE)
        else:
            self.work_ms += self.work_ms * QUANTILE_STEP_RATIO * WORK_QUANTILE
        self.service_ms = _smooth(self.service_ms, service_ms)


def relative_time(service_ms: int, usual_ms: float) -> float:
    """Return a service time relative to the usual one."""
    return (service_ms + RESOLUTION_MS) / (usual_ms + RESOLUTION_MS)


def _smooth(mean_ms: float | None, sample_ms: int) -> float:
    if mean_ms is None:
        return float(sample_ms)
    bounded_ms = min(float(sample_ms), MAX_SAMPLE_RATIO * (mean_ms + RESOLUTION_MS))
    return mean_ms + SMOOTHING_FACTOR * (bounded_ms - mean_ms)
