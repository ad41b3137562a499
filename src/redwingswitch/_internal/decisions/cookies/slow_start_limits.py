"""Limits of new flows to backend servers in slow start, kept over all hosts without agreement.

Each failure domain has a fixed share of a server's rate, and within a failure domain one host at a
time is entitled to send the server new flows. A host learns its rank among the hosts of its failure
domain from the reader, the host that adds up what the others report.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from redwingswitch._internal.models.cookie_flows import ServiceSlowStart
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import HostRank

# A sliding second, and the difference of the delays from two hosts to a server.
WINDOW_MS = 1_050
# A host that was cut off from its reader and the store for longer may follow a former reader.
MAX_LIST_AGE_MS = 2_000
# The former host's entitlement ends 1,500 ms after its summary. If it follows a former reader, it
# ends with the age of its list, which may be dated 400 ms too late. Its flows of the last second
# count too.
ENTITLEMENT_DELAY_MS = MAX_LIST_AGE_MS + 400 + WINDOW_MS + 50
# Reports are sent every 500 ms, and one may be lost. After a longer gap another host may have been
# entitled meanwhile.
MAX_SUMMARY_GAP_MS = 1_250
# With two summaries a second, a rank that changes with each one leaves 7 periods.
MAX_RANK_PERIODS = 64


class HostRankReceiver(Protocol):
    """Takes the rank of this host from each summary of the reader."""

    def set_host_rank(self, rank: HostRank | None, *, reader: int, now_ms: int) -> None:
        """Take the rank that the reader with the incarnation ``reader`` gave to this host.

        ``deadline_ms`` of the rank is at most 1,500 ms after the report that the summary answers.
        It and ``now_ms`` are on the clock of the packet path.
        """


class _RankPeriod(NamedTuple):
    """The rank that this host has from ``began_ms`` to the beginning of the next period."""

    began_ms: int
    rank: int
    host_count: int


class HostEntitlement:
    """Knows for which servers this host is the entitled one of its failure domain."""

    def __init__(self) -> None:
        self._list_confirmed_ms = 0
        self._list_reader = 0
        self._reader = 0
        self._received_ms = 0
        self._deadline_ms = 0
        # The periods without a gap that reach into the entitlement delay; the last one is current.
        self._periods: deque[_RankPeriod] = deque(maxlen=MAX_RANK_PERIODS)

    def on_list_checked(self, *, confirmed_ms: int, reader: int) -> None:
        """Record when the list was last known to be up to date, and the recorded reader.

        The word of another reader counts no more, also while its summary is recent.
        """
        self._list_confirmed_ms = confirmed_ms
        self._list_reader = reader

    def set_host_rank(self, rank: HostRank | None, *, reader: int, now_ms: int) -> None:
        """Take this host's rank; see ``HostRankReceiver``."""
        if rank is None or rank.host_count < 1:
            self._periods.clear()
            return
        if reader == self._reader and rank.deadline_ms <= self._deadline_ms:
            # A summary that was overtaken by a later one.
            return
        if not self._continues(reader, now_ms):
            self._periods.clear()
        self._reader = reader
        self._received_ms = now_ms
        self._deadline_ms = rank.deadline_ms
        if not self._periods or self._periods[-1][1:] != rank[:2]:
            self._periods.append(_RankPeriod(now_ms, rank.rank, rank.host_count))
        self._remove_old_periods(now_ms)

    def has_rank(self, now_ms: int) -> bool:
        """Return whether this host's rank and list are recent enough to open flows by them."""
        is_listed_recently = now_ms - self._list_confirmed_ms <= MAX_LIST_AGE_MS
        is_recent = now_ms < self._deadline_ms and is_listed_recently
        return bool(self._periods) and is_recent and self._reader == self._list_reader

    def is_entitled(self, server_id: str, now_ms: int) -> bool:
        """Return whether this host has been the entitled one for long enough."""
        if not self.has_rank(now_ms):
            return False
        self._remove_old_periods(now_ms)
        hashed = wire_id(server_id)
        return self._periods[0].began_ms <= now_ms - ENTITLEMENT_DELAY_MS and all(
            hashed % period.host_count == period.rank for period in self._periods
        )

    def is_other_entitled(self, server_id: str, now_ms: int) -> bool:
        """Return whether another host is known to be the entitled one now."""
        if not self.has_rank(now_ms):
            return False
        current = self._periods[-1]
        return wire_id(server_id) % current.host_count != current.rank

    def _continues(self, reader: int, now_ms: int) -> bool:
        is_recent = now_ms < self._deadline_ms and now_ms - self._received_ms <= MAX_SUMMARY_GAP_MS
        return reader == self._reader and is_recent

    def _remove_old_periods(self, now_ms: int) -> None:
        periods = self._periods
        while len(periods) > 1 and periods[1].began_ms <= now_ms - ENTITLEMENT_DELAY_MS:
            periods.popleft()


