"""Checks with a state machine what holds for every flow, whatever load and knowledge do."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingswitch._internal.decisions.flow_admission.flow_admission import Admission, WaitEnd
from redwingswitch._internal.decisions.flow_admission.service_plans import REFRESH_INTERVAL_MS
from redwingswitch._internal.decisions.flow_admission.waiting_flows import (
    CALLER_LIMIT_MS,
    MAX_WAITING_FLOWS,
)
from redwingswitch._internal.models.cookie_flows import FlowEndpoints, FlowPacket, RouteAddress
from tests.lib.cookie_flows import opening_packet
from tests.lib.flow_admission import COMMIT, EXPORT, LOOKUP, SERVICE, AdmittingHost

DESTINATIONS = (LOOKUP, COMMIT, EXPORT)
RATES = st.sampled_from([20.0, 200.0, 900.0, 4_000.0])


class AdmissionMachine(RuleBasedStateMachine):
    """One host whose callers open flows, send copies, give up or take another host."""

    @initialize()
    def begin(self) -> None:
        self.host = AdmittingHost()
        self.first_ms: dict[FlowEndpoints, int] = {}
        self.latest: dict[FlowEndpoints, tuple[FlowPacket, int]] = {}
        # Flows that another host may have opened.
        self.elsewhere: set[FlowEndpoints] = set()
        # When fresh sums showed that demand exceeds the room and that all slots are busy.
        self.full_periods: list[tuple[int, int]] = []
        self.sums_arrive((900.0, 900.0, 900.0), 3.5)

    @rule(rates=st.tuples(RATES, RATES, RATES), busy=st.sampled_from([0.3, 0.9, 1.5, 3.5, 5.0]))
    def sums_arrive(self, rates: tuple[float, float, float], busy: float) -> None:
        self.has_reader = True
        self.host.set_demand(dict(zip(DESTINATIONS, rates, strict=True)), busy_ratio=busy)
        self.note_evidence()
        self.time_passes(REFRESH_INTERVAL_MS)

    @rule(slots=st.sampled_from([0, 2, 20, 200]), service_ms=st.sampled_from([10, 20, 90, 400]))
    def room_changes(self, slots: int, service_ms: int) -> None:
        room = self.host.room
        self.host.room = room._replace(slots=slots, servers=(slots + 1) // 2)
        for _ in range(20):
            self.host.admission.own_demand.note_service_time(LOOKUP, service_ms, service=SERVICE)
        self.note_evidence()

    @rule()
    def reader_dies(self) -> None:
        self.has_reader = False

    @rule(destination=st.sampled_from(DESTINATIONS), count=st.sampled_from([1, 20, 200]))
    def flows_open(self, destination: RouteAddress, count: int) -> None:
        for _ in range(count):
            self.arrive(self.host.new_packet(destination), self.host.now_ms)

    @rule(destination=st.sampled_from(DESTINATIONS), held_ms=st.sampled_from([50, 190, 900]))
    def packet_was_held(self, destination: RouteAddress, held_ms: int) -> None:
        packet = self.host.new_packet(destination)
        if held_ms > 180:
            self.elsewhere.add(packet.flow)
        self.arrive(packet, self.host.now_ms - held_ms)

    @rule(destination=st.sampled_from(DESTINATIONS))
    def copy_of_unknown_flow_arrives(self, destination: RouteAddress) -> None:
        flow = self.host.new_packet(destination).flow
        self.elsewhere.add(flow)
        self.arrive(opening_packet(flow, copy_number=1), self.host.now_ms)

    @rule(data=st.data())
    def caller_resets(self, data: st.DataObject) -> None:
        if self.latest:
            flow = data.draw(st.sampled_from(sorted(self.latest)))
            self.host.admission.discard(flow)
            assert not self.host.admission.is_waiting(flow)
            del self.latest[flow]

    @rule(data=st.data())
    def caller_takes_another_host(self, data: st.DataObject) -> None:
        if self.latest:
            self.elsewhere.add(data.draw(st.sampled_from(sorted(self.latest))))

    @rule(passed_ms=st.sampled_from([1, 20, 130, 500, 1_600]))
    def time_passes(self, passed_ms: int) -> None:
        until_ms = self.host.now_ms + passed_ms
        while (due := self.next_copy()) is not None and due[1] <= until_ms:
            self.end_waits(due[1])
            packet = due[0]
            is_sent_here = self.latest.pop(packet.flow, None) and packet.flow not in self.elsewhere
            if is_sent_here and self.host.admission.is_waiting(packet.flow):
                copy = opening_packet(packet.flow, copy_number=packet.copy_number + 1)
                self.latest[packet.flow] = (copy, self.host.now_ms)
                self.arrive(copy, self.host.now_ms)
        self.end_waits(until_ms)
        if self.has_reader and until_ms >= self.host.sums_deadline_ms - 1_000:
            self.host.refresh_sums()
            self.note_evidence()

    def next_copy(self) -> tuple[FlowPacket, int] | None:
        copies = [
            (packet, sent_ms + (200 << packet.copy_number))
            for packet, sent_ms in self.latest.values()
            if packet.copy_number < 3
        ]
        return min(copies, key=lambda copy: copy[1], default=None)

    def arrive(self, packet: FlowPacket, arrived_ms: int) -> None:
        self.first_ms.setdefault(packet.flow, arrived_ms)
        is_waiting = self.host.admission.is_waiting(packet.flow)
        decision = self.host.open(packet, arrived_ms=arrived_ms)
        if decision.admission is Admission.REJECT:
            self.check_rejection(packet.flow, self.host.now_ms)
        elif decision.admission is Admission.WAIT:
            assert is_waiting or self.host.admission.is_waiting(packet.flow)
            assert decision.expected_wait_ms < CALLER_LIMIT_MS
            self.latest[packet.flow] = (packet, arrived_ms)

    def end_waits(self, until_ms: int) -> None:
        for end in self.host.advance(until_ms):
            self.check_end(end)

    def check_end(self, end: WaitEnd) -> None:
        flow = end.waiting.flow
        assert end.wait_ms <= CALLER_LIMIT_MS
        if end.admission is Admission.REJECT:
            self.check_rejection(flow, end.waiting.first_ms + end.wait_ms)
        self.latest.pop(flow, None)
        if end.admission is Admission.ABANDON:
            assert flow in self.elsewhere or end.wait_ms == CALLER_LIMIT_MS

    def check_rejection(self, flow: FlowEndpoints, at_ms: int) -> None:
        """Check that a flow never opened, and that servers had no room by fresh sums."""
        packet, sent_ms = self.latest.pop(flow, (None, self.first_ms[flow]))
        copy_number = packet.copy_number if packet else 0
        may_be_elsewhere = flow in self.elsewhere
        self.note_evidence()
        assert not may_be_elsewhere or at_ms < sent_ms + (200 << copy_number)
        assert any(began <= at_ms < ended for began, ended in self.full_periods)

    def note_evidence(self) -> None:
        """Record from when until when a host may reject, by the present sums and room.

        It learns of a change at its next refresh. Sums are not used after their deadline.
        """
        host = self.host
        if self.full_periods:
            began_ms, ended_ms = self.full_periods.pop()
            ended_ms = min(ended_ms, host.now_ms + REFRESH_INTERVAL_MS)
            self.full_periods.append((began_ms, ended_ms))
        # Rejected flows are not in the sums, but this host has seen them arrive.
        rates = [
            max(
                host.rates.get(destination, 0.0),
                host.admission.own_demand.requests_per_s(SERVICE, destination, host.now_ms),
            )
            for destination in DESTINATIONS
        ]
        demand_slots = sum(rates) * host.work_ms / 1_000
        if 0 < host.room.slots < demand_slots and host.busy_flows >= host.room.slots:
            self.full_periods.append((host.now_ms, host.sums_deadline_ms))

    @invariant()
    def queue_is_bounded(self) -> None:
        assert len(self.host.admission) <= MAX_WAITING_FLOWS

    @invariant()
    def no_flow_waits_past_its_caller(self) -> None:
        for flow, (_, _) in self.latest.items():
            if self.host.admission.is_waiting(flow):
                assert self.host.now_ms <= self.first_ms[flow] + CALLER_LIMIT_MS


TestAdmissionMachine = AdmissionMachine.TestCase
# Shrinking a sequence of hundreds of flows takes minutes.
TestAdmissionMachine.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, phases=(Phase.generate,)
)
