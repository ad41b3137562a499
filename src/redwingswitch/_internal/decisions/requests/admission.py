"""The bounded admission queue of one service at its dispatcher.

The size class of a request, short or long, is its expected duration. Each size class has its own
queue, in which callers are served round-robin. Some slots are reserved for short requests, and long
requests have a guaranteed minimum of slots. A request that most likely cannot finish by its
deadline is refused at once.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

from redwingswitch._internal.decisions.requests.service_times import ServiceTimes
from redwingswitch._internal.models.configuration import SizeClass

MAX_QUEUED_REQUESTS = 1_024
CALLER_SHARE_DIVISOR = 4
RESERVED_SLOTS_DIVISOR = 2
LONG_MINIMUM_DIVISOR = 4
MAX_SHORT_WAIT_RATIO = 0.5
LONG_AGEING_MS = 5_000
MAX_AGED_LONG_SLOTS = 1
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000


class QueuedRequest(NamedTuple):
    """A request in the queue."""

    request_id: bytes
    caller: str
    size: SizeClass
    queued_at_ms: int
    deadline_ms: int


class SlotUse(NamedTuple):
    """The number of slots of a dispatcher, and of those that each size class occupies."""

    total: int
    short: int
    long: int

    @property
    def free(self) -> int:
        """Return the number of unoccupied slots."""
        return max(0, self.total - self.short - self.long)

    @property
    def reserved(self) -> int:
        """Return the number of slots reserved for short requests."""
        return self.total // RESERVED_SLOTS_DIVISOR

    @property
    def long_minimum(self) -> int:
        """Return the number of slots that long requests may use even while short ones wait."""
        return max(1, self.total // LONG_MINIMUM_DIVISOR) if self.total > 1 else 0


class Refusal(NamedTuple):
    """The reason why a request was refused, and the delay after which to retry it."""

    reason: str
    retry_after_ms: int


class _SizeClassQueue:
    """The waiting requests of one size class: a queue per caller, served round-robin."""

    def __init__(self) -> None:
        self._queues_by_caller: OrderedDict[str, deque[QueuedRequest]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[QueuedRequest]:
        for waiting in self._queues_by_caller.values():
            yield from waiting

    def count(self, caller: str) -> int:
        return len(self._queues_by_caller.get(caller, ()))

    def push(self, request: QueuedRequest) -> None:
        self._queues_by_caller.setdefault(request.caller, deque()).append(request)
        self._size += 1

    def push_front(self, request: QueuedRequest) -> None:
        self._queues_by_caller.setdefault(request.caller, deque()).appendleft(request)
        self._queues_by_caller.move_to_end(request.caller, last=False)
        self._size += 1

    def pop(self) -> QueuedRequest:
        caller, waiting = self._queues_by_caller.popitem(last=False)
        request = waiting.popleft()
        if waiting:
            self._queues_by_caller[caller] = waiting
        self._size -= 1
        return request

    def remove(self, request: QueuedRequest) -> None:
        waiting = self._queues_by_caller[request.caller]
        waiting.remove(request)
        self._size -= 1
        if not waiting:
            del self._queues_by_caller[request.caller]

    def oldest_queued_at_ms(self) -> int | None:
        return min((q[0].queued_at_ms for q in self._queues_by_caller.values()), default=None)


class AdmissionQueue:
    """Admits and orders the waiting requests of one service."""

    def __init__(self, *, times: ServiceTimes, bound: int = MAX_QUEUED_REQUESTS) -> None:
        self._times = times
        self._bound = bound
        self._queues_by_size = {size: _SizeClassQueue() for size in SizeClass}
        self._by_id: dict[bytes, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._by_id

    def ids(self) -> tuple[bytes, ...]:
        """Return the ids of all waiting requests."""
        return tuple(self._by_id)

    def waiting(self, size: SizeClass) -> int:
        """Return the number of waiting requests of a size class."""
        return len(self._queues_by_size[size])

    def offer(self, request: QueuedRequest, use: SlotUse, now_ms: int) -> Refusal | None:
        """Add a request to the queue, or return why it is refused."""
        wait_ms = self.wait_ms(request.size, use)
        if len(self._by_id) >= self._bound:
            return Refusal("the queue is full", _retry_after_ms(wait_ms))
        if self._caller_count(request.caller) >= max(1, self._bound // CALLER_SHARE_DIVISOR):
            return Refusal("the caller's share of the queue is full", _retry_after_ms(wait_ms))
        if not self._is_feasible(request, wait_ms, now_ms):
            return Refusal("the deadline is too near", _retry_after_ms(wait_ms))
        self._by_id[request.request_id] = request
        self._queues_by_size[request.size].push(request)
        return None

    def put_back(self, request: QueuedRequest) -> None:
        """Put a request that did not start back at the head of its size class."""
        self._by_id[request.request_id] = request
        self._queues_by_size[request.size].push_front(request)

    def remove(self, request_id: bytes) -> QueuedRequest | None:
        """Remove and return a waiting request; return None when it is not in the queue."""
        request = self._by_id.pop(request_id, None)
        if request is not None:
            self._queues_by_size[request.size].remove(request)
        return request

    def take(self, use: SlotUse, now_ms: int) -> QueuedRequest | None:
        """Remove and return the next request for a free slot; None when none may start."""
        size = self._next_size(use, now_ms)
        if size is None:
            return None
        request = self._queues_by_size[size].pop()
        del self._by_id[request.request_id]
        return request

    def last_start_ms(self, request: QueuedRequest) -> int:
        """Return the latest start time with which a request most likely meets its deadline."""
        return request.deadline_ms - round(self._times.cautious_ms(request.size))

    def next_aged_ms(self) -> int | None:
        """Return when the oldest long request may use a slot reserved for short requests."""
        oldest_queued_at_ms = self._queues_by_size[SizeClass.LONG].oldest_queued_at_ms()
        return None if oldest_queued_at_ms is None else oldest_queued_at_ms + LONG_AGEING_MS

    def wait_ms(self, size: SizeClass, use: SlotUse) -> float:
        """Estimate how long a new request of a size class would wait for a slot."""
        queued_ahead = len(self._queues_by_size[size])
        slots, available_slots = _slots_for_size(size, use, self.waiting(_other_size(size)) > 0)
        if queued_ahead < available_slots:
            return 0.0
        return (queued_ahead - available_slots + 1) * self._times.mean_ms(size) / slots

    def _is_feasible(self, request: QueuedRequest, wait_ms: float, now_ms: int) -> bool:
        """Return whether a request most likely finishes by its deadline.

        Service times vary, so a queue as long as the deadlines allow leads to late answers. A short
        request may therefore wait for at most half of its remaining time. Long requests are rare
        and may wait for nearly all of it.
        """
        remaining_ms = request.deadline_ms - now_ms
        if request.size is SizeClass.SHORT and wait_ms > MAX_SHORT_WAIT_RATIO * remaining_ms:
            return False
        return wait_ms + self._times.cautious_ms(request.size) <= remaining_ms

    def _caller_count(self, caller: str) -> int:
        return sum(queue.count(caller) for queue in self._queues_by_size.values())

    def _next_size(self, use: SlotUse, now_ms: int) -> SizeClass | None:
        if use.free <= 0:
            return None
        short, long = self._queues_by_size[SizeClass.SHORT], self._queues_by_size[SizeClass.LONG]
        if long and use.long < use.long_minimum:
            return SizeClass.LONG
        if short:
            return SizeClass.SHORT
        if long and use.long < self._long_limit(use, now_ms):
            return SizeClass.LONG
        return None

    def _long_limit(self, use: SlotUse, now_ms: int) -> int:
        limit = use.total - use.reserved
        aged_at_ms = self.next_aged_ms()
        if aged_at_ms is not None and aged_at_ms <= now_ms:
            limit += MAX_AGED_LONG_SLOTS
        return limit


def _other_size(size: SizeClass) -> SizeClass:
    return SizeClass.LONG if size is SizeClass.SHORT else SizeClass.SHORT


def _slots_for_size(size: SizeClass, use: SlotUse, other_size_waits: bool) -> tuple[int, int]:
    """Return the number of slots that a size class can use, and how many of them are free."""
    if size is SizeClass.SHORT:
        kept_for_long = use.long_minimum if other_size_waits else 0
        slots = max(1, use.total - max(use.long, kept_for_long))
        return slots, min(use.free, max(0, slots - use.short))
    slots = max(1, use.total - use.reserved)
    return slots, min(use.free, max(0, slots - use.long))


def _retry_after_ms(wait_ms: float) -> int:
    return round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
