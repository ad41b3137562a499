"""Guards against more new flows to servers in slow start than all hosts together may send."""

import pytest

from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import FIRST_ENTRY_MS
from redwingswitch._internal.decisions.cookies.slow_start_limits import (
    ENTITLEMENT_DELAY_MS,
    MAX_LIST_AGE_MS,
    MAX_SUMMARY_GAP_MS,
    WINDOW_MS,
    HostEntitlement,
    SlowStartLimits,
)
from redwingswitch._internal.decisions.cookies.unresolved_packets import (
    MAX_HOLD_MS,
    OPENING_RETRY_MS,
)
from redwingswitch._internal.models.cookie_flows import (
    DiscardPacket,
    ListedServer,
    ServiceSlowStart,
    Suspicion,
    Verdict,
)
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.load_sharing import HostRank
from tests.lib.cookie_flows import (
    FAR_DOMAIN,
    NEAR_DOMAIN,
    as_forwarded,
    fire_timers_until,
    flow_id,
    opening_packet,
    packet,
    request_packet,
    route_table,
    server,
    steering,
)

NOW_MS = 60_000
HOST_COUNT = 4
SUMMARY_MS = 500
DOMAINS = (NEAR_DOMAIN, FAR_DOMAIN)
RATE_PER_S = 6.0


def entitled_rank(server_id: str, host_count: int = HOST_COUNT) -> int:
    return wire_id(server_id) % host_count


def give_rank(
    entitlement: HostEntitlement,
    at_ms: int,
    *,
    rank: int | None = None,
    host_count: int = HOST_COUNT,
    reader: int = 1,
) -> None:
    """Let a summary arrive without delay; it entitles to i-1 unless a rank is given."""
    chosen = entitled_rank("i-1", host_count) if rank is None else rank
    entitlement.set_host_rank(
        HostRank(chosen, host_count, at_ms + 1_500), reader=reader, now_ms=at_ms
    )
    entitlement.on_list_checked(confirmed_ms=at_ms, reader=reader)


def entitle(entitlement: HostEntitlement, until_ms: int) -> None:
    """Entitle the host to i-1 for long enough, with the last summary at ``until_ms``."""
    for at_ms in range(until_ms - 8 * SUMMARY_MS, until_ms + 1, SUMMARY_MS):
        give_rank(entitlement, at_ms)


def limits(
    *, domains: tuple[str, ...] = DOMAINS, rate: float = RATE_PER_S, slack: float = 0.0
) -> SlowStartLimits:
    found = SlowStartLimits(failure_domain=NEAR_DOMAIN, failure_domains=domains, slack=slack)
    found.set_services([ServiceSlowStart("job-board", rate, 30_000)])
    return found


@pytest.mark.parametrize(
    ("domain_count", "rate", "slack", "allowed_in_all"),
    [
        pytest.param(3, 10.0, 0.0, 9, id="rounded down"),
        pytest.param(3, 1.0, 2.0, 3, id="one for each failure domain"),
        pytest.param(3, 1.0, 1.0, 2, id="one for as many failure domains as allowed"),
        pytest.param(3, 0.5, 0.0, 0, id="less than one"),
    ],
)
def test_the_shares_of_all_failure_domains_do_not_exceed_the_limit(
    domain_count: int, rate: float, slack: float, allowed_in_all: int
) -> None:
    domains = [f"d-{number}" for number in range(domain_count)]
    found = 0
    for domain in domains:
        each = SlowStartLimits(failure_domain=domain, failure_domains=domains, slack=slack)
        each.set_services([ServiceSlowStart("job-board", rate, 0)])
        found += each.limit("i-1", "job-board")
    assert found == allowed_in_all


@pytest.mark.parametrize(
    ("domains", "rate", "expected"),
    [
        pytest.param((), RATE_PER_S, True, id="failure domains not known: no limit"),
        pytest.param(DOMAINS, 0.0, True, id="no rate: no limit"),
        pytest.param(DOMAINS, RATE_PER_S, False, id="no summary"),
        pytest.param((FAR_DOMAIN,), RATE_PER_S, False, id="no share"),
    ],
)
def test_when_a_server_in_slow_start_is_limited(
    domains: tuple[str, ...], rate: float, expected: bool
) -> None:
    assert limits(domains=domains, rate=rate).may_open("i-1", "job-board", NOW_MS) is expected


def test_a_host_keeps_its_share_in_every_sliding_second() -> None:
    found = limits()
    sent = []
    for now_ms in range(NOW_MS, NOW_MS + 5_000, 10):
        if now_ms % SUMMARY_MS == 0:
            entitle(found.entitlement, now_ms)
        if found.may_open("i-1", "job-board", now_ms):
            found.on_opening("i-1", now_ms)
            sent.append(now_ms)
    share = int(RATE_PER_S) // len(DOMAINS)
    assert all(b - a >= WINDOW_MS for a, b in zip(sent, sent[share:], strict=False))
    assert len(sent) >= share * 4


