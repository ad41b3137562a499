"""Sums of the reports of all hosts, built by the reader of a failure domain.

The reader is the host that reads the list of backend servers for the others of its domain.
"""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.decisions.load_sharing.latest_messages import LatestMessages
from redwingswitch._internal.decisions.load_sharing.server_sums import (
    MIN_OVERDUE_REQUESTS,
    MIN_SILENT_HOSTS,
    is_new_evidence,
    is_unusual,
)
from redwingswitch._internal.decisions.load_sharing.summation import ReceivedSums, Summation
from redwingswitch._internal.decisions.load_sharing.unconfirmed_silence import UnconfirmedSilence
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.load_sharing import (
    DomainLoad,
    LoadReport,
    LoadSummary,
    LoadSums,
    ServerSums,
)

# The sums are calculated again at most this often, or every 100 ms when a server newly seems
# not to answer. At the growth target, reports of 94 hosts arrive every 5 ms.
MIN_REBUILD_INTERVAL_MS = 250
MIN_URGENT_REBUILD_INTERVAL_MS = 100
# A server that was out of the ordinary is named this much longer, so that its recovery is told.
WATCH_MS = 5_000
# A failure domain has 94 hosts at the growth target.
MAX_HOSTS = 256
MAX_DOMAINS = 16


class _Built(NamedTuple):
    """Sums, the ranks of the hosts in them, and when they were calculated."""

    own: LoadSums
    all_domains: LoadSums
    ranks: dict[Neighbour, int]
    total_hosts: int
    known_domains: int
    unusual: frozenset[int]
    at_ms: int


