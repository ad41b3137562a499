"""Request handling of an entry host: collection of parts, routing, claims and dispatch.

A claim gives one host the exclusive right to run a non-idempotent request; it is granted by a
majority of witnesses (see ``claims``).
"""

from __future__ import annotations

from redwingswitch._internal.decisions.requests.claims import (
    Claimant,
    ClaimState,
    WitnessRegister,
)
from redwingswitch._internal.decisions.requests.dispatch import DispatchTable
from redwingswitch._internal.decisions.requests.host_sets import DeclaredHostSets
from redwingswitch._internal.decisions.requests.part_collector import PartCollector
from redwingswitch._internal.decisions.requests.receiver import (
    STOP_REFUSAL,
    RequestReceiver,
    forwarding_action,
    unknown_outcome_answer,
)
from redwingswitch._internal.decisions.requests.request_table import (
    RequestEntry,
    RequestState,
    RequestTable,
)
from redwingswitch._internal.decisions.requests.routing import RequestRouting
from redwingswitch._internal.decisions.requests.scheduler import WAITING_STATES, RequestScheduler
from redwingswitch._internal.decisions.requests.target_selection import HealthChecker
from redwingswitch._internal.models.actions import (
    Action,
    SendToPeer,
)
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.events import (
    AnswerPartArrived,
    AttemptFailed,
    CancelArrived,
    RequestPartArrived,
)
from redwingswitch._internal.models.members import MembershipView, WaitEstimate
from redwingswitch._internal.models.messages import (
    CancelRequest,
    ClaimReply,
    ClaimRequest,
    ForwardedRequest,
    PeerMessage,
)
from redwingswitch._internal.ports import RandomSource

TICK_INTERVAL_MS = 1_000
PAUSE_THRESHOLD_MS = 30_000
REFUSAL_AFTER_PAUSE_MS = 2_000


