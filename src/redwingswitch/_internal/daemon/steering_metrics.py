"""Metrics of the steering daemon, in the Prometheus text format.

The packet path uses plain counters. The metrics library, aioprometheus, is imported at the first
scrape, so that it does not delay the start of the host.
"""

from __future__ import annotations

import resource
from collections import Counter as Counts
from collections import deque
from collections.abc import Iterable, Mapping

from redwingswitch._internal.utils.metric_labels import build_labels

PREFIX = "redwingswitch_steering_"
# The latency goals of the users' routes are between 150 and 1,400 ms.
LATENCY_BUCKETS_MS = (10.0, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 500.0, 1e3, 2e3, 5e3)
# Enough for the latencies of a host's flows in the 2 minutes between two scrapes.
MAX_PENDING_LATENCIES = 10_000
COUNTERS = {
    "packets_total": ("Callers' packets by verdict and service.", ("verdict", "service")),
    "answers_total": (
        "Requests answered, by whether their route's latency goal was met.",
        ("service", "result"),
    ),
    "offers_total": ("Flows offered, by failure domain of the server.", ("failure_domain",)),
    "suspicions_total": ("Servers that became suspected or condemned.", ("server", "level")),
    "admission_total": (
        "Flows that waited or were rejected in a shortage, by the reason and the route's priority.",
        ("service", "reason", "priority"),
    ),
    "store_calls_total": ("Calls to the store.", ("operation", "result")),
    "list_updates_total": ("Updates of the reader of the list, by what they brought.", ("result",)),
    "load_messages_total": (
        "Messages about the load of servers, by whether they were used.",
        ("kind", "result"),
    ),
    "avoided_servers_total": (
        "Servers that hosts together found silent or slow.",
        ("server", "fault"),
    ),
    "slow_start_openings_total": ("Opening packets to servers in slow start.", ("service",)),
    "malformed_packets_total": ("Datagrams that are no packet.", ()),
    "send_failures_total": ("Datagrams that the network refused.", ()),
    "latencies_left_out_total": ("Latencies beyond the bound between two scrapes.", ()),
    "log_lines_lost_total": ("Log lines that their reader did not take.", ()),
}
GAUGES = {
    "host_info": ("1; the labels name this run.", ("host", "failure_domain", "incarnation")),
    "ready": ("1 when routers may send packets.", ()),
    "settings_refused": ("1 when the settings file has findings; the next start fails.", ()),
    "routes_version": ("Version of the routes in force.", ()),
    "list_age_ms": ("Milliseconds since the list was last known to be up to date.", ()),
    "store_era": ("Times that the store was restored, in the state that the list follows.", ()),
    "store_revision": ("Revision of the store in that era, up to which the list is known.", ()),
    "store_era_age_ms": ("Milliseconds since the list follows the present era.", ()),
    "serves_list": ("1 when this host reads the list for its failure domain.", ()),
    "follows_reader": ("1 when another host reads the list for this one.", ()),
    "out_of_service": ("1 when a failure domain is out of service.", ("failure_domain",)),
    "listed_servers": ("Backend servers in the list.", ()),
    "neighbours": ("Other hosts of the failure domain that this host has heard of.", ()),
    "load_hosts": ("Hosts whose observed load this host knows.", ()),
    "load_domains": ("Failure domains of these hosts.", ()),
    "avoided_servers": ("Servers that get new flows only as probes or when others are busy.", ()),
    "followed_flows": ("Flows that this host has seen lately.", ()),
    "held_packets": ("Packets that wait for routes or servers.", ()),
    "waiting_flows": ("New flows that wait for room at servers.", ()),
    "service_demand_slots": ("Slots that the demand of a service keeps busy.", ("service",)),
    "service_room_slots": ("Slots of a service's usable servers.", ("service",)),
    "held_openings": ("Opening packets that wait for servers in slow start.", ()),
    "slow_start_entitlement": ("1 when this host knows its rank for servers in slow start.", ()),
    "timer_lag_ms": ("Lateness of the latest timer.", ()),
    "peak_memory_bytes": ("Largest resident memory.", ()),
}
HISTOGRAMS = {
    "opening_latency_ms": "Time from an opening packet to the caller's next packet.",
    "answer_latency_ms": "Time from a request's first packet to the first acknowledged answer.",
}
BYTES_PER_KIB = 1_024


