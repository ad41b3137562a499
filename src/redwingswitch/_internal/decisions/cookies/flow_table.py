"""The state of flows as observed from the packets that pass through this host."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.models.cookie_flows import FlowEndpoints, FlowPacket

# A flow without packets for longer than this no longer counts as load.
IDLE_LIMIT_MS = 15_000
SWEEP_INTERVAL_MS = 2_000
# About 0.5 KB each: 10 MB at the limit.
MAX_FLOWS = 20_000
# Callers retransmit data after 200 ms; old data that arrives sooner was reordered on the way.
MIN_RETRANSMISSION_MS = 150
SEQUENCE_RANGE = 1 << 32
HALF_SEQUENCE_RANGE = 1 << 31


class FlowState:
    """Progress of one flow, derived from the caller's packets alone."""

    __slots__ = (
        "acknowledged",
        "created_ms",
        "flow",
        "is_busy",
        "is_closed",
        "is_open",
        "last_data_ms",
        "last_packet_ms",
        "next_sequence",
        "offered_server_ids",
        "opened_ms",
        "opening_latency_ms",
        "request_start_ms",
        "retransmissions",
        "server_id",
    )

    def __init__(self, *, flow: FlowEndpoints, server_id: str, now_ms: int) -> None:
        self.flow = flow
        self.server_id = server_id
        # Servers that the opening packets were sent to, in order; the latest is last.
        self.offered_server_ids: tuple[str, ...] = (server_id,)
        self.is_open = False
        # When this host saw the first packet of the open flow.
        self.opened_ms: int | None = None
        self.is_busy = False
        self.is_closed = False
        self.acknowledged = 0
        self.next_sequence = 0
        # Retransmitted packets since the last progress, or since this host's link is trusted again.
        self.retransmissions = 0
        self.created_ms = now_ms
        # Time from the opening packet to its answer, which stands for the round trip; None if this
        # host has not seen it, or if the packet was sent more than once.
        self.opening_latency_ms: int | None = None
        self.request_start_ms = now_ms
        self.last_packet_ms = now_ms
        # When the caller last sent new data or retransmitted data after a timeout.
        self.last_data_ms = now_ms

    def note_open(self, acknowledged: int, now_ms: int) -> None:
        """Record that the caller has sent a packet of the open flow."""
        self.is_open = True
        self.opened_ms = now_ms
        self.acknowledged = acknowledged

    def note_progress(self) -> None:
        """Record that the server has answered."""
        self.retransmissions = 0


def is_sequence_after(left: int, right: int) -> bool:
    """Return whether a 32-bit sequence number is after another one, modulo 2**32."""
    return 0 < (left - right) % SEQUENCE_RANGE < HALF_SEQUENCE_RANGE


class FlowTable:
    """Flows by their endpoints, limited in number and in idle time.

    A lost entry only makes the load counts and the detection of silent servers less accurate, since
    packets are steered by their cookies.
    """

    def __init__(self, *, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._flows: dict[FlowEndpoints, FlowState] = {}
        self._open_counts: dict[str, int] = {}
        self._busy_counts: dict[str, int] = {}
        self._next_sweep_ms = 0

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: FlowEndpoints) -> FlowState | None:
        """Return the state of a flow, or None when it is not tracked."""
        return self._flows.get(flow)

    def add(self, flow: FlowEndpoints, server_id: str, now_ms: int) -> FlowState:
        """Start tracking a flow; at the limit, evict the oldest one."""
        if flow in self._flows:
            self.remove(flow)
        if len(self._flows) >= self._max_flows:
            self.remove(next(iter(self._flows)))
        state = FlowState(flow=flow, server_id=server_id, now_ms=now_ms)
        self._flows[flow] = state
        self._open_counts[server_id] = self._open_counts.get(server_id, 0) + 1
        return state

    def remove(self, flow: FlowEndpoints) -> None:
        """Stop tracking a flow."""
        state = self._flows.pop(flow, None)
        if state is not None:
            self.close(state)

    def close(self, state: FlowState) -> None:
        """Stop counting a flow as load, but keep tracking its last packets."""
        if not state.is_closed:
            self.set_busy(state, False)
            self._add_to_count(self._open_counts, state.server_id, -1)
            state.is_closed = True

    def reassign(self, state: FlowState, server_id: str) -> None:
        """Assign a flow to another server and count its load there."""
        self.close(state)
        state.is_closed = False
        self._add_to_count(self._open_counts, server_id, 1)
        state.server_id = server_id
        if server_id not in state.offered_server_ids:
            state.offered_server_ids = (*state.offered_server_ids, server_id)

    def set_busy(self, state: FlowState, busy: bool) -> None:
        """Record that a request of the flow began or was answered."""
        if state.is_busy != busy and not state.is_closed:
            state.is_busy = busy
            self._add_to_count(self._busy_counts, state.server_id, 1 if busy else -1)

    def open_flow_count(self, server_id: str) -> int:
        """Return the number of tracked flows at a server that are not closed."""
        return self._open_counts.get(server_id, 0)

    def busy_flow_count(self, server_id: str) -> int:
        """Return the number of tracked flows at a server that wait for an answer."""
        return self._busy_counts.get(server_id, 0)

    def busy_flow_counts(self) -> Mapping[str, int]:
        """Return ``busy_flow_count`` of each server where it is above 0."""
        return self._busy_counts

    def remove_idle(self, now_ms: int) -> None:
        """Stop tracking idle flows; checks at most once per ``SWEEP_INTERVAL_MS``."""
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        idle = [
            flow
            for flow, state in self._flows.items()
            if now_ms - state.last_packet_ms > IDLE_LIMIT_MS
        ]
        for flow in idle:
            self.remove(flow)

    def _add_to_count(self, counts: dict[str, int], server_id: str, change: int) -> None:
        left = counts.get(server_id, 0) + change
        if left > 0:
            counts[server_id] = left
        else:
            counts.pop(server_id, None)


def is_old_data(state: FlowState, packet: FlowPacket) -> bool:
    """Return whether all data of the packet was sent before; False for packets without data."""
    if packet.data_bytes == 0 and not packet.closes:
        return False
    return state.next_sequence != 0 and not is_sequence_after(
        packet.sequence + packet.data_bytes + packet.closes, state.next_sequence
    )
