"""Guards against broken flows, flows at a wrong service and waiting on a silent server."""

import random

import pytest

from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.pending_openings import (
    ANSWER_TIMEOUT_MS,
    MAX_OFFERS,
    MAX_TIMER_LAG_MS,
)
from redwingswitch._internal.decisions.cookies.server_directory import LAPSED_ENTRY_GRACE_MS
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    FlowEndpoints,
    ForwardPacket,
    ResetFlow,
    RouteAddress,
    Suspicion,
    Verdict,
)
from tests.lib.cookie_flows import (
    FAR_DOMAIN,
    JOB_BOARD,
    PHOTOS,
    SIGN_OFFS,
    UNROUTED,
    acknowledgement_packet,
    as_forwarded,
    fire_timers_until,
    flow_id,
    open_flow,
    open_flow_past_silent,
    opening_packet,
    packet,
    request_packet,
    route,
    route_table,
    server,
    steering,
)

JOBS = ("i-1", "i-2", "i-3")


def job_host(seed: int = 1) -> CookieSteering:
    return steering(
        [*(server(server_id) for server_id in JOBS), server("i-9", service="photos")], seed=seed
    )


def make_silent(host: CookieSteering, server_id: str, *, flows: int, now_ms: int) -> int:
    """Let a server leave opening packets of ``flows`` flows unanswered; return the time."""
    stalled: set[int] = set()
    for port in range(50_000, 51_000):
        if len(stalled) == flows:
            return now_ms
        began_ms = now_ms
        now_ms = open_flow_past_silent(host, flow_id(port), {server_id}, now_ms)
        if now_ms - began_ms > ANSWER_TIMEOUT_MS:
            stalled.add(port)
    raise AssertionError("the silent server is no longer offered flows")


def leave_data_unanswered(host: CookieSteering, server_id: str, *, flows: int, now_ms: int) -> int:
    """Let a server leave the data of open flows unanswered, as in a cut; return the time.

    The other servers answer meanwhile.
    """
    for copy_ms in (0, 200, 600):
        for port in range(60_000, 60_000 + flows):
            host.on_packet(request_packet(flow_id(port), server_id), now_ms + copy_ms)
        let_answer(host, "i-1", port=59_000 + copy_ms, sent_ms=now_ms + copy_ms)
    return now_ms + 600


def unlist(host: CookieSteering, server_id: str, now_ms: int) -> None:
    """Remove a server's entry from the list, just after an outage of the store."""
    host.directory.on_list_lost()
    host.directory.on_list_read(now_ms)
    host.directory.remove(server_id, now_ms)


def send_request(
    host: CookieSteering, flow: FlowEndpoints, server_id: str, *, repeats: int, now_ms: int
) -> Verdict:
    """Send a request and its copies, which are not answered; return the last verdict.

    The other servers answer meanwhile.
    """
    for copy_ms in (0, 200, 600)[: repeats + 1]:
        let_answer(host, "i-1", port=58_000 + copy_ms, sent_ms=now_ms + copy_ms)
        last = verdict(host, request_packet(flow, server_id), now_ms + copy_ms)
    return last


def let_answer(host: CookieSteering, server_id: str, *, port: int, sent_ms: int) -> None:
    """Let a server answer a request at once."""
    host.on_packet(request_packet(flow_id(port), server_id), sent_ms)
    host.on_packet(acknowledgement_packet(flow_id(port), server_id, 500), sent_ms)


def cookie_of(server_id: str, destination: RouteAddress = JOB_BOARD) -> int:
    return flow_cookie(server_id=server_id, destination=destination)


