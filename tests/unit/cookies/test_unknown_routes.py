"""Guards against resets of live flows by a host that does not know their route yet."""

import pytest

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.unresolved_packets import MAX_HOLD_MS
from redwingswitch._internal.decisions.cookies.unrouted_flows import (
    CONFIRMATION_MARGIN_MS,
    FIRST_ARRIVAL_RETENTION_MS,
)
from redwingswitch._internal.models.cookie_flows import FlowPacket, RouteTable, Verdict
from tests.lib.cookie_flows import (
    JOB_BOARD,
    UNROUTED,
    acknowledgement_packet,
    flow_id,
    opening_packet,
    packet,
    request_packet,
    route,
    route_table,
    server,
    steering,
)

NOW_MS = 60_000
CONFIRMING_MS = NOW_MS + CONFIRMATION_MARGIN_MS + 1
FLOW = flow_id(1, UNROUTED)
# The routes of a host that is one version behind, and the newer ones.
OLD_ROUTES = route_table(route(JOB_BOARD, "job-board"), version=1)
NEW_ROUTES = route_table(route(JOB_BOARD, "job-board"), route(UNROUTED, "job-board"), version=2)
NEW_SERVICE_ROUTES = route_table(
    route(JOB_BOARD, "job-board"), route(UNROUTED, "photos"), version=2
)


def outdated_host() -> CookieSteering:
    return steering([server("i-1")], routes=OLD_ROUTES)


def verdicts_after(host: CookieSteering, now_ms: int) -> list[Verdict]:
    return [action.verdict for action in host.on_list_changed(now_ms)]


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(request_packet(FLOW, "i-1"), id="request"),
        pytest.param(acknowledgement_packet(FLOW, "i-1", 1), id="end of the handshake"),
    ],
)
def test_a_flow_opened_through_a_host_with_newer_routes_is_not_reset(sent: FlowPacket) -> None:
    host = outdated_host()
    host.routes_confirmed_ms = NOW_MS - 1
    assert host.on_packet(sent, NOW_MS).verdict is Verdict.HELD_UNKNOWN_ROUTE
    assert verdicts_after(host, NOW_MS + 10) == []
    host.apply_routes(NEW_ROUTES)
    assert verdicts_after(host, NOW_MS + 20) == [Verdict.STEERED]


@pytest.mark.parametrize(
    ("learns", "expected"),
    [
        pytest.param("route, then server", [Verdict.STEERED], id="route first"),
        pytest.param("server, then route", [Verdict.STEERED], id="server first"),
        pytest.param("route", [], id="route alone"),
        pytest.param("server", [], id="server alone"),
        pytest.param("neither", [Verdict.RESET_NO_ROUTE], id="confirmed without the route"),
    ],
)
def test_a_flow_of_a_new_service_is_not_reset_by_a_host_that_knows_neither_route_nor_server(
    learns: str, expected: list[Verdict]
) -> None:
    # Guards against review/7: a new service and its route appear while hosts restart in turn.
    host = outdated_host()
    sent = request_packet(FLOW, "i-2")
    assert host.on_packet(sent, NOW_MS).verdict is Verdict.HELD_UNKNOWN_ROUTE
    verdicts = []
    for learned in learns.split(", then "):
        if learned == "route":
            host.apply_routes(NEW_SERVICE_ROUTES)
        elif learned == "server":
            host.directory.put(server("i-2", service="photos"), NOW_MS)
        else:
            host.routes_confirmed_ms = CONFIRMING_MS
        verdicts += verdicts_after(host, NOW_MS + 900)
    assert verdicts == expected


@pytest.mark.parametrize(
    ("confirmed_ms", "decided_ms", "expected"),
    [
        pytest.param(None, NOW_MS + 900, [], id="never confirmed"),
        pytest.param(CONFIRMING_MS - 1, NOW_MS + 900, [], id="confirmed as of its arrival"),
        pytest.param(CONFIRMING_MS, NOW_MS + 900, [Verdict.RESET_NO_ROUTE], id="confirmed later"),
        pytest.param(CONFIRMING_MS, NOW_MS + MAX_HOLD_MS, [], id="held for too long"),
    ],
)
def test_a_held_packet_is_reset_only_by_routes_confirmed_after_its_arrival(
    confirmed_ms: int | None, decided_ms: int, expected: list[Verdict]
) -> None:
    host = outdated_host()
    host.on_packet(request_packet(FLOW, "i-1"), NOW_MS)
    host.routes_confirmed_ms = confirmed_ms
    assert verdicts_after(host, decided_ms) == expected


