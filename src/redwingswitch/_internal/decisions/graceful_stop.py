"""Graceful stop of an entry host."""

from __future__ import annotations

from redwingswitch._internal.models.actions import Action, Log, StopCompleted


class GracefulStop:
    """Completes when no request is in progress and the hand-over is done, or at the deadline.

    The hand-over sends the records that this host owns to their new owners.
    """

    def __init__(self) -> None:
        self._grace_deadline_ms: int | None = None
        self._requests_in_progress = 0
        self._hand_over_done = False
        self._completed = False

    @property
    def stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self._grace_deadline_ms is not None

    @property
    def completed(self) -> bool:
        """Return whether the process may exit."""
        return self._completed

    def begin(self, grace_deadline_ms: int, now_ms: int) -> list[Action]:
        """Begin the stop; a repeated call can only bring the deadline forward."""
        if self._grace_deadline_ms is not None:
            grace_deadline_ms = min(grace_deadline_ms, self._grace_deadline_ms)
        self._grace_deadline_ms = grace_deadline_ms
        remaining_ms = max(0, grace_deadline_ms - now_ms)
        return [Log("drain", "info", f"graceful stop begun, {remaining_ms} ms of grace")]

    def update(self, requests_in_progress: int, hand_over_done: bool, now_ms: int) -> list[Action]:
        """Record progress; return ``StopCompleted`` once, when the stop is complete."""
        self._requests_in_progress = requests_in_progress
        self._hand_over_done = hand_over_done
        if not self.stopping or self._completed:
            return []
        if requests_in_progress == 0 and hand_over_done:
            return self._complete(0)
        return self.on_timer(now_ms)

    def next_deadline_ms(self) -> int | None:
        """Return the grace deadline during a stop, otherwise None."""
        return None if self._completed else self._grace_deadline_ms

    def on_timer(self, now_ms: int) -> list[Action]:
        """Complete the stop at the grace deadline, cutting off the requests in progress."""
        if self._grace_deadline_ms is None or self._completed:
            return []
        if now_ms < self._grace_deadline_ms:
            return []
        state = "done" if self._hand_over_done else "not done"
        text = f"grace ended: {self._requests_in_progress} request(s) cut off, hand-over {state}"
        return [Log("drain", "warning", text), *self._complete(self._requests_in_progress)]

    def _complete(self, cut_off_requests: int) -> list[Action]:
        self._completed = True
        return [StopCompleted(cut_off_requests)]
