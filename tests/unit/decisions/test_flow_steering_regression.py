"""A sequence of planned changes that moves an established flow, found by the state machine."""

from functools import partial

from tests.unit.decisions.test_flow_steering import PlannedChanges


def test_stops_and_joins_around_a_drain_move_no_flow() -> None:
    """Guards against a flow that changes its server while hosts stop and join around a drain."""
    machine = PlannedChanges()
    steps = (
        partial(machine.stop_host, position=1),
        partial(machine.join_host, domain="hobart"),
        partial(machine.stop_host, position=1),
        partial(machine.drain_or_return, server="job-2"),
        partial(machine.join_host, domain="perth"),
        partial(machine.stop_host, position=0),
    )
    for step in steps:
        step()
        machine.no_flow_moved()
        machine.no_packet_at_another_service()
