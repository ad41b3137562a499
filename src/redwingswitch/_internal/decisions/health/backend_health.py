"""Health of all backend servers of a configuration.

This host's own observations decide whether a server is healthy; the servers' reports are only
hints.
"""

from __future__ import annotations

import statistics

from redwingswitch._internal.decisions.health.server_health import ServerHealth
from redwingswitch._internal.models.actions import Action, PollBackendReport
from redwingswitch._internal.models.configuration import Configuration, ServerState, Service
from redwingswitch._internal.models.requests import BackendReport, FailureKind
from redwingswitch._internal.ports import RandomSource

POLL_INTERVAL_MS = 1_000
# Limits the rate of polls: with more than 32 servers, each is polled less than once a second.
MIN_POLL_SPACING_MS = 31
LATENCY_OUTLIER_RATIO = 8.0
LATENCY_OUTLIER_WEIGHT = 0.25
MIN_COMPARED_SERVERS = 3


class BackendHealth:
    """Decides which backend servers of the configuration may get new work, and how much.

    An unhealthy server is ejected: it gets no new work except one request at a time as a probe.
    Servers that are not in the configuration get none.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._servers: dict[str, ServerHealth] = {}
        self._by_service: dict[str, list[ServerHealth]] = {}
        # Cached because it is read with every event, while few servers are ejected at any time.
        self._ejected: set[str] = set()
        self._poll_order: list[str] = []
        self._next_poll_ms: int | None = None

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Apply a revision; servers added after the first revision get a slow start."""
        is_first_revision = not self._servers
        previous = self._servers
        self._servers = {}
        self._by_service = {}
        for service in configuration.services:
            self._add_service(service, previous, is_first_revision, now_ms)
        self._ejected = {name for name, health in self._servers.items() if health.is_ejected}
        self._poll_order = [name for name in self._poll_order if name in self._servers]
        if self._next_poll_ms is None:
            self._next_poll_ms = now_ms + self._random.randrange(POLL_INTERVAL_MS)
        return []

    def on_success(self, server: str, latency_ms: int, now_ms: int) -> None:
        """Record a complete answer or an accepted connection."""
        health = self._servers.get(server)
        if health is not None:
            health.on_success(latency_ms, now_ms)

    def on_failure(self, server: str, kind: FailureKind, now_ms: int) -> None:
        """Record a failed attempt; eject the server after several consecutive ones.

        At most half of a service's active servers are ejected. A server that sheds a request, that
        is, declines to start it, is alive. One of its slots then counts as busy for a while.
        """
        health = self._servers.get(server)
        if health is None:
            return
        if kind == FailureKind.SHED:
            health.on_request_shed(now_ms)
            return
        health.on_failure(now_ms, may_eject=self._may_eject(health, now_ms))
        self._record_ejection(server, health)

    def on_dispatched(self, server: str, now_ms: int) -> None:
        """Record the start of an attempt, so that an ejected server gets one probe at a time."""
        health = self._servers.get(server)
        if health is not None:
            health.on_dispatched(now_ms)

    def on_report(self, report: BackendReport, now_ms: int) -> list[Action]:
        """Store a report, which is used as a hint for 5 s."""
        health = self._servers.get(report.backend_server)
        if health is not None:
            health.on_report(report, now_ms)
        return []

    def on_report_failed(self, server: str, now_ms: int) -> list[Action]:
        """Record an unanswered poll; eject the server after several without any other answer.

        A service that takes only streams yields no observations, so without this rule a crashed
        server of it would get new flows indefinitely.
        """
        health = self._servers.get(server)
        if health is not None:
            health.on_report_failed(now_ms, may_eject=self._may_eject(health, now_ms))
            self._record_ejection(server, health)
        return []

    def ejected(self, now_ms: int) -> frozenset[str]:
        """Return the ejected servers, which get no new work except probes."""
        for name in tuple(self._ejected):
            health = self._servers[name]
            health.apply_timeouts(now_ms)
            if not health.is_ejected:
                self._ejected.discard(name)
        return frozenset(self._ejected)

    def may_dispatch(self, server: str, idempotent: bool, now_ms: int) -> bool:
        """Return whether the server may get a request now, as normal work or as the only probe."""
        health = self._servers.get(server)
        if health is None:
            return False
        health.apply_timeouts(now_ms)
        return health.may_dispatch(idempotent, now_ms)

    def slots(self, server: str, now_ms: int) -> int:
        """Return how many requests the server may run, at most its configured slots."""
        health = self._servers.get(server)
        if health is None:
            return 0
        health.apply_timeouts(now_ms)
        return health.slots(now_ms)

    def weight(self, server: str, now_ms: int) -> float:
        """Return the server's relative weight for new work, from 0 to 1."""
        health = self._servers.get(server)
        if health is None or not self.may_dispatch(server, True, now_ms):
            return 0.0
        outlier = LATENCY_OUTLIER_WEIGHT if self._is_latency_outlier(health) else 1.0
        return health.weight(now_ms) * outlier

    def reported_connections(self, server: str, now_ms: int) -> int:
        """Return the open connections in the server's last report, or -1 without a fresh one."""
        health = self._servers.get(server)
        return -1 if health is None else health.reported_connections(now_ms)

    def next_deadline_ms(self) -> int | None:
        """Return when the next poll is due."""
        return self._next_poll_ms if self._servers else None

    def on_timer(self, now_ms: int) -> list[Action]:
        """Poll one server for a report; each server is polled once per round, in random order."""
        if self._next_poll_ms is None or now_ms < self._next_poll_ms or not self._servers:
            return []
        spacing_ms = max(MIN_POLL_SPACING_MS, POLL_INTERVAL_MS // len(self._servers))
        self._next_poll_ms = now_ms + spacing_ms
        if not self._poll_order:
            self._poll_order = list(self._servers)
            self._random.shuffle(self._poll_order)
        return [PollBackendReport(self._poll_order.pop())]

    def _record_ejection(self, server: str, health: ServerHealth) -> None:
        if health.is_ejected:
            self._ejected.add(server)

    def _add_service(
        self,
        service: Service,
        previous: dict[str, ServerHealth],
        is_first_revision: bool,
        now_ms: int,
    ) -> None:
        servers = self._by_service.setdefault(service.name, [])
        for server in service.backend_servers:
            health = previous.get(server.name)
            if health is None:
                health = ServerHealth(random_source=self._random)
            health.configure(server, probed_by_requests=_has_idempotent_requests(service))
            health.set_state(server.state, slow_start=not is_first_revision, now_ms=now_ms)
            self._servers[server.name] = health
            servers.append(health)
        self._enforce_ejection_limit(servers, now_ms)

    def _enforce_ejection_limit(self, servers: list[ServerHealth], now_ms: int) -> None:
        """Readmit ejected servers beyond the limit, after the number of active ones has dropped."""
        active = [health for health in servers if health.state == ServerState.ACTIVE]
        ejected = sorted((h for h in active if h.is_ejected), key=lambda h: h.earliest_probe_ms)
        for health in ejected[: max(0, len(ejected) - len(active) // 2)]:
            health.readmit_without_probe(now_ms)

    def _may_eject(self, subject: ServerHealth, now_ms: int) -> bool:
        servers = self._by_service[subject.service]
        for health in servers:
            health.apply_timeouts(now_ms)
        active = [health for health in servers if health.state == ServerState.ACTIVE]
        ejected = sum(1 for health in active if health.is_ejected and health is not subject)
        return ejected < len(active) // 2

    def _is_latency_outlier(self, subject: ServerHealth) -> bool:
        servers = self._by_service[subject.service]
        compared = [health.latency_ms for health in servers if health.latency_ms is not None]
        if subject.latency_ms is None or len(compared) < MIN_COMPARED_SERVERS:
            return False
        return subject.latency_ms > LATENCY_OUTLIER_RATIO * max(1.0, statistics.median(compared))


def _has_idempotent_requests(service: Service) -> bool:
    return service.takes_requests and service.idempotent
