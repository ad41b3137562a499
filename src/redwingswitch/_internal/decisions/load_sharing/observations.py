"""What one host observes of the load of servers and routes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Mapping
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.decisions.cookies.flow_table import FlowState, FlowTable
from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.decisions.load_sharing.overdue_requests import OverdueRequests
from redwingswitch._internal.decisions.load_sharing.route_observations import (
    RouteObservations,
    sum_routes,
)
from redwingswitch._internal.decisions.load_sharing.route_times import relative_time
from redwingswitch._internal.decisions.load_sharing.server_observations import ServerObservations
from redwingswitch._internal.decisions.load_sharing.server_sums import by_significance, is_unusual
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import (
    HALF_LIFE_MS,
    MAX_AGE_CS,
    MAX_ANSWERED_PER_MESSAGE,
    MAX_SERVERS_PER_MESSAGE,
    MAX_SERVICES_PER_MESSAGE,
    LoadSums,
    ServerSums,
    ServiceBusy,
)

# Routes that were removed are dropped when there are more than this, the oldest first.
MAX_ROUTES = 1_024
# Long enough that a server that refuses some flows shows in the reports of several hosts, and
# shorter than the time between two reports, so that a silent server's last answers soon end.
RECENT_ANSWER_MS = 300
MIN_UNCONFIRMED_OPENINGS = 2
# A report at once because of moved flows; after a change of the routers' rotation, all hosts have
# such flows for a second or more.
MIN_MOVED_REPORT_INTERVAL_MS = 500
# Between two calls that take the evidence.
MAX_EVIDENCE = 256
# A service time counts at most as much as this many usual ones.
MAX_RELATIVE_TIME = 50.0


class Evidence(StrEnum):
    """What this host observed of a server; the values are in log lines."""

    UNANSWERED = "unanswered"
    OVERDUE = "overdue"


class ServerEvidence(NamedTuple):
    """A server that newly left something unanswered."""

    server_id: str
    evidence: Evidence


class LoadObservations:
    """Counts events of servers and routes; the counts decay whenever ``update`` is called.

    Bounded by the servers and routes in use: a server without an event for some seconds is dropped.
    """

    def __init__(self, *, flows: FlowTable, directory: ServerDirectory) -> None:
        self._flows = flows
        self._directory = directory
        self._servers: dict[str, ServerObservations] = {}
        self._routes: dict[RouteAddress, RouteObservations] = {}
        self._overdue = OverdueRequests()
        self._updated_ms: int | None = None
        self._is_urgent = False
        self._evidence: list[ServerEvidence] = []
        # Flows since the last report whose answer came through this host, but not their opening.
        self._moved_flows = 0
        self._next_moved_report_ms = 0
        # The usual service times that all hosts know together, while they are fresh.
        self.shared_service_ms: Mapping[RouteAddress, float] = {}
        # Servers of which all hosts should report what they know.
        self.watched: Container[str] = frozenset()
        # Those of them that other hosts find silent: an answer is reported at once.
        self.doubted: Container[str] = frozenset()

    def on_opening_unanswered(
        self,
        server_id: str,
        *,
        sent_ms: int,
        is_confirmed: bool = False,
        is_first_offer: bool = True,
    ) -> None:
        """Record an opening packet that a server did not answer in time.

        It is confirmed once the caller's later packets have reached this host. Otherwise the answer
        may have been acknowledged through another host, which two openings in a row make unlikely.

        When a server has reset the caller, no further server that the flow is offered to gets an
        acknowledgement. An unconfirmed opening is therefore reported of the first one only.
        """
        server = self._server(server_id)
        if server.answered_ms is not None and server.answered_ms >= sent_ms:
            return
        if not is_confirmed:
            server.unconfirmed += 1
            if is_first_offer:
                # At once only the first: the sums count hosts.
                self._is_urgent |= server.unconfirmed_sent_ms is None
                server.unconfirmed_sent_ms = sent_ms
            if server.unconfirmed < MIN_UNCONFIRMED_OPENINGS:
                return
        if not server.unanswered:
            self._note_evidence(server_id, Evidence.UNANSWERED)
        server.unanswered += 1
        server.unanswered_sent_ms = sent_ms
        server.is_confirmed |= is_confirmed

    def on_flow_moved(self) -> None:
        """Record a packet that answers a server on a flow that was opened through another host."""
        self._moved_flows += 1

    def forget_waiting(self) -> None:
        """Forget the requests and openings that wait now: their answers may take other hosts."""
        self._overdue.forget()
        for server in self._servers.values():
            server.forget_unconfirmed()

    def on_answer(self, server_id: str, now_ms: int) -> None:
        """Record any answer of a server."""
        # For each acknowledgement of an answer, so it does as little as possible.
        server = self._servers.get(server_id) or self._server(server_id)
        server.answered_ms = now_ms
        if server.unconfirmed or server.unanswered:
            server.forget_unanswered()
        if server_id in self.doubted:
            self._is_urgent = True

    def on_request(self, state: FlowState, route: Route, now_ms: int) -> None:
        """Record a new request."""
        observed = self._route(route.destination)
        observed.requests += 1
        self._overdue.add(state, route, observed.times.answer_ms, now_ms)

    def on_request_answered(self, state: FlowState, route: Route, latency_ms: int) -> None:
        """Record the answer to a request."""
        observed = self._route(route.destination)
        observed.times.on_answer(latency_ms)
        if state.opening_latency_ms is None:
            return
        service_ms = max(0, latency_ms - state.opening_latency_ms)
        observed.times.on_service_time(service_ms)
        observed.answers += 1
        observed.service_time_ms += service_ms
        usual_ms = self.shared_service_ms.get(route.destination, observed.times.service_ms or 0.0)
        server = self._server(state.server_id)
        server.answers += 1
        server.relative_time += min(MAX_RELATIVE_TIME, relative_time(service_ms, usual_ms))

    def answered_since(self, server_id: str, since_ms: int) -> bool:
        """Return whether a server answered this host at ``since_ms`` or later."""
        server = self._servers.get(server_id)
        return server is not None and (server.answered_ms or since_ms - 1) >= since_ms

    def usual_answer_ms(self, destination: RouteAddress) -> float | None:
        """Return the usual answer time of a route, or None without an answer so far."""
        observed = self._routes.get(destination)
        return None if observed is None else observed.times.answer_ms

    def update(self, now_ms: int) -> bool:
        """Decay the counts and find overdue requests; return whether to report at once."""
        for server_id in self._overdue.update(now_ms):
            self._note_evidence(server_id, Evidence.OVERDUE)
        elapsed_ms = 0 if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        if elapsed_ms > 0:
            self._decay(0.5 ** (elapsed_ms / HALF_LIFE_MS), now_ms)
        if self._moved_flows and now_ms >= self._next_moved_report_ms:
            # Before the unconfirmed openings of these flows speak against servers.
            self._next_moved_report_ms = now_ms + MIN_MOVED_REPORT_INTERVAL_MS
            self._is_urgent = True
        return self._is_urgent

    def build_sums(self, now_ms: int, *, is_link_doubted: bool) -> LoadSums:
        """Return what to report: servers out of the ordinary first, then the busiest.

        Other servers are left out, so that reports stay short. While this host's own link is in
        doubt, it finds no server silent.
        """
        self._is_urgent = False
        moved_flows, self._moved_flows = self._moved_flows, 0
        if moved_flows:
            self.forget_waiting()
        overdue = self._overdue.count_by_server()
        busy = self._busy_flows()
        entries = [
            entry
            for server_id in self._servers.keys() | busy.keys()
            if is_unusual(
                entry := self._sum_server(
                    server_id, busy.get(server_id, 0), overdue.get(server_id, 0), now_ms
                )
            )
            or entry.busy_flows
            or server_id in self.watched
        ]
        if is_link_doubted:
            entries = [
                e._replace(silent_hosts=0, silent_age_cs=MAX_AGE_CS, unconfirmed_hosts=0)
                for e in entries
            ]
        entries.sort(key=by_significance)
        return LoadSums(
            servers=tuple(entries[:MAX_SERVERS_PER_MESSAGE]),
            routes=sum_routes(self._routes),
            services=self._sum_services(busy),
            moved_flows=moved_flows,
        )

    def _busy_flows(self) -> Mapping[str, int]:
        """Return the flows of each server whose callers still wait for an answer."""
        given_up = self._overdue.count_given_up()
        busy = self._flows.busy_flow_counts()
        if not given_up:
            return busy
        left = {name: flows - given_up.get(name, 0) for name, flows in busy.items()}
        return {name: flows for name, flows in left.items() if flows > 0}

    def take_evidence(self) -> list[ServerEvidence]:
        """Return the servers that newly seem not to answer, since the last call."""
        taken = self._evidence
        self._evidence = []
        return taken

    def _note_evidence(self, server_id: str, evidence: Evidence) -> None:
        self._is_urgent = True
        if len(self._evidence) < MAX_EVIDENCE:
            self._evidence.append(ServerEvidence(server_id, evidence))

    def answered_servers(self, now_ms: int) -> tuple[int, ...]:
        """Return the 32-bit ids of the servers that answered in the last ``RECENT_ANSWER_MS``."""
        since_ms = now_ms - RECENT_ANSWER_MS
        names = [
            server_id
            for server_id, server in self._servers.items()
            if server.answered_ms is not None and server.answered_ms > since_ms
        ]
        return tuple(wire_id(name) for name in names[:MAX_ANSWERED_PER_MESSAGE])

    def _sum_server(self, server_id: str, busy: int, overdue: int, now_ms: int) -> ServerSums:
        server = self._servers.get(server_id) or ServerObservations()
        return server.build_sums(
            server_id, busy_flows=busy, overdue_requests=overdue, now_ms=now_ms
        )

    def _sum_services(self, busy: Mapping[str, int]) -> tuple[ServiceBusy, ...]:
        counts: Counter[tuple[str, str]] = Counter()
        for server_id, flows in busy.items():
            known = self._directory.get(server_id)
            if known is not None:
                counts[known.server.service, known.server.failure_domain] += flows
        return tuple(
            ServiceBusy(wire_id(service), wire_id(domain), flows)
            for (service, domain), flows in counts.most_common(MAX_SERVICES_PER_MESSAGE)
        )

    def _decay(self, factor: float, now_ms: int) -> None:
        stale = []
        for server_id, server in self._servers.items():
            server.decay(factor, now_ms)
            if server.is_stale(now_ms):
                stale.append(server_id)
        for server_id in stale:
            del self._servers[server_id]
        for route in self._routes.values():
            route.decay(factor)

    def _server(self, server_id: str) -> ServerObservations:
        server = self._servers.get(server_id)
        if server is None:
            server = self._servers[server_id] = ServerObservations()
        return server

    def _route(self, destination: RouteAddress) -> RouteObservations:
        route = self._routes.get(destination)
        if route is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            route = self._routes[destination] = RouteObservations()
        return route