OTHER = (entitled_rank("i-1") + 1) % HOST_COUNT
ENTITLED_MS = NOW_MS + ENTITLEMENT_DELAY_MS


@pytest.mark.parametrize(
    ("change", "asked_ms", "expected"),
    [
        pytest.param(lambda _: None, ENTITLED_MS, True, id="entitled for long enough"),
        pytest.param(lambda _: None, ENTITLED_MS - 1, False, id="entitled lately"),
        pytest.param(
            lambda e: give_rank(e, NOW_MS + 3_100, rank=OTHER), ENTITLED_MS, False, id="lost"
        ),
        pytest.param(
            lambda e: (
                give_rank(e, NOW_MS + 3_100, rank=OTHER),
                give_rank(e, NOW_MS + 3_200),
            ),
            NOW_MS + 3_200 + ENTITLEMENT_DELAY_MS - 1,
            False,
            id="lost and regained",
        ),
        pytest.param(
            lambda e: give_rank(e, NOW_MS + 3_100, host_count=HOST_COUNT * 7),
            ENTITLED_MS,
            True,
            id="another number of hosts with the same result",
        ),
        pytest.param(
            lambda e: give_rank(e, NOW_MS + 3_100, reader=2), ENTITLED_MS, False, id="new reader"
        ),
        pytest.param(
            lambda e: e.set_host_rank(None, reader=1, now_ms=NOW_MS + 3_100),
            ENTITLED_MS,
            False,
            id="no reader",
        ),
        pytest.param(lambda _: None, ENTITLED_MS + 1_500, False, id="summary too old"),
        pytest.param(
            lambda e: give_rank(e, NOW_MS + 3_100 + MAX_SUMMARY_GAP_MS),
            NOW_MS + 3_100 + MAX_SUMMARY_GAP_MS,
            False,
            id="summaries lost",
        ),
        pytest.param(
            lambda e: e.set_host_rank(
                HostRank(OTHER, HOST_COUNT, NOW_MS + 4_000), reader=1, now_ms=NOW_MS + 3_100
            ),
            ENTITLED_MS,
            True,
            id="an earlier summary arrives late",
        ),
        pytest.param(
            lambda e: e.on_list_checked(confirmed_ms=ENTITLED_MS - MAX_LIST_AGE_MS - 1, reader=1),
            ENTITLED_MS,
            False,
            id="list too old",
        ),
        pytest.param(
            lambda e: e.on_list_checked(confirmed_ms=ENTITLED_MS, reader=2),
            ENTITLED_MS,
            False,
            id="rank of a former reader",
        ),
    ],
)
def test_a_host_is_entitled_by_an_unbroken_row_of_summaries(
    change: object, asked_ms: int, expected: bool
) -> None:
    entitlement = HostEntitlement()
    for at_ms in range(NOW_MS, NOW_MS + 3_001, SUMMARY_MS):
        give_rank(entitlement, at_ms)
    change(entitlement)  # type: ignore[operator]
    assert entitlement.is_entitled("i-1", asked_ms) is expected


@pytest.mark.parametrize(
    ("first", "second", "asked_ms", "expected"),
    [
        pytest.param(1, None, FIRST_ENTRY_MS - 1, True, id="a first entry, just known"),
        pytest.param(1, None, FIRST_ENTRY_MS, False, id="a first entry, known for long enough"),
        pytest.param(1, 2, 10, False, id="written twice"),
        pytest.param(500, None, 10, False, id="written often before this host read it"),
    ],
)
def test_a_server_whose_first_entry_may_be_too_early_counts_as_in_slow_start(
    first: int, second: int | None, asked_ms: int, expected: bool
) -> None:
    host = steering([])
    for number in (first, second):
        if number is not None:
            host.directory.put(server("i-1", report_number=number), NOW_MS)
    known = host.directory.get("i-1")
    assert known is not None
    assert known.is_in_slow_start(NOW_MS + asked_ms) is expected


def test_a_server_that_starts_again_is_new() -> None:
    host = steering([server("i-1", report_number=500)])
    host.directory.put(server("i-1", instance=2, report_number=1), NOW_MS)
    known = host.directory.get("i-1")
    assert known is not None
    assert known.is_in_slow_start(NOW_MS)


def limited_host(*servers: ListedServer) -> CookieSteering:
    host = steering(servers, slow_start=limits())
    host.apply_routes(
        route_table(version=2)._replace(
            slow_starts=(ServiceSlowStart("job-board", RATE_PER_S, 30_000),)
        )
    )
    return host


def slow_server(server_id: str) -> ListedServer:
    return server(server_id, slow_start_left_ms=200_000, report_number=5)


def test_a_host_that_may_not_send_prefers_any_other_server() -> None:
    host = limited_host(slow_server("i-1"), server("i-2", report_number=5))
    for port in range(20):
        # Unanswered flows are offered again, and the server is suspected.
        offers = [host.on_packet(opening_packet(flow_id(port)), NOW_MS)]
        offers += fire_timers_until(host, NOW_MS + 100)
        assert {as_forwarded(offer).server.server_id for offer in offers} == {"i-2"}


