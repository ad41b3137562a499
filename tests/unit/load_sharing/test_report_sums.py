"""Guards against sums of late reports, and against servers suspected by the word of one host.

Pattern: a host with a bad link finds all servers silent; a failure domain is cut off from another.
"""

from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from redwingswitch._internal.decisions.load_sharing.latest_messages import REPORT_LIFETIME_MS
from redwingswitch._internal.decisions.load_sharing.report_sums import (
    MIN_REBUILD_INTERVAL_MS,
    MIN_URGENT_REBUILD_INTERVAL_MS,
    ReportSums,
)
from redwingswitch._internal.decisions.load_sharing.server_sums import age_cs
from redwingswitch._internal.decisions.load_sharing.summation import MIN_SILENCE_MS
from redwingswitch._internal.decisions.load_sharing.unconfirmed_silence import MOVED_FLOWS_MS
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.load_sharing import (
    MAX_AGE_CS,
    MAX_SERVERS_PER_MESSAGE,
    DomainLoad,
    LoadReport,
    LoadSums,
    RouteSums,
    ServerSums,
)

READER, *OTHERS = [Neighbour("10.0.0.1", port) for port in range(6)]
SERVER = 7


def server_sums(
    *, busy: int = 0, silent_age_cs: int = MAX_AGE_CS, answer_age_cs: int = MAX_AGE_CS
) -> ServerSums:
    # With an overdue request if it is busy, so that it is named.
    silent_hosts = int(silent_age_cs < MAX_AGE_CS)
    return ServerSums(SERVER, busy, 0, 0, int(busy > 0), silent_hosts, silent_age_cs, answer_age_cs)


def report(
    *servers: ServerSums,
    number: int = 1,
    answered: tuple[int, ...] = (),
    routes: tuple[RouteSums, ...] = (),
) -> LoadReport:
    return LoadReport(number, 0, answered, LoadSums(servers, routes, ()))


def reader_sums() -> ReportSums:
    return ReportSums(failure_domain="a", local_host=READER)


def entry_in(sums: ReportSums, now_ms: int) -> ServerSums | None:
    sums.on_report(report(number=now_ms), sender=READER, incarnation=1, now_ms=now_ms)
    summary = sums.build_summary(READER, now_ms + MIN_REBUILD_INTERVAL_MS)
    assert summary is not None
    return next(iter(summary.sums.servers), None)


class SilenceCase(NamedTuple):
    """Ages of unanswered openings and answers by host, and of another failure domain's."""

    own: tuple[ServerSums, ...]
    silent_hosts: int
    answering: int = 0
    other: ServerSums | None = None


SILENT, SILENT_EARLIER = server_sums(silent_age_cs=5), server_sums(silent_age_cs=80)
ANSWERED = server_sums(answer_age_cs=40)
JUST_ANSWERED = server_sums(answer_age_cs=0)


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(SilenceCase((SILENT,), 1), id="one host alone"),
        pytest.param(SilenceCase((SILENT, SILENT), 2), id="two hosts"),
        pytest.param(SilenceCase((SILENT, SILENT, ANSWERED), 2), id="answered before both"),
        pytest.param(SilenceCase((SILENT, SILENT_EARLIER, ANSWERED), 1), id="answered in between"),
        pytest.param(SilenceCase((SILENT, SILENT, JUST_ANSWERED), 0), id="answered since"),
        pytest.param(
            SilenceCase((SILENT, SILENT), 0, answering=2),
            id="other hosts have just had an answer: a full server refuses some flows",
        ),
        pytest.param(SilenceCase((SILENT,), 2, other=SILENT), id="hosts of two failure domains"),
        pytest.param(
            SilenceCase((SILENT, SILENT), 2, other=JUST_ANSWERED),
            id="only this domain is cut off from the server",
        ),
        pytest.param(
            SilenceCase((JUST_ANSWERED,), 0, other=SILENT._replace(silent_hosts=5)),
            id="only the other domain is cut off from the server",
        ),
    ],
)
def test_silence_needs_two_hosts_without_a_later_answer(case: SilenceCase) -> None:
    sums = reader_sums()
    for sender, entry in zip(OTHERS, case.own, strict=False):
        sums.on_report(report(entry), sender=sender, incarnation=1, now_ms=1_000)
    for port in range(case.answering):
        sums.on_report(
            report(answered=(SERVER,)),
            sender=Neighbour("10.0.0.9", port),
            incarnation=1,
            now_ms=1_000,
        )
    if case.other is not None:
        load = DomainLoad("b", 1, 9, LoadSums((case.other,), (), ()))
        sums.on_domain_load(load, incarnation=2, now_ms=1_000)
    entry = entry_in(sums, 1_000)
    assert (0 if entry is None else entry.silent_hosts) == case.silent_hosts


