"""Use of the load that the hosts of a deployment observe together, in the steering of one host."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from redwingswitch._internal.decisions.cookies.flow_table import FlowTable
from redwingswitch._internal.decisions.cookies.server_directory import KnownServer, ServerDirectory
from redwingswitch._internal.decisions.cookies.server_selection import Candidate, ServerSelector
from redwingswitch._internal.decisions.load_sharing.avoided_servers import Fault
from redwingswitch._internal.decisions.load_sharing.informed_selection import InformedSelector
from redwingswitch._internal.decisions.load_sharing.observations import LoadObservations
from redwingswitch._internal.decisions.load_sharing.server_sums import have_flows_moved
from redwingswitch._internal.decisions.load_sharing.shared_load import SharedLoad
from redwingswitch._internal.models.cookie_flows import ListedServer, Route, RouteKind, RouteTable
from redwingswitch._internal.models.load_sharing import HostRank, LoadSummary, ServiceDemand
from redwingswitch._internal.ports import RandomSource

# At most this part of a host's new flows probe slow servers, so that the slowest hundredth of all
# requests does not consist of probes. When many servers are avoided, each is probed less often.
MAX_PROBE_RATIO = 0.005
MAX_PROBE_CREDIT = 1.5
# A flow that probes a silent server is offered to another one after 40 ms, so that it costs less.
SILENT_PROBE_COST = 0.1
# A request that a server leaves unanswered is lost to its caller if it must not be repeated. With
# this margin, a flow of another route probes first if there is one among the next 20 flows.
NON_IDEMPOTENT_PROBE_MARGIN = 0.1


class LoadSharing:
    """Holds what this host observes and what it knows of others; a ``DemandSource``.

    It affects only the selection of servers for new flows, never their reset.
    """

    def __init__(
        self,
        *,
        all_domains: int,
        flows: FlowTable,
        directory: ServerDirectory,
        selector: ServerSelector,
        routes: Callable[[], RouteTable | None],
        random_source: RandomSource,
    ) -> None:
        self._routes = routes
        # Random, so that the hosts do not all probe in the same second and then all wait.
        self._probe_credit = MAX_PROBE_CREDIT * random_source.random()
        self.observations = LoadObservations(flows=flows, directory=directory)
        self.shared = SharedLoad(
            all_domains=all_domains,
            random_source=random_source,
            directory=directory,
        )
        self._selector = InformedSelector(
            selector=selector,
            shared_load=self.shared,
            random_source=random_source,
        )

    def on_summary(self, summary: LoadSummary, now_ms: int) -> bool:
        """Take a summary; return False if it is late."""
        if not self.shared.on_summary(summary, now_ms):
            return False
        if have_flows_moved(summary.sums):
            self.observations.forget_waiting()
        self._pass_on_shared()
        return True

    def update(self, now_ms: int) -> bool:
        """Decay and expire what is known; return whether to send a report at once."""
        was_known = self.shared.total_hosts > 0
        self.shared.expire(now_ms)
        if was_known and not self.shared.total_hosts:
            self._pass_on_shared()
        return self.observations.update(now_ms)

    def forget_shared(self) -> None:
        """Act as without a summary until the next one."""
        self.shared.forget()
        self._pass_on_shared()

    def is_silent(self, server: ListedServer, now_ms: int) -> bool:
        """Return whether hosts find a server silent that has not answered this one since."""
        avoided = self.shared.avoided.get(server.server_id)
        return (
            avoided is not None
            and avoided.fault is Fault.SILENT
            and self.shared.is_fresh(now_ms)
            and not self.observations.answered_since(server.server_id, avoided.updated_ms)
        )

    def find_due_probe(
        self, known: Iterable[KnownServer], route: Route, now_ms: int
    ) -> ListedServer | None:
        """Return an avoided server to probe with a new flow of a route, or None."""
        self._probe_credit = min(MAX_PROBE_CREDIT, self._probe_credit + MAX_PROBE_RATIO)
        avoided = self.shared.avoided
        has_credit = self._probe_credit >= SILENT_PROBE_COST
        if not avoided or not has_credit or not self.shared.is_fresh(now_ms):
            return None
        margin = NON_IDEMPOTENT_PROBE_MARGIN if route.kind is RouteKind.NON_IDEMPOTENT else 0.0
        for each in known:
            server_id = each.server.server_id
            if not avoided.is_probe_due(server_id, now_ms):
                continue
            cost = SILENT_PROBE_COST if self.is_silent(each.server, now_ms) else 1.0
            if cost + margin <= self._probe_credit:
                self._probe_credit -= cost
                return each.server
        return None

    def on_offer(self, server: ListedServer, now_ms: int) -> None:
        """Record that a server was offered a flow."""
        self.shared.avoided.on_probe(server.server_id, now_ms)

    def select_server(
        self, candidates: Sequence[Candidate], route: Route, now_ms: int
    ) -> ListedServer | None:
        """Return the server to offer a flow of a route to; None without shared knowledge."""
        if not self.shared.is_fresh(now_ms):
            return None
        usual_answer_ms = self.observations.usual_answer_ms(route.destination)
        return self._selector.select_server(candidates, route, usual_answer_ms)

    def host_rank(self, now_ms: int) -> HostRank | None:
        """Return this host's rank in its failure domain, or None without a fresh summary."""
        return self.shared.host_rank(now_ms)

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        """Return the demand of a service, or None without fresh sums."""
        return self.shared.service_demand(service, now_ms, self._routes())

    def _pass_on_shared(self) -> None:
        self.observations.shared_service_ms = self.shared.usual_service_ms()
        self.observations.watched = self.shared.watched_servers()
        self.observations.doubted = self.shared.doubted_servers()