class SlowStartLimits:
    """Decides whether this host may send a server in slow start an opening packet now.

    Without the names of all failure domains there is no limit.
    """

    def __init__(
        self,
        *,
        failure_domain: str = "",
        failure_domains: Iterable[str] = (),
        overshoot: float = 1.0,
        slack: float = 0.0,
    ) -> None:
        self._failure_domain = failure_domain
        self._failure_domains = sorted(set(failure_domains))
        self._overshoot = overshoot
        self._slack = slack
        self._rates_per_s: dict[str, float] = {}
        # When this host sent opening packets within the last window, by server.
        self._sent_ms: dict[str, deque[int]] = {}
        self.entitlement = HostEntitlement()

    def set_services(self, slow_starts: Iterable[ServiceSlowStart]) -> None:
        """Take the rates of a new version of the configuration."""
        self._rates_per_s = {
            each.service: each.requests_per_s
            for each in slow_starts
            if each.requests_per_s > 0 and self._failure_domains
        }

    def is_limited(self, service: str) -> bool:
        """Return whether servers of a service have a limit during their slow start."""
        return service in self._rates_per_s

    def may_open(self, server_id: str, service: str, now_ms: int) -> bool:
        """Return whether a server in slow start may get an opening packet from this host now."""
        if not self.is_limited(service):
            return True
        if not self.entitlement.is_entitled(server_id, now_ms):
            return False
        return self.sent_count(server_id, now_ms) < self.limit(server_id, service)

    def may_open_soon(self, server_id: str, service: str, now_ms: int) -> bool:
        """Return whether a server in slow start may get an opening packet from this host later.

        False only if this host knows that others send it theirs.
        """
        is_other_entitled = self.entitlement.is_other_entitled(server_id, now_ms)
        return not is_other_entitled and self.limit(server_id, service) > 0

    def on_opening(self, server_id: str, now_ms: int) -> None:
        """Record an opening packet that was sent to a server in slow start."""
        for name in list(self._sent_ms):
            if not self.sent_count(name, now_ms):
                del self._sent_ms[name]
        self._sent_ms.setdefault(server_id, deque()).append(now_ms)

    def sent_count(self, server_id: str, now_ms: int) -> int:
        """Return how many opening packets this host sent a server within the last window."""
        sent_ms = self._sent_ms.get(server_id, deque())
        while sent_ms and sent_ms[0] <= now_ms - WINDOW_MS:
            sent_ms.popleft()
        return len(sent_ms)

    def limit(self, server_id: str, service: str) -> int:
        """Return the opening packets that this failure domain may send a server in a second.

        A rate below one packet for each failure domain is rounded up. If that exceeds what the
        server may get, a hash selects the failure domains that send none.
        """
        rate_per_s = self._rates_per_s[service]
        domains = self._failure_domains
        if self._failure_domain not in domains:
            return 0
        share = max(1, math.floor(rate_per_s / len(domains)))
        maximum = math.floor(rate_per_s * self._overshoot + self._slack)
        if share * len(domains) <= maximum:
            return share
        ranked = sorted(domains, key=lambda domain: (wire_id(f"{server_id}\0{domain}"), domain))
        return 1 if self._failure_domain in ranked[:maximum] else 0
