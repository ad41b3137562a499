"""The running attempts of a host, indexed by attempt id.

An attempt is one dispatch of a request to a backend server.
"""

from __future__ import annotations

from redwingswitch._internal.decisions.requests.dispatch import DispatchTable
from redwingswitch._internal.decisions.requests.request_table import Attempt, RequestEntry
from redwingswitch._internal.models.actions import CancelAttempt
from redwingswitch._internal.ports import RandomSource

ATTEMPT_ID_BITS = 30
ATTEMPT_COUNTER_BITS = 32


class AttemptTable:
    """Starts, finds and ends attempts; their number is bounded by the backend servers' slots."""

    def __init__(self, *, dispatches: DispatchTable, random_source: RandomSource) -> None:
        self._dispatches = dispatches
        # The first id is random, so that a late answer to an attempt of an earlier process of this
        # host does not match an attempt of this one.
        self._last_attempt_id = random_source.getrandbits(ATTEMPT_ID_BITS) << ATTEMPT_COUNTER_BITS
        self._attempts: dict[int, tuple[RequestEntry, Attempt]] = {}

    def start(self, entry: RequestEntry, server: str, now_ms: int) -> Attempt:
        """Create an attempt of an entry at a backend server and occupy a slot."""
        self._last_attempt_id += 1
        attempt = Attempt(
            attempt_id=self._last_attempt_id, backend_server=server, started_at_ms=now_ms
        )
        self._attempts[attempt.attempt_id] = (entry, attempt)
        self._dispatches.for_entry(entry).start(entry, attempt, now_ms)
        return attempt

    def find(self, attempt_id: int, server: str) -> tuple[RequestEntry, Attempt] | None:
        """Return a running attempt, or None when it has ended or runs at another server."""
        found = self._attempts.get(attempt_id)
        if found is None or found[1].backend_server != server:
            return None
        return found

    def end(self, entry: RequestEntry, attempt: Attempt, now_ms: int) -> None:
        """End an attempt and free its slot."""
        self._attempts.pop(attempt.attempt_id, None)
        self._dispatches.for_entry(entry).end(entry, attempt, now_ms)

    def cancel_all(self, entry: RequestEntry, now_ms: int) -> list[CancelAttempt]:
        """End all attempts of an entry; return the cancellations for their backend servers."""
        attempts = list(entry.attempts.values())
        for attempt in attempts:
            self.end(entry, attempt, now_ms)
        return [CancelAttempt(a.backend_server, a.attempt_id) for a in attempts]