@pytest.mark.parametrize(
    ("sent", "version_without_it", "expected"),
    [
        pytest.param(opening_packet(FLOW), None, Verdict.RESET_NO_ROUTE, id="opening packet"),
        pytest.param(packet(FLOW), None, Verdict.RESET_NO_ROUTE, id="no cookie"),
        pytest.param(
            request_packet(FLOW, "i-1"), 1, Verdict.STEERED, id="older version without the route"
        ),
    ],
)
def test_packets_that_need_no_confirmation(
    sent: FlowPacket, version_without_it: int | None, expected: Verdict
) -> None:
    host = outdated_host()
    if version_without_it is not None:
        host.apply_routes(NEW_ROUTES)
        host.apply_routes(OLD_ROUTES._replace(version=version_without_it))
    assert host.on_packet(sent, NOW_MS).verdict is expected


@pytest.mark.parametrize(
    ("repeated_ms", "expected"),
    [
        pytest.param(NOW_MS + 1_400, Verdict.RESET_NO_ROUTE, id="confirmed since the first copy"),
        pytest.param(
            NOW_MS + FIRST_ARRIVAL_RETENTION_MS,
            Verdict.HELD_UNKNOWN_ROUTE,
            id="may be a later flow with the same ports",
        ),
    ],
)
def test_retransmissions_of_a_flow_on_a_removed_route_are_not_held_again_and_again(
    repeated_ms: int, expected: Verdict
) -> None:
    # Confirmations may be further apart than the time for which a packet is held.
    host = outdated_host()
    host.on_packet(request_packet(FLOW, "i-1"), NOW_MS)
    assert verdicts_after(host, NOW_MS + MAX_HOLD_MS) == []
    host.routes_confirmed_ms = CONFIRMING_MS
    assert host.on_packet(request_packet(FLOW, "i-1"), repeated_ms).verdict is expected


def test_a_new_flow_with_the_ports_of_a_held_one_is_judged_by_its_own_packets() -> None:
    host = outdated_host()
    host.on_packet(request_packet(FLOW, "i-1"), NOW_MS)
    host.on_packet(opening_packet(FLOW), NOW_MS + 500)
    host.routes_confirmed_ms = CONFIRMING_MS
    later = host.on_packet(request_packet(FLOW, "i-1"), NOW_MS + 600)
    assert later.verdict is Verdict.HELD_UNKNOWN_ROUTE


@pytest.mark.parametrize(
    ("learns", "expected"),
    [
        pytest.param(NEW_ROUTES, [Verdict.OPENED], id="route"),
        pytest.param(None, [Verdict.RESET_NO_ROUTE], id="confirmed without the route"),
    ],
)
@pytest.mark.parametrize(
    ("copy_number", "is_held_before", "stood_still"),
    [
        pytest.param(1, False, False, id="copy of one that another host may have taken"),
        pytest.param(0, True, False, id="held by a host that was paused"),
        pytest.param(0, False, True, id="waited in the socket of a host that stood still"),
    ],
)
def test_a_late_opening_packet_is_reset_only_by_routes_confirmed_after_its_arrival(
    copy_number: int,
    is_held_before: bool,
    stood_still: bool,
    learns: RouteTable | None,
    expected: list[Verdict],
) -> None:
    # Guards against review/3: a reset for such a packet reaches the flow that a later copy opened.
    host = outdated_host()
    host.is_list_outdated = is_held_before
    host.may_handle_late_packets = stood_still
    host.on_packet(opening_packet(FLOW, copy_number=copy_number), NOW_MS)
    host.is_list_outdated = host.may_handle_late_packets = False
    host.routes_confirmed_ms = NOW_MS
    assert verdicts_after(host, NOW_MS + 10) == []
    if learns is not None:
        host.apply_routes(learns)
    host.routes_confirmed_ms = CONFIRMING_MS
    opened = Verdict.OPENED_AGAIN if copy_number else Verdict.OPENED
    verdicts = [opened if each is Verdict.OPENED else each for each in expected]
    assert verdicts_after(host, NOW_MS + 900) == verdicts


