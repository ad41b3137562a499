"""Selection of the backend server for a new flow by load and failure domain."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from redwingswitch._internal.models.cookie_flows import ListedServer, Route, ServiceShare
from redwingswitch._internal.ports import RandomSource

# Load of an open flow without a request in progress, relative to one with a request. Long flows are
# idle most of the time.
IDLE_FLOW_LOAD_RATIO = 0.15
# A server of another failure domain is selected when those of this host's domain have this much
# more load per slot. With two slots, that is the case from two more requests on each of them.
REMOTE_DOMAIN_PENALTY_PER_SLOT = 0.75
# Fraction of its slots that a server counts with during its slow start. A server's entry states how
# long the slow start lasts, but not how slow the server is.
SLOW_START_CAPACITY_RATIO = 0.5


class ServerLoad(Protocol):
    """The load of servers as far as this host has observed it."""

    def open_flow_count(self, server_id: str) -> int:
        """Return the number of open flows at a server."""

    def busy_flow_count(self, server_id: str) -> int:
        """Return the number of flows at a server that have a request in progress."""


class Candidate(NamedTuple):
    """A server that may be offered a flow; ``capacity_ratio`` is below 1 during its slow start."""

    server: ListedServer
    capacity_ratio: float = 1.0

    @property
    def capacity(self) -> float:
        """Return the number of slots that count; above 0."""
        return max(0.1, self.server.slots * self.capacity_ratio)


class ServerSelector:
    """Selects the candidate with the least load per slot.

    Candidates in this host's failure domain (the local domain) have precedence.

    A flow stays at its server, so the selection determines the balance for the flow's lifetime.
    """

    def __init__(
        self, *, failure_domain: str, load: ServerLoad, random_source: RandomSource
    ) -> None:
        self._failure_domain = failure_domain
        self._load = load
        self._random = random_source

    def select_service(self, route: Route) -> str:
        """Return the service for a new flow, drawn by the weights of the route's shares."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        return self._select_by_weight(shares)

    def select_server(self, candidates: Sequence[Candidate]) -> ListedServer | None:
        """Return the server to offer a flow to, or None without candidates."""
        if not candidates:
            return None
        local_domain_penalty = self.local_domain_penalty(candidates)
        best = min(
            candidates, key=lambda c: (self._cost(c, local_domain_penalty), self._random.random())
        )
        return best.server

    def local_domain_penalty(self, candidates: Sequence[Candidate]) -> float:
        """Return the load penalty of servers in the local domain.

        It is above 0 when the local domain has fewer slots than the average domain, so that its
        callers spill over to other failure domains earlier.
        """
        slots = [c.server.slots * c.capacity_ratio for c in candidates]
        local_slots = sum(
            s
            for s, c in zip(slots, candidates, strict=True)
            if c.server.failure_domain == self._failure_domain
        )
        domains = {c.server.failure_domain for c in candidates}
        mean_slots = sum(slots) / len(domains)
        return (
            REMOTE_DOMAIN_PENALTY_PER_SLOT * max(0.0, 1.0 - local_slots / mean_slots)
            if mean_slots
            else 0.0
        )

    def load_per_slot(self, candidate: Candidate) -> float:
        """Return the load that this host observes for each slot."""
        server = candidate.server
        busy = self._load.busy_flow_count(server.server_id)
        idle = self._load.open_flow_count(server.server_id) - busy
        return (busy + IDLE_FLOW_LOAD_RATIO * idle) / candidate.capacity

    def _cost(self, candidate: Candidate, local_domain_penalty: float) -> float:
        is_local = candidate.server.failure_domain == self._failure_domain
        penalty = local_domain_penalty if is_local else REMOTE_DOMAIN_PENALTY_PER_SLOT
        return self.load_per_slot(candidate) + penalty

    def _select_by_weight(self, shares: Sequence[ServiceShare]) -> str:
        remaining = self._random.random() * sum(share.weight for share in shares)
        for share in shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return shares[-1].service
