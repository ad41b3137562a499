"""Guards against wrong actions on packets of flows that wait for room, and on those rejected."""

import random

import pytest

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.opening_admission import OpeningAdmission
from redwingswitch._internal.decisions.cookies.server_selection import ServerSelector
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowPacket,
    ForwardPacket,
    ListedServer,
    ResetFlow,
    RouteAddress,
    SteeringAction,
    Verdict,
)
from redwingswitch._internal.models.load_sharing import RouteDemand, ServiceDemand
from tests.lib.cookie_flows import (
    JOB_BOARD,
    SIGN_OFFS,
    acknowledgement_packet,
    as_forwarded,
    fire_timers_until,
    flow_id,
    open_flow,
    opening_packet,
    packet,
    request_packet,
    route,
    route_table,
    server,
    steering,
)

SERVERS = ("i-1", "i-2", "i-3")


class FixedDemand:
    """Sums of all hosts that show a shortage until ``deadline_ms``."""

    def __init__(self) -> None:
        self.deadline_ms = 10_000
        self.busy_flows = 20

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        if service != "job-board" or not 0 <= now_ms < self.deadline_ms:
            return None
        routes = (RouteDemand(JOB_BOARD, 400.0, 20.0), RouteDemand(SIGN_OFFS, 350.0, 20.0))
        return ServiceDemand(routes, self.busy_flows, 3, 3, self.deadline_ms)


def short_host(demand: FixedDemand | None = None) -> CookieSteering:
    """Return a host whose six slots are short by far; all its buckets are empty."""
    host = steering([server(name) for name in SERVERS])
    host.use_admission(demand or FixedDemand())
    for number in range(200):
        open_flow(host, flow_id(10_000 + number), 5 * number - 1_000)
    fire_timers_until(host, -1)
    port = 1_000
    while isinstance(host.on_packet(opening_packet(flow_id(port)), 0), ForwardPacket):
        port += 1
    return host


def waiting_packet(host: CookieSteering, destination: RouteAddress = JOB_BOARD) -> FlowPacket:
    """Let flows open until one waits; return its packet."""
    for port in range(2_000, 3_000):
        opening = opening_packet(flow_id(port, destination))
        if host.on_packet(opening, 0).verdict is Verdict.WAITING:
            return opening
    raise AssertionError("no flow waits")


def action_for(actions: list[SteeringAction], opening: FlowPacket) -> SteeringAction:
    """Return the first action on a flow."""
    return next(each for each in actions if each.packet.flow == opening.flow)


def test_without_shared_demand_every_flow_is_admitted() -> None:
    demand = FixedDemand()
    demand.deadline_ms = 0
    host = steering([server(name) for name in SERVERS])
    host.use_admission(demand)
    actions = [host.on_packet(opening_packet(flow_id(port)), 0) for port in range(1, 300)]
    assert {action.verdict for action in actions} == {Verdict.OPENED}


def test_a_rejected_flow_is_reset_and_reaches_no_server() -> None:
    host = short_host()
    actions = [host.on_packet(opening_packet(flow_id(port)), 0) for port in range(1, 600)]
    rejected = [a for a in actions if a.verdict is Verdict.REJECTED_SHORTAGE]
    assert rejected
    for action in rejected:
        assert isinstance(action, ResetFlow)
        assert action.service == "job-board"
        assert action.admission is not None
        assert action.admission.priority == 2
        assert host.flows.get(action.packet.flow) is None


def test_a_waiting_flow_is_offered_like_an_opening_one_when_room_returns() -> None:
    demand = FixedDemand()
    host = short_host(demand)
    opening = waiting_packet(host)
    demand.deadline_ms = 60
    offers = [a for a in fire_timers_until(host, 200) if a.packet.flow == opening.flow]
    # An unanswered offer is made to another server.
    verdicts = [Verdict.ADMITTED_AFTER_WAIT, Verdict.OFFERED_ELSEWHERE]
    assert [offer.verdict for offer in offers[:2]] == verdicts
    assert len({as_forwarded(offer).server for offer in offers[:2]}) == 2
    assert offers[0].admission is not None
    assert 0 < offers[0].admission.wait_ms <= 200


def test_the_latest_copy_of_a_waiting_packet_is_forwarded() -> None:
    demand = FixedDemand()
    host = short_host(demand)
    opening = waiting_packet(host)
    copy = opening_packet(opening.flow, copy_number=1)
    assert host.on_packet(copy, 30).verdict is Verdict.WAITING
    demand.deadline_ms = 60
    assert action_for(fire_timers_until(host, 200), opening).packet == copy


@pytest.mark.parametrize("resets", [True, False], ids=["reset", "opened through another host"])
def test_a_waiting_flow_ends_with_any_other_packet_of_its_caller(resets: bool) -> None:
    host = short_host()
    opening = waiting_packet(host)
    host.on_packet(packet(opening.flow, resets=resets), 10)
    assert not [a for a in fire_timers_until(host, 2_000) if a.packet.flow == opening.flow]


def test_a_waiting_flow_whose_route_goes_is_reset_for_that() -> None:
    demand = FixedDemand()
    host = short_host(demand)
    opening = waiting_packet(host)
    host.apply_routes(route_table(route(SIGN_OFFS, "job-board"), version=2))
    demand.deadline_ms = 0
    action = action_for(fire_timers_until(host, 200), opening)
    assert action.verdict is Verdict.RESET_NO_ROUTE