@pytest.mark.parametrize("flow_count", [1, 1_000, 3_000])
def test_all_flows_of_a_removed_route_are_reset_in_time(flow_count: int) -> None:
    # Guards against flows whose packets are held again and again because too many are held.
    host = outdated_host()
    sent_ms = sorted(
        (NOW_MS + flow * 500 // flow_count + after_ms, flow)
        for flow in range(flow_count)
        for after_ms in (0, 200, 600, 1_400)
    )
    reset_ms: dict[int, int] = {}
    confirmations_ms = [NOW_MS + 300, NOW_MS + 1_300]
    for now_ms, flow in sent_ms:
        while confirmations_ms and confirmations_ms[0] <= now_ms:
            # The routes of a reader and its answer may be this old together.
            host.routes_confirmed_ms = confirmations_ms[0] - 300
            for action in host.on_list_changed(confirmations_ms.pop(0)):
                reset_ms.setdefault(action.packet.flow.caller_port, now_ms)
        if flow not in reset_ms:
            action = host.on_packet(request_packet(flow_id(flow, UNROUTED), "i-1"), now_ms)
            if action.verdict is Verdict.RESET_NO_ROUTE:
                reset_ms[flow] = now_ms
    assert len(reset_ms) == flow_count
    assert max(ms - NOW_MS - flow * 500 // flow_count for flow, ms in reset_ms.items()) <= 1_900


FIRST_ROUTES = NEW_ROUTES._replace(version=1)
REMOVED_ROUTES = OLD_ROUTES._replace(version=2)
RETURNED_ROUTES = NEW_ROUTES._replace(version=3)


@pytest.mark.parametrize(
    ("opened_ms", "confirmed_ms", "expected"),
    [
        pytest.param(NOW_MS, CONFIRMING_MS, Verdict.RESET_NO_ROUTE, id="open before the removal"),
        pytest.param(
            NOW_MS,
            CONFIRMING_MS - 1,
            Verdict.HELD_UNKNOWN_ROUTE,
            id="may be open since the route's return, seen by the routes of before",
        ),
        pytest.param(NOW_MS, None, Verdict.HELD_UNKNOWN_ROUTE, id="routes never confirmed"),
        pytest.param(None, CONFIRMING_MS, Verdict.HELD_UNKNOWN_ROUTE, id="not seen open here"),
    ],
)
def test_a_flow_on_a_removed_route_is_reset_at_once_only_if_it_was_open_before_the_removal(
    opened_ms: int | None, confirmed_ms: int | None, expected: Verdict
) -> None:
    # Guards against review/9: a route is removed and put back, and this host knows the removal.
    host = steering([server("i-1")], routes=FIRST_ROUTES)
    if opened_ms is None:
        host.on_packet(opening_packet(FLOW), NOW_MS)
    else:
        host.on_packet(request_packet(FLOW, "i-1"), opened_ms)
    host.routes_confirmed_ms = confirmed_ms
    # The reader announces the next version before this host has it.
    host.routes_confirmed_ms = None
    host.apply_routes(REMOVED_ROUTES)
    sent = request_packet(FLOW, "i-1", sequence=101)
    assert host.on_packet(sent, CONFIRMING_MS + 10).verdict is expected


@pytest.mark.parametrize("removals", [1, 2])
@pytest.mark.parametrize(
    ("returns", "expected"),
    [
        pytest.param(True, [Verdict.STEERED], id="put back"),
        pytest.param(False, [Verdict.RESET_NO_ROUTE], id="removed for good"),
    ],
)
def test_a_flow_that_others_opened_after_the_return_of_its_route_is_not_reset(
    removals: int, returns: bool, expected: list[Verdict]
) -> None:
    host = steering([server("i-1")], routes=FIRST_ROUTES)
    for version in range(2, 2 * removals + 1):
        routes = REMOVED_ROUTES if version % 2 == 0 else RETURNED_ROUTES
        host.routes_confirmed_ms = NOW_MS - 1
        host.apply_routes(routes._replace(version=version))
    assert host.on_packet(request_packet(FLOW, "i-1"), NOW_MS).verdict is Verdict.HELD_UNKNOWN_ROUTE
    if returns:
        host.apply_routes(RETURNED_ROUTES._replace(version=2 * removals + 1))
    host.routes_confirmed_ms = CONFIRMING_MS
    assert verdicts_after(host, NOW_MS + 900) == expected
