"""Deadlines by which pending lookup tables are activated, that is, used for new flows."""

from __future__ import annotations

from redwingswitch._internal.decisions.flows.lookup_table import LookupTable
from redwingswitch._internal.decisions.flows.service_tables import ACTIVATION_DELAY_MS
from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.models.members import MembershipView, MemberState

MAX_ADVERTISED_DEADLINES = 4_096
# The lowest revision of the other members when there are none. It is above every real revision, so
# tables are then activated at once.
NO_MEMBER_REVISION = 1 << 62


class ActivationDeadlines:
    """Track the activation deadlines that peers advertise in their heartbeats.

    A deadline counts from the time at which the first host received a revision. A host that
    receives it later takes the remaining time from a peer, so that all hosts activate the table at
    nearly the same time.
    """

    def __init__(self) -> None:
        self._advertised_ms: dict[tuple[int, int], int] = {}
        self._members_revision = NO_MEMBER_REVISION
        self._viewed_hosts: frozenset[str] = frozenset()
        self._configured_hosts: frozenset[str] = frozenset()

    def set_configured_hosts(self, hosts: frozenset[str]) -> None:
        """Set the hosts that must have a revision before its tables are activated early.

        While one of them is missing from the view, its revision is unknown, and tables are
        activated at their deadlines only.
        """
        self._configured_hosts = hosts

    def set_view(self, view: MembershipView, host: str, now_ms: int) -> None:
        """Update the deadlines and the lowest revision from a membership view."""
        others = [m for m in view.members if m.host != host and m.state is not MemberState.DEAD]
        revisions = (member.digest.revision for member in others)
        self._members_revision = min(revisions, default=NO_MEMBER_REVISION)
        self._viewed_hosts = frozenset(member.host for member in view.members)
        for member in others:
            for need in member.digest.needed_revisions:
                for table in need.pending:
                    self._add_deadline(
                        (need.service_id, table.revision), now_ms + table.activates_in_ms
                    )

    def _add_deadline(self, key: tuple[int, int], activate_at_ms: int) -> None:
        known_ms = self._advertised_ms.get(key)
        if known_ms is None and len(self._advertised_ms) >= MAX_ADVERTISED_DEADLINES:
            del self._advertised_ms[next(iter(self._advertised_ms))]
        if known_ms is None or activate_at_ms < known_ms:
            self._advertised_ms[key] = activate_at_ms

    def deadline_ms(self, service_id: int, revision: int, now_ms: int) -> int:
        """Return the activation deadline of a table of ``revision`` that is added now."""
        own_ms = now_ms + ACTIVATION_DELAY_MS
        return min(own_ms, self._advertised_ms.get((service_id, revision), own_ms))

    def shorten_deadlines(self, service: SteeredService) -> None:
        """Move pending activations forward to the earliest deadlines that peers advertised."""
        for table in service.tables.pending():
            advertised_ms = self._advertised_ms.get((service.wire_id, table.revision))
            if advertised_ms is not None:
                table.activate_at_ms = min(table.activate_at_ms, advertised_ms)

    def is_due(self, table: LookupTable, now_ms: int) -> bool:
        """Return whether every member has the revision of the table or its deadline has passed."""
        views_all = self._configured_hosts <= self._viewed_hosts
        is_everywhere = views_all and self._members_revision >= table.revision
        return is_everywhere or now_ms >= table.activate_at_ms