@pytest.mark.parametrize(
    ("alternative", "expected"),
    [
        pytest.param(server("i-2", report_number=5), Verdict.RESET_SERVER_SILENT, id="usable"),
        pytest.param(slow_server("i-2"), Verdict.STEERED, id="may not get a flow now"),
    ],
)
def test_a_flow_is_not_reset_for_a_server_that_may_not_get_it(
    alternative: ListedServer, expected: Verdict, monkeypatch: pytest.MonkeyPatch
) -> None:
    host = limited_host(server("i-1", report_number=5), alternative)
    monkeypatch.setattr(host.failure_detector, "silence", lambda *_: Suspicion.CONDEMNED)
    monkeypatch.setattr(host.failure_detector, "is_suspected", lambda s: s.server_id == "i-1")
    host.on_packet(request_packet(flow_id(1), "i-1"), NOW_MS)
    repeated = host.on_packet(request_packet(flow_id(1), "i-1"), NOW_MS + 200)
    assert repeated.verdict is expected


def test_openings_wait_while_all_servers_are_in_slow_start() -> None:
    host = limited_host(slow_server("i-1"))
    for port in range(3):
        action = host.on_packet(opening_packet(flow_id(port)), NOW_MS)
        assert action == DiscardPacket(action.packet, Verdict.HELD_SLOW_START)
    repeated = opening_packet(flow_id(0), copy_number=1)
    host.on_packet(repeated, NOW_MS + 200)
    host.on_packet(packet(flow_id(2), resets=True), NOW_MS + 210)
    assert host.held_openings == 2
    assert host.on_timer(NOW_MS + 210) == []
    entitle(host.slow_start.entitlement, NOW_MS + 220)
    sent = host.on_timer(NOW_MS + 220 + OPENING_RETRY_MS)
    assert [action.packet.flow for action in sent] == [flow_id(1), flow_id(0)]
    assert sent[1].packet == repeated
    assert host.held_openings == 0


@pytest.mark.parametrize(
    ("rank_offset", "slow_start_left_ms", "copy_number", "expected"),
    [
        pytest.param(None, 200_000, 0, Verdict.HELD_SLOW_START, id="this host may be entitled"),
        pytest.param(0, 200_000, 0, Verdict.HELD_SLOW_START, id="this host will be entitled"),
        pytest.param(1, 200_000, 0, Verdict.RESET_NO_SERVER, id="other hosts are entitled"),
        pytest.param(1, 900, 0, Verdict.HELD_SLOW_START, id="the slow start ends soon"),
        pytest.param(1, 200_000, 1, Verdict.HELD_SLOW_START, id="another host may have opened it"),
    ],
)
def test_a_caller_is_told_at_once_when_only_other_hosts_may_serve_it(
    rank_offset: int | None, slow_start_left_ms: int, copy_number: int, expected: Verdict
) -> None:
    # It would wait 1.4 s for nothing; its next try mostly reaches another host.
    host = limited_host(
        server("i-1", slow_start_left_ms=NOW_MS + slow_start_left_ms, report_number=5)
    )
    if rank_offset is not None:
        rank = (entitled_rank("i-1") + rank_offset) % HOST_COUNT
        give_rank(host.slow_start.entitlement, NOW_MS - 100, rank=rank)
    action = host.on_packet(opening_packet(flow_id(1), copy_number=copy_number), NOW_MS)
    assert action.verdict is expected


def test_a_held_opening_is_not_rejected_later() -> None:
    # Its caller may have sent a copy that another host has taken.
    host = limited_host(slow_server("i-1"))
    host.on_packet(opening_packet(flow_id(1)), NOW_MS)
    give_rank(host.slow_start.entitlement, NOW_MS, rank=(entitled_rank("i-1") + 1) % HOST_COUNT)
    assert host.on_timer(NOW_MS + OPENING_RETRY_MS) == []
    assert host.held_openings == 1


def test_held_openings_keep_to_the_limit_and_expire() -> None:
    host = limited_host(slow_server("i-1"))
    entitle(host.slow_start.entitlement, NOW_MS)
    share = int(RATE_PER_S) // len(DOMAINS)
    actions = [host.on_packet(opening_packet(flow_id(port)), NOW_MS) for port in range(10)]
    assert sum(action.verdict is Verdict.OPENED for action in actions) == share
    assert fire_timers_until(host, NOW_MS + MAX_HOLD_MS - 1) == []
    assert fire_timers_until(host, NOW_MS + 2 * MAX_HOLD_MS) == []
    assert host.held_openings == 0


def test_an_opening_that_waited_for_a_configuration_then_waits_for_a_server() -> None:
    host = limited_host(slow_server("i-1"))
    host.is_list_outdated = True
    host.on_packet(opening_packet(flow_id(1)), NOW_MS)
    host.is_list_outdated = False
    assert host.on_list_changed(NOW_MS + 10) == []
    assert host.held_openings == 1
