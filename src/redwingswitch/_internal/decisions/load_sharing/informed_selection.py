"""Selection of a server for a new flow by what all hosts know together."""

from __future__ import annotations

from collections.abc import Sequence

from redwingswitch._internal.decisions.cookies.server_selection import Candidate, ServerSelector
from redwingswitch._internal.decisions.load_sharing.avoided_servers import AvoidedServer, Fault
from redwingswitch._internal.decisions.load_sharing.shared_load import SharedLoad
from redwingswitch._internal.models.cookie_flows import ListedServer, Route
from redwingswitch._internal.ports import RandomSource

MIN_ANSWER_MS = 1.0


class InformedSelector:
    """Leaves out the servers that the hosts together find slow or silent.

    The others are selected by the load that this host observes. A slow server gets its part of the
    flows again while the others are so busy that it would answer as soon. That part is drawn at
    random, so that hosts which all hear of the same load do not all turn to one server.
    """

    def __init__(
        self, *, selector: ServerSelector, shared_load: SharedLoad, random_source: RandomSource
    ) -> None:
        self._selector = selector
        self._shared_load = shared_load
        self._random = random_source

    def select_server(
        self, candidates: Sequence[Candidate], route: Route, usual_answer_ms: float | None
    ) -> ListedServer | None:
        """Return the server to offer a flow of a route to; None if none is to be left out."""
        avoided = self._shared_load.avoided
        usual = [c for c in candidates if avoided.get(c.server.server_id) is None]
        if not usual or len(usual) == len(candidates):
            return None
        mean_load = self._mean_load(usual)
        slow_capacities: list[tuple[Candidate, float]] = []
        for candidate in candidates:
            found = avoided.get(candidate.server.server_id)
            if found is None:
                continue
            slowness = _slowness(found, route, usual_answer_ms)
            if (1 + self._load(candidate)) * slowness <= 1 + mean_load:
                slow_capacities.append((candidate, candidate.capacity / slowness))
        return self._draw_slow(slow_capacities, usual) or self._selector.select_server(usual)

    def _draw_slow(
        self, slow_capacities: list[tuple[Candidate, float]], usual: list[Candidate]
    ) -> ListedServer | None:
        """Return a slow server as often as its part of the capacity allows, else None."""
        if not slow_capacities:
            return None
        capacity = sum(c.capacity for c in usual)
        remaining = self._random.random() * (capacity + sum(each for _, each in slow_capacities))
        for candidate, slow_capacity in slow_capacities:
            remaining -= slow_capacity
            if remaining < 0:
                return candidate.server
        return None

    def _mean_load(self, candidates: Sequence[Candidate]) -> float:
        return sum(self._load(candidate) for candidate in candidates) / len(candidates)

    def _load(self, candidate: Candidate) -> float:
        """Return the busy flows of all hosts at a server for each slot."""
        others = self._shared_load.others_busy_flows(candidate.server)
        return self._selector.load_per_slot(candidate) + others / candidate.capacity


def _slowness(avoided: AvoidedServer, route: Route, usual_answer_ms: float | None) -> float:
    """Return how many times longer than usual a request of a route is expected to take.

    An overdue request is taken to last until the end of its time budget.
    """
    slowness = max(1.0, avoided.relative_time)
    if avoided.fault is Fault.OVERDUE:
        usual_ms = max(MIN_ANSWER_MS, usual_answer_ms or MIN_ANSWER_MS)
        slowness += avoided.overdue_ratio * route.timeout_ms / usual_ms
    return slowness
