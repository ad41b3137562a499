"""Choice of the backend server for a new flow: near and least loaded first."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from redwingswitch._internal.models.cookie_flows import ListedServer, Route, ServiceShare
from redwingswitch._internal.ports import RandomSource

# An open flow without a request in progress, relative to one with a request: an estimate, as long
# flows rest most of the time.
IDLE_FLOW_LOAD_RATIO = 0.15
# A server of another failure domain is taken when the near ones carry this much more for each slot:
# with two slots, from two requests more on each of them.
FAR_DOMAIN_PENALTY_PER_SLOT = 0.75
# A server that says that it is still slow after its start gets this share of its slots: an
# estimate, as its entry tells how long it stays slow, not how much.
SLOW_START_CAPACITY_RATIO = 0.5


class ServerLoad(Protocol):
    """What this host knows of the load of servers."""

    def open_flow_count(self, server_id: str) -> int:
        """Return the open flows at a server."""

    def busy_flow_count(self, server_id: str) -> int:
        """Return the flows at a server with a request in progress."""


class Candidate(NamedTuple):
    """A server that may be offered a flow; ``capacity_ratio`` is 1 for a warm server."""

    server: ListedServer
    capacity_ratio: float = 1.0


class ServerSelector:
    """Picks the candidate with the least load for each slot.

    Flows stay where they open, so the choice decides the balance for as long as they live.
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
        """Return the server to offer a flow to; None without candidates."""
        if not candidates:
            return None
        near_domain_penalty = self._near_domain_penalty(candidates)
        best = min(
            candidates, key=lambda c: (self._cost(c, near_domain_penalty), self._random.random())
        )
        return best.server

    def _near_domain_penalty(self, candidates: Sequence[Candidate]) -> float:
        """Return what makes up for a failure domain with few slots: its callers spill earlier."""
        slots = [c.server.slots * c.capacity_ratio for c in candidates]
        near_slots = sum(
            s
            for s, c in zip(slots, candidates, strict=True)
            if c.server.failure_domain == self._failure_domain
        )
        domains = {c.server.failure_domain for c in candidates}
        mean_slots = sum(slots) / len(domains)
        return (
            FAR_DOMAIN_PENALTY_PER_SLOT * max(0.0, 1.0 - near_slots / mean_slots)
            if mean_slots
            else 0.0
        )

    def _cost(self, candidate: Candidate, near_domain_penalty: float) -> float:
        server = candidate.server
        busy = self._load.busy_flow_count(server.server_id)
        idle = self._load.open_flow_count(server.server_id) - busy
        capacity = max(0.1, server.slots * candidate.capacity_ratio)
        load = (busy + IDLE_FLOW_LOAD_RATIO * idle) / capacity
        is_near = server.failure_domain == self._failure_domain
        return load + (near_domain_penalty if is_near else FAR_DOMAIN_PENALTY_PER_SLOT)

    def _select_by_weight(self, shares: Sequence[ServiceShare]) -> str:
        remaining = self._random.random() * sum(share.weight for share in shares)
        for share in shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return shares[-1].service