class TestOpenFlows:
    @pytest.mark.parametrize("server_id", JOBS)
    def test_every_host_steers_a_flow_alike_also_one_that_has_just_started(
        self, server_id: str
    ) -> None:
        for seed in range(5):
            action = job_host(seed).on_packet(request_packet(flow_id(1), server_id), 0)
            assert as_forwarded(action).server.server_id == server_id

    @pytest.mark.parametrize(
        ("state", "service"),
        [
            pytest.param(ServerState.DRAINING, "job-board", id="draining"),
            pytest.param(ServerState.ACTIVE, "job-board", id="unchanged"),
        ],
    )
    def test_a_flow_stays_while_its_server_is_listed(
        self, state: ServerState, service: str
    ) -> None:
        host = job_host()
        host.directory.put(server("i-1", state=state, service=service), 0)
        assert (
            as_forwarded(host.on_packet(request_packet(flow_id(1), "i-1"), 5)).server.server_id
            == "i-1"
        )

    def test_a_changed_route_does_not_move_open_flows(self) -> None:
        host = job_host()
        changed = route_table(route(JOB_BOARD, "photos"), version=2)
        assert host.apply_routes(changed)
        action = as_forwarded(host.on_packet(request_packet(flow_id(1), "i-1"), 5))
        assert action.server.server_id == "i-1"
        assert (
            as_forwarded(host.on_packet(opening_packet(flow_id(2)), 5)).server.service == "photos"
        )

    @pytest.mark.parametrize(
        ("at_ms", "expected"),
        [
            pytest.param(0, Verdict.STEERED, id="missing just after an outage"),
            pytest.param(LAPSED_ENTRY_GRACE_MS, Verdict.RESET_SERVER_GONE, id="missing for good"),
        ],
    )
    def test_a_server_whose_entry_lapsed_in_an_outage(self, at_ms: int, expected: Verdict) -> None:
        host = job_host()
        host.directory.on_list_lost()
        host.directory.on_list_read(0)
        host.directory.remove("i-1", 0)
        assert verdict(host, request_packet(flow_id(1), "i-1"), at_ms) is expected

    def test_a_live_server_that_was_late_with_its_report_keeps_its_flows(self) -> None:
        host = job_host()
        host.directory.remove("i-1", 100)
        assert verdict(host, request_packet(flow_id(1), "i-1"), 101) is Verdict.STEERED
        host.directory.put(server("i-1"), 0)
        assert (
            verdict(host, request_packet(flow_id(1), "i-1", sequence=101), 600) is Verdict.STEERED
        )

    def test_a_server_that_answered_after_its_entry_was_removed_keeps_its_flows(self) -> None:
        host = job_host()
        open_flow(host, flow_id(1), 0)
        flow = flow_id(2)
        host.on_packet(request_packet(flow, "i-1"), 0)
        host.directory.remove("i-1", 100)
        # The caller acknowledges an answer that was sent before the entry was removed.
        host.directory.put(server("i-1"), 0)
        host.on_packet(acknowledgement_packet(flow, "i-1", 2_000), 150)
        host.directory.remove("i-1", 140)
        assert verdict(host, request_packet(flow, "i-1", sequence=101), 5_000) is Verdict.STEERED

    @pytest.mark.parametrize(
        ("sent", "expected"),
        [
            pytest.param(
                request_packet(flow_id(1), "i-77"), Verdict.HELD_UNKNOWN_COOKIE, id="unknown"
            ),
            pytest.param(
                packet(flow_id(1), cookie=cookie_of("i-9", PHOTOS), data_bytes=9),
                Verdict.HELD_UNKNOWN_COOKIE,
                id="copied from a flow of another service",
            ),
            pytest.param(packet(flow_id(1)), Verdict.DROPPED_NO_COOKIE, id="no cookie"),
            pytest.param(
                request_packet(flow_id(1, UNROUTED), "i-1"),
                Verdict.HELD_UNKNOWN_ROUTE,
                id="route unknown",
            ),
        ],
    )
    def test_packets_that_name_no_server(self, sent: object, expected: Verdict) -> None:
        assert verdict(job_host(), sent, 0) is expected