@pytest.mark.parametrize(
    ("incarnations", "numbers", "is_taken"),
    [
        pytest.param((1, 1), (1, 2), True, id="the next report"),
        pytest.param((1, 1), (2, 2), False, id="repeated on the way"),
        pytest.param((1, 1), (3, 2), False, id="late"),
        pytest.param((1, 2), (9, 1), True, id="the host was restarted"),
        pytest.param((1, 2, 1), (9, 1, 10), False, id="late, from before the restart"),
    ],
)
def test_only_newer_reports_of_a_host_count(
    incarnations: tuple[int, ...], numbers: tuple[int, ...], is_taken: bool
) -> None:
    sums = reader_sums()
    results = [
        sums.on_report(
            report(server_sums(busy=position), number=number),
            sender=OTHERS[0],
            incarnation=incarnation,
            now_ms=1_000 + position,
        )
        for position, (incarnation, number) in enumerate(zip(incarnations, numbers, strict=True))
    ]
    assert results[-1] is is_taken
    entry = entry_in(sums, 1_010)
    expected = len(numbers) - 1 if is_taken else len(numbers) - 2
    assert (0 if entry is None else entry.busy_flows) == expected


def test_old_reports_and_old_sums_of_other_domains_end() -> None:
    sums = reader_sums()
    sums.on_report(report(server_sums(busy=2)), sender=OTHERS[0], incarnation=1, now_ms=0)
    load = DomainLoad("b", 1, 4, LoadSums((server_sums(busy=3),), (), ()))
    sums.on_domain_load(load, incarnation=2, now_ms=0)
    entry = entry_in(sums, 10)
    assert entry is not None
    assert entry.busy_flows == 5
    assert entry_in(sums, REPORT_LIFETIME_MS) is None
    summary = sums.build_summary(READER, 2 * REPORT_LIFETIME_MS - 200)
    assert summary is not None
    assert (summary.host_count, summary.total_hosts, summary.known_domains) == (1, 1, 1)


def test_a_message_that_names_this_failure_domain_is_not_added() -> None:
    sums = reader_sums()
    load = DomainLoad("a", 1, 4, LoadSums((server_sums(busy=3),), (), ()))
    assert not sums.on_domain_load(load, incarnation=2, now_ms=0)


def test_a_recovered_server_is_named_while_many_others_are_faulty() -> None:
    # Otherwise hosts avoided it for 3 s more, and the rest of the servers got its flows.
    sums = reader_sums()
    faulty = [SILENT._replace(server=number) for number in range(100, 124)]
    sums.on_report(report(server_sums(busy=1)), sender=READER, incarnation=1, now_ms=0)
    sums.build_summary(READER, 0)
    recovered = JUST_ANSWERED._replace(overdue_requests=0)
    later = report(*faulty, recovered, number=2)
    sums.on_report(later, sender=READER, incarnation=1, now_ms=1_000)
    summary = sums.build_summary(READER, 1_000)
    assert summary is not None
    assert len(summary.sums.servers) == MAX_SERVERS_PER_MESSAGE
    assert SERVER in {entry.server for entry in summary.sums.servers}


def test_ordinary_servers_are_named_when_they_are_much_busier_than_most() -> None:
    sums = reader_sums()
    entries = [ServerSums(n, 1 + 9 * (n == 3), 0, 0, 0, 0, MAX_AGE_CS, 0) for n in range(10)]
    sums.on_report(report(*entries), sender=READER, incarnation=1, now_ms=0)
    load = sums.build_domain_load(0)
    assert [(entry.server, entry.busy_flows) for entry in load.sums.servers] == [(3, 10)]


