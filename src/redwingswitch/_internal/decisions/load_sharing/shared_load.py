"""What a host knows of the load that other hosts observe, and until when it may use it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import TypeVar

from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.decisions.load_sharing.avoided_servers import AvoidedServers
from redwingswitch._internal.decisions.load_sharing.demand import service_demand
from redwingswitch._internal.decisions.load_sharing.server_sums import (
    TENTHS,
    have_flows_moved,
    mean_overdue_ratio,
)
from redwingswitch._internal.models.cookie_flows import (
    ListedServer,
    RouteAddress,
    RouteTable,
)
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import (
    HostRank,
    LoadSummary,
    LoadSums,
    ServiceDemand,
)
from redwingswitch._internal.ports import RandomSource

Key = TypeVar("Key")

SUMMARY_LIFETIME_MS = 1_500
# Busy flows change within the time of one request, and a summary is up to 0.5 s old. Their mean
# over this half-life tells which servers and failure domains are busier than others, and keeps
# hosts that all react to it from moving their flows to and fro.
BUSY_HALF_LIFE_MS = 1_000
# The ids of the servers that a summary names are looked up again at most this often.
MIN_INDEX_INTERVAL_MS = 2_000
MIN_MEAN = 0.01
# With this many busy flows for each slot of a service, requests queue at most of its servers.
QUEUEING_FLOWS_PER_SLOT = 1.5
EMPTY_SUMS = LoadSums((), (), ())


class SharedLoad:
    """Keeps the latest summary of the reader; without a fresh one, nothing is known."""

    def __init__(
        self,
        *,
        all_domains: int,
        random_source: RandomSource,
        directory: ServerDirectory,
    ) -> None:
        self._all_domains = all_domains
        self._directory = directory
        self._summary: LoadSummary | None = None
        self._updated_ms: int | None = None
        self._deadline_ms = 0
        self._server_ids: dict[int, str] = {}
        self._next_index_ms = 0
        # Mean busy flows over the last second or so.
        self._busy_flows: dict[str, float] = {}
        self._service_busy_flows: dict[tuple[int, int], float] = {}
        # Computed when they are first needed after a summary.
        self._busy_of_unnamed: dict[tuple[str, str], float] = {}
        self.avoided = AvoidedServers(random_source=random_source)

    def on_summary(self, summary: LoadSummary, now_ms: int) -> bool:
        """Take a summary; return False for one that is late or older than the one known.

        Its age counts from the report that it answers, so one that was delayed on the way does not
        seem recent.
        """
        sent_ms = min(summary.report_sent_ms, now_ms)
        deadline_ms = sent_ms + SUMMARY_LIFETIME_MS
        if deadline_ms <= now_ms or deadline_ms < self._deadline_ms:
            return False
        if not self.is_fresh(now_ms):
            self.forget()
        self._summary = summary
        self._deadline_ms = deadline_ms
        self._index_servers(now_ms)
        self._update_busy_flows(summary.sums, now_ms)
        entries = {
            server_id: entry
            for entry in summary.sums.servers
            if (server_id := self._server_ids.get(entry.server)) is not None
        }
        self.avoided.update(
            entries,
            host_count=summary.host_count,
            load_factors=self._load_factors(),
            queueing=self._queueing_servers(entries),
            mean_overdue_ratio=mean_overdue_ratio(summary.sums),
            have_flows_moved=have_flows_moved(summary.sums),
            now_ms=now_ms,
        )
        return True

    def expire(self, now_ms: int) -> None:
        """Forget everything when the latest summary is too old."""
        if self._summary is not None and not self.is_fresh(now_ms):
            self.forget()

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the latest summary may be used."""
        return self._summary is not None and now_ms < self._deadline_ms

    @property
    def sums(self) -> LoadSums:
        """Return the sums of the latest summary; use them only while it is fresh."""
        return EMPTY_SUMS if self._summary is None else self._summary.sums

    @property
    def total_hosts(self) -> int:
        """Return the number of hosts in the latest summary."""
        return 0 if self._summary is None else self._summary.total_hosts

    @property
    def known_domains(self) -> int:
        """Return the number of failure domains in the latest summary."""
        return 0 if self._summary is None else self._summary.known_domains

    def watched_servers(self) -> Collection[str]:
        """Return the servers about which each host should report what it knows."""
        return {
            server_id
            for entry in self.sums.servers
            if (server_id := self._server_ids.get(entry.server)) is not None
        }

    def doubted_servers(self) -> Collection[str]:
        """Return the servers that some hosts find silent."""
        return {
            self._server_ids[entry.server]
            for entry in self.sums.servers
            if entry.unanswered_hosts and entry.server in self._server_ids
        }

    def usual_service_ms(self) -> Mapping[RouteAddress, float]:
        """Return the mean service times of the routes over all hosts."""
        return {
            RouteAddress(route.address, route.port): (
                TENTHS * route.service_time_ms / route.answers_tenths
            )
            for route in self.sums.routes
            if route.answers_tenths
        }

    def others_busy_flows(self, server: ListedServer) -> float:
        """Return the mean number of busy flows of other hosts at a server.

        Servers that the summary does not name have equal parts of the busy flows of their service
        and failure domain that are not at named ones.
        """
        if self.total_hosts <= 1:
            return 0.0
        busy = self._busy_flows.get(server.server_id)
        if busy is None:
            busy = self._busy_flows_of_unnamed(server)
        return busy * (self.total_hosts - 1) / self.total_hosts

    def _busy_flows_of_unnamed(self, server: ListedServer) -> float:
        """Return the mean at the servers of a service and failure domain that are not named."""
        key = (server.service, server.failure_domain)
        busy = self._busy_of_unnamed.get(key)
        if busy is None:
            busy = self._busy_of_unnamed[key] = self._compute_busy_flows_of_unnamed(*key)
        return busy

    def _compute_busy_flows_of_unnamed(self, service: str, failure_domain: str) -> float:
        total = self._service_busy_flows.get((wire_id(service), wire_id(failure_domain)), 0.0)
        servers = [
            known.server
            for known in self._directory.active_servers(service)
            if known.server.failure_domain == failure_domain
        ]
        named = [self._busy_flows[s.server_id] for s in servers if s.server_id in self._busy_flows]
        return max(0.0, total - sum(named)) / max(1, len(servers) - len(named))

    def host_rank(self, now_ms: int) -> HostRank | None:
        """Return this host's rank in its failure domain, or None without a fresh summary."""
        summary = self._summary
        if summary is None or not self.is_fresh(now_ms):
            return None
        return HostRank(summary.rank, summary.host_count, self._deadline_ms)

    def service_demand(
        self, service: str, now_ms: int, routes: RouteTable | None
    ) -> ServiceDemand | None:
        """Return the demand of a service, or None without a fresh summary."""
        summary = self._summary
        if summary is None or routes is None or not self.is_fresh(now_ms):
            return None
        return service_demand(
            service,
            summary,
            routes,
            all_domains=max(self._all_domains, summary.known_domains),
            deadline_ms=self._deadline_ms,
        )

    def _load_factors(self) -> dict[str, float]:
        """Return how many times longer a request takes at each named server because of its load.

        A request is taken to last for as long as there are busy flows for each slot, and one more.
        """
        factors = {}
        service_loads: dict[str, float] = {}
        for server_id, busy in self._busy_flows.items():
            known = self._directory.get(server_id)
            if known is None:
                continue
            service = known.server.service
            if service not in service_loads:
                service_loads[service] = self._load_per_slot(service)
            load = busy / max(1, known.server.slots)
            factors[server_id] = max(1.0, (1 + load) / (1 + service_loads[service]))
        return factors

    def _queueing_servers(self, server_ids: Iterable[str]) -> Collection[str]:
        """Return those of the servers in whose service most servers have a queue."""
        services: dict[str, bool] = {}
        queueing = set()
        for server_id in server_ids:
            known = self._directory.get(server_id)
            if known is None:
                continue
            service = known.server.service
            if service not in services:
                services[service] = self._load_per_slot(service) >= QUEUEING_FLOWS_PER_SLOT
            if services[service]:
                queueing.add(server_id)
        return queueing

    def _load_per_slot(self, service: str) -> float:
        service_id = wire_id(service)
        busy = sum(flows for key, flows in self._service_busy_flows.items() if key[0] == service_id)
        slots = sum(known.server.slots for known in self._directory.active_servers(service))
        return busy / max(1, slots)

    def _index_servers(self, now_ms: int) -> None:
        summary = self._summary
        if summary is None or now_ms < self._next_index_ms:
            return
        if any(entry.server not in self._server_ids for entry in summary.sums.servers):
            self._next_index_ms = now_ms + MIN_INDEX_INTERVAL_MS
            known = self._directory.known_servers()
            self._server_ids = {wire_id(name): name for name in known}

    def _update_busy_flows(self, sums: LoadSums, now_ms: int) -> None:
        elapsed_ms = None if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        weight = 1.0 if elapsed_ms is None else 1 - 0.5 ** (elapsed_ms / BUSY_HALF_LIFE_MS)
        services = {(each.service, each.failure_domain): each.busy_flows for each in sums.services}
        self._service_busy_flows = _smooth(self._service_busy_flows, services, weight)
        servers = {
            server_id: entry.busy_flows
            for entry in sums.servers
            if (server_id := self._server_ids.get(entry.server)) is not None
        }
        # A server that is not named any more has the mean of its failure domain.
        known = {name: busy for name, busy in self._busy_flows.items() if name in servers}
        self._busy_flows = _smooth(known, servers, weight)
        self._busy_of_unnamed.clear()

    def forget(self) -> None:
        """Act as without a summary until the next one."""
        self._summary = None
        self._updated_ms = None
        self._busy_flows.clear()
        self._service_busy_flows.clear()
        self._busy_of_unnamed.clear()
        self.avoided.clear()


def _smooth(
    means: Mapping[Key, float], current: Mapping[Key, int], weight: float
) -> dict[Key, float]:
    """Return new means; a key without a mean begins with its current value."""
    moved = {
        key: means.get(key, busy) + weight * (busy - means.get(key, busy))
        for key, busy in current.items()
    }
    ended = {
        key: mean * (1 - weight)
        for key, mean in means.items()
        if key not in current and mean > MIN_MEAN
    }
    return {**ended, **moved}
