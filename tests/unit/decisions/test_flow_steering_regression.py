"""A sequence of planned changes that moves an established flow, found by the state machine."""

from functools import partial

import pytest

from redwingswitch._internal.decisions.flows.activation_deadlines import ActivationDeadlines
from redwingswitch._internal.decisions.flows.service_tables import ServiceTables
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from tests.lib.steering_fleet import service
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


@pytest.mark.parametrize(
    ("configured", "expected"),
    [
        pytest.param({"entry-1", "entry-2"}, False, id="a configured host is not known yet"),
        pytest.param({"entry-1"}, True, id="this host is alone"),
    ],
)
def test_a_host_that_knows_no_peer_yet_activates_no_table_early(
    configured: set[str], expected: bool
) -> None:
    """Guards against a table that is in use for new flows before all hosts have its revision.

    A host that joins gets its view of the members before its configuration. It activated the next
    revision at once and told its peers to do the same, and the sequence above moved a flow.
    """
    deadlines = ActivationDeadlines()
    alone = MemberView("entry-1", "hobart", 1, MemberState.ALIVE, HostDigest())
    deadlines.set_view(MembershipView((alone,)), "entry-1", 0)
    deadlines.set_configured_hosts(frozenset(configured))
    tables = ServiceTables(
        service=service("job-board", 1, {"job-1": "hobart"}), revision=2, now_ms=0
    )
    table = tables.oldest
    table.activate_at_ms = 3_000
    assert deadlines.is_due(table, 2_999) is expected
    assert deadlines.is_due(table, 3_000)
