"""Queues requests, runs attempts at backend servers, and reports outcomes to callers."""

from __future__ import annotations

from redwingswitch._internal.decisions.requests.admission import QueuedRequest, Refusal
from redwingswitch._internal.decisions.requests.answers import AssemblyState
from redwingswitch._internal.decisions.requests.attempts import AttemptTable
from redwingswitch._internal.decisions.requests.claims import Claimant
from redwingswitch._internal.decisions.requests.dispatch import DispatchTable, ServiceDispatch
from redwingswitch._internal.decisions.requests.request_table import (
    Attempt,
    RequestEntry,
    RequestState,
    RequestTable,
    outcome_header,
)
from redwingswitch._internal.decisions.requests.request_timers import (
    RequestTimers,
    Timer,
    TimerKind,
)
from redwingswitch._internal.decisions.requests.target_selection import HealthChecker
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.actions import (
    Action,
    AnswerCaller,
    CancelAttempt,
    DispatchRequest,
)
from redwingswitch._internal.models.configuration import SizeClass
from redwingswitch._internal.models.events import AnswerPartArrived, AttemptFailed
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.requests import AnswerHeader, FailureKind, Outcome
from redwingswitch._internal.ports import RandomSource

MAX_RUNS = 4
MAX_ATTEMPTS_NOT_STARTED = 8

NOT_STARTED_KINDS = (FailureKind.REFUSED, FailureKind.SHED)
WAITING_STATES = (RequestState.QUEUED, RequestState.AWAITING_CLAIM, RequestState.AWAITING_RETRY)


