"""Exchanges the load that hosts observe, over the datagrams by which they share the server list.

Each host reports to the reader of its failure domain, which answers with the sums over all hosts.
The readers of different failure domains exchange the sums of their own domains.
"""

from __future__ import annotations

from collections.abc import Callable

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.slow_start_limits import HostRankReceiver
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.load_sharing.load_sharing import LoadSharing
from redwingswitch._internal.decisions.load_sharing.other_readers import OtherReaders
from redwingswitch._internal.decisions.load_sharing.report_sums import ReportSums
from redwingswitch._internal.models.list_readers import ListReader, Neighbour
from redwingswitch._internal.models.load_sharing import DomainLoad, LoadReport, LoadSummary
from redwingswitch._internal.network.list_messages import ListMessage
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.utils.event_log import EventLog

# How often ``send_due_messages`` is called; also the least time between two reports.
CHECK_INTERVAL_MS = 100
REPORT_INTERVAL_MS = 500
# Servers that fail together are found silent one after the other. The reader tells its hosts so up
# to this many times at once, and every ``REPORT_INTERVAL_MS`` on average.
MAX_NOTIFICATIONS_AT_ONCE = 3
# The age clock continues while the host is suspended, the other one may not. Beyond this difference
# between two calls, what the host knew is old.
MAX_SUSPENSION_MS = 500

LoadMessage = LoadReport | LoadSummary | DomainLoad