class ReportSums:
    """Adds up the latest reports of the hosts of a failure domain, and the sums of other domains.

    A host counts while its latest report is fresh. Of two readers at a time, each adds up the
    reports that it gets.
    """

    def __init__(self, *, failure_domain: str, local_host: Neighbour) -> None:
        self._failure_domain = failure_domain
        self._local_host = local_host
        self._hosts: LatestMessages[Neighbour] = LatestMessages(limit=MAX_HOSTS)
        self._domains: LatestMessages[str] = LatestMessages(limit=MAX_DOMAINS)
        self._watch_deadlines_ms: dict[int, int] = {}
        self._unconfirmed = UnconfirmedSilence()
        self._sent_number = 0
        self._built: _Built | None = None
        self._faulty: frozenset[int] = frozenset()
        # Whether a host reported something that the sums do not contain yet.
        self.has_new_evidence = False
        # Whether another domain's sums name a server as silent, and the sums do not contain them.
        self._has_new_domain_load = False
        # Servers that this domain finds silent, as far as other domains have been told.
        self._own_silent: frozenset[int] = frozenset()
        self._told_silent: frozenset[int] = frozenset()

    @property
    def has_untold_silence(self) -> bool:
        """Return whether hosts of this domain find a server silent, and other domains do not know.

        The sums may say so later than the first evidence, once its last answers are old enough.
        """
        return not self._own_silent <= self._told_silent

    def on_report(
        self, report: LoadReport, *, sender: Neighbour, incarnation: int, now_ms: int
    ) -> bool:
        """Take a report; return False for one that is older than another one of its sender."""
        known = frozenset() if self._built is None else self._built.unusual
        if any(is_new_evidence(e) and e.server not in known for e in report.sums.servers):
            self.has_new_evidence = True
        return self._hosts.put(
            sender,
            ReceivedSums(report.sums, now_ms, answered=report.answered, sent_ms=report.sent_ms),
            incarnation,
            report.number,
        )

    def on_domain_load(self, load: DomainLoad, *, incarnation: int, now_ms: int) -> bool:
        """Take another domain's sums; return False if older than others, or of this domain."""
        if load.failure_domain == self._failure_domain:
            return False
        received = ReceivedSums(load.sums, now_ms, host_count=load.host_count)
        self._has_new_domain_load |= bool(_silent_servers(load.sums))
        return self._domains.put(load.failure_domain, received, incarnation, load.number)

    def build_summary(self, receiver: Neighbour, now_ms: int) -> LoadSummary | None:
        """Return the answer to the latest report of a host; None if it is not in the sums."""
        return self._summary(self._build(now_ms, needed=receiver), receiver)

    def build_summaries(self, now_ms: int) -> list[tuple[Neighbour, LoadSummary]]:
        """Return the answers to the latest reports of all hosts."""
        built = self._build(now_ms, needed=self._local_host)
        return [
            (host, summary)
            for host in built.ranks
            if (summary := self._summary(built, host)) is not None
        ]

    def has_new_fault(self, now_ms: int) -> bool:
        """Return whether a server seems not to answer that did not at the last call.

        The sums then say so with the word of at least two hosts, or of two requests.
        """
        built = self._build(now_ms, needed=self._local_host)
        found = frozenset(
            entry.server
            for entry in built.all_domains.servers
            if entry.silent_hosts >= MIN_SILENT_HOSTS
            or entry.overdue_requests >= MIN_OVERDUE_REQUESTS
        )
        has_new = not found <= self._faulty
        self._faulty = found
        return has_new

    def _summary(self, built: _Built, receiver: Neighbour) -> LoadSummary | None:
        rank = built.ranks.get(receiver)
        received = self._hosts.get(receiver)
        if rank is None or received is None:
            return None
        return LoadSummary(
            report_sent_ms=received.sent_ms,
            rank=rank,
            host_count=len(built.ranks),
            total_hosts=built.total_hosts,
            known_domains=built.known_domains,
            sums=built.all_domains,
        )

    def build_domain_load(self, now_ms: int) -> DomainLoad:
        """Return the sums over this failure domain for the readers of other ones."""
        built = self._build(now_ms, needed=self._local_host)
        self._told_silent = self._own_silent
        self._sent_number += 1
        return DomainLoad(
            failure_domain=self._failure_domain,
            number=self._sent_number,
            host_count=len(built.ranks),
            sums=built.own,
        )

    def _build(self, now_ms: int, *, needed: Neighbour) -> _Built:
        built = self._built
        is_urgent = self.has_new_evidence or self._has_new_domain_load
        interval_ms = MIN_URGENT_REBUILD_INTERVAL_MS if is_urgent else MIN_REBUILD_INTERVAL_MS
        if built is not None and needed in built.ranks and now_ms - built.at_ms < interval_ms:
            return built
        hosts = self._hosts.fresh(now_ms)
        domains = self._domains.fresh(now_ms)
        summation = Summation()
        summation.add(hosts.values())
        own = summation.build(watched=self._watch_deadlines_ms, now_ms=now_ms)
        # By this domain's reports only: sums of other domains name hardly any server that answers.
        unconfirmed_ratio = summation.unconfirmed_ratio()
        self._watch(own, now_ms)
        # From the reports rather than from the sums, which name only some servers: an answer to one
        # host shows that a server is not silent, also if nothing speaks against it here.
        summation.add(domains.values())
        merged = summation.build(watched=self._watch_deadlines_ms, now_ms=now_ms)
        merged = merged._replace(servers=_with_own_silence(merged, own))
        all_domains = merged._replace(
            servers=self._unconfirmed.confirm(
                merged, unconfirmed_ratio=unconfirmed_ratio, now_ms=now_ms
            )
        )
        self._watch(all_domains, now_ms)
        self._built = _Built(
            own=own,
            all_domains=all_domains,
            ranks={host: rank for rank, host in enumerate(sorted(hosts))},
            total_hosts=len(hosts) + sum(each.host_count for each in domains.values()),
            known_domains=1 + len(domains),
            unusual=frozenset(entry.server for entry in own.servers if is_unusual(entry)),
            at_ms=now_ms,
        )
        self._own_silent = _silent_servers(own)
        self._told_silent &= self._own_silent
        self.has_new_evidence = False
        self._has_new_domain_load = False
        return self._built

    def _watch(self, sums: LoadSums, now_ms: int) -> None:
        for entry in sums.servers:
            if is_unusual(entry):
                self._watch_deadlines_ms[entry.server] = now_ms + WATCH_MS
        for server, deadline_ms in list(self._watch_deadlines_ms.items()):
            if deadline_ms <= now_ms:
                del self._watch_deadlines_ms[server]


def _silent_servers(sums: LoadSums) -> frozenset[int]:
    """Return the servers that two hosts find silent, also if they cannot confirm it."""
    return frozenset(
        entry.server for entry in sums.servers if entry.unanswered_hosts >= MIN_SILENT_HOSTS
    )


def _with_own_silence(merged: LoadSums, own: LoadSums) -> tuple[ServerSums, ...]:
    """Return all domains' sums with the silence that the own domain found by its own answers.

    The path from other failure domains to a server may work while that from this one does not.
    """
    own_silent = {e.server: e for e in own.servers if e.silent_hosts >= MIN_SILENT_HOSTS}
    return tuple(
        (
            entry._replace(silent_hosts=max(entry.silent_hosts, own_entry.silent_hosts))
            if (own_entry := own_silent.get(entry.server)) is not None
            else entry
        )
        for entry in merged.servers
    )
