"""The middle of the pipeline: hand events to the decisions and their actions to the performer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from logbook import Logger
from tornado.ioloop import IOLoop

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.parameters import EntryHostPort
from redwingswitch._internal.models.actions import Action
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.events import Event, TimerFired
from redwingswitch._internal.ports import Clock

log = Logger("pipeline")

MS_PER_S = 1_000


class Performer(Protocol):
    """Carries actions out."""

    def perform(self, actions: Sequence[Action]) -> None:
        """Carry the actions out in order."""


class Pipeline:
    """Drives one ``EntryHost`` with events, and its timer with the clock."""

    def __init__(
        self, *, entry_host: EntryHostPort, performer: Performer, clock: Clock, metrics: Metrics
    ) -> None:
        self._entry_host = entry_host
        self._performer = performer
        self._clock = clock
        self._metrics = metrics
        self._loop = IOLoop.current()
        self._timer: object | None = None
        self._timer_ms: int | None = None
        self._arming = False
        self._closed = False

    def submit(self, event: Event) -> None:
        """Handle an event and carry out what it asks for."""
        self._run(type(event).__name__, lambda now_ms: self._entry_host.handle(event, now_ms))

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a parsed revision in force."""
        self._run(
            "Configuration",
            lambda now_ms: self._entry_host.apply_configuration(configuration, now_ms),
        )

    def arm(self) -> None:
        """Set the timer to the next deadline of the decisions."""
        self._arm_soon()

    def close(self) -> None:
        """Ignore all later events."""
        self._closed = True
        self._disarm()

    def _run(self, subject: str, decide: Callable[[int], list[Action]]) -> None:
        if self._closed:
            return
        try:
            self._performer.perform(decide(self._clock.now_ms()))
        except Exception:
            # One bad event must not end the process with all its flows.
            log.exception(f"the handling of {subject} failed")
            self._metrics.count("faults_total", subject)
        self._arm_soon()

    def _arm_soon(self) -> None:
        # One look at the deadlines for each batch of packets, not one for each packet.
        if not self._arming:
            self._arming = True
            self._loop.add_callback(self._arm)

    def _arm(self) -> None:
        self._arming = False
        if self._closed:
            return
        deadline_ms = self._entry_host.next_deadline_ms()
        if deadline_ms == self._timer_ms and self._timer is not None:
            return
        self._disarm()
        if deadline_ms is None:
            return
        delay_ms = max(0, deadline_ms - self._clock.now_ms())
        self._timer_ms = deadline_ms
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, self._fire)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        self._timer = None
        self._timer_ms = None

    def _fire(self) -> None:
        self._timer = None
        self._timer_ms = None
        self.submit(TimerFired())
