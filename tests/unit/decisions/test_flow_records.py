"""Live records must not expire early, closed ones must not stay live, and the bound must hold."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from redwingswitch._internal.decisions.flows.flow_records import CLOSED_RETENTION_MS, FlowRecords

IDLE_MS = 900_000
BOUND = 12
HASHES = st.integers(0, 15)


class FlowRecordsMachine(RuleBasedStateMachine):
    """Compare ``FlowRecords`` with a model that keeps a timestamp for each flow."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.records = FlowRecords(bound=BOUND, idle_limit_ms=IDLE_MS)
        self.live: dict[int, tuple[int, int]] = {}
        self.closed: dict[int, tuple[int, int]] = {}

    @rule(flow=HASHES, value=st.integers(0, 3))
    def put(self, flow, value):
        if self.records.put(flow, value):
            self.live[flow] = (value, self.now_ms)
        else:
            assert len(self.records) >= BOUND

    @rule(flow=HASHES)
    def get(self, flow):
        found = self.records.get(flow)
        value, seen_ms = self.live.get(flow, (None, 0))
        idle_ms = self.now_ms - seen_ms
        if value is not None and idle_ms <= IDLE_MS:
            assert found == value
        if found is None:
            self.live.pop(flow, None)
        else:
            assert idle_ms <= 2 * IDLE_MS + 1_000
            self.live[flow] = (found, self.now_ms)

    @rule(flow=HASHES)
    def close(self, flow):
        reopened = self.records.get_closed(flow) is not None
        found = self.records.get(flow)
        self.records.close(flow)
        if reopened:
            assert self.records.get(flow) == found
        elif found is not None:
            assert self.records.get(flow) is None
            assert self.records.get_closed(flow) == found
            self.live.pop(flow)
            self.closed[flow] = (found, self.now_ms)

    @rule(flow=HASHES)
    def get_closed(self, flow):
        value, closed_ms = self.closed.get(flow, (None, 0))
        if value is not None and self.now_ms - closed_ms <= CLOSED_RETENTION_MS:
            assert self.records.get_closed(flow) == value

    @rule(span_ms=st.sampled_from([1_000, 30_000, 59_000, 400_000]))
    def wait(self, span_ms):
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.now_ms += 1_000
            self.records.rotate(self.now_ms)

    @invariant()
    def stays_bounded(self):
        assert len(self.records) <= BOUND


FlowRecordsMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestFlowRecords = FlowRecordsMachine.TestCase


def test_grouping_lists_live_records_only_and_drop_frees_room():
    records = FlowRecords(bound=3, idle_limit_ms=IDLE_MS)
    for flow, value in ((1, 0), (2, 0), (3, 1)):
        assert records.put(flow, value)
    assert not records.put(4, 1)
    records.close(3)
    assert records.hashes_by_value() == {0: [1, 2]}
    records.drop(3)
    assert records.put(4, 1)
