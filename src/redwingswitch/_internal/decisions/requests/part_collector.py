"""Assembly of requests that arrive in several parts."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.messages import ForwardedRequest
from redwingswitch._internal.models.requests import RequestHeader

MAX_INCOMPLETE_REQUESTS = 1_024
MAX_PARTS = 1_024
MAX_REQUEST_BYTES = 1_000_000
MAX_COLLECTED_BYTES = 16_000_000
COMPLETED_ID_RETENTION_MS = 90_000
MAX_COMPLETED_IDS = 16_384


class AddPartResult(NamedTuple):
    """The result of a new part: the complete body, a refusal, or neither if parts are missing."""

    body: bytes | None = None
    refusal: str = ""


class ExpiredRequest(NamedTuple):
    """A request whose deadline passed before all its parts arrived.

    ``copy`` has its header and caller, but no body. ``completed_before`` is true if all parts had
    arrived once before; the parts received since then are repetitions.
    """

    copy: ForwardedRequest
    completed_before: bool


class _IncompleteRequest:
    """The parts of a request that have arrived so far."""

    def __init__(self, *, header: RequestHeader, caller: CallerAddress, deadline_ms: int) -> None:
        self.header = header
        self.caller = caller
        self.deadline_ms = deadline_ms
        self.parts: dict[int, bytes] = {}

    def body_bytes(self) -> int:
        return sum(len(body) for body in self.parts.values())


class PartCollector:
    """Collects request parts within limits on their number, size and age."""

    def __init__(self) -> None:
        self._incomplete: dict[bytes, _IncompleteRequest] = {}
        self._completed: dict[bytes, int] = {}
        self._byte_count = 0

    def __len__(self) -> int:
        return len(self._incomplete)

    def add(
        self,
        header: RequestHeader,
        body: bytes,
        caller: CallerAddress,
        *,
        deadline_ms: int,
        now_ms: int,
    ) -> AddPartResult:
        """Add one part; a part that arrives again is ignored."""
        request = self._incomplete.get(header.request_id)
        if request is None:
            if len(self._incomplete) >= MAX_INCOMPLETE_REQUESTS:
                return AddPartResult(refusal="too many requests are being collected")
            request = _IncompleteRequest(header=header, caller=caller, deadline_ms=deadline_ms)
            self._incomplete[header.request_id] = request
        if (header.parts, header.service) != (request.header.parts, request.header.service):
            return AddPartResult(refusal="the request id is in use for another request")
        if header.part in request.parts:
            return AddPartResult()
        return self._store(request, header, body, now_ms)

    def cancel(self, request_id: bytes) -> None:
        """Remove an incomplete request and its parts."""
        request = self._incomplete.pop(request_id, None)
        if request is not None:
            self._byte_count -= request.body_bytes()

    def on_timer(self, now_ms: int) -> list[ExpiredRequest]:
        """Remove and return the incomplete requests whose deadline has passed."""
        expired = [r for r in self._incomplete.values() if r.deadline_ms <= now_ms]
        for request in expired:
            self.cancel(request.header.request_id)
        result = [
            ExpiredRequest(
                ForwardedRequest(r.header, b"", r.caller, hops=0),
                r.header.request_id in self._completed,
            )
            for r in expired
        ]
        self._expire_completed(now_ms)
        return result

    def next_deadline_ms(self) -> int | None:
        """Return the nearest deadline of an incomplete request."""
        return min((r.deadline_ms for r in self._incomplete.values()), default=None)

    def remove_all(self, now_ms: int) -> list[ForwardedRequest]:
        """Remove and return all parts, so that another host can collect the rest."""
        stored_parts = [
            ForwardedRequest(
                r.header._replace(part=part, remaining_ms=r.deadline_ms - now_ms),
                body,
                r.caller,
                hops=0,
            )
            for r in self._incomplete.values()
            for part, body in r.parts.items()
        ]
        self._incomplete.clear()
        self._byte_count = 0
        return stored_parts

    def _store(
        self, request: _IncompleteRequest, header: RequestHeader, body: bytes, now_ms: int
    ) -> AddPartResult:
        if request.body_bytes() + len(body) > MAX_REQUEST_BYTES:
            self.cancel(header.request_id)
            return AddPartResult(refusal="the request is too large")
        if self._byte_count + len(body) > MAX_COLLECTED_BYTES:
            self.cancel(header.request_id)
            return AddPartResult(refusal="too many bytes are being collected")
        request.parts[header.part] = body
        self._byte_count += len(body)
        if len(request.parts) < header.parts:
            return AddPartResult()
        self.cancel(header.request_id)
        self._remember_completed(header.request_id, now_ms)
        return AddPartResult(body=b"".join(request.parts[i] for i in range(header.parts)))

    def _remember_completed(self, request_id: bytes, now_ms: int) -> None:
        self._completed.pop(request_id, None)
        self._completed[request_id] = now_ms + COMPLETED_ID_RETENTION_MS
        if len(self._completed) > MAX_COMPLETED_IDS:
            del self._completed[next(iter(self._completed))]

    def _expire_completed(self, now_ms: int) -> None:
        while self._completed:
            oldest = next(iter(self._completed))
            if self._completed[oldest] > now_ms:
                return
            del self._completed[oldest]
