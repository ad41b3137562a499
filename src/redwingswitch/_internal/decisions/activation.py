"""When the newest table of a service starts to take new flows."""

from __future__ import annotations

from redwingswitch._internal.decisions.service_tables import ACTIVATE_AFTER_MS
from redwingswitch._internal.decisions.steered_service import SteeredService
from redwingswitch._internal.models.members import MembershipView, MemberState


class ActivationClock:
    """Follow the activation deadlines that peers state in their heartbeats.

    The deadline counts from the first host that learned of a revision. A host that learns of it
    later takes the remaining time from a peer, so that all hosts activate at nearly the same time.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._activate_at_ms: dict[int, int] = {}
        self.members_revision = 0

    def update(self, view: MembershipView, host: str, now_ms: int) -> None:
        """Take over what the members state about the highest revision among them."""
        others = [m for m in view.members if m.host != host and m.state is not MemberState.DEAD]
        self.members_revision = min((m.digest.revision for m in others), default=self._no_member())
        newest = max((m.digest.revision for m in others), default=0)
        if newest > self._revision:
            self._revision = newest
            self._activate_at_ms = {}
        for member in others:
            if member.digest.revision != self._revision:
                continue
            for need in member.digest.needed_revisions:
                self._note(need.service_id, now_ms + need.activates_in_ms)

    def _note(self, service_id: int, activate_at_ms: int) -> None:
        known = self._activate_at_ms.get(service_id, activate_at_ms)
        self._activate_at_ms[service_id] = min(known, activate_at_ms)

    @staticmethod
    def _no_member() -> int:
        """Return a revision that no host waits for; used while there is no other member."""
        return 1 << 62

    def deadline_ms(self, service_id: int, revision: int, now_ms: int) -> int:
        """Return when a table of ``revision`` that is prepared now must be activated."""
        own_ms = now_ms + ACTIVATE_AFTER_MS
        if revision != self._revision:
            return own_ms
        return min(own_ms, self._activate_at_ms.get(service_id, own_ms))

    def shorten(self, service: SteeredService, revision: int) -> None:
        """Move a pending activation to the earliest deadline that a peer stated."""
        if revision == self._revision:
            newest = service.tables.newest
            stated_ms = self._activate_at_ms.get(service.wire_id, newest.activate_at_ms)
            newest.activate_at_ms = min(newest.activate_at_ms, stated_ms)

    def due(self, service: SteeredService, now_ms: int) -> bool:
        """Return whether every member has the newest table, or the deadline has passed."""
        newest = service.tables.newest
        return self.members_revision >= newest.revision or now_ms >= newest.activate_at_ms