class TestOpenings:
    def test_nothing_is_reset_before_a_configuration_is_in_force(self) -> None:
        host = CookieSteering(failure_domain="huon", random_source=random.Random(1))
        for sent in (opening_packet(flow_id(1)), request_packet(flow_id(1), "i-1")):
            action = host.on_packet(sent, 0)
            assert isinstance(action, DiscardPacket)
            assert action.verdict is Verdict.HELD_NOT_CONFIGURED

    @pytest.mark.parametrize(
        ("destination", "allowed"),
        [(JOB_BOARD, set(JOBS)), (SIGN_OFFS, set(JOBS)), (PHOTOS, {"i-9"})],
    )
    def test_new_flows_go_to_the_service_of_their_route(
        self, destination: RouteAddress, allowed: set[str]
    ) -> None:
        host = job_host()
        chosen = {
            as_forwarded(
                host.on_packet(opening_packet(flow_id(n, destination)), n)
            ).server.server_id
            for n in range(100)
        }
        assert chosen == allowed

    @pytest.mark.parametrize(
        "change",
        [
            pytest.param(
                lambda d: d.put(server("i-1", state=ServerState.DRAINING), 0), id="drains"
            ),
            pytest.param(lambda d: d.remove("i-1", 0), id="ended"),
            pytest.param(lambda d: d.mark_unusable("i-1"), id="entry unreadable"),
            pytest.param(lambda d: d.put(server("i-1", service="photos"), 0), id="other service"),
        ],
    )
    def test_servers_that_get_no_new_flow(self, change: object) -> None:
        host = job_host()
        change(host.directory)  # type: ignore[operator]
        chosen = {
            as_forwarded(host.on_packet(opening_packet(flow_id(n)), n)).server.server_id
            for n in range(60)
        }
        assert chosen == {"i-2", "i-3"}

    def test_openings_that_cannot_be_served_are_reset_at_once(self) -> None:
        host = steering([server("i-9", service="photos")])
        assert verdict(host, opening_packet(flow_id(1)), 0) is Verdict.RESET_NO_SERVER
        assert verdict(host, opening_packet(flow_id(1, UNROUTED)), 0) is Verdict.RESET_NO_ROUTE

    def test_the_cookie_is_written_into_the_opening_packet(self) -> None:
        action = as_forwarded(job_host().on_packet(opening_packet(flow_id(1)), 0))
        assert action.cookie == cookie_of(action.server.server_id)

    def test_an_unanswered_opening_is_offered_to_other_servers(self) -> None:
        host = job_host()
        asked = [as_forwarded(host.on_packet(opening_packet(flow_id(1)), 0)).server.server_id]
        now_ms = 0
        while (deadline_ms := host.next_deadline_ms()) is not None:
            now_ms = deadline_ms
            asked += [as_forwarded(action).server.server_id for action in host.on_timer(now_ms)]
        assert len(asked) == MAX_OFFERS
        assert len(set(asked)) == MAX_OFFERS
        assert now_ms == MAX_OFFERS * ANSWER_TIMEOUT_MS

    def test_an_answered_opening_is_not_offered_again(self) -> None:
        host = job_host()
        open_flow(host, flow_id(1), 0)
        assert host.on_timer(ANSWER_TIMEOUT_MS) == []

    def test_a_paused_host_waits_for_answers_in_its_buffer(self) -> None:
        host = job_host()
        host.on_packet(opening_packet(flow_id(1)), 0)
        late_ms = ANSWER_TIMEOUT_MS + MAX_TIMER_LAG_MS + 1
        assert host.on_timer(late_ms) == []
        assert host.next_deadline_ms() == late_ms + MAX_TIMER_LAG_MS
        assert len(host.on_timer(late_ms + MAX_TIMER_LAG_MS)) == 1

    def test_a_copy_of_an_opening_goes_to_a_server_that_was_not_asked(self) -> None:
        host = job_host()
        first = as_forwarded(host.on_packet(opening_packet(flow_id(1)), 0)).server.server_id
        copy = as_forwarded(host.on_packet(opening_packet(flow_id(1), copy_number=1), 200))
        assert copy.server.server_id != first
        assert copy.verdict is Verdict.OPENED_AGAIN

    def test_the_answer_of_either_server_opens_the_flow(self) -> None:
        host = job_host()
        first = as_forwarded(host.on_packet(opening_packet(flow_id(1)), 0)).server.server_id
        host.on_timer(ANSWER_TIMEOUT_MS)
        assert verdict(host, acknowledgement_packet(flow_id(1), first, 1), 50) is Verdict.STEERED
        assert host.failure_detector.suspicion(server(first)) is Suspicion.NONE

    def test_a_refused_caller_is_offered_another_server(self) -> None:
        # A crashed server refuses at once, so it has the least load and would be selected again.
        for seed in range(20):
            host = job_host(seed)
            first = as_forwarded(host.on_packet(opening_packet(flow_id(1)), 0)).server.server_id
            second = as_forwarded(host.on_packet(opening_packet(flow_id(2)), 8)).server.server_id
            third = as_forwarded(host.on_packet(opening_packet(flow_id(3)), 16)).server.server_id
            assert len({first, second, third}) == len(JOBS)


