"""Dispatch state of a service in a failure domain: queue, slots and running attempts.

The dispatcher of a service in a failure domain is the entry host that sends the service's requests
to the backend servers there. A slot is the capacity of a backend server for one running request.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from redwingswitch._internal.decisions.requests.admission import (
    AdmissionQueue,
    QueuedRequest,
    Refusal,
    SlotUse,
)
from redwingswitch._internal.decisions.requests.offered_load import OfferedLoad, expected_wait_ms
from redwingswitch._internal.decisions.requests.request_table import Attempt, RequestEntry
from redwingswitch._internal.decisions.requests.service_times import ServiceTimes
from redwingswitch._internal.decisions.requests.target_selection import HealthChecker, ServerSlots
from redwingswitch._internal.decisions.retry import RetryBudget
from redwingswitch._internal.models.configuration import Service, SizeClass
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import WaitEstimate
from redwingswitch._internal.ports import RandomSource

RETRY_RATIO = 0.1
RETRY_BURST = 10
STALLED_POLL_INTERVAL_MS = 20


class ServiceDispatch:
    """The state with which a host dispatches one service in one failure domain."""

    def __init__(
        self,
        *,
        service: Service,
        failure_domain: str,
        health: HealthChecker,
        random_source: RandomSource,
    ) -> None:
        self.service = service
        self.failure_domain = failure_domain
        self.is_dispatcher = False
        self.service_times = ServiceTimes(
            expected_ms=service.expected_service_ms, declared=service.size_class
        )
        self.queue = AdmissionQueue(times=self.service_times)
        self.slots = ServerSlots(health=health, random_source=random_source)
        self.retry_budget = RetryBudget(ratio=RETRY_RATIO, burst=RETRY_BURST)
        self.poll_at_ms: int | None = None
        self._running: dict[int, tuple[Attempt, RequestEntry]] = {}
        self._offered_load = OfferedLoad()

    def set_service(self, service: Service, now_ms: int) -> None:
        """Update the service and its declared backend servers in this failure domain."""
        self.service = service
        servers = [s for s in service.backend_servers if s.failure_domain == self.failure_domain]
        self.slots.set_servers(servers, now_ms)

    def set_is_dispatcher(self, is_dispatcher: bool, now_ms: int) -> None:
        """Set whether this host is the dispatcher; a new dispatcher begins with a warm-up."""
        if is_dispatcher and not self.is_dispatcher:
            self.slots.begin_warm_up(now_ms)
        self.is_dispatcher = is_dispatcher

    def is_idle(self) -> bool:
        """Return whether no request waits and no attempt runs."""
        return not self._running and not len(self.queue)

    def slot_use(self, now_ms: int) -> SlotUse:
        """Return the occupied slots by size class.

        A short request that runs for longer than ``ServiceTimes.long_after_ms`` counts as long.
        """
        long_after_ms = self.service_times.long_after_ms()
        long = sum(
            1
            for attempt, entry in self._running.values()
            if entry.size is SizeClass.LONG or now_ms - attempt.started_at_ms > long_after_ms
        )
        return SlotUse(self.slots.total(now_ms), len(self._running) - long, long)

    def offer(self, request: QueuedRequest, now_ms: int) -> Refusal | None:
        """Add a request to the queue, or return why it is refused."""
        self._offered_load.note_arrival(self.service_times.mean_ms(request.size), now_ms)
        return self.queue.offer(request, self.slot_use(now_ms), now_ms)

    def start(self, entry: RequestEntry, attempt: Attempt, now_ms: int) -> None:
        """Record the start of an attempt and occupy its slot."""
        self.slots.occupy(attempt.backend_server, now_ms)
        self._running[attempt.attempt_id] = (attempt, entry)
        entry.attempts[attempt.attempt_id] = attempt
        entry.attempts_made += 1

    def end(self, entry: RequestEntry, attempt: Attempt, now_ms: int) -> None:
        """Record the end of an attempt and release its slot."""
        if self._running.pop(attempt.attempt_id, None) is None:
            return
        self.slots.release(attempt.backend_server, now_ms)
        del entry.attempts[attempt.attempt_id]

    def note_answer(self, entry: RequestEntry, attempt: Attempt, now_ms: int) -> None:
        """Update the service times and the server's refusal count after a complete answer."""
        elapsed_ms = now_ms - attempt.started_at_ms
        overran = elapsed_ms > self.service_times.long_after_ms()
        self.service_times.observe(SizeClass.LONG if overran else entry.size, elapsed_ms)
        self.slots.note_answer(attempt.backend_server)

    def next_request(self, now_ms: int) -> QueuedRequest | None:
        """Remove and return the next request for a free slot; None when none may start."""
        return self.queue.take(self.slot_use(now_ms), now_ms)

    def schedule_poll(self, now_ms: int, *, stalled: bool) -> None:
        """Set when to check the queue again without another event.

        That is soon if no server was available for a request. Otherwise it is when the oldest long
        request may use a slot reserved for short requests.
        """
        aged_at_ms = self.queue.next_aged_ms()
        if stalled:
            self.poll_at_ms = now_ms + STALLED_POLL_INTERVAL_MS
        elif aged_at_ms is not None and aged_at_ms > now_ms:
            self.poll_at_ms = aged_at_ms
        else:
            self.poll_at_ms = None

    def wait_estimate_ms(self, now_ms: int) -> int:
        """Return the expected wait of short requests, which is advertised to the other hosts."""
        wait_ms = expected_wait_ms(
            self._offered_load.busy_slots(now_ms),
            self.slots.total(now_ms),
            self.service_times.mean_ms(SizeClass.SHORT),
        )
        return round(wait_ms)