def test_a_host_whose_list_is_outdated_ends_no_wait() -> None:
    host = short_host()
    opening = waiting_packet(host)
    host.is_list_outdated = True
    assert not [a for a in fire_timers_until(host, 2_000) if a.packet.flow == opening.flow]
    host.is_list_outdated = False
    assert action_for(host.on_list_changed(150), opening)


def test_open_flows_pass_and_a_second_copy_of_their_opening_is_not_rejected() -> None:
    demand = FixedDemand()
    demand.busy_flows = 0
    host = steering([server(name) for name in SERVERS])
    host.use_admission(demand)
    name = open_flow(host, flow_id(1), 0)
    demand.busy_flows = 100
    for port in range(100, 400):
        host.on_packet(opening_packet(flow_id(port)), 600)
    assert host.on_packet(request_packet(flow_id(1), name), 600).verdict is Verdict.STEERED
    assert host.on_packet(opening_packet(flow_id(1)), 600).verdict is Verdict.OPENED


def test_a_flow_without_any_server_is_held_no_longer_than_its_first_packet_would_be() -> None:
    demand = FixedDemand()
    host = short_host(demand)
    opening = waiting_packet(host)
    for name in SERVERS:
        host.directory.remove(name, 10)
    host.directory.on_list_lost()
    action = action_for(fire_timers_until(host, 300), opening)
    assert isinstance(action, DiscardPacket)
    assert action.verdict is Verdict.HELD_NO_SERVER
    assert not host.on_list_changed(1_001)


def test_flows_of_a_split_route_wait_for_the_service_that_they_go_to() -> None:
    routes = route_table(route(JOB_BOARD, "job-board", "new-board"), route(SIGN_OFFS, "job-board"))
    servers = [server("i-1"), server("i-2", service="new-board")]
    host = CookieSteering(failure_domain="huon", random_source=random.Random(3))
    host.use_admission(FixedDemand())
    host.apply_routes(routes)
    for each in servers:
        host.directory.put(each, 0)
    actions = [host.on_packet(opening_packet(flow_id(port)), 0) for port in range(1, 200)]
    services = {a.server.service for a in actions[100:] if isinstance(a, ForwardPacket)}
    assert services == {"new-board"}
    assert {a.admission.service for a in actions if a.admission} == {"job-board"}


def test_work_is_learnt_from_answers_less_the_round_trip() -> None:
    demand = FixedDemand()
    demand.deadline_ms = 0
    host = steering([server("i-1")])
    host.use_admission(demand)
    for number in range(20):
        flow, now_ms = flow_id(100 + number), number * 1_000
        open_flow(host, flow, now_ms)
        host.on_packet(request_packet(flow, "i-1"), now_ms + 20)
        host.on_packet(acknowledgement_packet(flow, "i-1", 500), now_ms + 20 + 10 + 22)
    assert host.admission is not None
    assert host.admission.work_ms(JOB_BOARD) == 22


class SilentServers:
    """Hosts find some servers silent together."""

    def __init__(self, *server_ids: str) -> None:
        self._server_ids = server_ids

    def is_silent(self, server: ListedServer, _now_ms: int) -> bool:
        return server.server_id in self._server_ids


@pytest.mark.parametrize(
    ("stalled", "silent", "usable"),
    [
        pytest.param((), (), 3, id="all answer"),
        pytest.param((), ("i-1",), 2, id="one that all hosts find silent"),
        pytest.param(("i-1", "i-1"), (), 2, id="one that does not answer this host"),
        pytest.param(("i-1", "i-2"), (), 3, id="a failure domain that only this host suspects"),
    ],
)
def test_the_room_is_that_of_all_hosts(
    stalled: tuple[str, ...], silent: tuple[str, ...], usable: int
) -> None:
    host = steering([server(name) for name in SERVERS])
    for number, name in enumerate(stalled):
        of = server(name)
        host.failure_detector.on_opening_unanswered(
            of, flow_id(number), 40, sent_ms=0, is_confirmed=True
        )
    admission = OpeningAdmission(
        demand_source=FixedDemand(),
        directory=host.directory,
        failure_detector=host.failure_detector,
        selector=ServerSelector(
            failure_domain="huon", load=host.flows, random_source=random.Random(1)
        ),
        silence_source=SilentServers(*silent),
    )
    assert host.failure_detector.is_suspected(server("i-1")) is bool(stalled)
    assert admission.usable_room("job-board", 50).servers == usable


def test_a_rejection_names_its_evidence() -> None:
    host = short_host()
    for port in range(1, 600):
        action = host.on_packet(opening_packet(flow_id(port)), 0)
        if action.verdict is Verdict.REJECTED_SHORTAGE:
            break
    outcome = action.admission
    assert outcome is not None
    assert (outcome.service, outcome.room_slots, outcome.busy_flows) == ("job-board", 6, 20)
    assert outcome.demand_slots >= 15


def test_a_silent_server_is_no_room() -> None:
    host = steering([server(name) for name in SERVERS])
    host.use_admission(FixedDemand())
    assert host.admission is not None
    assert host.admission.usable_room("job-board", 0).slots == 6
    host.directory.remove("i-3", 0)
    assert host.admission.usable_room("job-board", 0).servers == 2