class TestSilentServers:
    def test_a_silent_server_gets_no_new_flows(self) -> None:
        host = job_host()
        now_ms = make_silent(host, "i-2", flows=2, now_ms=0)
        chosen = {
            as_forwarded(host.on_packet(opening_packet(flow_id(n)), now_ms)).server.server_id
            for n in range(20)
        }
        assert "i-2" not in chosen

    def test_when_all_servers_are_silent_flows_are_still_offered(self) -> None:
        host = job_host()
        now_ms = 0
        for port in range(40):
            host.on_packet(opening_packet(flow_id(port)), now_ms)
            now_ms += ANSWER_TIMEOUT_MS
            host.on_timer(now_ms)
        assert all(host.failure_detector.is_suspected(server(server_id)) for server_id in JOBS)
        assert isinstance(host.on_packet(opening_packet(flow_id(99)), now_ms), ForwardPacket)

    @pytest.mark.parametrize(
        ("flow", "silent", "repeats", "is_listed", "expected"),
        [
            pytest.param(
                flow_id(1), 3, 0, False, Verdict.RESET_SERVER_SILENT, id="condemned, not listed"
            ),
            pytest.param(
                flow_id(1), 3, 1, True, Verdict.RESET_SERVER_SILENT, id="condemned, data repeated"
            ),
            pytest.param(flow_id(1), 3, 0, True, Verdict.STEERED, id="condemned, still listed"),
            pytest.param(flow_id(1), 2, 0, False, Verdict.STEERED, id="only suspected"),
            pytest.param(
                flow_id(1), 2, 1, True, Verdict.STEERED, id="only suspected, data repeated"
            ),
            pytest.param(flow_id(1), 1, 0, False, Verdict.STEERED, id="one lost packet"),
            pytest.param(flow_id(1, SIGN_OFFS), 3, 1, False, Verdict.STEERED, id="non-idempotent"),
        ],
    )
    def test_which_flows_are_reset(
        self, flow: FlowEndpoints, silent: int, repeats: int, is_listed: bool, expected: Verdict
    ) -> None:
        host = job_host()
        now_ms = leave_data_unanswered(host, "i-2", flows=silent, now_ms=0)
        if not is_listed:
            unlist(host, "i-2", now_ms)
        assert send_request(host, flow, "i-2", repeats=repeats, now_ms=now_ms) is expected

    @pytest.mark.parametrize(
        ("repeats", "is_listed", "expected"),
        [
            pytest.param(0, False, Verdict.STEERED, id="not listed"),
            pytest.param(1, True, Verdict.STEERED, id="data repeated"),
            pytest.param(2, True, Verdict.RESET_SERVER_SILENT, id="data sent three times"),
        ],
    )
    def test_unanswered_openings_alone_reset_no_flow(
        self, repeats: int, is_listed: bool, expected: Verdict
    ) -> None:
        # A full server answers no opening packet. Its open flows were reset when a request took
        # longer than 200 ms (review/8).
        host = job_host()
        now_ms = make_silent(host, "i-2", flows=3, now_ms=0)
        assert host.failure_detector.suspicion(server("i-2")) is Suspicion.CONDEMNED
        if not is_listed:
            unlist(host, "i-2", now_ms)
        assert send_request(host, flow_id(1), "i-2", repeats=repeats, now_ms=now_ms) is expected

    def test_a_cut_that_has_healed_resets_no_flow(self) -> None:
        # New flows went to nearer servers, so nothing ended the suspicion of a server that was cut
        # off, and a request that took longer than 200 ms was reset 8 s later (review/11).
        far = server("i-11", failure_domain=FAR_DOMAIN)
        host = steering([server("i-1"), server("i-2"), far])
        now_ms = leave_data_unanswered(host, far.server_id, flows=4, now_ms=0)
        assert host.failure_detector.suspicion(far) is Suspicion.CONDEMNED
        for port in range(200, 232):
            open_flow(host, flow_id(port), now_ms)
            now_ms += 250
        let_answer(host, "i-1", port=50, sent_ms=now_ms)
        assert (
            send_request(host, flow_id(1), far.server_id, repeats=1, now_ms=now_ms)
            is Verdict.STEERED
        )
        assert not host.failure_detector.is_suspected(far)

    @pytest.mark.parametrize(
        ("sent_ms", "is_listed", "expected"),
        [
            pytest.param([0], True, Verdict.STEERED, id="the request is sent"),
            pytest.param([0, 200], True, Verdict.STEERED, id="it takes longer than 200 ms"),
            pytest.param([0], False, Verdict.STEERED, id="the store is out of reach"),
            pytest.param([0, 200, 600], True, Verdict.RESET_SERVER_SILENT, id="no packet arrives"),
        ],
    )
    def test_a_server_that_works_while_the_others_of_its_domain_are_silent_keeps_its_flows(
        self, sent_ms: list[int], is_listed: bool, expected: Verdict
    ) -> None:
        # Flows of the one live server of a failure domain were reset after one retransmission.
        far = [server(f"i-{n}", failure_domain=FAR_DOMAIN) for n in range(11, 15)]
        host = steering([server("i-1"), server("i-2"), *far])
        working, *silent = (each.server_id for each in far)
        began_ms = 0
        for port, silent_id in enumerate([*silent, *silent], start=100):
            for copy_ms in (0, 200, 600):
                host.on_packet(request_packet(flow_id(port), silent_id), began_ms + copy_ms)
        now_ms = began_ms + 600
        assert host.failure_detector.suspicion(far[0]) is Suspicion.CONDEMNED
        if not is_listed:
            host.directory.on_list_lost()
        for copy_ms in sent_ms:
            let_answer(host, "i-1", port=50 + copy_ms, sent_ms=now_ms + copy_ms)
            decided = verdict(host, request_packet(flow_id(1), working), now_ms + copy_ms)
        assert decided is expected

    def test_flows_of_a_silent_failure_domain_are_reset_after_one_retransmission(self) -> None:
        # Once each server has left one flow unanswered, its other flows wait 200 ms only.
        far = [server(f"i-{n}", failure_domain=FAR_DOMAIN) for n in range(11, 15)]
        host = steering([server("i-1"), server("i-2"), *far])
        for port, each in enumerate(far, start=100):
            for copy_ms in (0, 200, 600):
                host.on_packet(request_packet(flow_id(port), each.server_id), copy_ms)
        let_answer(host, "i-1", port=50, sent_ms=100)
        for port, each in enumerate(far, start=200):
            request = request_packet(flow_id(port), each.server_id)
            assert verdict(host, request, 700) is Verdict.STEERED
            assert verdict(host, request, 900) is Verdict.RESET_SERVER_SILENT

    def test_servers_of_a_silent_failure_domain_are_judged_by_their_own_flows(self) -> None:
        # The silence of other servers, and opening packets without an answer, may come from a full
        # server among silent ones; the third transmission of its data may not.
        far = [server(f"i-{n}", failure_domain=FAR_DOMAIN) for n in range(11, 16)]
        host = steering([server("i-1"), server("i-2"), *far])
        silent = {each.server_id for each in far}
        for port, silent_id in enumerate(("i-11", "i-12", "i-11"), start=100):
            for copy_ms in (0, 200, 600):
                host.on_packet(request_packet(flow_id(port), silent_id), copy_ms)
        awaited = list(enumerate(("i-13", "i-14"), start=200))
        verdicts = []
        for copy_ms in (600, 800, 1_200):
            open_flow_past_silent(host, flow_id(300 + copy_ms), silent, copy_ms)
            fire_timers_until(host, copy_ms + 100)
            let_answer(host, "i-1", port=50 + copy_ms, sent_ms=copy_ms)
            for port, name in awaited:
                verdicts.append(verdict(host, request_packet(flow_id(port), name), copy_ms))
        assert verdicts == [Verdict.STEERED] * 4 + [Verdict.RESET_SERVER_SILENT] * 2

    @pytest.mark.parametrize(
        ("answered_ms", "expected"),
        [
            pytest.param(None, Verdict.STEERED, id="no server answers"),
            pytest.param(-1, Verdict.STEERED, id="a server answers an earlier packet"),
            pytest.param(1, Verdict.RESET_SERVER_SILENT, id="a server answers a later packet"),
        ],
    )
    def test_a_host_whose_own_link_is_congested_resets_no_flow(
        self, answered_ms: int | None, expected: Verdict
    ) -> None:
        # While a host with a narrow link read large routes, packets waited on its link for longer
        # than callers wait before they send data again, and it reset flows of live servers.
        host = job_host()
        if answered_ms is not None:
            host.on_packet(request_packet(flow_id(1), "i-1"), answered_ms)
        for copy_ms in (0, 200, 600):
            if answered_ms is not None and copy_ms == 600:
                host.on_packet(acknowledgement_packet(flow_id(1), "i-1", 500), 599)
            for port in (100, 101, 102):
                decided = verdict(host, request_packet(flow_id(port), "i-2"), copy_ms)
        assert decided is expected

    def test_packets_that_the_own_link_may_have_dropped_are_no_evidence(self) -> None:
        # A host's link dropped packets while it read large routes. Once it carried packets again,
        # the third transmission of a request reset its flow, though the server had got none before.
        silent = [
            server(f"i-{number}", failure_domain=domain)
            for number, domain in enumerate(("hobart", "derwent") * 2, start=11)
        ]
        host = steering([server("i-1"), *silent])
        for copy_ms in (0, 200):
            for port, each in enumerate(silent, start=100):
                host.on_packet(request_packet(flow_id(port), each.server_id), copy_ms)
        for port in range(300, 304):
            host.on_packet(opening_packet(flow_id(port)), 210)
        fire_timers_until(host, 400)
        assert all(host.failure_detector.is_suspected(each) for each in silent)
        let_answer(host, "i-1", port=50, sent_ms=450)
        verdicts = {}
        for copy_ms in (600, 1_400, 3_000):
            let_answer(host, "i-1", port=50 + copy_ms, sent_ms=copy_ms - 1)
            for port, each in enumerate(silent, start=100):
                request = request_packet(flow_id(port), each.server_id)
                verdicts[copy_ms, each.server_id] = verdict(host, request, copy_ms)
        reset = {key for key, each in verdicts.items() if each is Verdict.RESET_SERVER_SILENT}
        # A failure domain is suspected again by the second one of its servers.
        assert reset == {(3_000, "i-13"), (3_000, "i-14")}

    def test_openings_of_callers_that_went_to_another_host_end_no_flow(self) -> None:
        # After the routers change the set of hosts, the later packets of an opening go to another
        # host, so that this host sees no answer. Long test runs showed resets of flows of live
        # servers.
        host = job_host()
        now_ms = 0
        for port in range(100, 110):
            host.on_packet(opening_packet(flow_id(port)), now_ms)
            for _ in range(MAX_OFFERS):
                now_ms += ANSWER_TIMEOUT_MS
                host.on_timer(now_ms)
        host.on_packet(request_packet(flow_id(1), "i-1"), now_ms)
        host.on_packet(acknowledgement_packet(flow_id(1), "i-1", 500), now_ms)
        assert not host.failure_detector.is_suspected(server("i-1"))
        for server_id in ("i-2", "i-3"):
            assert verdict(host, request_packet(flow_id(2), server_id), now_ms) is Verdict.STEERED

    def test_packets_of_one_request_that_change_order_are_no_stall(self) -> None:
        # Links between failure domains reorder packets. In long test runs, flows were reset while
        # their server was answering.
        host = job_host()
        for port in range(1, 6):
            for sequence in (401, 1, 101, 201, 301):
                sent = request_packet(flow_id(port), "i-2", sequence=sequence)
                assert verdict(host, sent, port) is Verdict.STEERED
        assert host.failure_detector.suspicion(server("i-2")) is Suspicion.NONE

    def test_data_that_is_sent_again_by_timer_is_a_stall(self) -> None:
        host = job_host()
        for port in range(1, 4):
            for sent_ms in (0, 200, 600):
                host.on_packet(request_packet(flow_id(port), "i-2"), sent_ms)
        assert host.failure_detector.suspicion(server("i-2")) is Suspicion.CONDEMNED

    def test_flows_are_not_ended_without_another_server_to_take_them(self) -> None:
        host = job_host()
        now_ms = make_silent(host, "i-2", flows=3, now_ms=0)
        host.directory.remove("i-1", now_ms)
        host.directory.remove("i-3", now_ms)
        assert verdict(host, request_packet(flow_id(1), "i-2"), now_ms) is Verdict.STEERED

    def test_a_partitioned_failure_domain_is_avoided_at_once(self) -> None:
        near = [server(f"i-{n}") for n in range(1, 3)]
        far = [server(f"i-{n}", failure_domain=FAR_DOMAIN) for n in range(11, 15)]
        host = steering([*near, *far])
        now_ms = 0
        silent = {each.server_id for each in far}
        for port in range(60):
            now_ms = open_flow_past_silent(host, flow_id(port), silent, now_ms)
        assert all(host.failure_detector.is_suspected(each) for each in far)


class TestRoutes:
    @pytest.mark.parametrize(("version", "taken"), [(2, True), (1, False), (0, False)])
    def test_an_older_version_of_the_routes_is_rejected(self, version: int, taken: bool) -> None:
        host = job_host()
        assert host.apply_routes(route_table(version=version)) is taken

    def test_a_removed_route_ends_its_flows_and_a_new_one_opens(self) -> None:
        host = job_host()
        open_flow(host, flow_id(1), 0)
        # The flow was open while the version with its route was known to be the newest.
        host.routes_confirmed_ms = 1_000
        host.apply_routes(route_table(route(UNROUTED, "photos"), version=2))
        assert verdict(host, request_packet(flow_id(1), "i-1"), 1_001) is Verdict.RESET_NO_ROUTE
        assert (
            as_forwarded(host.on_packet(opening_packet(flow_id(2, UNROUTED)), 0)).server.service
            == "photos"
        )


def verdict(host: CookieSteering, sent: object, now_ms: int) -> Verdict:
    action = host.on_packet(sent, now_ms)  # type: ignore[arg-type]
    assert isinstance(action, ForwardPacket | ResetFlow | DiscardPacket)
    return action.verdict
