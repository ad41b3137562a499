"""What the callers' packets that pass through this host tell of flows and servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingswitch._internal.decisions.cookies.failure_detector import PassiveFailureDetector
from redwingswitch._internal.decisions.cookies.flow_table import (
    MIN_RETRANSMISSION_MS,
    FlowState,
    FlowTable,
    is_old_data,
    is_sequence_after,
)
from redwingswitch._internal.decisions.cookies.server_directory import ServerDirectory
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowOpened,
    FlowPacket,
    ListedServer,
    Observation,
    RequestAnswered,
    Route,
    SuspicionChanged,
)

if TYPE_CHECKING:
    from redwingswitch._internal.decisions.cookies.opening_admission import OpeningAdmission
    from redwingswitch._internal.decisions.load_sharing.load_sharing import LoadSharing


class FlowObserver:
    """Derives the progress of flows from packets, and tells it the parts that judge servers.

    These are the failure detector, and the load sharing and the admission if they are used.
    """

    def __init__(
        self,
        *,
        flows: FlowTable,
        directory: ServerDirectory,
        failure_detector: PassiveFailureDetector,
        observations: list[Observation],
    ) -> None:
        self._flows = flows
        self._directory = directory
        self._failure_detector = failure_detector
        self._observations = observations
        self.load_sharing: LoadSharing | None = None
        self.admission: OpeningAdmission | None = None

    def on_packet(
        self, packet: FlowPacket, server: ListedServer, route: Route, now_ms: int
    ) -> FlowState:
        """Record a packet of an open flow to a server; return the state of the flow."""
        state = self._flows.get(packet.flow)
        if state is None:
            state = self._flows.add(packet.flow, server.server_id, now_ms)
            state.note_open(packet.acknowledged, now_ms)
            is_answer = not (packet.data_bytes or packet.closes or packet.resets)
            if is_answer and self.load_sharing is not None:
                self.load_sharing.observations.on_flow_moved()
        elif state.server_id != server.server_id:
            # Two servers answered the opening packet and the caller accepted this one.
            self._flows.reassign(state, server.server_id)
        state.last_packet_ms = now_ms
        if not state.is_open:
            state.note_open(packet.acknowledged, now_ms)
            opened = FlowOpened(packet.flow, server, now_ms - state.created_ms)
            self._observations.append(opened)
            if len(state.offered_server_ids) == 1 and opened.latency_ms < MIN_RETRANSMISSION_MS:
                state.opening_latency_ms = opened.latency_ms
            self._failure_detector.on_packet_answered(state.created_ms, latest_copy_ms=now_ms)
            self._note_answer(state, server, now_ms)
            for server_id in state.offered_server_ids[:-1]:
                if server_id != server.server_id:
                    self.on_opening_unanswered(
                        state, server_id, now_ms, offered_ms=state.created_ms, is_confirmed=True
                    )
        elif is_sequence_after(packet.acknowledged, state.acknowledged):
            state.acknowledged = packet.acknowledged
            if state.is_busy:
                self._failure_detector.on_packet_answered(
                    state.request_start_ms, latest_copy_ms=state.last_data_ms
                )
                latency_ms = now_ms - state.request_start_ms
                is_late = latency_ms > route.latency_goal_ms > 0
                self._observations.append(RequestAnswered(server, latency_ms, is_late))
                if self.load_sharing is not None:
                    self.load_sharing.observations.on_request_answered(state, route, latency_ms)
                if self.admission is not None and state.opening_latency_ms is not None:
                    service_time_ms = latency_ms - state.opening_latency_ms
                    self.admission.note_service_time(route, server.service, service_time_ms)
            self._flows.set_busy(state, False)
            self._note_answer(state, server, now_ms)
        self._track_data(packet, state, server, route, now_ms)
        return state

    def on_opening_unanswered(
        self,
        state: FlowState,
        server_id: str,
        now_ms: int,
        *,
        offered_ms: int,
        is_confirmed: bool,
    ) -> None:
        """Record that a server did not answer a flow's opening packet sent to it at ``offered_ms``.

        It is confirmed when the caller accepted another server's answer.
        """
        known = self._directory.get(server_id)
        if known is not None and self._failure_detector.on_opening_unanswered(
            known.server,
            state.flow,
            now_ms,
            sent_ms=state.created_ms,
            is_confirmed=is_confirmed,
        ):
            self._note_suspicion(state.flow, known.server)
        if self.load_sharing is not None:
            self.load_sharing.observations.on_opening_unanswered(
                server_id,
                sent_ms=offered_ms,
                is_confirmed=is_confirmed,
                is_first_offer=len(state.offered_server_ids) == 1,
            )

    def on_opening_repeated(self, state: FlowState) -> None:
        """Record a retransmitted opening packet of a flow, which no server has answered.

        Callers send a copy 200 ms after the packet, long after any answer. The failure detector has
        been told when the answer was due.
        """
        if self.load_sharing is not None:
            for server_id in state.offered_server_ids:
                self.load_sharing.observations.on_opening_unanswered(
                    server_id, sent_ms=state.created_ms, is_confirmed=True
                )

    def expire_suspicions(self, now_ms: int) -> None:
        """End the suspicions of servers that got no packets, and so could not answer."""
        for server_id in self._failure_detector.expire(now_ms):
            known = self._directory.get(server_id)
            if known is not None:
                self._note_suspicion(None, known.server)

    def _note_suspicion(self, flow: FlowEndpoints | None, server: ListedServer) -> None:
        suspicion = self._failure_detector.suspicion(server)
        self._observations.append(SuspicionChanged(flow, server, suspicion))

    def _track_data(
        self,
        packet: FlowPacket,
        state: FlowState,
        server: ListedServer,
        route: Route,
        now_ms: int,
    ) -> None:
        if is_old_data(state, packet):
            if now_ms - state.last_data_ms >= MIN_RETRANSMISSION_MS:
                is_counted = self._failure_detector.was_link_trusted(state.last_data_ms)
                state.retransmissions = state.retransmissions + 1 if is_counted else 0
                previous_copy_ms, state.last_data_ms = state.last_data_ms, now_ms
                if self._failure_detector.on_retransmission(
                    server,
                    packet.flow,
                    state.retransmissions,
                    now_ms,
                    sent_ms=state.request_start_ms,
                    previous_copy_ms=previous_copy_ms,
                ):
                    self._note_suspicion(packet.flow, server)
        elif packet.data_bytes or packet.closes:
            state.last_data_ms = now_ms
            state.next_sequence = packet.sequence + packet.data_bytes + packet.closes
            if packet.data_bytes and not state.is_busy:
                state.request_start_ms = now_ms
                self._flows.set_busy(state, True)
                if self.load_sharing is not None:
                    self.load_sharing.observations.on_request(state, route, now_ms)
            if packet.closes:
                self._flows.close(state)

    def _note_answer(self, state: FlowState, server: ListedServer, now_ms: int) -> None:
        state.note_progress()
        if self.load_sharing is not None:
            self.load_sharing.observations.on_answer(server.server_id, now_ms)
        if self._failure_detector.on_answer(server, now_ms):
            self._note_suspicion(state.flow, server)
