"""Convert scrapes to counts of bad and total events by service, failure domain and measure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import Service, ServiceLevelObjectives, SizeClass
from redwingswitch._internal.models.cookie_flows import Verdict
from redwingswitch._internal.models.requests import Outcome
from redwingswitch._internal.report import metric_names, steering_metric_names
from redwingswitch._internal.report.scrapes import SampleKey, Scrape

MIN_SERVERS_TO_COMPARE = 2
# Resets of open or new flows because the host had no server that could continue or accept them.
BROKEN_VERDICTS = frozenset(
    {Verdict.RESET_SERVER_GONE, Verdict.RESET_SERVER_SILENT, Verdict.RESET_NO_SERVER}
)


class Measure(StrEnum):
    """The kind of event that an objective limits."""

    BROKEN_FLOWS = "broken flows"
    FAILED_REQUESTS = "failed requests"
    SLOW_SHORT_REQUESTS = "slow short requests"
    IMBALANCE = "imbalance"
    LATE_ANSWERS = "late answers"


class SteeringObjectives(NamedTuple):
    """Allowed ratios of bad events on steering hosts, between 0 and 1."""

    broken_flows_ratio: float = 0.001
    late_answers_ratio: float = 0.01


class SteeredService(NamedTuple):
    """A service of steering hosts, known from their metrics and not from a configuration file."""

    name: str
    steering_objectives: SteeringObjectives

    @property
    def objectives(self) -> ServiceLevelObjectives:
        """Return the objectives in the form that a declared service has."""
        ratio = self.steering_objectives.broken_flows_ratio
        return ServiceLevelObjectives(broken_flows_ratio=ratio)


MeasuredService = Service | SteeredService


class Indicator(NamedTuple):
    """Bad and total events of one measure between two scrapes, the later taken at ``at_ms``."""

    service: str
    failure_domain: str
    measure: Measure
    at_ms: int
    bad: float
    total: float


class Interval(NamedTuple):
    """Two consecutive scrapes of one host; ``earlier`` is None for the first one."""

    earlier: Scrape | None
    later: Scrape

    def increase(self, key: SampleKey) -> float:
        """Return the increase of a counter.

        A restart resets the counter to zero, so the whole later value is the increase; events
        between the earlier scrape and the restart are not counted.
        """
        value = self.later.samples.get(key, 0.0)
        if self.earlier is None:
            return 0.0
        if self.earlier.incarnation != self.later.incarnation:
            return value
        return max(0.0, value - self.earlier.samples.get(key, 0.0))


def compute_indicators(
    scrapes: Sequence[Scrape], services: Sequence[MeasuredService]
) -> list[Indicator]:
    """Return the indicators of all hosts, in order of time."""
    result: list[Indicator] = []
    for interval in _intervals(scrapes):
        for service in services:
            result += _service_indicators(interval, service)
    return sorted(result, key=lambda indicator: indicator.at_ms)


def steered_services(
    scrapes: Iterable[Scrape], objectives: SteeringObjectives
) -> list[SteeredService]:
    """Return the services in the metrics of steering hosts, all with the same objectives."""
    names = {
        key.label("service")
        for scrape in scrapes
        for key in scrape.samples
        if key.name == steering_metric_names.PACKETS and key.label("service")
    }
    return [SteeredService(name, objectives) for name in sorted(names)]


def _intervals(scrapes: Iterable[Scrape]) -> Iterator[Interval]:
    last_by_host: dict[str, Scrape] = {}
    for scrape in sorted(scrapes, key=lambda item: item.scraped_at_ms):
        yield Interval(last_by_host.get(scrape.host), scrape)
        last_by_host[scrape.host] = scrape


def _service_indicators(interval: Interval, service: MeasuredService) -> list[Indicator]:
    counts = {
        Measure.BROKEN_FLOWS: _broken_flows(interval, service),
        Measure.FAILED_REQUESTS: _failed_requests(interval, service),
        Measure.SLOW_SHORT_REQUESTS: _slow_short_requests(interval, service),
        Measure.IMBALANCE: _imbalance(interval, service),
        Measure.LATE_ANSWERS: _late_answers(interval, service),
    }
    return [
        Indicator(
            service=service.name,
            failure_domain=interval.later.failure_domain,
            measure=measure,
            at_ms=interval.later.scraped_at_ms,
            bad=bad,
            total=total,
        )
        for measure, (bad, total) in counts.items()
        if total > 0
    ]


def _service_keys(interval: Interval, name: str, service: MeasuredService) -> list[SampleKey]:
    return [
        key
        for key in interval.later.samples
        if key.name == name and key.label("service") == service.name
    ]


def _sum_increase(interval: Interval, keys: Iterable[SampleKey]) -> float:
    return sum(interval.increase(key) for key in keys)


def _broken_flows(interval: Interval, service: MeasuredService) -> tuple[float, float]:
    broken = _sum_increase(interval, _service_keys(interval, metric_names.BROKEN_FLOWS, service))
    opened = _sum_increase(interval, _service_keys(interval, metric_names.FLOWS_OPENED, service))
    steered = _service_keys(interval, steering_metric_names.PACKETS, service)
    broken += _sum_increase(
        interval, [key for key in steered if key.label("verdict") in BROKEN_VERDICTS]
    )
    opened += _sum_increase(
        interval, [key for key in steered if key.label("verdict") == Verdict.OPENED]
    )
    return broken, max(opened, broken)


def _late_answers(interval: Interval, service: MeasuredService) -> tuple[float, float]:
    keys = _service_keys(interval, steering_metric_names.ANSWERS, service)
    late = [key for key in keys if key.label("result") == "late"]
    return _sum_increase(interval, late), _sum_increase(interval, keys)


def _failed_requests(interval: Interval, service: MeasuredService) -> tuple[float, float]:
    keys = _service_keys(interval, metric_names.REQUESTS, service)
    failed = [key for key in keys if key.label("outcome") != Outcome.ANSWERED]
    return _sum_increase(interval, failed), _sum_increase(interval, keys)


def _slow_short_requests(interval: Interval, service: MeasuredService) -> tuple[float, float]:
    buckets = [
        key
        for key in _service_keys(interval, metric_names.REQUEST_LATENCY_BUCKET, service)
        if key.label("size_class") == SizeClass.SHORT
    ]
    limit_ms = float(service.objectives.short_request_limit_ms)
    total = _sum_increase(
        interval, [key for key in buckets if float(key.label("le")) == float("inf")]
    )
    at_or_above_limit = [
        key for key in buckets if limit_ms <= float(key.label("le")) < float("inf")
    ]
    if not at_or_above_limit:
        return 0.0, 0.0
    # With the smallest bucket bound at or above the limit, a request slightly over the limit may
    # count as fast, but a request within the limit never counts as slow.
    nearest = min(at_or_above_limit, key=lambda key: float(key.label("le")))
    same_bound = [key for key in at_or_above_limit if key.label("le") == nearest.label("le")]
    return max(0.0, total - _sum_increase(interval, same_bound)), total


def _imbalance(interval: Interval, service: MeasuredService) -> tuple[float, float]:
    busy = [
        interval.later.samples[key]
        for key in _service_keys(interval, metric_names.BUSY_SLOTS, service)
    ]
    mean = sum(busy) / len(busy) if busy else 0.0
    # With a mean below one busy slot per server, a single request can exceed the allowed ratio.
    if len(busy) < MIN_SERVERS_TO_COMPARE or mean < 1.0:
        return 0.0, 0.0
    unbalanced = max(busy) / mean > service.objectives.imbalance_peak_over_mean
    return float(unbalanced), 1.0
