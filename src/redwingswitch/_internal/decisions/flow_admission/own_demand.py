"""The demand that this host observes by itself."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container, Iterable
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import RouteAddress
from redwingswitch._internal.models.load_sharing import HALF_LIFE_MS

MS_PER_S = 1_000
# The sums follow a burst after seconds, in which servers would refuse most of it.
BURST_HALF_LIFE_MS = 500
# A burst shows when the count of the shorter half-life exceeds the expected one by this many
# standard deviations of a Poisson process.
BURST_DEVIATIONS = 3.0
# Over a shorter time, one flow would look like a high rate.
MIN_OBSERVED_MS = 500
WORK_QUANTILE = 0.5
SAMPLES_PER_WINDOW = 64
# Service times in a shortage include a wait at the server. The lowest quantile of this many windows
# counts, so that a shortage of a few windows does not raise the work. BBR (Cardwell et al., ACM
# Queue 2016) filters round trips alike.
WINDOWS = 8
MIN_SAMPLES = 10
# Factor by which the work may rise with each summary. At two a second it doubles in 7 s.
MAX_WORK_RISE = 1.05

# Weight of one answer in the mean service time, which follows the servers' queues within a second.
STRETCH_WEIGHT = 0.1


class _DecayedCount(NamedTuple):
    """Flows counted with the half-life of the counts that hosts tell each other, and a shorter one.

    With the former, a host's part of a sum is measured like the sum.
    """

    flows: float
    burst_flows: float
    updated_at_ms: int

    def at(self, now_ms: int) -> _DecayedCount:
        elapsed_ms = max(0, now_ms - self.updated_at_ms)
        return _DecayedCount(
            self.flows * float(2.0 ** (-elapsed_ms / HALF_LIFE_MS)),
            self.burst_flows * float(2.0 ** (-elapsed_ms / BURST_HALF_LIFE_MS)),
            now_ms,
        )


class _WorkSamples:
    """Service times of one route: the window being filled and the quantiles of earlier ones."""

    def __init__(self) -> None:
        self._window: list[float] = []
        self._quantiles: deque[float] = deque(maxlen=WINDOWS)

    def add(self, service_time_ms: float) -> None:
        self._window.append(service_time_ms)
        if len(self._window) == SAMPLES_PER_WINDOW:
            self._quantiles.append(_low_quantile(self._window))
            self._window.clear()

    def work_ms(self) -> float | None:
        if self._quantiles:
            return min(self._quantiles)
        return _low_quantile(self._window) if len(self._window) >= MIN_SAMPLES else None


class OwnDemand:
    """New flows a second and usual work of the routes, from this host's packets.

    The tables have entries only for the routes in force and their services.
    """

    def __init__(self) -> None:
        self._first_arrival_ms: int | None = None
        self._arrivals: dict[tuple[str, RouteAddress], _DecayedCount] = {}
        self._work: dict[RouteAddress, _WorkSamples] = {}
        # The work of a route when the servers last had no queues.
        self._unqueued_work_ms: dict[RouteAddress, float] = {}
        self._stretch: dict[str, float] = {}

    def note_arrival(self, service: str, destination: RouteAddress, now_ms: int) -> None:
        """Count the first opening packet of a flow."""
        if self._first_arrival_ms is None:
            self._first_arrival_ms = now_ms
        key = (service, destination)
        count = self._arrivals.get(key)
        flows, burst_flows, _ = (0.0, 0.0, 0) if count is None else count.at(now_ms)
        self._arrivals[key] = _DecayedCount(1.0 + flows, 1.0 + burst_flows, now_ms)

    def note_service_time(
        self, destination: RouteAddress, service_time_ms: float, *, service: str = ""
    ) -> None:
        """Record an answer latency less the opening latency of the same flow."""
        samples = self._work.setdefault(destination, _WorkSamples())
        samples.add(max(1.0, service_time_ms))
        work_ms = samples.work_ms()
        if work_ms:
            # In a lasting shortage, all windows are filled with answers that have waited.
            work_ms = min(work_ms, self._unqueued_work_ms.get(destination, work_ms))
            ratio = service_time_ms / work_ms
            mean = self._stretch.get(service, ratio)
            self._stretch[service] = mean + STRETCH_WEIGHT * (ratio - mean)

    def on_no_queues(self, destinations: Iterable[RouteAddress]) -> None:
        """Keep the present work of routes whose servers have no queues, for the stretch.

        The latest answers after a shortage have still waited, so the work may rise only slowly.
        """
        for destination in destinations:
            work_ms = self.work_ms(destination)
            if work_ms is not None:
                limit_ms = MAX_WORK_RISE * self._unqueued_work_ms.get(destination, work_ms)
                self._unqueued_work_ms[destination] = min(work_ms, limit_ms)

    def stretch(self, service: str) -> float | None:
        """Return the recent service times relative to the work, which rise with servers' queues."""
        return self._stretch.get(service)

    def requests_per_s(self, service: str, destination: RouteAddress, now_ms: int) -> float:
        """Return the rate of new flows of a route to a service.

        A host that has just started has seen a part of the flows that a decayed count holds.
        """
        count = self._arrivals.get((service, destination))
        if count is None or self._first_arrival_ms is None:
            return 0.0
        observed_ms = max(MIN_OBSERVED_MS, now_ms - self._first_arrival_ms)
        held_ratio = 1 - float(2.0 ** (-observed_ms / HALF_LIFE_MS))
        flows, burst_flows, _ = count.at(now_ms)
        rate_per_s = _rate_per_s(flows, HALF_LIFE_MS) / held_ratio
        burst_rate_per_s = _rate_per_s(burst_flows, BURST_HALF_LIFE_MS)
        expected_flows = burst_flows * rate_per_s / burst_rate_per_s if burst_rate_per_s else 0.0
        is_burst = burst_flows > expected_flows + BURST_DEVIATIONS * math.sqrt(expected_flows)
        return burst_rate_per_s if is_burst else rate_per_s

    def work_ms(self, destination: RouteAddress) -> float | None:
        """Return the usual work of a route, or None before enough answers."""
        samples = self._work.get(destination)
        return samples.work_ms() if samples else None

    def retain(self, destinations: frozenset[RouteAddress], services: Container[str]) -> None:
        """Forget the routes and services that are no longer in force."""
        self._arrivals = {
            (service, destination): count
            for (service, destination), count in self._arrivals.items()
            if service in services and destination in destinations
        }
        self._work = {key: work for key, work in self._work.items() if key in destinations}
        self._unqueued_work_ms = {
            key: work_ms for key, work_ms in self._unqueued_work_ms.items() if key in destinations
        }
        self._stretch = {name: mean for name, mean in self._stretch.items() if name in services}


def _rate_per_s(flows: float, half_life_ms: int) -> float:
    """Return the steady rate that leads to a decayed count."""
    return flows * math.log(2) * MS_PER_S / half_life_ms


def _low_quantile(samples: list[float]) -> float:
    return sorted(samples)[int(len(samples) * WORK_QUANTILE)]
