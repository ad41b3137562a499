"""Requests the lookup tables of missed revisions from peers, and answers such requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.models.actions import SendToPeer
from redwingswitch._internal.models.members import MembershipView, MemberState, MemberView
from redwingswitch._internal.models.messages import TableHistoryRequest

REQUEST_RETRY_INTERVAL_MS = 500
# A starting host waits this much longer while its revision is older than that of its peers.
EXTRA_WAIT_FOR_REVISION_MS = 7_000


class TableHistoryExchange:
    """Request the history of services that lack it, and answer the requests of peers.

    The history of a service consists of its lookup tables, oldest first. Tables are missing after
    the start of the process and after skipped revisions.
    """

    def __init__(self, *, host: str) -> None:
        self._host = host
        self._asked_at_ms: dict[str, int] = {}
        self._waiting: dict[str, SteeredService] = {}
        self._view = MembershipView(members=())
        self.configured_hosts: frozenset[str] = frozenset()

    def await_history(self, service: SteeredService, now_ms: int, *, starting: bool) -> None:
        """Start waiting for the history of a service."""
        service.await_history(now_ms, starting=starting)
        self._waiting[service.name] = service

    def forget(self, name: str) -> None:
        """Stop waiting for a removed service."""
        self._waiting.pop(name, None)
        self._asked_at_ms.pop(name, None)

    def set_view(self, view: MembershipView) -> None:
        """Set the membership view."""
        self._view = view

    def set_configured_hosts(self, hosts: Iterable[str]) -> None:
        """Store the names of the configuration's active entry hosts, except the local host."""
        self.configured_hosts = frozenset(hosts) - {self._host}

    def _end_wait(self, service: SteeredService) -> None:
        service.end_history_wait()
        self.forget(service.name)

    def request_missing(self, revision: int, now_ms: int) -> list[SendToPeer]:
        """Request missing histories; stop waiting for those that no peer has."""
        actions: list[SendToPeer] = []
        others = [
            m for m in self._view.members if m.host != self._host and m.state != MemberState.DEAD
        ]
        for service in list(self._waiting.values()):
            # A starting host that lacks the peers' revision would open flows on wrong servers.
            behind = service.starting and any(m.digest.revision > revision for m in others)
            deadline_ms = service.history_wait_until_ms or now_ms
            if behind and now_ms < deadline_ms + EXTRA_WAIT_FOR_REVISION_MS:
                continue
            holder = _history_holder(others, service.wire_id)
            # Hosts that are missing from the view may have the history and the records.
            all_hosts_seen = self.configured_hosts <= {m.host for m in self._view.members}
            no_holder = holder is None and all(m.digest.revision >= revision for m in others)
            if now_ms >= deadline_ms or (
                all_hosts_seen and (service.tables.synchronised or no_holder)
            ):
                self._end_wait(service)
            elif service.tables.synchronised:
                continue
            elif holder is not None and self._may_ask(service.name, now_ms):
                self._asked_at_ms[service.name] = now_ms
                actions.append(SendToPeer(holder, TableHistoryRequest(service.wire_id)))
        return actions

    def answer(
        self,
        services: Mapping[int, SteeredService],
        sender: str,
        request: TableHistoryRequest,
        now_ms: int,
    ) -> list[SendToPeer]:
        """Send the history of a service, unless the local host is waiting for it itself."""
        service = services.get(request.service_id)
        if service is None or service.history_wait_until_ms is not None:
            return []
        return [SendToPeer(sender, service.tables.build_history(service.wire_id, now_ms))]

    def _may_ask(self, name: str, now_ms: int) -> bool:
        asked_at_ms = self._asked_at_ms.get(name)
        return asked_at_ms is None or now_ms >= asked_at_ms + REQUEST_RETRY_INTERVAL_MS


def _history_holder(members: Iterable[MemberView], service_id: int) -> str | None:
    """Return the host with the latest revision among those with a history of a service, or None."""
    holders = [
        member
        for member in members
        if any(
            need.service_id == service_id and need.oldest_held_revision > 0
            for need in member.digest.needed_revisions
        )
    ]
    latest = max(holders, key=lambda member: member.digest.revision, default=None)
    return None if latest is None else latest.host
