"""Health of one backend server: failures, ejection, probe, slow start and reports."""

from __future__ import annotations

from redwingswitch._internal.models.configuration import BackendServer, ServerState
from redwingswitch._internal.models.requests import BackendReport
from redwingswitch._internal.ports import RandomSource

FAILURES_TO_EJECT = 5
FIRST_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 30_000
BACKOFF_JITTER_RATIO = 0.2
SLOW_START_MS = 10_000
SLOW_START_INITIAL_WEIGHT = 0.1
REPORT_LIFETIME_MS = 5_000
# A server that reported draining and then sends no more reports is most likely stopping.
DRAINING_REPORT_LIFETIME_MS = 60_000
# When no idempotent request is available as a probe, an ejection ends after a healthy report or
# after a longer time.
READMISSION_BY_REPORT_DELAY_MS = 5_000
READMISSION_WITHOUT_PROBE_DELAY_MS = 30_000
PROBE_TIMEOUT_MS = 30_000
SHED_SLOT_BUSY_MS = 1_000
WARNING_REPORT_WEIGHT = 0.5
LATENCY_SMOOTHING_FACTOR = 0.2


class ServerHealth:
    """The health of one backend server as seen by this host.

    A server is healthy, ejected until the backoff ends, or ejected and waiting for its only probe
    afterwards.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._server: BackendServer | None = None
        self._probed_by_requests = True
        self.state: ServerState | None = None
        self.latency_ms: float | None = None
        self.is_ejected = False
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self.earliest_probe_ms = 0
        self._probe_deadline_ms: int | None = None
        self._slow_start_began_ms: int | None = None
        self._shed_deadlines_ms: list[int] = []
        self._report: BackendReport | None = None
        self._report_deadline_ms = 0
        self._missed_reports = 0
        self._recent_answer_deadline_ms = 0
        self._draining_deadline_ms: int | None = None

    @property
    def service(self) -> str:
        """Return the name of the server's service."""
        return "" if self._server is None else self._server.service

    def configure(self, server: BackendServer, *, probed_by_requests: bool) -> None:
        """Apply the server's configuration.

        ``probed_by_requests`` is true when the service has idempotent requests to probe with.
        """
        self._server = server
        self._probed_by_requests = probed_by_requests

    def set_state(self, state: ServerState, *, slow_start: bool, now_ms: int) -> None:
        """Apply the configured state; a server that becomes active may get a slow start."""
        became_active = state == ServerState.ACTIVE and self.state != ServerState.ACTIVE
        if became_active and slow_start:
            self._slow_start_began_ms = now_ms
        if became_active:
            self._draining_deadline_ms = None
        self.state = state

    def on_success(self, latency_ms: int, now_ms: int) -> None:
        """Record an answer, which ends an ejection when a probe was due."""
        self._consecutive_failures = 0
        self._recent_answer_deadline_ms = now_ms + REPORT_LIFETIME_MS
        self._update_latency(latency_ms)
        if not self.is_ejected:
            self._reset_backoff(now_ms)
        elif now_ms >= self.earliest_probe_ms:
            self._readmit(now_ms)

    def on_failure(self, now_ms: int, *, may_eject: bool) -> None:
        """Record a failure; eject at ``FAILURES_TO_EJECT``, or again when the probe failed."""
        self._consecutive_failures = min(FAILURES_TO_EJECT, self._consecutive_failures + 1)
        if self.is_ejected:
            if now_ms >= self.earliest_probe_ms:
                self._eject(now_ms)
            return
        if self._consecutive_failures >= FAILURES_TO_EJECT and may_eject:
            self._eject(now_ms)

    def on_request_shed(self, now_ms: int) -> None:
        """Count one more slot as busy for ``SHED_SLOT_BUSY_MS``."""
        self._expire_shed_deadlines(now_ms)
        if len(self._shed_deadlines_ms) < self._configured_slots():
            self._shed_deadlines_ms.append(now_ms + SHED_SLOT_BUSY_MS)

    def on_dispatched(self, now_ms: int) -> None:
        """Record an attempt; at an ejected server it is the probe."""
        if self.is_ejected:
            self._probe_deadline_ms = now_ms + PROBE_TIMEOUT_MS

    def on_report(self, report: BackendReport, now_ms: int) -> None:
        """Store a report until it expires."""
        self._report = report
        self._missed_reports = 0
        self._report_deadline_ms = now_ms + REPORT_LIFETIME_MS
        self._draining_deadline_ms = (
            now_ms + DRAINING_REPORT_LIFETIME_MS if report.draining else None
        )
        self.apply_timeouts(now_ms)

    def on_report_failed(self, now_ms: int, *, may_eject: bool) -> None:
        """Count an unanswered poll, unless the server answered a request recently."""
        if now_ms < self._recent_answer_deadline_ms:
            return
        self._missed_reports = min(FAILURES_TO_EJECT, self._missed_reports + 1)
        if self._missed_reports < FAILURES_TO_EJECT:
            return
        if (self.is_ejected and now_ms >= self.earliest_probe_ms) or (
            may_eject and not self.is_ejected
        ):
            self._eject(now_ms)

    def apply_timeouts(self, now_ms: int) -> None:
        """Expire an overdue probe, and end an ejection that is due to end without a probe."""
        if self._probe_deadline_ms is not None and now_ms >= self._probe_deadline_ms:
            self._probe_deadline_ms = None
        if self.is_ejected and now_ms >= self._readmission_without_probe_ms(now_ms):
            self.readmit_without_probe(now_ms)

    def readmit_without_probe(self, now_ms: int) -> None:
        """End an ejection without a successful probe; a single failure ejects again."""
        self._readmit(now_ms)
        self._consecutive_failures = FAILURES_TO_EJECT - 1

    def may_dispatch(self, idempotent: bool, now_ms: int) -> bool:
        """Return whether the server may get a request."""
        if self.state != ServerState.ACTIVE or self._reports_draining(now_ms):
            return False
        if not self.is_ejected:
            return True
        probe_due = now_ms >= self.earliest_probe_ms and self._probe_deadline_ms is None
        return idempotent and probe_due

    def slots(self, now_ms: int) -> int:
        """Return the usable slots: at most the configured ones, and one while a probe is due."""
        if not self.may_dispatch(True, now_ms):
            return 0
        if self.is_ejected:
            return min(1, self._configured_slots())
        self._expire_shed_deadlines(now_ms)
        return min(
            self._configured_slots(),
            max(1, self._configured_slots() - len(self._shed_deadlines_ms)),
        )

    def reported_connections(self, now_ms: int) -> int:
        """Return the open connections in the last report, or -1 without a fresh one."""
        if self._report is None or not self._report_is_fresh(now_ms):
            return -1
        return self._report.open_connections

    def weight(self, now_ms: int) -> float:
        """Return the weight, reduced during slow start and by a fresh report with a warning."""
        report_weight = WARNING_REPORT_WEIGHT if self._report_warns(now_ms) else 1.0
        return report_weight * self._slow_start_weight(now_ms)

    def _eject(self, now_ms: int) -> None:
        doubled_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(self._consecutive_ejections, 8))
        backoff_ms = int(doubled_ms * (1 - BACKOFF_JITTER_RATIO * self._random.random()))
        self._consecutive_ejections += 1
        self.is_ejected = True
        self.earliest_probe_ms = now_ms + backoff_ms
        self._probe_deadline_ms = None
        self._slow_start_began_ms = None

    def _readmit(self, now_ms: int) -> None:
        self.is_ejected = False
        self._probe_deadline_ms = None
        self._slow_start_began_ms = now_ms

    def _reset_backoff(self, now_ms: int) -> None:
        """Reset the ejection backoff after a complete slow start without an ejection."""
        if (
            self._slow_start_began_ms is not None
            and now_ms >= self._slow_start_began_ms + SLOW_START_MS
        ):
            self._slow_start_began_ms = None
            self._consecutive_ejections = 0

    def _readmission_without_probe_ms(self, now_ms: int) -> int:
        if not self._report_is_fresh(now_ms) or self._report_warns(now_ms):
            return self.earliest_probe_ms + READMISSION_WITHOUT_PROBE_DELAY_MS
        if self._probed_by_requests:
            return self.earliest_probe_ms + READMISSION_BY_REPORT_DELAY_MS
        return self.earliest_probe_ms

    def _report_is_fresh(self, now_ms: int) -> bool:
        return self._report is not None and now_ms < self._report_deadline_ms

    def _report_warns(self, now_ms: int) -> bool:
        if self._report is None or self._server is None or not self._report_is_fresh(now_ms):
            return False
        return not self._report.healthy or (
            self._report.open_connections >= self._server.connection_limit
        )

    def _reports_draining(self, now_ms: int) -> bool:
        return self._draining_deadline_ms is not None and now_ms < self._draining_deadline_ms

    def _slow_start_weight(self, now_ms: int) -> float:
        if self._slow_start_began_ms is None:
            return 1.0
        share = min(1.0, (now_ms - self._slow_start_began_ms) / SLOW_START_MS)
        return SLOW_START_INITIAL_WEIGHT + (1 - SLOW_START_INITIAL_WEIGHT) * share

    def _update_latency(self, latency_ms: int) -> None:
        if self.latency_ms is None:
            self.latency_ms = float(latency_ms)
        else:
            self.latency_ms += LATENCY_SMOOTHING_FACTOR * (latency_ms - self.latency_ms)

    def _expire_shed_deadlines(self, now_ms: int) -> None:
        self._shed_deadlines_ms = [each for each in self._shed_deadlines_ms if each > now_ms]

    def _configured_slots(self) -> int:
        return 0 if self._server is None else self._server.slots
