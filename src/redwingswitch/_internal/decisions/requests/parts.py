"""Collection of the parts of requests."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.messages import ForwardedRequest
from redwingswitch._internal.models.requests import RequestHeader

MAX_COLLECTIONS = 1_024
MAX_PARTS = 1_024
MAX_REQUEST_BYTES = 1_000_000
MAX_COLLECTED_BYTES = 16_000_000
REPEAT_MEMORY_MS = 90_000
MAX_REMEMBERED = 16_384


class Collected(NamedTuple):
    """What a new part led to: a whole body, a refusal, or neither while parts are missing."""

    body: bytes | None = None
    refusal: str = ""


class Lapsed(NamedTuple):
    """A collection whose deadline passed; ``repeated`` if the request was whole before."""

    copy: ForwardedRequest
    repeated: bool


class _Collection:
    def __init__(self, *, header: RequestHeader, caller: CallerAddress, deadline_ms: int) -> None:
        self.header = header
        self.caller = caller
        self.deadline_ms = deadline_ms
        self.parts: dict[int, bytes] = {}

    def body_bytes(self) -> int:
        return sum(len(body) for body in self.parts.values())


class PartCollector:
    """Collects request parts within bounds of count, bytes and time."""

    def __init__(self) -> None:
        self._collections: dict[bytes, _Collection] = {}
        self._finished: dict[bytes, int] = {}
        self._bytes = 0

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
    ) -> Collected:
        """Take one part; parts that arrive twice count once."""
        collection = self._collections.get(header.request_id)
        if collection is None:
            if len(self._collections) >= MAX_COLLECTIONS:
                return Collected(refusal="too many requests are being collected")
            collection = _Collection(header=header, caller=caller, deadline_ms=deadline_ms)
            self._collections[header.request_id] = collection
        if (header.parts, header.service) != (collection.header.parts, collection.header.service):
            return Collected(refusal="the request id is in use for another request")
        if header.part in collection.parts:
            return Collected()
        return self._store(collection, header, body, now_ms)

    def cancel(self, request_id: bytes) -> None:
        """Drop a collection."""
        collection = self._collections.pop(request_id, None)
        if collection is not None:
            self._bytes -= collection.body_bytes()

    def on_timer(self, now_ms: int) -> list[Lapsed]:
        """Drop and return the collections whose deadline has passed."""
        late = [c for c in self._collections.values() if c.deadline_ms <= now_ms]
        for collection in late:
            self.cancel(collection.header.request_id)
        lapsed = [
            Lapsed(
                ForwardedRequest(c.header, b"", c.caller, hops=0),
                c.header.request_id in self._finished,
            )
            for c in late
        ]
        self._forget(now_ms)
        return lapsed

    def next_deadline_ms(self) -> int | None:
        """Return the nearest deadline of a collection."""
        return min((c.deadline_ms for c in self._collections.values()), default=None)

    def drain(self, now_ms: int) -> list[ForwardedRequest]:
        """Remove and return all parts, for another host to go on collecting."""
        held = [
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
        self._bytes = 0
        return held

    def _store(
        self, collection: _Collection, header: RequestHeader, body: bytes, now_ms: int
    ) -> Collected:
        if collection.body_bytes() + len(body) > MAX_REQUEST_BYTES:
            self.cancel(header.request_id)
            return Collected(refusal="the request is too large")
        if self._bytes + len(body) > MAX_COLLECTED_BYTES:
            self.cancel(header.request_id)
            return Collected(refusal="too many bytes are being collected")
        collection.parts[header.part] = body
        self._bytes += len(body)
        if len(collection.parts) < header.parts:
            return Collected()
        self.cancel(header.request_id)
        self._remember(header.request_id, now_ms)
        return Collected(body=b"".join(collection.parts[i] for i in range(header.parts)))

    def _remember(self, request_id: bytes, now_ms: int) -> None:
        self._finished.pop(request_id, None)
        self._finished[request_id] = now_ms + REPEAT_MEMORY_MS
        if len(self._finished) > MAX_REMEMBERED:
            del self._finished[next(iter(self._finished))]

    def _forget(self, now_ms: int) -> None:
        while self._finished:
            oldest = next(iter(self._finished))
            if self._finished[oldest] > now_ms:
                return
            del self._finished[oldest]
