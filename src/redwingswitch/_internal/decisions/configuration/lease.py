"""A lease in the store, with its expiry measured on the local clock."""

from __future__ import annotations

from redwingswitch._internal.models.actions import AcquireLease, Action, Log, ReleaseLease
from redwingswitch._internal.models.events import LeaseGranted
from redwingswitch._internal.ports import RandomSource

RENEWALS_PER_TTL = 3
# Covers the drift between the local clock and the store's clock during one lease.
SAFETY_MARGIN_RATIO = 0.1
JITTER_RATIO = 0.2
MIN_RETRY_MS = 500
MAX_RETRY_MS = 4_000


class LeaseHolder:
    """Acquires, renews and releases one lease.

    The time to live counts from the request, not from the answer, so that the lease expires here
    before it expires at the store. A holder that resumes after a long pause therefore no longer
    holds the lease. A pause can also fall between that check and a write, so writes that the
    lease protects must carry ``fencing_version``, which the store compares.
    """

    def __init__(self, *, key: str, holder: str, ttl_ms: int, random_source: RandomSource) -> None:
        self._key = key
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._random = random_source
        self._wanted = False
        self._held_until_ms: int | None = None
        self._released_ms: int | None = None
        self._last_grant_asked_ms = -1
        self._next_acquire_ms: int | None = None
        self._failures = 0
        self._fencing_version: int | None = None

    @property
    def fencing_version(self) -> int | None:
        """Return the version of the lease key at the last grant, or None before the first one."""
        return self._fencing_version

    def holds(self, now_ms: int) -> bool:
        """Return whether the lease is held, allowing for clock drift."""
        return self._held_until_ms is not None and now_ms < self._held_until_ms

    def held_until_ms(self) -> int | None:
        """Return when the lease expires unless it is renewed, or None."""
        return self._held_until_ms

    def want(self, now_ms: int, *, delay_ms: int = 0) -> None:
        """Acquire the lease after ``delay_ms``, and renew it until it is released."""
        if not self._wanted:
            self._wanted = True
            self._next_acquire_ms = now_ms + delay_ms

    def release(self, now_ms: int) -> list[Action]:
        """Release the lease and stop requesting it."""
        self._wanted = False
        self._next_acquire_ms = None
        self._released_ms = now_ms
        if self._held_until_ms is None:
            return []
        self._held_until_ms = None
        return [ReleaseLease(self._key)]

    def on_granted(self, event: LeaseGranted, now_ms: int) -> list[Action]:
        """Record a grant; release it if the lease is no longer wanted.

        A grant is ignored if its request precedes the last release or the request of a newer grant.
        """
        if not self._wanted or event.asked_ms <= (self._released_ms or -1):
            return [] if self._wanted else [ReleaseLease(self._key)]
        if event.asked_ms < self._last_grant_asked_ms:
            return []
        self._last_grant_asked_ms = event.asked_ms
        self._fencing_version = event.fencing_version
        self._held_until_ms = event.asked_ms + int(self._ttl_ms * (1 - SAFETY_MARGIN_RATIO))
        self._failures = 0
        self._next_acquire_ms = max(
            now_ms, event.asked_ms + self._jittered(self._renewal_interval_ms())
        )
        return []

    def on_refused(self, now_ms: int) -> list[Action]:
        """Record that another host holds the lease, or that a renewal was too late."""
        self._held_until_ms = None
        if self._wanted:
            self._next_acquire_ms = now_ms + self._jittered(self._renewal_interval_ms())
        return []

    def on_unavailable(self, now_ms: int) -> list[Action]:
        """Retry with exponential backoff after a failed call to the store.

        The failed call may be an unrelated one, so it never delays a renewal.
        """
        backoff_ms = min(MAX_RETRY_MS, MIN_RETRY_MS << min(self._failures, 8))
        self._failures += 1
        if self._next_acquire_ms is None:
            return []
        self._next_acquire_ms = min(self._next_acquire_ms, now_ms + self._jittered(backoff_ms))
        if self._failures > 1:
            return []
        return [Log("lease", "warning", f"the store did not answer; asking for {self._key} again")]

    def next_deadline_ms(self) -> int | None:
        """Return when the next request is due or the lease expires, or None."""
        deadlines = (self._next_acquire_ms, self._held_until_ms)
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Drop an expired lease and send a request if one is due."""
        actions: list[Action] = []
        if self._held_until_ms is not None and now_ms >= self._held_until_ms:
            self._held_until_ms = None
            actions.append(Log("lease", "warning", f"the lease on {self._key} has lapsed"))
        if self._next_acquire_ms is None or now_ms < self._next_acquire_ms:
            return actions
        # An answer sets an earlier time; this one applies if no answer arrives.
        self._next_acquire_ms = now_ms + self._jittered(self._ttl_ms)
        return [*actions, AcquireLease(self._key, self._holder, self._ttl_ms, now_ms)]

    def _renewal_interval_ms(self) -> int:
        return self._ttl_ms // RENEWALS_PER_TTL

    def _jittered(self, delay_ms: int) -> int:
        return int(delay_ms * (1 - JITTER_RATIO * self._random.random()))