def test_the_work_of_a_route_is_the_mean_by_answers() -> None:
    sums = reader_sums()
    for sender, answers_tenths, work_tenths in ((OTHERS[0], 30, 100), (OTHERS[1], 10, 300)):
        routes = (RouteSums(1, 443, 10, answers_tenths, 50, work_tenths),)
        sums.on_report(report(routes=routes), sender=sender, incarnation=1, now_ms=0)
    load = sums.build_domain_load(10)
    assert load.sums.routes == (RouteSums(1, 443, 20, 40, 100, 150),)


class ReportMachine(RuleBasedStateMachine):
    """Reports that arrive late, twice or not at all; the sums must equal those of a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.sums = reader_sums()
        self.now_ms = 0
        self.sent: list[tuple[Neighbour, int, int, int]] = []
        self.numbers = dict.fromkeys(OTHERS, 0)
        # The latest busy flows by host, their number and when they arrived.
        self.known: dict[Neighbour, tuple[int, int, int]] = {}

    @rule(sender=st.sampled_from(OTHERS), busy=st.integers(1, 20))
    def send(self, sender: Neighbour, busy: int) -> None:
        self.numbers[sender] += 1
        self.sent.append((sender, self.numbers[sender], busy, self.now_ms))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        sender, number, busy, _ = data.draw(st.sampled_from(self.sent))
        known = self.known.get(sender)
        is_fresh = known is not None and self.now_ms - known[2] < REPORT_LIFETIME_MS
        is_taken = self.sums.on_report(
            report(server_sums(busy=busy), number=number),
            sender=sender,
            incarnation=1,
            now_ms=self.now_ms,
        )
        assert is_taken is (not is_fresh or known is None or number > known[1])
        if is_taken:
            self.known[sender] = (busy, number, self.now_ms)

    @rule(passed_ms=st.sampled_from([1, 100, 500, 1_500]))
    def wait(self, passed_ms: int) -> None:
        self.now_ms += passed_ms

    @invariant()
    def sums_of_fresh_reports(self) -> None:
        self.now_ms += MIN_REBUILD_INTERVAL_MS
        fresh = [b for b, _, at in self.known.values() if self.now_ms - at < REPORT_LIFETIME_MS]
        load = self.sums.build_domain_load(self.now_ms)
        assert load.host_count == len(fresh)
        assert sum(entry.busy_flows for entry in load.sums.servers) == sum(fresh)


TestReports = ReportMachine.TestCase
TestReports.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True)


class UnconfirmedCase(NamedTuple):
    """Reports of single hosts and sums of another failure domain, about one server.

    ``answering`` hosts have just had an answer, ``others`` other servers have answered, and
    ``moved_flows`` flows have moved to other hosts.
    """

    own: tuple[ServerSums, ...]
    silent_hosts: int = 0
    answering: int = 0
    others: int = 9
    unconfirmed_others: int = 0
    moved_flows: int = 0
    other: ServerSums | None = None


UNCONFIRMED = ServerSums(SERVER, 0, 0, 0, 0, 0, 5, MAX_AGE_CS, 1)
UNCONFIRMED_EARLIER = UNCONFIRMED._replace(silent_age_cs=80)
CONFIRMED = UNCONFIRMED._replace(silent_hosts=1, unconfirmed_hosts=0)


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(UnconfirmedCase((UNCONFIRMED,)), id="one host, as by its bad link"),
        pytest.param(UnconfirmedCase((UNCONFIRMED,) * 2), id="two hosts"),
        pytest.param(UnconfirmedCase((UNCONFIRMED,) * 3, 3), id="three hosts: it has crashed"),
        pytest.param(
            UnconfirmedCase((CONFIRMED, UNCONFIRMED), 1), id="two hosts, one of them sure"
        ),
        pytest.param(UnconfirmedCase((CONFIRMED, *(UNCONFIRMED,) * 2), 3), id="one of three sure"),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, answering=1),
            id="a full server that has just answered another host",
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED_EARLIER, *(UNCONFIRMED,) * 2, ANSWERED)),
            id="answered after one of three",
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, moved_flows=2), id="the rotation has changed"
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, 3, moved_flows=1), id="one host forgot a flow"
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, unconfirmed_others=15),
            id="nearly all servers show such openings",
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, 3, unconfirmed_others=3),
            id="some other servers have crashed too",
        ),
        pytest.param(
            UnconfirmedCase((CONFIRMED,) * 2, 2, moved_flows=2),
            id="what hosts are sure of counts while flows move",
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,), 3, other=UNCONFIRMED._replace(unconfirmed_hosts=2)),
            id="hosts of two failure domains",
        ),
        pytest.param(
            UnconfirmedCase((UNCONFIRMED,) * 3, other=JUST_ANSWERED),
            id="it answers hosts of another failure domain",
        ),
    ],
)
def test_unconfirmed_silence_needs_three_hosts_and_settled_routers(case: UnconfirmedCase) -> None:
    sums = reader_sums()
    for port, entry in enumerate(case.own):
        sums.on_report(
            report(entry), sender=Neighbour("10.0.0.8", port), incarnation=1, now_ms=1_000
        )
    for port in range(case.answering):
        sums.on_report(
            report(answered=(SERVER,)),
            sender=Neighbour("10.0.0.9", port),
            incarnation=1,
            now_ms=1_000,
        )
    others = tuple(range(100, 100 + case.others))
    unconfirmed = tuple(
        UNCONFIRMED._replace(server=each) for each in range(200, 200 + case.unconfirmed_others)
    )
    answered = report(*unconfirmed, answered=others)
    moved = answered._replace(sums=answered.sums._replace(moved_flows=case.moved_flows))
    sums.on_report(moved, sender=OTHERS[0], incarnation=1, now_ms=1_000)
    if case.other is not None:
        load = DomainLoad("b", 1, 9, LoadSums((case.other,), (), ()))
        sums.on_domain_load(load, incarnation=2, now_ms=1_000)
    summary = sums.build_summary(OTHERS[0], 1_000)
    assert summary is not None
    found = {entry.server: entry.silent_hosts for entry in summary.sums.servers}
    assert found.get(SERVER, 0) == case.silent_hosts
    assert sums.has_new_fault(1_000) is (case.silent_hosts >= 2)


def test_crashed_servers_of_other_domains_do_not_look_like_a_change_of_the_rotation() -> None:
    # Two in five servers of each of three domains have crashed. Other domains' sums name hardly any
    # server but these.
    sums = reader_sums()
    crashed = [UNCONFIRMED._replace(server=each) for each in range(8)]
    for sender in OTHERS[:3]:
        own = report(*crashed, answered=tuple(range(100, 112)))
        sums.on_report(own, sender=sender, incarnation=1, now_ms=1_000)
    far = tuple(UNCONFIRMED._replace(server=each, unconfirmed_hosts=3) for each in range(200, 216))
    load = DomainLoad("b", 1, 9, LoadSums(far, (), ()))
    sums.on_domain_load(load, incarnation=2, now_ms=1_000)
    summary = sums.build_summary(OTHERS[0], 1_000)
    assert summary is not None
    assert {entry.silent_hosts for entry in summary.sums.servers} == {3}


def test_unconfirmed_openings_count_again_after_a_change_of_the_rotation() -> None:
    sums = reader_sums()
    moved = report(answered=(100, 101))
    moved = moved._replace(sums=moved.sums._replace(moved_flows=5))
    sums.on_report(moved, sender=READER, incarnation=1, now_ms=0)
    sums.build_summary(READER, 0)
    found = []
    for now_ms in (MOVED_FLOWS_MS - 1, MOVED_FLOWS_MS + MIN_REBUILD_INTERVAL_MS):
        settled = report(number=now_ms, answered=(100, 101))
        sums.on_report(settled, sender=READER, incarnation=1, now_ms=now_ms)
        for sender in OTHERS[:3]:
            unconfirmed = report(UNCONFIRMED, number=now_ms)
            sums.on_report(unconfirmed, sender=sender, incarnation=1, now_ms=now_ms)
        summary = sums.build_summary(READER, now_ms)
        assert summary is not None
        found.append(summary.sums.servers[0].silent_hosts)
    assert found == [0, 3]


def test_a_server_that_answers_again_is_not_silent() -> None:
    sums = reader_sums()
    for sender in OTHERS[:3]:
        sums.on_report(report(UNCONFIRMED), sender=sender, incarnation=1, now_ms=1_000)
    sums.on_report(report(answered=(100, 101)), sender=READER, incarnation=1, now_ms=1_000)
    assert sums.has_new_fault(1_000)
    back = report(UNCONFIRMED._replace(silent_age_cs=MAX_AGE_CS, answer_age_cs=0), number=2)
    sums.on_report(back, sender=OTHERS[0], incarnation=1, now_ms=1_500)
    summary = sums.build_summary(READER, 1_500)
    assert summary is not None
    entry = summary.sums.servers[0]
    assert (entry.server, entry.silent_hosts, entry.unconfirmed_hosts) == (SERVER, 0, 0)
    assert entry.answer_age_cs < MAX_AGE_CS


def test_other_domains_are_told_once_when_the_sums_first_show_a_silent_server() -> None:
    # The last answer is often too recent when the hosts report their openings.
    sums = reader_sums()
    sums.on_report(report(answered=(SERVER, 100)), sender=READER, incarnation=1, now_ms=1_000)
    for sender in OTHERS[:2]:
        later = UNCONFIRMED._replace(silent_age_cs=0)
        sums.on_report(report(later), sender=sender, incarnation=1, now_ms=1_100)
    sums.build_domain_load(1_100)
    assert not sums.has_untold_silence
    sums.build_summary(READER, 1_000 + MIN_SILENCE_MS)
    assert sums.has_untold_silence
    load = sums.build_domain_load(1_000 + MIN_SILENCE_MS)
    assert load.sums.servers[0].unconfirmed_hosts == 2
    assert not sums.has_untold_silence


def test_sums_of_another_domain_that_show_a_silent_server_are_added_at_once() -> None:
    sums = reader_sums()
    sums.on_report(report(UNCONFIRMED, answered=(100,)), sender=READER, incarnation=1, now_ms=1_000)
    sums.build_summary(READER, 1_000)
    load = DomainLoad("b", 1, 9, LoadSums((UNCONFIRMED._replace(unconfirmed_hosts=2),), (), ()))
    sums.on_domain_load(load, incarnation=2, now_ms=1_010)
    assert sums.has_new_fault(1_000 + MIN_URGENT_REBUILD_INTERVAL_MS)


class UnconfirmedMachine(RuleBasedStateMachine):
    """Hosts that meet unanswered openings, answers and moved flows of one server in any order.

    The sums may find it silent only by openings of three hosts after every answer known.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sums = reader_sums()
        self.now_ms = 10_000
        self.number = 0
        self.opened_ms: dict[Neighbour, int] = {}
        self.answered_ms: dict[Neighbour, int] = {}
        self.moved_ms = 0

    def report(self, host: Neighbour, *, moved_flows: int = 0) -> None:
        self.number += 1
        entry = UNCONFIRMED._replace(
            silent_age_cs=age_cs(self.opened_ms.get(host), self.now_ms),
            answer_age_cs=age_cs(self.answered_ms.get(host), self.now_ms),
            unconfirmed_hosts=int(host in self.opened_ms),
        )
        sums = LoadSums((entry,), (), (), moved_flows)
        message = LoadReport(self.number, 0, (100, 101), sums)
        self.sums.on_report(message, sender=host, incarnation=1, now_ms=self.now_ms)

    @rule(host=st.sampled_from(OTHERS))
    def leave_unanswered(self, host: Neighbour) -> None:
        self.opened_ms[host] = self.now_ms
        self.report(host)

    @rule(host=st.sampled_from(OTHERS))
    def answer(self, host: Neighbour) -> None:
        self.answered_ms[host] = self.now_ms
        self.opened_ms.pop(host, None)
        self.report(host)

    @rule(host=st.sampled_from(OTHERS))
    def move(self, host: Neighbour) -> None:
        self.moved_ms = self.now_ms
        self.report(host, moved_flows=2)

    @rule(passed_ms=st.sampled_from([100, 400, 1_500]))
    def wait(self, passed_ms: int) -> None:
        self.now_ms += passed_ms

    @invariant()
    def silent_by_three_hosts_only(self) -> None:
        self.now_ms += MIN_REBUILD_INTERVAL_MS
        entry = entry_in(self.sums, self.now_ms)
        self.now_ms += MIN_REBUILD_INTERVAL_MS
        if entry is None or not entry.silent_hosts:
            return
        answered_ms = max(self.answered_ms.values(), default=0)
        later = [each for each in self.opened_ms.values() if each > answered_ms]
        assert len(later) >= 3
        assert entry.silent_hosts <= len(later)
        assert self.now_ms - self.moved_ms >= MOVED_FLOWS_MS


TestUnconfirmed = UnconfirmedMachine.TestCase
TestUnconfirmed.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True)