class DispatchTable:
    """The dispatch state of a host for each service and failure domain."""

    def __init__(self, *, health: HealthChecker, random_source: RandomSource) -> None:
        self._health = health
        self._random_source = random_source
        self._dispatches: dict[tuple[str, str], ServiceDispatch] = {}

    def __iter__(self) -> Iterator[ServiceDispatch]:
        return iter(self._dispatches.values())

    def for_entry(self, entry: RequestEntry) -> ServiceDispatch:
        """Return the dispatch state of the entry's service and failure domain."""
        return self._dispatches[(entry.header.service, entry.failure_domain)]

    def get_or_create(self, service: Service, domain: str, now_ms: int) -> ServiceDispatch:
        """Return the dispatch state of a service in a failure domain."""
        key = (service.name, domain)
        if key not in self._dispatches:
            dispatch = ServiceDispatch(
                service=service,
                failure_domain=domain,
                health=self._health,
                random_source=self._random_source,
            )
            dispatch.set_service(service, now_ms)
            self._dispatches[key] = dispatch
        return self._dispatches[key]

    def set_services(
        self, services: Sequence[Service], live_entries: Sequence[RequestEntry], now_ms: int
    ) -> None:
        """Update the declared services; remove state that is neither declared nor in use."""
        declared = {
            (service.name, server.failure_domain)
            for service in services
            for server in service.backend_servers
        }
        needed = declared | {(entry.header.service, entry.failure_domain) for entry in live_entries}
        self._dispatches = {k: d for k, d in self._dispatches.items() if k in needed}
        for service in services:
            for domain in {server.failure_domain for server in service.backend_servers}:
                self.get_or_create(service, domain, now_ms)
            for dispatch in self:
                if dispatch.service.name == service.name:
                    dispatch.set_service(service, now_ms)

    def shortest_wait_domain(self, service: Service, domains: Sequence[str], now_ms: int) -> str:
        """Return the failure domain, among ``domains``, with the shortest wait."""
        return min(domains, key=lambda domain: self._wait_ms(service, domain, now_ms))

    def wait_estimates(self, now_ms: int) -> tuple[WaitEstimate, ...]:
        """Return the expected wait of short requests for each service that this host dispatches."""
        waits: dict[int, int] = {}
        for dispatch in self:
            if dispatch.is_dispatcher:
                service_id = wire_id(dispatch.service.name)
                wait_ms = dispatch.wait_estimate_ms(now_ms)
                waits[service_id] = min(wait_ms, waits.get(service_id, wait_ms))
        return tuple(WaitEstimate(*item) for item in sorted(waits.items()))

    def busy_slots(self) -> dict[str, int]:
        """Return the occupied slots of each backend server."""
        busy: dict[str, int] = {}
        for dispatch in self:
            busy.update(dispatch.slots.busy_by_server())
        return busy

    def _wait_ms(self, service: Service, domain: str, now_ms: int) -> float:
        dispatch = self.get_or_create(service, domain, now_ms)
        return dispatch.queue.wait_ms(service.size_class, dispatch.slot_use(now_ms))
