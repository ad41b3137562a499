"""Metrics of the entry daemon, exposed by aioprometheus.

The packet path uses plain counters, because an aioprometheus counter sorts and serializes its
labels on each increment; a scrape copies the counts into the library's counters.
"""

from __future__ import annotations

from collections import Counter as Counts
from collections.abc import Iterable, Mapping
from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from redwingswitch._internal.decisions.flows.steering_context import SteeringStatistics
from redwingswitch._internal.utils.metric_labels import build_labels

PREFIX = "redwingswitch_"
LATENCY_BUCKETS_MS = (
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1e3,
    2.5e3,
    5e3,
    1e4,
    float("inf"),
)
# Name, help text and label names of each counter.
_COUNTERS = {
    "flows_opened_total": ("Opening packets from the fabric.", ("service",)),
    "packets_total": ("Packets sent to backend servers.", ("service", "backend_server")),
    "drops_total": ("Packets and messages dropped.", ("reason",)),
    "requests_total": ("Requests answered.", ("service", "outcome")),
    "broken_flows_total": ("Indications of broken flows.", ("service", "indication")),
    "cut_off_requests_total": ("Requests and connections cut off by a planned stop.", ()),
    "control_bytes_total": ("Bytes sent to other entry hosts.", ("kind",)),
    "control_messages_total": ("Messages sent to other entry hosts.", ("kind",)),
    "messages_not_sent_total": ("Messages to entry hosts dropped at a full queue.", ("kind",)),
    "store_calls_total": ("Calls to the key-value service.", ("operation", "result")),
    "backend_failures_total": ("Failed attempts.", ("backend_server", "kind")),
    "faults_total": ("Events whose handling raised an error.", ("event",)),
}
_GAUGES = {
    "host_info": ("1; the labels name this run.", ("host", "failure_domain", "incarnation")),
    "revision": ("Configuration revision in force.", ()),
    "ready": ("1 when the host takes traffic.", ()),
    "members": ("Entry hosts by state.", ("state",)),
    "ejected_servers": ("Backend servers ejected for ill health.", ()),
    "records": ("Flow records held.", ("service",)),
    "displaced_buckets": ("Buckets that need records.", ("service",)),
    "busy_slots": ("Requests dispatched from this host.", ("service", "backend_server")),
    "open_connections": ("Spliced connections.", ()),
}


class Metrics:
    """The metrics of one daemon; the gauges are set from the host's status when rendered."""

    def __init__(self, *, host: str, failure_domain: str, incarnation: int) -> None:
        # The incarnation at process start, because a report takes a change of this label for a
        # restart that reset the counters. The incarnation in messages also increases when the
        # host refutes a suspicion, which resets no counter.
        self._host_labels = (host, failure_domain, str(incarnation))
        self.counts: dict[str, Counts[tuple[str, ...]]] = {name: Counts() for name in _COUNTERS}
        self._registry = Registry()
        self._counters = {
            name: Counter(PREFIX + name, text, registry=self._registry)
            for name, (text, _) in _COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(PREFIX + name, text, registry=self._registry)
            for name, (text, _) in _GAUGES.items()
        }
        self._latency = Histogram(
            PREFIX + "request_latency_ms",
            "Time from a request's arrival at this host to its answer.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def count(self, name: str, *labels: str, amount: int = 1) -> None:
        """Add to a counter; the label values are in the order of its definition."""
        self.counts[name][labels] += amount

    def observe_latency(self, *, service: str, size_class: str, latency_ms: float) -> None:
        """Add one answered request to the latency histogram."""
        labels = build_labels(("service", "size_class"), (service, size_class))
        self._latency.observe(labels, latency_ms)

    def render(
        self, *, status: Mapping[str, Any], statistics: SteeringStatistics, open_connections: int
    ) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        for item in statistics.broken_flows:
            self.counts["broken_flows_total"][item.service, item.indication] = item.events
        for name, counts in self.counts.items():
            for labels, value in counts.items():
                self._counters[name].set(_labels(_COUNTERS, name, labels), value)
        self._gauges["host_info"].set(_labels(_GAUGES, "host_info", self._host_labels), 1)
        for name, labels, value in _gauge_values(status, open_connections):
            self._gauges[name].set(_labels(_GAUGES, name, labels), value)
        content, headers = render(self._registry, ["text/plain"])
        return content, headers["Content-Type"]


def _labels(
    definitions: Mapping[str, tuple[str, tuple[str, ...]]], name: str, values: tuple[str, ...]
) -> dict[str, str]:
    return build_labels(definitions[name][1], values)


def _gauge_values(
    status: Mapping[str, Any], open_connections: int
) -> Iterable[tuple[str, tuple[str, ...], int]]:
    yield "revision", (), status.get("revision", 0)
    yield "ready", (), int(status.get("ready", False))
    yield "open_connections", (), open_connections
    states = Counts({"alive": 0, "suspected": 0, "leaving": 0, "dead": 0})
    states.update(member["state"] for member in status.get("members", ()))
    for state, count in states.items():
        yield "members", (state,), count
    servers = status.get("servers", ())
    yield "ejected_servers", (), sum(bool(server["ejected"]) for server in servers)
    for server in servers:
        yield "busy_slots", (server["service"], server["name"]), server["busy_slots"]
    for service in status.get("services", ()):
        yield "records", (service["name"],), service["records"]
        yield "displaced_buckets", (service["name"],), service["displaced_buckets"]