class RequestScheduler:
    """Runs the requests that this host dispatches and answers their callers.

    A run is an attempt that may have started at a backend server. An attempt that certainly did not
    start there (``NOT_STARTED_KINDS``) counts towards ``MAX_ATTEMPTS_NOT_STARTED`` instead of
    ``MAX_RUNS``. A hedge is a second, parallel attempt of a short idempotent request that takes
    unusually long; the first complete answer is used.
    """

    def __init__(
        self,
        *,
        request_table: RequestTable,
        claimant: Claimant,
        dispatches: DispatchTable,
        health: HealthChecker,
        random_source: RandomSource,
    ) -> None:
        self._timers = RequestTimers()
        self._dispatches = dispatches
        self._request_table = request_table
        self._claimant = claimant
        self._health = health
        self._random_source = random_source
        self._attempts = AttemptTable(dispatches=dispatches, random_source=random_source)

    def admit(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        """Add a new entry to the admission queue, or refuse it."""
        dispatch = self._dispatches.for_entry(entry)
        self._timers.add(entry.deadline_ms, TimerKind.DEADLINE, entry.header.request_id)
        queued = QueuedRequest(
            entry.header.request_id,
            entry.callers[0].address,
            entry.size,
            now_ms,
            entry.deadline_ms,
        )
        refusal = dispatch.offer(queued, now_ms)
        if refusal is not None:
            return self.refuse(entry, refusal, now_ms)
        entry.queued = queued
        last_start_ms = dispatch.queue.last_start_ms(queued)
        self._timers.add(last_start_ms + 1, TimerKind.LAST_START, entry.header.request_id)
        return self.start_queued(dispatch, now_ms)

    def refuse(self, entry: RequestEntry, refusal: Refusal, now_ms: int) -> list[Action]:
        """Refuse an entry that waits to run.

        ``NOT_RUN`` is reported only while this host holds the claim; otherwise another host may run
        a copy. An idempotent request has no claim, so its outcome is ``UNKNOWN``, with the same
        retry hint. Any other request waits in ``REFUSING`` until its claim is decided.
        """
        self._dispatches.for_entry(entry).queue.remove(entry.header.request_id)
        entry.refusal = refusal
        if entry.idempotent:
            return self._finish_without_answer(entry, Outcome.UNKNOWN, refusal, now_ms)
        if entry.claimed:
            return self._finish_without_answer(entry, Outcome.NOT_RUN, refusal, now_ms)
        entry.state = RequestState.REFUSING
        return []

    def on_claim_held(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        """Run or refuse an entry now that this host holds its claim."""
        entry.claimed = True
        self._claimant.forget(entry.header.request_id)
        if entry.state is RequestState.REFUSING and entry.refusal is not None:
            return self._finish_without_answer(entry, Outcome.NOT_RUN, entry.refusal, now_ms)
        dispatch = self._dispatches.for_entry(entry)
        if entry.state is RequestState.AWAITING_CLAIM:
            self._requeue(entry)
        return self.start_queued(dispatch, now_ms)

    def start_queued(self, dispatch: ServiceDispatch, now_ms: int) -> list[Action]:
        """Start waiting requests while there are free slots."""
        actions: list[Action] = []
        stalled = False
        while not stalled:
            request = dispatch.next_request(now_ms)
            if request is None:
                break
            entry = self._request_table.get(request.request_id)
            if entry is None or entry.state is not RequestState.QUEUED:
                continue
            if now_ms > dispatch.queue.last_start_ms(request):
                actions.extend(self._refuse_late(entry, now_ms))
            elif not entry.idempotent and not entry.claimed:
                entry.state = RequestState.AWAITING_CLAIM
            else:
                started = self._start_attempt(dispatch, entry, now_ms)
                stalled = not started
                actions.extend(started)
        dispatch.schedule_poll(now_ms, stalled=stalled)
        return actions

    def on_answer_part(self, event: AnswerPartArrived, now_ms: int) -> list[Action]:
        """Handle an answer part; parts of ended attempts are ignored."""
        found = self._attempts.find(event.attempt_id, event.backend_server)
        if found is None:
            return []
        entry, attempt = found
        state = attempt.answer.add(event.part, event.parts, event.body)
        if state is AssemblyState.INVALID:
            cancel = CancelAttempt(attempt.backend_server, attempt.attempt_id)
            return [cancel, *self._on_attempt_failure(entry, attempt, FailureKind.RESET, now_ms)]
        if state is AssemblyState.PARTIAL:
            return []
        return self._on_complete_answer(entry, attempt, now_ms)

    def on_attempt_failed(self, event: AttemptFailed, now_ms: int) -> list[Action]:
        """Handle an attempt that ended without a complete answer."""
        found = self._attempts.find(event.attempt_id, event.backend_server)
        if found is None:
            return []
        return self._on_attempt_failure(*found, event.kind, now_ms)

    def cancel(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        """Cancel a request that its caller no longer wants."""
        if entry.state in WAITING_STATES:
            return self.refuse(entry, Refusal("cancelled", 0), now_ms)
        if entry.state is not RequestState.RUNNING:
            return []
        reason = Refusal("cancelled while it ran", 0)
        return self._finish_without_answer(entry, Outcome.UNKNOWN, reason, now_ms)

    def finish_as_unknown(self, entry: RequestEntry, reason: str, now_ms: int) -> list[Action]:
        """Finish an entry as ``UNKNOWN``, because another host may have run the request."""
        return self._finish_without_answer(entry, Outcome.UNKNOWN, Refusal(reason, 0), now_ms)

    def resend_outcome(self, entry: RequestEntry, caller: CallerAddress) -> list[Action]:
        """Send the outcome of a finished entry to a caller that sent the request again."""
        if entry.outcome is None:
            return []
        if entry.answer is not None:
            return _answer_actions([caller], entry.outcome, entry.answer)
        if entry.outcome.outcome is Outcome.ANSWERED:
            reason = "it ran, but its answer is no longer kept"
            return [AnswerCaller(caller, outcome_header(entry, Outcome.INCOMPLETE, reason))]
        return [AnswerCaller(caller, entry.outcome)]

    def on_timer(self, now_ms: int) -> list[Action]:
        """Handle the due request timers and queue polls."""
        actions: list[Action] = []
        for timer in self._timers.pop_due(now_ms):
            entry = self._request_table.get(timer.request_id)
            if entry is not None and entry.is_live:
                actions.extend(self._on_request_timer(entry, timer, now_ms))
        for dispatch in self._dispatches:
            if dispatch.poll_at_ms is not None and dispatch.poll_at_ms <= now_ms:
                actions.extend(self.start_queued(dispatch, now_ms))
        return actions

    def next_deadline_ms(self) -> int | None:
        """Return when the next request timer or queue poll is due."""
        polls = [d.poll_at_ms for d in self._dispatches]
        times = [t for t in (self._timers.next_ms(), *polls) if t is not None]
        return min(times, default=None)

    def _on_request_timer(self, entry: RequestEntry, timer: Timer, now_ms: int) -> list[Action]:
        if timer.kind is TimerKind.DEADLINE:
            return self._on_deadline(entry, now_ms)
        if timer.kind is TimerKind.LAST_START:
            return self._on_last_start(entry, now_ms)
        if timer.kind is TimerKind.RETRY:
            return self._on_retry(entry, now_ms)
        return self._start_hedge(entry, now_ms)

    def _on_deadline(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        # The timer may belong to an earlier entry: a request sent again under the same id can have
        # been admitted again, with a later deadline.
        if entry.deadline_ms > now_ms:
            return []
        reason = Refusal("the deadline passed", 0)
        if entry.state is not RequestState.RUNNING:
            outcome = Outcome.NOT_RUN if entry.claimed else Outcome.UNKNOWN
            return self._finish_without_answer(entry, outcome, reason, now_ms)
        for attempt in entry.attempts.values():
            self._health.on_failure(attempt.backend_server, FailureKind.TIMEOUT, now_ms)
        return self._finish_without_answer(entry, _outcome_after_run(entry), reason, now_ms)

    def _on_last_start(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        if entry.state not in (RequestState.QUEUED, RequestState.AWAITING_CLAIM):
            return []
        return self._refuse_late(entry, now_ms)

    def _refuse_late(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        dispatch = self._dispatches.for_entry(entry)
        wait_ms = round(dispatch.queue.wait_ms(entry.size, dispatch.slot_use(now_ms)))
        refusal = Refusal("it cannot finish by its deadline", max(1, wait_ms))
        return self.refuse(entry, refusal, now_ms)

    def _on_retry(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        if entry.state is not RequestState.AWAITING_RETRY:
            return []
        self._requeue(entry)
        return self.start_queued(self._dispatches.for_entry(entry), now_ms)

    def _start_hedge(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        dispatch = self._dispatches.for_entry(entry)
        if entry.state is not RequestState.RUNNING or len(entry.attempts) != 1:
            return []
        if len(dispatch.queue) or dispatch.slot_use(now_ms).free <= 0:
            return []
        if entry.attempts_made >= MAX_RUNS or not dispatch.retry_budget.take():
            return []
        return self._start_attempt(dispatch, entry, now_ms, hedge=True)

    def _requeue(self, entry: RequestEntry) -> None:
        entry.state = RequestState.QUEUED
        if entry.queued is not None:
            self._dispatches.for_entry(entry).queue.put_back(entry.queued)

    def _start_attempt(
        self, dispatch: ServiceDispatch, entry: RequestEntry, now_ms: int, *, hedge: bool = False
    ) -> list[Action]:
        """Start an attempt; if no server is available and it is no hedge, queue the entry again."""
        tried = frozenset(a.backend_server for a in entry.attempts.values())
        server = dispatch.slots.choose(idempotent=entry.idempotent, exclude=tried, now_ms=now_ms)
        if server is None:
            if not hedge:
                self._requeue(entry)
            return []
        if entry.attempts_made == 0 and entry.attempts_not_started == 0:
            dispatch.retry_budget.note_first_attempt()
        self._health.on_dispatched(server, now_ms)
        attempt = self._attempts.start(entry, server, now_ms)
        entry.state = RequestState.RUNNING
        if entry.idempotent and entry.size is SizeClass.SHORT and not hedge:
            hedge_ms = now_ms + dispatch.service_times.long_after_ms()
            self._timers.add(hedge_ms, TimerKind.HEDGE, entry.header.request_id)
        return [
            DispatchRequest(
                entry.header.service,
                server,
                attempt.attempt_id,
                entry.header.request_id,
                entry.body,
                entry.deadline_ms,
            )
        ]

    def _on_complete_answer(
        self, entry: RequestEntry, attempt: Attempt, now_ms: int
    ) -> list[Action]:
        dispatch = self._dispatches.for_entry(entry)
        self._health.on_success(attempt.backend_server, now_ms - attempt.started_at_ms, now_ms)
        dispatch.note_answer(entry, attempt, now_ms)
        self._attempts.end(entry, attempt, now_ms)
        actions: list[Action] = list(self._attempts.cancel_all(entry, now_ms))
        answer = attempt.answer.parts()
        header = AnswerHeader(
            entry.header.request_id,
            Outcome.ANSWERED,
            parts=len(answer),
            answer_id=attempt.attempt_id,
        )
        self._request_table.finish(entry, header, now_ms, answer=answer)
        actions.extend(_answer_actions(entry.callers, header, answer))
        actions.extend(self.start_queued(dispatch, now_ms))
        return actions

    def _on_attempt_failure(
        self, entry: RequestEntry, attempt: Attempt, kind: FailureKind, now_ms: int
    ) -> list[Action]:
        dispatch = self._dispatches.for_entry(entry)
        self._health.on_failure(attempt.backend_server, kind, now_ms)
        self._attempts.end(entry, attempt, now_ms)
        entry.has_partial_answer = entry.has_partial_answer or attempt.answer.has_parts
        if kind in NOT_STARTED_KINDS and not attempt.answer.has_parts:
            entry.attempts_made -= 1
            entry.attempts_not_started += 1
            dispatch.slots.note_refusal(attempt.backend_server, now_ms)
            actions = self._requeue_or_refuse(entry, now_ms)
        else:
            actions = self._retry_or_finish(entry, kind, now_ms)
        return [*actions, *self.start_queued(dispatch, now_ms)]

    def _requeue_or_refuse(self, entry: RequestEntry, now_ms: int) -> list[Action]:
        if entry.attempts:
            return []
        if entry.attempts_not_started >= MAX_ATTEMPTS_NOT_STARTED:
            refusal = Refusal("no backend server took it", MAX_ATTEMPTS_NOT_STARTED * 10)
            return self._refuse_not_started(entry, refusal, now_ms)
        self._requeue(entry)
        return []

    def _refuse_not_started(
        self, entry: RequestEntry, refusal: Refusal, now_ms: int
    ) -> list[Action]:
        """Refuse an entry that no server started, or report the outcome of an earlier run."""
        if entry.idempotent and entry.attempts_made > 0:
            return self._finish_without_answer(entry, _outcome_after_run(entry), refusal, now_ms)
        return self.refuse(entry, refusal, now_ms)

    def _retry_or_finish(self, entry: RequestEntry, kind: FailureKind, now_ms: int) -> list[Action]:
        if entry.attempts:
            return []
        reason = Refusal(f"the backend server's connection ended: {kind.value}", 0)
        if not entry.idempotent or not self._may_retry(entry, now_ms):
            return self._finish_without_answer(entry, _outcome_after_run(entry), reason, now_ms)
        delay_ms = backoff_ms(entry.attempts_made, self._random_source)
        entry.state = RequestState.AWAITING_RETRY
        self._timers.add(now_ms + delay_ms, TimerKind.RETRY, entry.header.request_id)
        return []

    def _may_retry(self, entry: RequestEntry, now_ms: int) -> bool:
        dispatch = self._dispatches.for_entry(entry)
        if entry.attempts_made >= MAX_RUNS or entry.queued is None:
            return False
        if now_ms > dispatch.queue.last_start_ms(entry.queued):
            return False
        return dispatch.retry_budget.take()

    def _finish_without_answer(
        self, entry: RequestEntry, outcome: Outcome, reason: Refusal, now_ms: int
    ) -> list[Action]:
        """Finish an entry and send its outcome, without an answer, to its callers."""
        dispatch = self._dispatches.for_entry(entry)
        dispatch.queue.remove(entry.header.request_id)
        self._claimant.forget(entry.header.request_id)
        had_slots = bool(entry.attempts)
        actions: list[Action] = list(self._attempts.cancel_all(entry, now_ms))
        header = outcome_header(entry, outcome, reason.reason, reason.retry_after_ms)
        self._request_table.finish(entry, header, now_ms)
        actions.extend(AnswerCaller(caller, header) for caller in entry.callers)
        if had_slots:
            actions.extend(self.start_queued(dispatch, now_ms))
        return actions


def _outcome_after_run(entry: RequestEntry) -> Outcome:
    started = entry.has_partial_answer or any(a.answer.has_parts for a in entry.attempts.values())
    return Outcome.INCOMPLETE if started else Outcome.UNKNOWN


def _answer_actions(
    callers: list[CallerAddress], header: AnswerHeader, answer: tuple[bytes, ...]
) -> list[Action]:
    return [
        AnswerCaller(caller, header._replace(part=part), body)
        for caller in callers
        for part, body in enumerate(answer)
    ]
