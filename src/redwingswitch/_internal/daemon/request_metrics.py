"""Counts the outcomes of requests and measures their latencies from their arrival times."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.models.configuration import Configuration, SizeClass
from redwingswitch._internal.models.requests import AnswerHeader, RequestHeader, SizeHint

MAX_TRACKED_REQUESTS = 50_000
# Callers may resend a request for some time after its deadline; each request is counted once.
RETENTION_AFTER_DEADLINE_MS = 30_000


class _Arrival(NamedTuple):
    service: str
    size_class: str
    arrived_ms: int
    expires_at_ms: int
    counted: bool = False


class RequestMetrics:
    """Counts each request once, when the first part of its answer leaves this host."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._arrivals: OrderedDict[bytes, _Arrival] = OrderedDict()
        self._size_classes: dict[str, SizeClass] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the size classes of the services."""
        self._size_classes = {
            service.name: service.size_class for service in configuration.services
        }

    def on_request(self, header: RequestHeader, now_ms: int) -> None:
        """Record the arrival of a request's first copy."""
        self._remove_expired(now_ms)
        if header.request_id in self._arrivals or header.service not in self._size_classes:
            return
        if len(self._arrivals) >= MAX_TRACKED_REQUESTS:
            return
        expires_at_ms = now_ms + header.remaining_ms + RETENTION_AFTER_DEADLINE_MS
        size_class = self._size_class(header)
        self._arrivals[header.request_id] = _Arrival(
            header.service, size_class, now_ms, expires_at_ms
        )

    def on_answer(self, header: AnswerHeader, now_ms: int) -> None:
        """Count a request's outcome and latency at the first part of its answer."""
        arrival = self._arrivals.get(header.request_id)
        if arrival is None or arrival.counted:
            return
        self._arrivals[header.request_id] = arrival._replace(counted=True)
        self._metrics.count("requests_total", arrival.service, header.outcome.value)
        self._metrics.observe_latency(
            service=arrival.service,
            size_class=arrival.size_class,
            latency_ms=now_ms - arrival.arrived_ms,
        )

    def _size_class(self, header: RequestHeader) -> str:
        if header.size_hint is SizeHint.UNKNOWN:
            return self._size_classes[header.service].value
        return header.size_hint.name.lower()

    def _remove_expired(self, now_ms: int) -> None:
        # Entries are in order of arrival, not of expiry, so one with a late deadline delays the
        # removal of later ones.
        while self._arrivals:
            request_id, arrival = next(iter(self._arrivals.items()))
            if arrival.expires_at_ms > now_ms:
                return
            del self._arrivals[request_id]
