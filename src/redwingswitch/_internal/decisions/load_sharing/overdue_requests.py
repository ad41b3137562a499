"""Requests of open flows that wait for their answer longer than usual."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from redwingswitch._internal.decisions.cookies.flow_table import FlowState
from redwingswitch._internal.models.cookie_flows import Route, RouteAddress

# A request is overdue when it has waited both for this part of its route's latency goal and for
# this many times the route's usual answer time.
OVERDUE_GOAL_RATIO = 0.5
OVERDUE_USUAL_RATIO = 4.0
# Requests that callers have given up and whose flows have not ended: a server that refuses a flow
# with a reset leaves one, since the host does not see the reset.
MAX_GIVEN_UP_REQUESTS = 1_024
# About 1 s of requests at 10 times the expected rate of a host.
MAX_PENDING_REQUESTS = 1_024


class _Pending(NamedTuple):
    overdue_ms: int
    end_ms: int
    start_ms: int
    state: FlowState

    def is_waiting(self) -> bool:
        """Return whether the flow still waits for the answer to the same request."""
        return self.state.is_busy and self.state.request_start_ms == self.start_ms


class OverdueRequests:
    """Finds overdue requests by a queue for each route, so that an answer needs no work here."""

    def __init__(self) -> None:
        self._pending: dict[RouteAddress, deque[_Pending]] = {}
        self._overdue: list[_Pending] = []
        self._given_up: deque[_Pending] = deque(maxlen=MAX_GIVEN_UP_REQUESTS)

    def add(self, state: FlowState, route: Route, usual_ms: float | None, now_ms: int) -> None:
        """Record a request that has just been sent to a server."""
        if usual_ms is None:
            wait_ms = float(route.latency_goal_ms)
        else:
            goal_part_ms = OVERDUE_GOAL_RATIO * route.latency_goal_ms
            wait_ms = max(goal_part_ms, OVERDUE_USUAL_RATIO * usual_ms)
        queue = self._pending.get(route.destination)
        if queue is None:
            queue = self._pending[route.destination] = deque(maxlen=MAX_PENDING_REQUESTS)
        # The caller gives the request up at the end of the time budget.
        end_ms = now_ms + max(route.timeout_ms, route.latency_goal_ms)
        queue.append(_Pending(min(end_ms, now_ms + int(wait_ms)), end_ms, now_ms, state))

    def update(self, now_ms: int) -> set[str]:
        """Find the requests that are overdue now; return the servers that newly have one."""
        servers = {each.state.server_id for each in self._overdue}
        waiting = [each for each in self._overdue if each.is_waiting()]
        self._overdue = [each for each in waiting if now_ms < each.end_ms]
        self._given_up.extend(each for each in waiting if now_ms >= each.end_ms)
        for destination, queue in list(self._pending.items()):
            while queue and queue[0].overdue_ms <= now_ms:
                pending = queue.popleft()
                if pending.is_waiting():
                    is_given_up = now_ms >= pending.end_ms
                    (self._given_up if is_given_up else self._overdue).append(pending)
            if not queue:
                del self._pending[destination]
        return {each.state.server_id for each in self._overdue} - servers

    def forget(self) -> None:
        """Forget the requests that wait now."""
        self._pending.clear()
        self._overdue.clear()

    def count_given_up(self) -> Mapping[str, int]:
        """Return the number of requests of each server that callers no longer wait for.

        Their flows still count as busy at this host.
        """
        if self._given_up:
            left = [each for each in self._given_up if each.is_waiting()]
            self._given_up = deque(left, maxlen=MAX_GIVEN_UP_REQUESTS)
        return Counter(each.state.server_id for each in self._given_up)

    def count_by_server(self) -> Mapping[str, int]:
        """Return the number of overdue requests of each server that has one."""
        return Counter(each.state.server_id for each in self._overdue if each.is_waiting())
