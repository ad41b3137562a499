"""The requests that a dispatcher knows: live and finished ones, and retained answers."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

import xxhash

from redwingswitch._internal.decisions.requests.admission import QueuedRequest, Refusal
from redwingswitch._internal.decisions.requests.answers import AnswerAssembly
from redwingswitch._internal.decisions.requests.claims import ClaimHolder
from redwingswitch._internal.decisions.requests.host_sets import CLAIM_RETENTION_MS
from redwingswitch._internal.models.configuration import SizeClass
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.messages import ForwardedRequest
from redwingswitch._internal.models.requests import AnswerHeader, Outcome, RequestHeader

MAX_LIVE_REQUESTS = 8_192
MAX_FINISHED_REQUESTS = 65_536
MAX_LIVE_BODY_BYTES = 32_000_000
MAX_RETAINED_ANSWER_BYTES = 8_000_000
ANSWER_RETENTION_MS = 30_000
MAX_CALLERS_PER_REQUEST = 4


class RequestState(Enum):
    """The state of a request at its dispatcher.

    ``AWAITING_CLAIM``: the request left the queue before its claim was decided. ``REFUSING``: it
    will not run, and its claim is pending; ``NOT_RUN`` is certain only once this host holds the
    claim. ``AWAITING_RETRY``: the delay before the next attempt is running. ``MOVED``: another host
    holds the claim, and the request was forwarded to it.
    """

    QUEUED = auto()
    AWAITING_CLAIM = auto()
    REFUSING = auto()
    RUNNING = auto()
    AWAITING_RETRY = auto()
    DONE = auto()
    MOVED = auto()


class Attempt:
    """One dispatch of a request to a backend server."""

    def __init__(self, *, attempt_id: int, backend_server: str, started_at_ms: int) -> None:
        self.attempt_id = attempt_id
        self.backend_server = backend_server
        self.started_at_ms = started_at_ms
        self.answer = AnswerAssembly()


class RequestEntry:
    """The state of one request at its dispatcher."""

    __slots__ = (
        "answer",
        "attempts",
        "attempts_made",
        "attempts_not_started",
        "body",
        "body_digest",
        "callers",
        "claimed",
        "deadline_ms",
        "expires_at_ms",
        "failure_domain",
        "has_partial_answer",
        "header",
        "holder",
        "hops",
        "idempotent",
        "outcome",
        "queued",
        "refusal",
        "size",
        "state",
    )

    def __init__(
        self,
        *,
        copy: ForwardedRequest,
        idempotent: bool,
        failure_domain: str,
        size: SizeClass,
        deadline_ms: int,
    ) -> None:
        self.header = copy.header
        self.idempotent = idempotent
        self.body = copy.body
        self.body_digest = xxhash.xxh3_128_digest(copy.body)
        self.callers = [copy.caller]
        self.failure_domain = failure_domain
        self.size = size
        self.deadline_ms = deadline_ms
        self.hops = copy.hops
        self.state = RequestState.QUEUED
        self.claimed = False
        self.refusal: Refusal | None = None
        self.queued: QueuedRequest | None = None
        self.attempts: dict[int, Attempt] = {}
        self.attempts_made = 0
        self.attempts_not_started = 0
        self.has_partial_answer = False
        self.holder: ClaimHolder | None = None
        self.outcome: AnswerHeader | None = None
        self.answer: tuple[bytes, ...] | None = None
        self.expires_at_ms = 0

    @property
    def is_live(self) -> bool:
        """Return whether the request has no outcome yet."""
        return self.state not in (RequestState.DONE, RequestState.MOVED)

    def is_same_request(self, header: RequestHeader, body: bytes) -> bool:
        """Return whether a copy is of this request; False when the id was reused for another."""
        same_service = header.service == self.header.service
        return same_service and xxhash.xxh3_128_digest(body) == self.body_digest

    def forwarded_copies(self, now_ms: int) -> list[ForwardedRequest]:
        """Return the request for forwarding, one copy for each caller address."""
        header = self.header._replace(remaining_ms=self.deadline_ms - now_ms)
        return [ForwardedRequest(header, self.body, c, self.hops) for c in self.callers]

    def add_caller(self, caller: CallerAddress) -> None:
        """Add the address that a copy came from, the latest first."""
        if caller in self.callers:
            self.callers.remove(caller)
        self.callers = [caller, *self.callers][:MAX_CALLERS_PER_REQUEST]


class RequestTable:
    """Stores live and finished entries, and retains complete answers within a byte limit.

    The entry of a finished non-idempotent request is kept for ``CLAIM_RETENTION_MS``: the witnesses
    would grant its id to this host again, so only this entry prevents a second dispatch. When the
    table is full, new requests are refused; only retained answers are evicted.
    """

    def __init__(self) -> None:
        self._entries: dict[bytes, RequestEntry] = {}
        # The expiry times by ``idempotent``. Each kind has one retention time, so each queue is in
        # order of expiry.
        self._finished: dict[bool, OrderedDict[bytes, int]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }
        self._retained_answers: OrderedDict[bytes, int] = OrderedDict()
        self._retained_bytes = 0
        self._live_bytes = 0
        self._live_count = 0

    def get(self, request_id: bytes) -> RequestEntry | None:
        """Return the entry of an id."""
        return self._entries.get(request_id)

    def live_entries(self) -> list[RequestEntry]:
        """Return the requests without an outcome."""
        return [entry for entry in self._entries.values() if entry.is_live]

    def live_count(self) -> int:
        """Return the number of requests without an outcome."""
        return self._live_count

    def add(self, entry: RequestEntry) -> bool:
        """Add a new live entry; return False when a limit is reached."""
        finished = len(self._entries) - self._live_count
        if self._live_count >= MAX_LIVE_REQUESTS or finished >= MAX_FINISHED_REQUESTS:
            return False
        if self._live_bytes + len(entry.body) > MAX_LIVE_BODY_BYTES:
            return False
        self._entries[entry.header.request_id] = entry
        self._live_count += 1
        self._live_bytes += len(entry.body)
        return True

    def remove(self, entry: RequestEntry) -> None:
        """Remove a finished entry whose request may run again."""
        request_id = entry.header.request_id
        self._entries.pop(request_id, None)
        self._finished[entry.idempotent].pop(request_id, None)
        self._drop_answer(request_id)

    def finish(
        self,
        entry: RequestEntry,
        outcome: AnswerHeader | None,
        now_ms: int,
        *,
        answer: tuple[bytes, ...] | None = None,
        state: RequestState = RequestState.DONE,
    ) -> None:
        """Record the outcome of a live entry and retain its answer."""
        request_id = entry.header.request_id
        self._live_count -= 1
        self._live_bytes -= len(entry.body)
        entry.body = b""
        entry.queued = None
        entry.state = state
        entry.outcome = outcome
        retention_ms = ANSWER_RETENTION_MS if entry.idempotent else CLAIM_RETENTION_MS
        entry.expires_at_ms = now_ms + retention_ms
        self._finished[entry.idempotent][request_id] = entry.expires_at_ms
        if answer is not None:
            self._retain_answer(entry, answer, now_ms)

    def expire(self, now_ms: int) -> None:
        """Remove the entries and answers whose retention has expired."""
        for finished in self._finished.values():
            for request_id in _expired_ids(finished, now_ms):
                del finished[request_id]
                self._drop_answer(request_id)
                self._entries.pop(request_id, None)
        for request_id in _expired_ids(self._retained_answers, now_ms):
            self._drop_answer(request_id)

    def _retain_answer(self, entry: RequestEntry, answer: tuple[bytes, ...], now_ms: int) -> None:
        entry.answer = answer
        self._retained_answers[entry.header.request_id] = now_ms + ANSWER_RETENTION_MS
        self._retained_bytes += _answer_bytes(answer)
        while self._retained_bytes > MAX_RETAINED_ANSWER_BYTES:
            self._drop_answer(next(iter(self._retained_answers)))

    def _drop_answer(self, request_id: bytes) -> None:
        if self._retained_answers.pop(request_id, None) is None:
            return
        entry = self._entries[request_id]
        if entry.answer is not None:
            self._retained_bytes -= _answer_bytes(entry.answer)
            entry.answer = None


def outcome_header(
    entry: RequestEntry, outcome: Outcome, reason: str, retry_after_ms: int = 0
) -> AnswerHeader:
    """Return the header that reports an outcome without an answer."""
    return AnswerHeader(
        entry.header.request_id, outcome, retry_after_ms=retry_after_ms, reason=reason
    )


def _expired_ids(queue: OrderedDict[bytes, int], now_ms: int) -> list[bytes]:
    due = []
    for request_id, expires_at_ms in queue.items():
        if expires_at_ms > now_ms:
            break
        due.append(request_id)
    return due


def _answer_bytes(answer: tuple[bytes, ...]) -> int:
    return sum(len(part) for part in answer)
