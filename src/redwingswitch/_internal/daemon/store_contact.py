"""Reports what the store answers to the decision part, and carries out the actions."""

from __future__ import annotations

from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.list_sharing import ListOffer
from redwingswitch._internal.models.store_knowledge import (
    BeginEra,
    CallAgain,
    NextRead,
    NoteListLost,
    NoteListRead,
    ReportHistoryLost,
    ReportStoreLost,
    ReportStoreRegained,
    StoreAnswered,
    StoreEvent,
)
from redwingswitch._internal.models.store_revisions import format_revision
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.utils.event_log import EventLog


class StoreContact:
    """Carries events to ``StoreKnowledge``, and its actions to the directory and to the log."""

    def __init__(
        self,
        *,
        knowledge: StoreKnowledge,
        directory: ServerDirectory,
        clock: Clock,
        age_clock: Clock,
    ) -> None:
        self._knowledge = knowledge
        self._directory = directory
        self._clock = clock
        self._age_clock = age_clock
        self._event_log = EventLog(part="fleet", clock=clock)

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        return self._knowledge.list_age_ms(self._age_clock.now_ms())

    def routes_age_ms(self) -> int | None:
        """Return milliseconds since this host's routes certainly were the newest; None if never."""
        confirmed_ms = self._knowledge.routes_confirmed_ms()
        return None if confirmed_ms is None else self._age_clock.now_ms() - confirmed_ms

    def wants_neighbours_list(self, offer: ListOffer) -> bool:
        """Return whether to take a neighbour's list."""
        return self._knowledge.wants_neighbours_list(offer, self._age_clock.now_ms())

    def next_read(self) -> NextRead:
        """Return what to do next for the list."""
        return self._knowledge.next_read(self._age_clock.now_ms())

    def on_response(self) -> None:
        """Report that the store answered a call that brings no list."""
        self.report(StoreAnswered())

    def report(self, event: StoreEvent) -> int:
        """Report an event; return the delay in milliseconds until the next call."""
        delay_ms = 0
        for action in self._knowledge.on_event(event, self._age_clock.now_ms()):
            match action:
                case CallAgain():
                    delay_ms = action.delay_ms
                case NoteListRead():
                    self._directory.on_list_read(self._clock.now_ms())
                case NoteListLost():
                    self._directory.on_list_lost()
                case BeginEra():
                    self._begin_era(action)
                case ReportStoreRegained():
                    self._event_log.info("store regained", failures=action.failures)
                case ReportStoreLost():
                    self._event_log.warning(
                        "store lost", reason=action.reason, retry_ms=action.retry_ms
                    )
                case ReportHistoryLost():
                    self._event_log.info(
                        "history lost",
                        store_revision=format_revision(action.known_revision),
                        reason=action.reason,
                    )
        return delay_ms

    def _begin_era(self, action: BeginEra) -> None:
        self._directory.on_list_lost()
        self._event_log.info(
            "store era",
            era=action.era,
            former="none" if action.former is None else action.former,
            source=action.source,
            store_revision=format_revision(action.store_revision),
            known_revision=format_revision(action.known_revision),
        )
