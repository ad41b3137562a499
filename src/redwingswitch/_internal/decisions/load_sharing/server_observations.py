"""What one host observes of one server."""

from __future__ import annotations

from redwingswitch._internal.decisions.load_sharing.server_sums import TENTHS, age_cs
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import MAX_AGE_CS, ServerSums

# Decayed sums below this are dropped.
MIN_SUM = 0.05


class ServerObservations:
    """Decaying sums of a server's answers, and its opening packets without an answer."""

    __slots__ = (
        "answered_ms",
        "answers",
        "is_confirmed",
        "relative_time",
        "unanswered",
        "unanswered_sent_ms",
        "unconfirmed",
        "unconfirmed_sent_ms",
    )

    def __init__(self) -> None:
        self.answers = 0.0
        self.relative_time = 0.0
        # Opening packets that stayed unanswered since the last answer, and when the latest of them
        # was sent.
        self.unanswered = 0
        self.unanswered_sent_ms: int | None = None
        # Whether any of them is confirmed.
        self.is_confirmed = False
        # Those of them that may have been answered through another host, and when the latest of
        # them was sent.
        self.unconfirmed = 0
        self.unconfirmed_sent_ms: int | None = None
        self.answered_ms: int | None = None

    def forget_unanswered(self) -> None:
        """Forget all openings, as after an answer."""
        self.is_confirmed = False
        self.forget_unconfirmed()

    def forget_unconfirmed(self) -> None:
        """Forget the openings that may have been answered through another host."""
        self.unconfirmed = 0
        self.unconfirmed_sent_ms = None
        if not self.is_confirmed:
            self.unanswered = 0
            self.unanswered_sent_ms = None

    def decay(self, factor: float, now_ms: int) -> None:
        """Multiply the sums by ``factor``, and forget openings that are older than reports say."""
        self.answers *= factor
        self.relative_time *= factor
        sent_ms = self.unanswered_sent_ms
        if sent_ms is not None and age_cs(sent_ms, now_ms) == MAX_AGE_CS:
            # A later opening packet shows whether the server is still silent.
            self.forget_unanswered()
        sent_ms = self.unconfirmed_sent_ms
        if sent_ms is not None and age_cs(sent_ms, now_ms) == MAX_AGE_CS:
            self.forget_unconfirmed()

    def is_stale(self, now_ms: int) -> bool:
        """Return whether nothing is left to report of the server."""
        is_quiet = age_cs(self.answered_ms, now_ms) == MAX_AGE_CS
        is_waiting = self.unanswered or self.unconfirmed_sent_ms is not None
        return is_quiet and self.answers < MIN_SUM and not is_waiting

    def build_sums(
        self, server_id: str, *, busy_flows: int, overdue_requests: int, now_ms: int
    ) -> ServerSums:
        """Return what to report of the server."""
        is_unconfirmed = not self.unanswered and self.unconfirmed_sent_ms is not None
        sent_ms = self.unconfirmed_sent_ms if is_unconfirmed else self.unanswered_sent_ms
        return ServerSums(
            server=wire_id(server_id),
            busy_flows=busy_flows,
            answers_tenths=round(TENTHS * self.answers),
            relative_time_tenths=round(TENTHS * self.relative_time),
            overdue_requests=overdue_requests,
            silent_hosts=int(self.unanswered > 0),
            silent_age_cs=age_cs(sent_ms, now_ms),
            answer_age_cs=age_cs(self.answered_ms, now_ms),
            unconfirmed_hosts=int(is_unconfirmed),
        )
