"""Servers that several hosts find silent by opening packets that none of them can confirm.

A server that has crashed resets its callers, which the hosts do not see. Each host sees only that
a flow sends nothing after its opening packet, as if its packets took another host now.
"""

from __future__ import annotations

from redwingswitch._internal.decisions.load_sharing.server_sums import (
    MAX_UNCONFIRMED_RATIO,
    MIN_UNCONFIRMED_HOSTS,
    have_flows_moved,
)
from redwingswitch._internal.models.load_sharing import LoadSums, ServerSums

# Routers take about a second to use a new rotation. Openings count again this long after the last
# flow that moved between hosts.
MOVED_FLOWS_MS = 300


class UnconfirmedSilence:
    """Counts hosts with unconfirmed openings as hosts that find a server silent.

    Not while many servers show such openings or flows move between hosts: the acknowledgements of
    answers then take other hosts.
    """

    def __init__(self) -> None:
        self._moved_deadline_ms = 0

    def confirm(
        self, sums: LoadSums, *, unconfirmed_ratio: float, now_ms: int
    ) -> tuple[ServerSums, ...]:
        """Return the servers of the sums over all failure domains.

        ``unconfirmed_ratio`` is the part of the servers in the own domain's reports that show
        unconfirmed openings.
        """
        if have_flows_moved(sums):
            self._moved_deadline_ms = now_ms + MOVED_FLOWS_MS
        if now_ms < self._moved_deadline_ms or unconfirmed_ratio > MAX_UNCONFIRMED_RATIO:
            return sums.servers
        return tuple(map(_count_unconfirmed, sums.servers))


def _count_unconfirmed(entry: ServerSums) -> ServerSums:
    hosts = entry.unanswered_hosts
    if not entry.unconfirmed_hosts or hosts < MIN_UNCONFIRMED_HOSTS:
        return entry
    return entry._replace(silent_hosts=hosts, unconfirmed_hosts=0)
