"""The middle stage of the pipeline: passes events to the decisions and actions to the performer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from logbook import Logger
from tornado.ioloop import IOLoop

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.parameters import EntryHostDecisions
from redwingswitch._internal.models.actions import Action
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.events import Event, TimerFired
from redwingswitch._internal.ports import Clock

log = Logger("pipeline")

MS_PER_S = 1_000


class Performer(Protocol):
    """Performs actions."""

    def perform(self, actions: Sequence[Action]) -> None:
        """Perform the actions in order."""


class Pipeline:
    """Passes events to one ``EntryHost`` and runs its timer."""

    def __init__(
        self,
        *,
        entry_host: EntryHostDecisions,
        performer: Performer,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._entry_host = entry_host
        self._performer = performer
        self._clock = clock
        self._metrics = metrics
        self._loop = IOLoop.current()
        self._timer: object | None = None
        self._timer_deadline_ms: int | None = None
        self._is_timer_update_scheduled = False
        self._closed = False

    def submit(self, event: Event) -> None:
        """Handle an event and perform the resulting actions."""
        self._handle_and_perform(
            type(event).__name__, lambda now_ms: self._entry_host.handle(event, now_ms)
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a parsed revision and perform the resulting actions."""
        self._handle_and_perform(
            "Configuration",
            lambda now_ms: self._entry_host.apply_configuration(configuration, now_ms),
        )

    def start_timer(self) -> None:
        """Start the timer for the next deadline of the decisions."""
        self._schedule_timer_update()

    def close(self) -> None:
        """Ignore all later events."""
        self._closed = True
        self._cancel_timer()

    def _handle_and_perform(self, event_name: str, decide: Callable[[int], list[Action]]) -> None:
        if self._closed:
            return
        try:
            self._performer.perform(decide(self._clock.now_ms()))
        except Exception:
            # An error with one event must not end the process and break all its flows.
            log.exception(f"the handling of {event_name} failed")
            self._metrics.count("faults_total", event_name)
        self._schedule_timer_update()

    def _schedule_timer_update(self) -> None:
        # Reads the next deadline once per batch of packets rather than once per packet.
        if not self._is_timer_update_scheduled:
            self._is_timer_update_scheduled = True
            self._loop.add_callback(self._update_timer)

    def _update_timer(self) -> None:
        self._is_timer_update_scheduled = False
        if self._closed:
            return
        deadline_ms = self._entry_host.next_deadline_ms()
        if deadline_ms == self._timer_deadline_ms and self._timer is not None:
            return
        self._cancel_timer()
        if deadline_ms is None:
            return
        delay_ms = max(0, deadline_ms - self._clock.now_ms())
        self._timer_deadline_ms = deadline_ms
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        self._timer = None
        self._timer_deadline_ms = None

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_deadline_ms = None
        self.submit(TimerFired())
