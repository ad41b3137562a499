"""Checks with a state machine that flows stay at their server, whichever host gets a packet.

Servers always answer, but packets of a flow may switch to another host at any time, as they do when
the routers change the set of hosts. Entries drain, end, lapse and return; routes change and hosts
restart.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import LAPSED_ENTRY_GRACE_MS
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowEndpoints,
    ForwardPacket,
    ListedServer,
    Route,
    RouteAddress,
    SteeringAction,
    Verdict,
)
from tests.lib.cookie_flows import (
    FAR_DOMAIN,
    JOB_BOARD,
    NEAR_DOMAIN,
    PHOTOS,
    acknowledgement_packet,
    fire_timers_until,
    flow_id,
    opening_packet,
    request_packet,
    route,
    route_table,
    server,
)

HOST_COUNT = 3
DESTINATIONS = (JOB_BOARD, PHOTOS)
SERVICES = {JOB_BOARD: ("job-board", "new-board"), PHOTOS: ("photos",)}


class SteeringMachine(RuleBasedStateMachine):
    """Hosts with the same servers and routes, and flows whose packets pass through any of them."""

    @initialize()
    def begin(self) -> None:
        self.now_ms = 0
        self.version = 1
        self.next_server = 0
        self.next_port = 1
        self.listed: dict[str, ListedServer] = {}
        self.ended: set[str] = set()
        self.flows: dict[FlowEndpoints, str] = {}
        self.sequences: dict[FlowEndpoints, int] = {}
        self.routes: list[Route] = [
            route(JOB_BOARD, "job-board"),
            route(PHOTOS, "photos"),
        ]
        self.hosts = [self.new_host(seed) for seed in range(HOST_COUNT)]
        for service in ("job-board", "job-board", "new-board", "photos", "photos"):
            self.add(service, NEAR_DOMAIN)

    def new_host(self, seed: int) -> CookieSteering:
        host = CookieSteering(failure_domain=NEAR_DOMAIN, random_source=random.Random(seed))
        host.apply_routes(route_table(*self.routes, version=self.version))
        host.directory.on_list_read(self.now_ms - LAPSED_ENTRY_GRACE_MS)
        for each in self.listed.values():
            host.directory.put(each, 0)
        return host

    def add(self, service: str, failure_domain: str) -> None:
        self.next_server += 1
        added = server(f"i-{self.next_server}", service=service, failure_domain=failure_domain)
        self.listed[added.server_id] = added
        for host in self.hosts:
            host.directory.put(added, 0)

    @rule(service=st.sampled_from(["job-board", "new-board", "photos"]), far=st.booleans())
    def server_starts(self, service: str, far: bool) -> None:
        self.add(service, FAR_DOMAIN if far else NEAR_DOMAIN)

    @rule(data=st.data())
    def server_drains(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.listed)))
        self.listed[name] = self.listed[name]._replace(state=ServerState.DRAINING)
        for host in self.hosts:
            host.directory.put(self.listed[name], 0)

    @rule(data=st.data())
    def server_ends(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.listed)))
        if len(self.listed) < 4:
            return
        del self.listed[name]
        self.ended.add(name)
        for host in self.hosts:
            host.directory.remove(name, self.now_ms)

    @rule(index=st.integers(0, HOST_COUNT - 1))
    def list_is_away_and_returns_with_entries_lapsed(self, index: int) -> None:
        directory = self.hosts[index].directory
        directory.on_list_lost()
        directory.on_list_read(self.now_ms)
        directory.replace([], self.now_ms)
        self.now_ms += 1_000
        for each in self.listed.values():
            directory.put(each, 0)

    @rule(index=st.integers(0, HOST_COUNT - 1))
    def host_restarts(self, index: int) -> None:
        self.hosts[index] = self.new_host(index)

    @rule(moved=st.booleans())
    def route_changes(self, moved: bool) -> None:
        self.version += 1
        board = route(JOB_BOARD, "new-board" if moved else "job-board")
        self.routes = [board, route(PHOTOS, "photos")]
        for host in self.hosts:
            host.apply_routes(route_table(*self.routes, version=self.version))

    @rule(index=st.integers(0, HOST_COUNT - 1), destination=st.sampled_from(DESTINATIONS))
    def flow_opens(self, index: int, destination: RouteAddress) -> None:
        flow = flow_id(self.next_port, destination)
        self.next_port += 1
        action = self.hosts[index].on_packet(opening_packet(flow), self.now_ms)
        self.check_service(action)
        if not isinstance(action, ForwardPacket) or action.server.server_id in self.ended:
            return
        self.flows[flow] = action.server.server_id
        self.sequences[flow] = 1

    @rule(index=st.integers(0, HOST_COUNT - 1), data=st.data(), repeats=st.integers(1, 2))
    def request_is_answered(self, index: int, data: st.DataObject, repeats: int) -> None:
        if not self.flows:
            return
        flow = data.draw(st.sampled_from(sorted(self.flows)))
        name = self.flows[flow]
        sequence = self.sequences[flow]
        for _ in range(repeats):
            action = self.hosts[index].on_packet(
                request_packet(flow, name, sequence=sequence, acknowledged=sequence), self.now_ms
            )
            self.check_steered(action, name)
            self.now_ms += 200
        self.hosts[index].on_packet(acknowledgement_packet(flow, name, sequence + 100), self.now_ms)
        self.sequences[flow] = sequence + 100

    @rule(passed_ms=st.sampled_from([1, 10, 60, 700]))
    def time_passes(self, passed_ms: int) -> None:
        self.now_ms += passed_ms
        for host in self.hosts:
            for action in fire_timers_until(host, self.now_ms):
                self.check_service(action)

    def check_service(self, action: SteeringAction) -> None:
        """Check that an opening packet goes to an active server of a service of its route."""
        if isinstance(action, ForwardPacket):
            offered = action.server
            assert offered.service in SERVICES[action.packet.flow.destination]
            assert offered.state is ServerState.ACTIVE

    def check_steered(self, action: SteeringAction, name: str) -> None:
        """Check that a packet of an open flow goes to its server unless the server has ended."""
        if isinstance(action, ForwardPacket):
            assert action.server.server_id == name
        elif isinstance(action, DiscardPacket):
            # A host that started after the server had ended does not know its cookie.
            assert action.verdict is Verdict.HELD_UNKNOWN_COOKIE
            assert name in self.ended
        else:
            assert action.verdict is Verdict.RESET_SERVER_GONE
            assert name in self.ended

    @invariant()
    def load_counts_agree(self) -> None:
        names = [f"i-{number}" for number in range(1, self.next_server + 1)]
        for host in self.hosts:
            assert sum(host.flows.open_flow_count(name) for name in names) <= len(host.flows)
            assert all(
                0 <= host.flows.busy_flow_count(n) <= host.flows.open_flow_count(n) for n in names
            )


TestSteeringMachine = SteeringMachine.TestCase
TestSteeringMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
