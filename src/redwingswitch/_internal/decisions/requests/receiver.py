"""Handling of a request from its first part to the admission queue of its dispatcher.

The dispatcher is the entry host that sends the request to a backend server. A claim gives one host
the exclusive right to run a non-idempotent request (see ``claims``).
"""

from __future__ import annotations

from redwingswitch._internal.decisions.requests.admission import Refusal
from redwingswitch._internal.decisions.requests.claims import (
    Claimant,
    ClaimHolder,
)
from redwingswitch._internal.decisions.requests.dispatch import DispatchTable, ServiceDispatch
from redwingswitch._internal.decisions.requests.part_collector import MAX_PARTS, PartCollector
from redwingswitch._internal.decisions.requests.request_table import (
    RequestEntry,
    RequestState,
    RequestTable,
)
from redwingswitch._internal.decisions.requests.routing import RequestRouting
from redwingswitch._internal.decisions.requests.scheduler import WAITING_STATES, RequestScheduler
from redwingswitch._internal.models.actions import (
    Action,
    AnswerCaller,
    Drop,
    DropReason,
    SendToPeer,
)
from redwingswitch._internal.models.configuration import Service, SizeClass
from redwingswitch._internal.models.identifiers import REQUEST_ID_BYTES
from redwingswitch._internal.models.messages import (
    ForwardedRequest,
)
from redwingswitch._internal.models.requests import AnswerHeader, Outcome, RequestHeader

MAX_REQUEST_LIFETIME_MS = 30_000
MAX_REQUEST_HOPS = 6
# The hop count of an offloaded request, that is, one sent to a failure domain with a shorter wait.
# It leaves hops for forwarding the request to the holder of its claim afterwards, and marks the
# request so that it is offloaded only once.
OFFLOAD_HOPS = 3
OVERLOAD_RETRY_AFTER_MS = 1_000
STOP_RETRY_AFTER_MS = 50
STOP_REFUSAL = Refusal("the entry host stops", STOP_RETRY_AFTER_MS)