class LoadExchange:
    """Reports this host's observations; sums up those of others while this host is the reader.

    ``local`` is this host as a reader. ``send`` sends a message to another host.
    """

    def __init__(
        self,
        *,
        steering: CookieSteering,
        load_sharing: LoadSharing,
        sharing: ListSharing,
        other_readers: OtherReaders,
        local: ListReader,
        failure_domain: str,
        clock: Clock,
        age_clock: Clock,
        metrics: SteeringMetrics,
        send: Callable[[ListMessage, Neighbour], None],
    ) -> None:
        self._steering = steering
        self._rank_receiver: HostRankReceiver = steering.slow_start.entitlement
        self._load = load_sharing
        self._sharing = sharing
        self._other_readers = other_readers
        self._incarnation = local.incarnation
        self._local = Neighbour(local.address, local.port)
        self._sums = ReportSums(failure_domain=failure_domain, local_host=self._local)
        self._clock = clock
        self._age_clock = age_clock
        self._metrics = metrics
        self._event_log = EventLog(part="load", clock=clock)
        self._send = send
        self._report_number = 0
        self._next_report_ms = 0
        self._next_domain_load_ms = 0
        self._next_notification_ms = 0
        # When a host first reported something that the other failure domains were not told of.
        self._new_evidence_ms: int | None = None
        self._clock_difference_ms = age_clock.now_ms() - clock.now_ms()

    def send_due_messages(self) -> None:
        """Report every ``REPORT_INTERVAL_MS``, and when a server first seems not to answer."""
        now_ms = self._clock.now_ms()
        self._forget_after_suspension(now_ms)
        is_urgent = self._load.update(now_ms)
        if is_urgent or now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + REPORT_INTERVAL_MS
            self._report(now_ms)
        if self._sharing.is_reader:
            self._send_domain_load_if_due(now_ms)
            self._notify_hosts_of_fault(now_ms)
        self._log_changes()

    def on_message(self, message: LoadMessage, *, incarnation: int, sender: Neighbour) -> None:
        """Handle a message of another host."""
        now_ms = self._clock.now_ms()
        if isinstance(message, LoadReport):
            result = self._on_report(message, incarnation, sender, now_ms)
        elif isinstance(message, LoadSummary):
            result = self._on_summary(message, incarnation, now_ms)
        else:
            result = self._on_domain_load(message, incarnation, now_ms)
        self._metrics.count("load_messages_total", type(message).__name__, result)

    def _report(self, now_ms: int) -> None:
        is_doubted = self._steering.failure_detector.is_link_doubted
        observations = self._load.observations
        self._report_number += 1
        report = LoadReport(
            number=self._report_number,
            sent_ms=now_ms,
            answered=observations.answered_servers(now_ms),
            sums=observations.build_sums(now_ms, is_link_doubted=is_doubted),
        )
        reader = self._sharing.other_reader
        if self._sharing.is_reader:
            self._take_report(report, self._incarnation, self._local, now_ms)
            summary = self._sums.build_summary(self._local, now_ms)
            if summary is not None:
                self._use_summary(summary, self._incarnation, now_ms)
        elif reader is not None:
            self._send(report, Neighbour(reader.address, reader.port))

    def _on_report(
        self, report: LoadReport, incarnation: int, sender: Neighbour, now_ms: int
    ) -> str:
        if not self._sharing.is_reader:
            return "not_reader"
        if not self._take_report(report, incarnation, sender, now_ms):
            return "late"
        summary = self._sums.build_summary(sender, now_ms)
        if summary is not None:
            self._send(summary, sender)
        return "taken"

    def _take_report(
        self, report: LoadReport, incarnation: int, sender: Neighbour, now_ms: int
    ) -> bool:
        if not self._sums.on_report(report, sender=sender, incarnation=incarnation, now_ms=now_ms):
            return False
        if self._sums.has_new_evidence and self._new_evidence_ms is None:
            self._new_evidence_ms = now_ms
        return True

    def _on_summary(self, summary: LoadSummary, incarnation: int, now_ms: int) -> str:
        reader = self._sharing.other_reader
        if reader is None or reader.incarnation != incarnation:
            return "not_reader"
        return "taken" if self._use_summary(summary, incarnation, now_ms) else "late"

    def _use_summary(self, summary: LoadSummary, reader: int, now_ms: int) -> bool:
        """Take a summary of the reader with this incarnation; return False if it is late."""
        if not self._load.on_summary(summary, now_ms):
            return False
        rank = self._load.host_rank(now_ms)
        self._rank_receiver.set_host_rank(rank, reader=reader, now_ms=now_ms)
        return True

    def _on_domain_load(self, load: DomainLoad, incarnation: int, now_ms: int) -> str:
        reader = self._other_readers.get(load.failure_domain)
        if not self._sharing.is_reader or reader is None or reader.incarnation != incarnation:
            return "not_reader"
        is_taken = self._sums.on_domain_load(load, incarnation=incarnation, now_ms=now_ms)
        return "taken" if is_taken else "late"

    def _send_domain_load_if_due(self, now_ms: int) -> None:
        has_evidence = self._new_evidence_ms is not None or self._sums.has_untold_silence
        if not has_evidence and now_ms < self._next_domain_load_ms:
            return
        readers = self._other_readers.readers()
        if not readers:
            return
        self._next_domain_load_ms = now_ms + REPORT_INTERVAL_MS
        load = self._sums.build_domain_load(now_ms)
        if not self._sums.has_new_evidence:
            self._new_evidence_ms = None
        for reader in readers:
            self._send(load, Neighbour(reader.address, reader.port))

    def _notify_hosts_of_fault(self, now_ms: int) -> None:
        """Send all hosts a summary when a server newly seems not to answer.

        They would get it with the answer to their next report, up to ``REPORT_INTERVAL_MS`` later.
        """
        earliest_ms = (
            self._next_notification_ms - (MAX_NOTIFICATIONS_AT_ONCE - 1) * REPORT_INTERVAL_MS
        )
        if now_ms < earliest_ms or not self._sums.has_new_fault(now_ms):
            return
        self._next_notification_ms = max(now_ms, self._next_notification_ms) + REPORT_INTERVAL_MS
        for host, summary in self._sums.build_summaries(now_ms):
            if host == self._local:
                self._use_summary(summary, self._incarnation, now_ms)
            else:
                self._send(summary, host)

    def _forget_after_suspension(self, now_ms: int) -> None:
        difference_ms = self._age_clock.now_ms() - now_ms
        if difference_ms - self._clock_difference_ms > MAX_SUSPENSION_MS:
            self._load.forget_shared()
            self._rank_receiver.set_host_rank(None, reader=0, now_ms=now_ms)
        self._clock_difference_ms = difference_ms

    def _log_changes(self) -> None:
        for server_id, evidence in self._load.observations.take_evidence():
            self._event_log.info("server evidence", server=server_id, evidence=evidence)
        for server_id, avoided in self._load.shared.avoided.take_changes():
            if avoided is None:
                self._event_log.info("server used again", server=server_id)
                continue
            self._metrics.count("avoided_servers_total", server_id, avoided.fault)
            self._event_log.info(
                "server avoided",
                server=server_id,
                fault=avoided.fault,
                silent_hosts=avoided.silent_hosts,
                overdue_ratio=f"{avoided.overdue_ratio:.2f}",
                relative_time=f"{avoided.relative_time:.1f}",
            )
