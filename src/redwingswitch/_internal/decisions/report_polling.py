"""Decide which backend servers' load reports this host asks for, and when."""

from __future__ import annotations

from redwingswitch._internal.decisions.hashing import rendezvous_rank
from redwingswitch._internal.models.actions import Action, PollReport
from redwingswitch._internal.models.configuration import BackendServer, Configuration
from redwingswitch._internal.models.members import MembershipView
from redwingswitch._internal.ports import RandomSource

POLL_INTERVAL_MS = 1000
# Two hosts poll each backend server, so that the crash of one leaves no gap in the reports; a
# larger number would load the server in proportion to the fleet.
POLLERS_PER_SERVER = 2


class ReportPolling:
    """Spread the polling of load endpoints over the hosts of each failure domain.

    A backend server is polled by the first hosts of its own failure domain in rendezvous order, or
    by the first hosts of all when its failure domain has none.
    """

    def __init__(self, *, host: str, random_source: RandomSource) -> None:
        self._host = host
        self._random = random_source
        self._servers: tuple[BackendServer, ...] = ()
        self._view = MembershipView(members=())
        self._polled: tuple[str, ...] = ()
        self._next_poll_ms: int | None = None

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> None:
        """Take over the backend servers of a new revision."""
        self._servers = tuple(
            server for service in configuration.services for server in service.backend_servers
        )
        self._assign()
        if self._next_poll_ms is None:
            self._next_poll_ms = now_ms + self._random.randrange(POLL_INTERVAL_MS)

    def set_members(self, view: MembershipView) -> None:
        """Take over a new membership view."""
        self._view = view
        self._assign()

    def next_deadline_ms(self) -> int | None:
        """Return when the next round of polls is due."""
        return self._next_poll_ms

    def on_timer(self, now_ms: int) -> list[Action]:
        """Return the polls that are due."""
        if self._next_poll_ms is None or now_ms < self._next_poll_ms:
            return []
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        return [PollReport(backend_server=name) for name in self._polled]

    def _assign(self) -> None:
        serving = self._view.serving()
        hosts_by_domain: dict[str, list[str]] = {}
        for member in serving:
            hosts_by_domain.setdefault(member.failure_domain, []).append(member.host)
        everyone = [member.host for member in serving] or [self._host]
        self._polled = tuple(
            server.name
            for server in self._servers
            if self._is_poller(server, hosts_by_domain.get(server.failure_domain, everyone))
        )

    def _is_poller(self, server: BackendServer, candidates: list[str]) -> bool:
        ranked = rendezvous_rank(server.name.encode(), candidates)
        return self._host in ranked[:POLLERS_PER_SERVER]
