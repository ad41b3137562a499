"""Guards against a host that opens or resets flows by a list that a pause made outdated."""

import pytest

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.unrouted_flows import CONFIRMATION_MARGIN_MS
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowPacket,
    ForwardPacket,
    ResetFlow,
    Verdict,
)
from tests.lib.cookie_flows import (
    UNROUTED,
    fire_timers_until,
    flow_id,
    opening_packet,
    packet,
    request_packet,
    server,
    steering,
)

NOW_MS = 60_000
CONFIRMED_MS = NOW_MS + CONFIRMATION_MARGIN_MS + 1
LATER_MS = CONFIRMED_MS + 20
FLOW = flow_id(50_000)


def resumed_host() -> CookieSteering:
    """Return a host that has just resumed; i-1 is listed, i-2 has stopped."""
    host = steering([server("i-1"), server("i-2")])
    host.directory.remove("i-2", 0)
    host.is_list_outdated = True
    return host


@pytest.mark.parametrize(
    ("arrived", "decided_later"),
    [
        pytest.param(opening_packet(FLOW), ForwardPacket, id="opens a flow"),
        pytest.param(opening_packet(flow_id(1, UNROUTED)), ResetFlow, id="has no route"),
        pytest.param(packet(flow_id(1, UNROUTED), cookie=7), ResetFlow, id="open, has no route"),
        pytest.param(request_packet(FLOW, "i-2"), ResetFlow, id="its server has stopped"),
    ],
)
def test_flows_are_opened_and_reset_only_by_a_confirmed_list(
    arrived: FlowPacket, decided_later: type
) -> None:
    host = resumed_host()
    assert host.on_packet(arrived, NOW_MS) == DiscardPacket(arrived, Verdict.HELD_OUTDATED_LIST)
    host.is_list_outdated = False
    host.routes_confirmed_ms = CONFIRMED_MS
    (action,) = host.on_list_changed(LATER_MS)
    assert isinstance(action, decided_later)


def test_a_server_that_left_during_the_pause_gets_no_new_flow() -> None:
    host = resumed_host()
    host.directory.put(server("i-3"), 0)
    host.on_packet(opening_packet(FLOW), NOW_MS)
    host.directory.remove("i-1", NOW_MS)
    host.is_list_outdated = False
    (action,) = host.on_list_changed(LATER_MS)
    assert isinstance(action, ForwardPacket)
    assert action.server.server_id == "i-3"


def test_packets_of_open_flows_at_listed_servers_pass_at_once() -> None:
    action = resumed_host().on_packet(request_packet(FLOW, "i-1"), NOW_MS)
    assert isinstance(action, ForwardPacket)
    assert action.verdict is Verdict.STEERED


def test_an_unanswered_flow_is_not_offered_by_an_outdated_list() -> None:
    host = steering([server("i-1"), server("i-2")])
    host.on_packet(opening_packet(FLOW), NOW_MS)
    host.is_list_outdated = True
    assert fire_timers_until(host, NOW_MS + 1_000) == []
