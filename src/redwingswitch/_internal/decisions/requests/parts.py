"""Assembly of requests that arrive in several parts."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.messages import ForwardedRequest
from redwingswitch._internal.models.requests import RequestHeader

MAX_COLLECTIONS = 1_024
MAX_PARTS = 1_024
MAX_REQUEST_BYTES = 1_000_000
MAX_COLLECTED_BYTES = 16_000_000
COMPLETED_RETENTION_MS = 90_000
MAX_COMPLETED_IDS = 16_384


class CollectionResult(NamedTuple):
    """The result of a new part: the complete body, a refusal, or neither if parts are missing."""

    body: bytes | None = None
    refusal: str = ""


class ExpiredCollection(NamedTuple):
    """A collection whose deadline passed before all parts arrived.

    ``completed_before`` is true if an earlier collection of the same request was complete.
    """

    copy: ForwardedRequest
    completed_before: bool


class _Collection:
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
        self._collections: dict[bytes, _Collection] = {}
        self._completed: dict[bytes, int] = {}
        self._byte_count = 0

    def __len__(self) -> int:
        return len(self._collections)

    def add(
        self,
        header: RequestHeader,
        body: bytes,
        caller: CallerAddress,
        *,
        deadline_ms: int,
        now_ms: int,
    ) -> CollectionResult:
        """Add one part; a part that arrives again is ignored."""
        collection = self._collections.get(header.request_id)
        if collection is None:
            if len(self._collections) >= MAX_COLLECTIONS:
                return CollectionResult(refusal="too many requests are being collected")
            collection = _Collection(header=header, caller=caller, deadline_ms=deadline_ms)
            self._collections[header.request_id] = collection
        if (header.parts, header.service) != (collection.header.parts, collection.header.service):
            return CollectionResult(refusal="the request id is in use for another request")
        if header.part in collection.parts:
            return CollectionResult()
        return self._store(collection, header, body, now_ms)

    def cancel(self, request_id: bytes) -> None:
        """Remove a collection and its parts."""
        collection = self._collections.pop(request_id, None)
        if collection is not None:
            self._byte_count -= collection.body_bytes()

    def on_timer(self, now_ms: int) -> list[ExpiredCollection]:
        """Remove and return the collections whose deadline has passed."""
        expired = [c for c in self._collections.values() if c.deadline_ms <= now_ms]
        for collection in expired:
            self.cancel(collection.header.request_id)
        result = [
            ExpiredCollection(
                ForwardedRequest(c.header, b"", c.caller, hops=0),
                c.header.request_id in self._completed,
            )
            for c in expired
        ]
        self._expire_completed(now_ms)
        return result

    def next_deadline_ms(self) -> int | None:
        """Return the nearest deadline of a collection."""
        return min((c.deadline_ms for c in self._collections.values()), default=None)

    def remove_all(self, now_ms: int) -> list[ForwardedRequest]:
        """Remove and return all parts, so that another host can continue the collections."""
        stored_parts = [
            ForwardedRequest(
                c.header._replace(part=part, remaining_ms=c.deadline_ms - now_ms),
                body,
                c.caller,
                hops=0,
            )
            for c in self._collections.values()
            for part, body in c.parts.items()
        ]
        self._collections.clear()
        self._byte_count = 0
        return stored_parts

    def _store(
        self, collection: _Collection, header: RequestHeader, body: bytes, now_ms: int
    ) -> CollectionResult:
        if collection.body_bytes() + len(body) > MAX_REQUEST_BYTES:
            self.cancel(header.request_id)
            return CollectionResult(refusal="the request is too large")
        if self._byte_count + len(body) > MAX_COLLECTED_BYTES:
            self.cancel(header.request_id)
            return CollectionResult(refusal="too many bytes are being collected")
        collection.parts[header.part] = body
        self._byte_count += len(body)
        if len(collection.parts) < header.parts:
            return CollectionResult()
        self.cancel(header.request_id)
        self._remember_completed(header.request_id, now_ms)
        return CollectionResult(body=b"".join(collection.parts[i] for i in range(header.parts)))

    def _remember_completed(self, request_id: bytes, now_ms: int) -> None:
        self._completed.pop(request_id, None)
        self._completed[request_id] = now_ms + COMPLETED_RETENTION_MS
        if len(self._completed) > MAX_COMPLETED_IDS:
            del self._completed[next(iter(self._completed))]

    def _expire_completed(self, now_ms: int) -> None:
        while self._completed:
            oldest = next(iter(self._completed))
            if self._completed[oldest] > now_ms:
                return
            del self._completed[oldest]