class RequestReceiver:
    """Collects request parts, routes requests, detects duplicates and admits new requests.

    Callers send a request again and hosts forward it, so several copies with the same id can
    arrive. A ``copy`` is one of them, with the address of its caller and its hop count.
    """

    def __init__(
        self,
        *,
        host: str,
        routing: RequestRouting,
        collector: PartCollector,
        request_table: RequestTable,
        dispatches: DispatchTable,
        scheduler: RequestScheduler,
        claimant: Claimant,
    ) -> None:
        self.stopping = False
        self.refuse_non_idempotent_until_ms = 0
        self._host = host
        self._routing = routing
        self._collector = collector
        self._request_table = request_table
        self._dispatches = dispatches
        self._scheduler = scheduler
        self._claimant = claimant

    def on_part(self, copy: ForwardedRequest, now_ms: int) -> list[Action]:
        """Handle a request part from a caller or a peer."""
        header = copy.header
        if not _is_valid_header(header):
            return [Drop(DropReason.MALFORMED, "request part")]
        service = self._routing.service(header.service)
        if service is None:
            return [unknown_outcome_answer(copy, "the service is not configured here")]
        remaining_ms = min(header.remaining_ms, MAX_REQUEST_LIFETIME_MS)
        copy = copy._replace(header=header._replace(remaining_ms=remaining_ms))
        if header.parts == 1:
            return self._on_complete_request(service, copy, now_ms)
        collector = self._routing.collector(header.request_id)
        if collector not in (None, self._host) and copy.hops < MAX_REQUEST_HOPS:
            return [forwarding_action(collector, copy)]
        return self._collect(service, copy, now_ms)

    def _collect(self, service: Service, copy: ForwardedRequest, now_ms: int) -> list[Action]:
        deadline_ms = now_ms + copy.header.remaining_ms
        collected = self._collector.add(
            copy.header, copy.body, copy.caller, deadline_ms=deadline_ms, now_ms=now_ms
        )
        if collected.refusal:
            return [unknown_outcome_answer(copy, collected.refusal, OVERLOAD_RETRY_AFTER_MS)]
        if collected.body is None:
            return []
        complete_request = copy._replace(
            header=copy.header._replace(part=0, parts=1), body=collected.body
        )
        return self._route(service, complete_request, now_ms)

    def _on_complete_request(
        self, service: Service, copy: ForwardedRequest, now_ms: int
    ) -> list[Action]:
        dispatched_domains = self._routing.dispatched_domains(service)
        known = self._request_table.get(copy.header.request_id) is not None
        if copy.hops > 0 and dispatched_domains and not known:
            domain = self._dispatches.shortest_wait_domain(service, dispatched_domains, now_ms)
            return self._admit(service, domain, copy, now_ms)
        return self._route(service, copy, now_ms)

    def _route(self, service: Service, copy: ForwardedRequest, now_ms: int) -> list[Action]:
        entry = self._request_table.get(copy.header.request_id)
        if entry is not None:
            return self._on_known_request(service, entry, copy, now_ms)
        domain = self._routing.choose_domain(service, now_ms)
        if domain is None:
            return [
                unknown_outcome_answer(
                    copy, "no backend server takes requests", OVERLOAD_RETRY_AFTER_MS
                )
            ]
        target = self._routing.dispatcher(service.name, domain)
        if target not in (None, self._host) and copy.hops < MAX_REQUEST_HOPS:
            return [forwarding_action(target, copy)]
        return self._admit(service, domain, copy, now_ms)

    def _on_known_request(
        self, service: Service, entry: RequestEntry, copy: ForwardedRequest, now_ms: int
    ) -> list[Action]:
        """Handle a copy of a request that is in the request table.

        Only an idempotent request without a retained answer may run again.
        """
        if not entry.is_same_request(copy.header, copy.body):
            return [unknown_outcome_answer(copy, "the request id is in use for another request")]
        if entry.is_live:
            entry.add_caller(copy.caller)
            return []
        if entry.state is RequestState.MOVED:
            return self.forward_to_holder(entry.holder, copy)
        if entry.idempotent and entry.answer is None:
            self._request_table.remove(entry)
            return self._route(service, copy, now_ms)
        return self._scheduler.resend_outcome(entry, copy.caller)

    def _admit(
        self, service: Service, domain: str, copy: ForwardedRequest, now_ms: int
    ) -> list[Action]:
        dispatch = self._dispatches.get_or_create(service, domain, now_ms)
        idempotent = service.idempotent and copy.header.idempotent
        if not idempotent and now_ms < self.refuse_non_idempotent_until_ms:
            return [unknown_outcome_answer(copy, "the entry host was paused")]
        size = dispatch.service_times.classify(copy.header.size_hint)
        offload_host = self._offload_target(dispatch, size, copy, now_ms)
        if offload_host is not None:
            return [forwarding_action(offload_host, copy._replace(hops=OFFLOAD_HOPS))]
        entry = RequestEntry(
            copy=copy,
            idempotent=idempotent,
            failure_domain=domain,
            size=size,
            deadline_ms=now_ms + copy.header.remaining_ms,
        )
        if not self._request_table.add(entry):
            return [
                unknown_outcome_answer(
                    copy, "the entry host is overloaded", OVERLOAD_RETRY_AFTER_MS
                )
            ]
        return self._claim_and_queue(entry, now_ms)

    def _offload_target(
        self, dispatch: ServiceDispatch, size: SizeClass, copy: ForwardedRequest, now_ms: int
    ) -> str | None:
        """Return the dispatcher of another failure domain when the wait here is much longer.

        Only short requests are offloaded, because the advertised waits are those of short requests.
        The advertised waits are old, but the local wait is exact and falls with every offloaded
        request, so offloading stops when the waits are similar again. A request is offloaded at
        most once, and before its id is claimed.
        """
        if copy.hops >= OFFLOAD_HOPS or size is SizeClass.LONG:
            return None
        wait_ms = dispatch.queue.wait_ms(size, dispatch.slot_use(now_ms))
        return self._routing.offload_target(dispatch.service, dispatch.failure_domain, wait_ms)

    def _claim_and_queue(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if not entry.idempotent:
            claim_requests = self._claimant.begin(
                entry.header.request_id, entry.deadline_ms, now_ms
            )
            if claim_requests is None:
                return self._scheduler.finish_as_unknown(entry, "too many claims are open", now_ms)
            actions.extend(claim_requests)
        actions.extend(self._scheduler.admit(entry, now_ms))
        if self.stopping and entry.state in WAITING_STATES:
            actions.extend(self._scheduler.refuse(entry, STOP_REFUSAL, now_ms))
        return actions

    def forward_to_holder(self, holder: ClaimHolder | None, copy: ForwardedRequest) -> list[Action]:
        """Forward a copy to the host that holds the claim on its id."""
        if holder is None or not self.can_forward_to(holder, copy.hops):
            return [unknown_outcome_answer(copy, "another entry host had claimed it")]
        return [forwarding_action(holder.host, copy)]

    def can_forward_to(self, holder: ClaimHolder, hops: int) -> bool:
        """Return whether a copy with ``hops`` hops may be forwarded to the holder of a claim."""
        if holder.host == self._host or hops >= MAX_REQUEST_HOPS:
            return False
        return self._routing.is_serving(holder.host)


def _is_valid_header(header: RequestHeader) -> bool:
    if len(header.request_id) != REQUEST_ID_BYTES or header.remaining_ms <= 0:
        return False
    return 0 <= header.part < header.parts <= MAX_PARTS


def forwarding_action(host: str | None, copy: ForwardedRequest) -> SendToPeer:
    """Return the message that forwards a copy to another host."""
    assert host is not None
    return SendToPeer(host, copy._replace(hops=copy.hops + 1))


def unknown_outcome_answer(
    copy: ForwardedRequest, reason: str, retry_after_ms: int = 0
) -> AnswerCaller:
    """Return the reply that reports the outcome of a request as ``UNKNOWN``."""
    outcome = AnswerHeader(
        copy.header.request_id, Outcome.UNKNOWN, retry_after_ms=retry_after_ms, reason=reason
    )
    return AnswerCaller(copy.caller, outcome)