class RequestCoordinator:
    """Handles requests from callers and peers, and finishes each with one outcome.

    A message to the local host is returned as a ``SendToPeer`` action with the local host's name;
    the caller of this class passes it back to ``on_message``.
    """

    def __init__(
        self,
        *,
        host: str,
        failure_domain: str,
        incarnation: int,
        random_source: RandomSource,
        health: HealthChecker,
        abstain_until_ms: int,
    ) -> None:
        self._host = host
        self._routing = RequestRouting(
            host=host, failure_domain=failure_domain, random_source=random_source
        )
        self._host_sets = DeclaredHostSets(host=host)
        self._witness = WitnessRegister(host=host, abstain_until_ms=abstain_until_ms)
        self._claimant = Claimant(
            host=host,
            incarnation=incarnation,
            host_sets=self._host_sets,
            random_source=random_source,
        )
        self._collector = PartCollector()
        self._request_table = RequestTable()
        self._dispatches = DispatchTable(health=health, random_source=random_source)
        self._scheduler = RequestScheduler(
            request_table=self._request_table,
            claimant=self._claimant,
            dispatches=self._dispatches,
            health=health,
            random_source=random_source,
        )
        self._receiver = RequestReceiver(
            host=host,
            routing=self._routing,
            collector=self._collector,
            request_table=self._request_table,
            dispatches=self._dispatches,
            scheduler=self._scheduler,
            claimant=self._claimant,
        )
        self._last_call_ms: int | None = None
        self._next_tick_ms: int | None = None

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Apply a newer accepted configuration."""
        self._check_for_pause(now_ms)
        self._host_sets.apply_configuration(configuration, now_ms)
        self._routing.apply_configuration(configuration)
        self._dispatches.set_services(
            self._routing.services(), self._request_table.live_entries(), now_ms
        )
        return self._update_dispatchers(now_ms)

    def set_members(self, view: MembershipView, now_ms: int) -> list[Action]:
        """Update the live hosts, and the revisions and waits that they advertise in heartbeats."""
        self._check_for_pause(now_ms)
        self._routing.set_members(view)
        self._host_sets.set_members(view, now_ms)
        return self._update_dispatchers(now_ms)

    def on_part(self, event: RequestPartArrived, now_ms: int) -> list[Action]:
        """Handle a request part from a caller."""
        self._check_for_pause(now_ms)
        copy = ForwardedRequest(event.header, event.body, event.caller, hops=0)
        return self._receiver.on_part(copy, now_ms)

    def on_answer_part(self, event: AnswerPartArrived, now_ms: int) -> list[Action]:
        """Handle an answer part from a backend server."""
        self._check_for_pause(now_ms)
        return self._scheduler.on_answer_part(event, now_ms)

    def on_attempt_failed(self, event: AttemptFailed, now_ms: int) -> list[Action]:
        """Handle an attempt that ended without a complete answer."""
        self._check_for_pause(now_ms)
        return self._scheduler.on_attempt_failed(event, now_ms)

    def on_cancel(self, event: CancelArrived, now_ms: int) -> list[Action]:
        """Forward a caller's cancellation to every host that may know the request."""
        self._check_for_pause(now_ms)
        service = self._routing.service(event.service)
        hosts = [] if service is None else self._routing.dispatchers(service)
        collector = self._routing.collector(event.request_id)
        targets = dict.fromkeys([self._host, *hosts, *([collector] if collector else [])])
        message = CancelRequest(event.service, event.request_id)
        return [SendToPeer(host, message) for host in targets]

    def on_message(
        self, sender: str, incarnation: int, message: PeerMessage, now_ms: int
    ) -> list[Action]:
        """Handle a message from another entry host, or from the local host to itself."""
        self._check_for_pause(now_ms)
        match message:
            case ForwardedRequest():
                return self._receiver.on_part(message, now_ms)
            case ClaimRequest():
                reply = self._witness.on_claim(
                    sender, incarnation, message, self._host_sets, now_ms
                )
                return [SendToPeer(sender, reply)]
            case ClaimReply():
                return self._on_claim_reply(sender, message, now_ms)
            case CancelRequest():
                return self._on_cancel_request(message, now_ms)
            case _:
                return []

    def on_timer(self, now_ms: int) -> list[Action]:
        """Handle all due timers and remove expired state."""
        self._check_for_pause(now_ms)
        self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        actions = self._on_expired_requests(now_ms)
        actions.extend(self._claimant.on_timer(now_ms))
        actions.extend(self._scheduler.on_timer(now_ms))
        self._host_sets.on_timer(now_ms)
        self._witness.expire(now_ms)
        self._request_table.expire(now_ms)
        return actions

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        times = (
            self._next_tick_ms,
            self._collector.next_deadline_ms(),
            self._claimant.next_deadline_ms(),
            self._scheduler.next_deadline_ms(),
        )
        return min((t for t in times if t is not None), default=None)

    def wait_estimates(self, now_ms: int) -> tuple[WaitEstimate, ...]:
        """Return the expected wait of short requests for each service that this host dispatches."""
        return self._dispatches.wait_estimates(now_ms)

    def count_in_progress(self) -> int:
        """Return the number of requests that a graceful stop waits for."""
        return self._request_table.live_count() + len(self._collector)

    def busy_slots(self) -> dict[str, int]:
        """Return how many requests this host has dispatched to each backend server."""
        return self._dispatches.busy_slots()

    def abstaining(self, now_ms: int) -> bool:
        """Return whether this host grants no claims, because it may have lost earlier grants."""
        return self._witness.abstaining(now_ms)

    def begin_stop(self, now_ms: int) -> list[Action]:
        """Refuse or forward the waiting requests; running requests continue to their end."""
        self._check_for_pause(now_ms)
        self._receiver.stopping = True
        self._routing.leave()
        actions: list[Action] = []
        for entry in self._request_table.live_entries():
            if entry.state in WAITING_STATES:
                actions.extend(self._forward_or_refuse(entry, now_ms))
        for copy in self._collector.remove_all(now_ms):
            actions.extend(self._receiver.on_part(copy, now_ms))
        return actions

    def _on_claim_reply(self, sender: str, reply: ClaimReply, now_ms: int) -> list[Action]:
        entry = self._request_table.get(reply.request_id)
        state = self._claimant.on_reply(sender, reply, now_ms)
        if entry is None or not entry.is_live:
            self._claimant.forget(reply.request_id)
            return []
        if state is ClaimState.HELD:
            return self._scheduler.on_claim_held(entry, now_ms)
        if state is ClaimState.DENIED:
            return self._on_claim_denied(entry, now_ms)
        return []

    def _on_claim_denied(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        holder = self._claimant.holder(entry.header.request_id)
        if holder is None or not self._receiver.can_forward_to(holder, entry.hops):
            return self._scheduler.finish_as_unknown(
                entry, "another entry host had claimed it", now_ms
            )
        actions: list[Action] = [
            forwarding_action(holder.host, copy) for copy in entry.forwarded_copies(now_ms)
        ]
        entry.holder = holder
        self._claimant.forget(entry.header.request_id)
        self._dispatches.for_entry(entry).queue.remove(entry.header.request_id)
        self._request_table.finish(entry, None, now_ms, state=RequestState.MOVED)
        return actions

    def _on_cancel_request(self, message: CancelRequest, now_ms: int) -> list[Action]:
        self._collector.cancel(message.request_id)
        entry = self._request_table.get(message.request_id)
        if entry is None or entry.header.service != message.service:
            return []
        if entry.state is RequestState.MOVED and entry.holder is not None:
            return [SendToPeer(entry.holder.host, message)]
        return self._scheduler.cancel(entry, now_ms)

    def _forward_or_refuse(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        """Forward an idempotent request that has not run; refuse any other."""
        target = self._routing.dispatcher(entry.header.service, entry.failure_domain)
        if not entry.idempotent or entry.attempts_made or target in (None, self._host):
            return self._scheduler.refuse(entry, STOP_REFUSAL, now_ms)
        actions: list[Action] = [
            forwarding_action(target, copy) for copy in entry.forwarded_copies(now_ms)
        ]
        self._dispatches.for_entry(entry).queue.remove(entry.header.request_id)
        self._request_table.finish(entry, None, now_ms)
        return actions

    def _on_expired_requests(self, now_ms: int) -> list[Action]:
        return [
            unknown_outcome_answer(expired.copy, "parts of the request are missing")
            for expired in self._collector.on_timer(now_ms)
            if not expired.completed_before
        ]

    def _check_for_pause(self, now_ms: int) -> None:
        """Detect a long pause of this host, and then refuse non-idempotent requests for a while.

        Requests that waited in a socket during a long pause may be older than the claim retention,
        so the witnesses may have forgotten that a request with the same id was run.
        """
        if self._last_call_ms is not None and now_ms - self._last_call_ms > PAUSE_THRESHOLD_MS:
            self._receiver.refuse_non_idempotent_until_ms = now_ms + REFUSAL_AFTER_PAUSE_MS
        if self._next_tick_ms is None:
            self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        self._last_call_ms = now_ms

    def _update_dispatchers(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for dispatch in self._dispatches:
            target = self._routing.dispatcher(dispatch.service.name, dispatch.failure_domain)
            dispatch.set_is_dispatcher(target == self._host, now_ms)
            if not dispatch.is_idle():
                actions.extend(self._scheduler.start_queued(dispatch, now_ms))
        return actions