class SteeringMetrics:
    """The counters and latencies of one daemon."""

    def __init__(self) -> None:
        self.counts: dict[str, Counts[tuple[str, ...]]] = {name: Counts() for name in COUNTERS}
        self._labelled_gauges: dict[str, dict[tuple[str, ...], float]] = {}
        self._latencies: deque[tuple[str, str, int]] = deque(maxlen=MAX_PENDING_LATENCIES)
        self._renderer: _PrometheusRenderer | None = None

    def count(self, name: str, *labels: str) -> None:
        """Increment a counter; the label values are in the order of its definition."""
        self.counts[name][labels] += 1

    def observe_latency(self, name: str, service: str, latency_ms: int) -> None:
        """Store a latency until the next scrape; beyond the limit, drop and count the oldest."""
        if len(self._latencies) == MAX_PENDING_LATENCIES:
            self.count("latencies_left_out_total")
        self._latencies.append((name, service, latency_ms))

    def set_gauges(self, name: str, values: Mapping[tuple[str, ...], float]) -> None:
        """Set a gauge for each combination of label values; others that were set before are 0."""
        former = dict.fromkeys(self._labelled_gauges.get(name, ()), 0.0)
        self._labelled_gauges[name] = {**former, **values}

    def render(self, gauges: Mapping[str, tuple[tuple[str, ...], float]]) -> tuple[bytes, str]:
        """Return the exposition text and its content type.

        ``gauges`` maps the name of each gauge to its label values and its value.
        """
        if self._renderer is None:
            self._renderer = _PrometheusRenderer()
        peak_memory_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        all_gauges = {**gauges, "peak_memory_bytes": ((), float(peak_memory_kib * BYTES_PER_KIB))}
        latencies = list(self._latencies)
        self._latencies.clear()
        single = [(name, labels, value) for name, (labels, value) in all_gauges.items()]
        labelled = [
            (name, labels, value)
            for name, values in self._labelled_gauges.items()
            for labels, value in values.items()
        ]
        return self._renderer.render(self.counts, [*single, *labelled], latencies)


class _PrometheusRenderer:
    """Renders the metrics with aioprometheus.

    A class of its own, so that aioprometheus is imported only when the first scrape creates it.
    """

    def __init__(self) -> None:
        from aioprometheus.collectors import (  # noqa: PLC0415
            Counter,
            Gauge,
            Histogram,
            Registry,
        )

        self._registry = Registry()
        self._counters = {
            name: Counter(PREFIX + name, text, registry=self._registry)
            for name, (text, _) in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(PREFIX + name, text, registry=self._registry)
            for name, (text, _) in GAUGES.items()
        }
        buckets = (*LATENCY_BUCKETS_MS, float("inf"))
        self._histograms = {
            name: Histogram(PREFIX + name, text, registry=self._registry, buckets=buckets)
            for name, text in HISTOGRAMS.items()
        }

    def render(
        self,
        counts: Mapping[str, Counts[tuple[str, ...]]],
        gauges: Iterable[tuple[str, tuple[str, ...], float]],
        latencies: list[tuple[str, str, int]],
    ) -> tuple[bytes, str]:
        from aioprometheus.renderer import render  # noqa: PLC0415

        for name, values in counts.items():
            for labels, value in values.items():
                self._counters[name].set(build_labels(COUNTERS[name][1], labels), value)
        for name, labels, gauge_value in gauges:
            self._gauges[name].set(build_labels(GAUGES[name][1], labels), gauge_value)
        for name, service, latency_ms in latencies:
            self._histograms[name].observe(build_labels(("service",), (service,)), latency_ms)
        content, headers = render(self._registry, ["text/plain"])
        return content, headers["Content-Type"]
