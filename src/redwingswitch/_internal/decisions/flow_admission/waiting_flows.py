"""The bounded queue of opening packets that wait for room."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import FlowEndpoints, FlowPacket, RouteAddress

MAX_WAITING_FLOWS = 256
# A caller sends its opening packet again after 200 ms and after 400 ms more, and gives up 800 ms
# later.
FIRST_RETRANSMISSION_MS = 200
CALLER_LIMIT_MS = 1_400
# Timers fire up to 20 ms late, a server is offered a flow for 40 ms and answers within 15 ms.
CALLER_MARGIN_MS = 100
# A packet may arrive this much earlier, relative to the one before, than it was sent.
JITTER_MS = 20


class WaitingFlow(NamedTuple):
    """A flow that waits; it starts before ``latest_start_ms`` or not at all.

    ``packet`` is the latest copy of the opening packet, which arrived at ``packet_ms``.
    """

    latest_start_ms: int
    work_ms: float
    number: int
    first_ms: int
    packet_ms: int
    service: str
    priority: int
    expected_wait_ms: int
    packet: FlowPacket

    @property
    def flow(self) -> FlowEndpoints:
        """Return both ends of the flow."""
        return self.packet.flow

    def may_be_rejected(self, now_ms: int) -> bool:
        """Return whether no other host can have opened the flow."""
        return now_ms < next_copy_ms(self.packet, self.packet_ms) - JITTER_MS

    def is_abandoned(self, now_ms: int) -> bool:
        """Return whether the caller has not sent the next copy to this host in time."""
        overdue_ms = next_copy_ms(self.packet, self.packet_ms) + CALLER_MARGIN_MS
        return now_ms >= min(overdue_ms, self.first_ms + CALLER_LIMIT_MS)


def next_copy_ms(packet: FlowPacket, arrived_ms: int) -> int:
    """Return when the caller of an opening packet sends the next copy."""
    return arrived_ms + (FIRST_RETRANSMISSION_MS << min(packet.copy_number, 2))


class WaitingFlows:
    """Waiting flows by service and route, ordered by deadline and work within a route."""

    def __init__(self) -> None:
        self._queues: dict[tuple[str, RouteAddress], list[WaitingFlow]] = {}
        self._by_flow: dict[FlowEndpoints, WaitingFlow] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def get(self, flow: FlowEndpoints) -> WaitingFlow | None:
        """Return the entry of a flow, or None when it does not wait."""
        return self._by_flow.get(flow)

    def add(self, waiting: WaitingFlow) -> None:
        """Add a flow that does not wait yet; the caller checks the bounds."""
        self._by_flow[waiting.flow] = waiting
        insort(self._queues.setdefault(_queue_key(waiting), []), waiting, key=_order)

    def replace_packet(
        self, before: WaitingFlow, packet: FlowPacket, arrived_ms: int
    ) -> WaitingFlow:
        """Store a later copy of a waiting flow's opening packet."""
        if packet.copy_number <= before.packet.copy_number:
            # The network delivered a packet twice, which says nothing about the caller.
            return before
        after = before._replace(packet=packet, packet_ms=arrived_ms)
        self.remove(packet.flow)
        self.add(after)
        return after

    def remove(self, flow: FlowEndpoints) -> WaitingFlow | None:
        """Remove a flow; return None when it does not wait."""
        waiting = self._by_flow.pop(flow, None)
        if waiting is not None:
            key = _queue_key(waiting)
            self._queues[key].remove(waiting)
            if not self._queues[key]:
                del self._queues[key]
        return waiting

    def services(self) -> set[str]:
        """Return the services that flows wait for."""
        return {service for service, _ in self._queues}

    def destinations(self, service: str) -> list[RouteAddress]:
        """Return the routes whose flows wait for a service, highest priority first."""
        found = [(q[0].priority, key[1]) for key, q in self._queues.items() if key[0] == service]
        return [destination for _, destination in sorted(found)]

    def of_route(self, service: str, destination: RouteAddress) -> tuple[WaitingFlow, ...]:
        """Return the waiting flows of a route in their order."""
        return tuple(self._queues.get((service, destination), ()))

    def count(self, service: str, destination: RouteAddress) -> int:
        """Return the number of waiting flows of a route."""
        return len(self._queues.get((service, destination), ()))

    def heads(self) -> Iterable[WaitingFlow]:
        """Return the first flow of each route."""
        return [queue[0] for queue in self._queues.values()]


def _queue_key(waiting: WaitingFlow) -> tuple[str, RouteAddress]:
    return (waiting.service, waiting.flow.destination)


def _order(waiting: WaitingFlow) -> tuple[int, float, int]:
    return (waiting.latest_start_ms, waiting.work_ms, waiting.number)
