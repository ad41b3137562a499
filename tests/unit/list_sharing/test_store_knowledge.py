"""Guards against conclusions that the answers of the store and of the reader do not allow."""

import random

import pytest

from redwingswitch._internal.decisions.list_sharing.list_age import PAUSE_THRESHOLD_MS
from redwingswitch._internal.decisions.list_sharing.sharing import (
    READER_SILENCE_LIMIT_MS,
    ListSharing,
)
from redwingswitch._internal.decisions.list_sharing.store_knowledge import (
    MAX_RELOAD_JITTER_MS,
    MAX_RETRY_MS,
    MIN_FOLLOWER_RETRY_MS,
    MIN_RETRY_MS,
    PAUSE_CONFIRMATION_LIMIT_MS,
    SNAPSHOT_DELAY_MS,
    StoreKnowledge,
)
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListOffer,
    ListSharingRole,
)
from redwingswitch._internal.models.server_list import NONE_OUT_OF_SERVICE
from redwingswitch._internal.models.store_knowledge import (
    BeginEra,
    CallAgain,
    CallFailed,
    CaughtUp,
    ChangesRead,
    FeedReceived,
    HistoryLost,
    ListSource,
    ListTaken,
    NextRead,
    NoteListLost,
    NoteListRead,
    OtherReadersRead,
    PartsBegun,
    ProbeAnswered,
    ReportHistoryLost,
    ReportStoreLost,
    ReportStoreRegained,
    RoleChanged,
    RoutesCompared,
    RoutesRead,
    ServersRead,
    StaleListRead,
    StoreAnswered,
    StoreEvent,
    WatchAbandoned,
    WholeListRead,
)
from redwingswitch._internal.models.store_revisions import make_revision

START_MS = 10_000
NOW_MS = 11_000
AGE_LIMIT_MS = 2_000
LOCAL = ListReader("entry-0", "127.0.0.1", 7720, 5)
PEER = ListReader("entry-1", "127.0.0.3", 7720, 6)
SERVING = RoleChanged(ListSharingRole.SERVING)
FAILED = CallFailed("down")
WHOLE = WholeListRead(START_MS, 5)


class Host:
    """What a host knows; ``now_ms`` is the time of the events."""

    def __init__(self, *events: StoreEvent, link_mbps: float | None = None) -> None:
        self.sharing = ListSharing(
            local_reader=LOCAL,
            age_limit_ms=AGE_LIMIT_MS,
            random_source=random.Random(1),
            link_mbps=link_mbps,
        )
        self.knowledge = StoreKnowledge(
            sharing=self.sharing, random_source=random.Random(1), now_ms=START_MS
        )
        self.now_ms = NOW_MS
        self.report(*events)

    def report(self, *events: StoreEvent) -> list[object]:
        return [action for each in events for action in self.knowledge.on_event(each, self.now_ms)]

    def serve(self) -> None:
        self.sharing.on_reader_registered(RegisteredReader(LOCAL, 4), self.now_ms)

    def know_reader(self) -> None:
        self.sharing.on_reader_registered(RegisteredReader(PEER, 4), self.now_ms)

    def hear_reader(
        self,
        *,
        sent_ms: int = NOW_MS,
        list_age_ms: int = 0,
        later_changes: int = 0,
        routes_version: int = 0,
    ) -> None:
        self.know_reader()
        update = FeedUpdate(
            feed=PEER.incarnation,
            first_position=0,
            from_revision=0,
            changes=(),
            end_position=later_changes,
            revision=9,
            outages=0,
            list_age_ms=list_age_ms,
            request_sent_ms=sent_ms,
            routes_version=routes_version,
            out_of_service=NONE_OUT_OF_SERVICE,
        )
        self.sharing.on_update(update, self.now_ms)

    def next_read(self) -> NextRead:
        return self.knowledge.next_read(self.now_ms)

    def wants(self, revision: int = 8) -> bool:
        return self.knowledge.wants_neighbours_list(ListOffer(revision), self.now_ms)


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([], NextRead.STALE_LIST, id="start"),
        pytest.param([FAILED], NextRead.STALE_LIST, id="start without the store"),
        pytest.param([StaleListRead()], NextRead.WHOLE_LIST, id="stale list not applied"),
        pytest.param(
            [StaleListRead(), ListTaken(ListSource.STALE_STORE, 5)], NextRead.WATCH, id="stale list"
        ),
        pytest.param([ListTaken(ListSource.NEIGHBOUR, 5)], NextRead.WATCH, id="neighbour's list"),
        pytest.param(
            [ListTaken(ListSource.NEIGHBOUR, 5), HistoryLost("gone")],
            NextRead.WHOLE_LIST,
            id="neighbour's list, then no history",
        ),
        pytest.param([WHOLE], NextRead.WATCH, id="whole list"),
        pytest.param([WHOLE, HistoryLost("gone")], NextRead.WHOLE_LIST, id="history lost"),
        pytest.param([WHOLE, FAILED], NextRead.CATCH_UP, id="store lost"),
        pytest.param([WHOLE, FAILED, StoreAnswered()], NextRead.WATCH, id="store back"),
        pytest.param([WHOLE, SERVING], NextRead.CATCH_UP, id="new reader"),
        pytest.param([WHOLE, SERVING, CaughtUp()], NextRead.WATCH, id="new reader, caught up"),
        pytest.param(
            [WHOLE, SERVING, RoleChanged(ListSharingRole.READING)], NextRead.WATCH, id="no reader"
        ),
        pytest.param([WHOLE, WatchAbandoned()], NextRead.CATCH_UP, id="watch abandoned"),
        pytest.param([WHOLE, WatchAbandoned(), CaughtUp()], NextRead.WATCH, id="then caught up"),
        pytest.param([WHOLE, RoutesCompared(True)], NextRead.WATCH, id="routes changed"),
    ],
)
def test_the_next_read_brings_what_the_list_may_lack(
    events: list[StoreEvent], expected: NextRead
) -> None:
    assert Host(*events).next_read() is expected


@pytest.mark.parametrize(
    ("have_changed", "expected"), [(True, NextRead.PARTS), (False, NextRead.WATCH)]
)
def test_a_narrow_link_carries_no_versions_of_routes_that_change(
    have_changed: bool, expected: NextRead
) -> None:
    host = Host(WHOLE, RoutesCompared(not have_changed), RoutesCompared(have_changed), link_mbps=10)
    assert host.next_read() is expected


def test_a_follower_makes_no_call() -> None:
    host = Host(WHOLE, FAILED, WatchAbandoned())
    host.hear_reader()
    assert host.next_read() is NextRead.FOLLOW


@pytest.mark.parametrize(
    ("events", "link_mbps", "expected"),
    [
        pytest.param([], None, False, id="nothing failed"),
        pytest.param([], 10, True, id="narrow link"),
        pytest.param([FAILED], None, True, id="a response may have been too large"),
        pytest.param([WatchAbandoned()], None, True, id="a response may have been too late"),
        pytest.param([ServersRead(NOW_MS, 9)], None, True, id="routes missing"),
        pytest.param([ServersRead(NOW_MS, 9), RoutesRead()], None, False, id="routes read"),
        pytest.param([ServersRead(NOW_MS, 9), WHOLE], None, False, id="whole list read"),
    ],
)
def test_a_reader_does_not_ask_again_for_what_failed(
    events: list[StoreEvent], link_mbps: float | None, expected: bool
) -> None:
    # A reader asked for all versions of large routes again and again.
    assert Host(WHOLE, *events, link_mbps=link_mbps).knowledge.must_read_parts() is expected


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([SERVING], True, id="new reader"),
        pytest.param([SERVING, OtherReadersRead()], False, id="records read"),
        pytest.param([SERVING, OtherReadersRead(), PartsBegun()], True, id="read in parts"),
        pytest.param([PartsBegun(), RoleChanged(ListSharingRole.FOLLOWING)], False, id="follower"),
    ],
)
def test_records_of_other_readers_are_read_where_no_watch_brought_them(
    events: list[StoreEvent], expected: bool
) -> None:
    assert Host(*events).knowledge.needs_other_readers is expected


@pytest.mark.parametrize(
    ("events", "confirmed_ms"),
    [
        pytest.param([], START_MS, id="no read"),
        pytest.param([StaleListRead()], START_MS, id="stale list"),
        pytest.param([ListTaken(ListSource.NEIGHBOUR, 5)], START_MS, id="neighbour's list"),
        pytest.param([WholeListRead(10_300, 5)], 10_300, id="whole list"),
        pytest.param([ChangesRead(10_300, 5)], 10_300, id="changes"),
        pytest.param([ServersRead(10_300, 5)], START_MS, id="servers only"),
        pytest.param([ServersRead(10_300, 5), RoutesRead()], 10_300, id="servers, then routes"),
        pytest.param([RoutesRead()], START_MS, id="routes only"),
        pytest.param(
            [ServersRead(10_300, 5), RoutesRead(make_revision(era=1, number=3))],
            START_MS,
            id="servers, then routes of a restored store",
        ),
        pytest.param(
            [ServersRead(10_300, 5), ChangesRead(10_400, 7)],
            START_MS,
            id="changes after servers without their routes",
        ),
        pytest.param(
            [ServersRead(10_300, 5), ProbeAnswered(10_400, 5, 5)],
            START_MS,
            id="probe after servers without their routes",
        ),
        pytest.param(
            [ServersRead(10_300, 5), WholeListRead(10_500, 6), ChangesRead(10_600, 7)],
            10_600,
            id="whole list in place of the routes",
        ),
        pytest.param([ProbeAnswered(10_400, 5, 5)], 10_400, id="probe without changes"),
        pytest.param([ProbeAnswered(10_400, 6, 5)], START_MS, id="probe that found a change"),
        pytest.param(
            [ProbeAnswered(10_400, 6, 5), ServersRead(10_300, 6), RoutesRead()],
            10_400,
            id="probe whose change was read in parts",
        ),
        pytest.param([StoreAnswered()], START_MS, id="another answer"),
    ],
)
def test_only_an_answer_with_all_changes_confirms_the_list(
    events: list[StoreEvent], confirmed_ms: int
) -> None:
    knowledge = Host(*events).knowledge
    assert knowledge.own_list_age_ms(NOW_MS) == NOW_MS - confirmed_ms


@pytest.mark.parametrize(
    ("role", "expected_ms"),
    [
        pytest.param("serving", 1_500, id="reader: the store's answers"),
        pytest.param("following", 2_000, id="follower: the reader's answers"),
        pytest.param("lost reader", 1_500, id="neither: the later of both, the store's"),
        pytest.param("lost reader, old read", 2_100, id="neither: the later of both, the feed"),
    ],
)
def test_the_age_is_that_of_the_evidence_for_the_role(role: str, expected_ms: int) -> None:
    # Logs and metrics showed 24 s, the age of the host's own last read, for a list of 4 s.
    host = Host(WholeListRead(NOW_MS - 600 if role == "lost reader, old read" else NOW_MS, 5))
    if role == "serving":
        host.hear_reader(sent_ms=NOW_MS + 200)
        host.sharing.on_reader_registered(RegisteredReader(LOCAL, 8), NOW_MS)
        assert host.knowledge.list_age_ms(NOW_MS + 1_500) == expected_ms
        return
    host.hear_reader(sent_ms=NOW_MS)
    if role == "following":
        host.report(WholeListRead(NOW_MS + 500, 5))
        assert host.knowledge.list_age_ms(NOW_MS + 2_000) == expected_ms
        return
    host.sharing.on_reader_lost(NOW_MS)
    if role == "lost reader":
        host.report(WholeListRead(NOW_MS + 600, 5))
    assert host.knowledge.list_age_ms(NOW_MS + 2_100) == expected_ms


def test_a_reader_tells_no_age_of_a_list_that_no_answer_has_confirmed() -> None:
    # Its followers would trust a list that was stale when it was read.
    host = Host(StaleListRead(), ListTaken(ListSource.STALE_STORE, 5))
    host.serve()
    assert host.knowledge.list_age_ms(NOW_MS) > AGE_LIMIT_MS
    host.report(ChangesRead(NOW_MS - 30, 5))
    assert host.knowledge.list_age_ms(NOW_MS) == 30


@pytest.mark.parametrize(
    ("waited_ms", "event", "expected"),
    [
        pytest.param(0, None, True, id="no answer since"),
        pytest.param(0, ProbeAnswered(NOW_MS, 5, 5), True, id="answer to an earlier call"),
        pytest.param(10, ProbeAnswered(NOW_MS + 5_000, 5, 5), False, id="answer since"),
        pytest.param(PAUSE_CONFIRMATION_LIMIT_MS, None, True, id="no answer at the limit"),
        pytest.param(PAUSE_CONFIRMATION_LIMIT_MS + 1, None, False, id="later than the limit"),
    ],
)
@pytest.mark.parametrize("paused_ms", [PAUSE_THRESHOLD_MS, 5_000])
def test_a_resumed_host_waits_for_a_confirmation(
    paused_ms: int, waited_ms: int, event: StoreEvent | None, expected: bool
) -> None:
    host = Host(WholeListRead(NOW_MS, 5))
    assert not host.knowledge.is_outdated_by_pause(NOW_MS)
    resumed_ms = NOW_MS + paused_ms
    is_paused = paused_ms > PAUSE_THRESHOLD_MS
    assert host.knowledge.is_outdated_by_pause(resumed_ms) is is_paused
    if event is not None:
        host.report(event)
    assert host.knowledge.is_outdated_by_pause(resumed_ms + waited_ms) is (expected and is_paused)


@pytest.mark.parametrize(
    ("sent_ms", "routes_version", "expected"),
    [
        pytest.param(1_510, 0, False, id="answer to a request since"),
        pytest.param(-10, 0, True, id="answer to an earlier request"),
        pytest.param(1_510, 99, True, id="newer routes announced"),
    ],
)
def test_a_resumed_follower_waits_for_its_reader(
    sent_ms: int, routes_version: int, expected: bool
) -> None:
    host = Host(WholeListRead(NOW_MS, 5))
    host.sharing.on_list_read(5, NOW_MS)
    host.knowledge.is_outdated_by_pause(NOW_MS)
    host.know_reader()
    host.knowledge.is_outdated_by_pause(NOW_MS + 1_500)
    host.now_ms = NOW_MS + 1_520
    host.hear_reader(sent_ms=NOW_MS + sent_ms, routes_version=routes_version)
    assert host.sharing.role(host.now_ms) is ListSharingRole.FOLLOWING
    assert host.knowledge.is_outdated_by_pause(host.now_ms) is expected


@pytest.mark.parametrize(
    ("waited_ms", "events", "revision", "expected"),
    [
        pytest.param(SNAPSHOT_DELAY_MS, [], 8, False, id="the store may still answer"),
        pytest.param(SNAPSHOT_DELAY_MS + 1, [], 8, True, id="the store is late"),
        pytest.param(SNAPSHOT_DELAY_MS + 1, [WHOLE], 8, False, id="the store has answered"),
        pytest.param(0, [FAILED], 8, True, id="the store has failed at the start"),
        pytest.param(0, [FAILED], 3, True, id="any list is better than none"),
        pytest.param(0, [WHOLE, FAILED], 8, True, id="a newer list in an outage"),
        pytest.param(0, [WHOLE, FAILED], 5, False, id="the same list in an outage"),
        pytest.param(0, [WHOLE, FAILED], 3, False, id="an older list in an outage"),
        pytest.param(0, [WHOLE, FAILED, StoreAnswered()], 8, False, id="the outage is over"),
    ],
)
def test_a_neighbours_list_is_taken_only_in_place_of_the_stores(
    waited_ms: int, events: list[StoreEvent], revision: int, expected: bool
) -> None:
    host = Host(*events)
    host.sharing.on_list_read(5, NOW_MS)
    host.now_ms = START_MS + waited_ms
    assert host.wants(revision) is expected


def test_a_reader_takes_no_neighbours_list() -> None:
    # Its followers would miss the changes in between.
    host = Host(WHOLE, FAILED)
    assert host.wants()
    host.serve()
    assert not host.wants()


@pytest.mark.parametrize(("later_changes", "role"), [(0, "following"), (20, "reading")])
def test_a_host_whose_reader_answers_takes_no_neighbours_list(
    later_changes: int, role: str
) -> None:
    # The neighbour's list reverted the first part of a batch, and the second one seemed to
    # complete it.
    host = Host(WHOLE, FAILED)
    assert host.wants()
    host.hear_reader(later_changes=later_changes)
    assert host.sharing.role(NOW_MS) == role
    assert not host.wants()


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([WHOLE], [NoteListRead()], id="whole list"),
        pytest.param([ChangesRead(START_MS, 5)], [NoteListRead()], id="changes"),
        pytest.param([ServersRead(START_MS, 5)], [NoteListRead()], id="servers"),
        pytest.param([RoutesRead(), StoreAnswered(), StaleListRead()], [], id="no list"),
        pytest.param([ProbeAnswered(NOW_MS, 5, 5)], [], id="probe"),
    ],
)
@pytest.mark.parametrize("failures", [0, 2])
def test_the_end_of_an_outage_is_noticed_by_answers_that_bring_the_list(
    failures: int, events: list[StoreEvent], expected: list[object]
) -> None:
    host = Host(WHOLE, *([FAILED] * failures))
    regained = [ReportStoreRegained(failures)] if failures else []
    if isinstance(events[0], ProbeAnswered):
        # The answer of another connection; the calls of the list may still fail.
        regained = []
    assert host.report(*events) == [*regained, *expected]
    assert host.knowledge.is_store_lost is (failures > 0 and not regained)


def test_routes_alone_do_not_end_an_outage() -> None:
    host = Host(WHOLE, FAILED)
    assert host.report(RoutesRead()) == []
    assert host.knowledge.is_store_lost


def test_a_failure_is_reported_once_and_calls_become_rarer() -> None:
    host = Host(WHOLE)
    first = host.report(FAILED)
    assert [type(each) for each in first] == [NoteListLost, ReportStoreLost, CallAgain]
    delays_ms = []
    for _ in range(20):
        lost, again = host.report(FAILED)
        assert lost == NoteListLost()
        assert isinstance(again, CallAgain)
        delays_ms.append(again.delay_ms)
    assert min(delays_ms) > 0
    assert max(delays_ms) <= MAX_RETRY_MS
    assert max(delays_ms[:2]) < max(delays_ms[-5:])


def test_a_follower_that_cannot_read_the_store_has_not_lost_the_list() -> None:
    # Its directory would take entries that expire for lapsed ones.
    host = Host(WHOLE)
    host.hear_reader()
    found = host.report(FAILED)
    assert NoteListLost() not in found
    assert host.knowledge.is_store_lost


@pytest.mark.parametrize(
    ("list_age_ms", "later_changes", "routes_version", "is_lost", "actions"),
    [
        pytest.param(99, 0, 0, False, [ReportStoreRegained(2)], id="answered since the failure"),
        pytest.param(100, 0, 0, True, [], id="answered before the failure"),
        pytest.param(99, 1, 0, True, [], id="a part of the changes"),
        pytest.param(99, 0, 7, False, [], id="routes that this host still has to get"),
    ],
)
def test_the_list_of_a_reader_shows_that_the_store_is_back(
    list_age_ms: int, later_changes: int, routes_version: int, is_lost: bool, actions: list[object]
) -> None:
    # Long after an outage, followers still counted the store as lost. When their reader lost it,
    # they waited 1.1 s for the reader to reach it again (review/12).
    host = Host(WHOLE, FAILED, FAILED)
    host.now_ms += 100
    host.hear_reader(
        sent_ms=host.now_ms,
        list_age_ms=list_age_ms,
        later_changes=later_changes,
        routes_version=routes_version,
    )
    assert host.knowledge.is_store_lost is is_lost
    assert host.report(FeedReceived()) == actions
    host.now_ms += 10 * AGE_LIMIT_MS
    assert host.knowledge.is_store_lost is is_lost


def test_a_failure_after_an_outage_begins_a_new_one() -> None:
    host = Host(WHOLE, *([FAILED] * 9))
    host.now_ms += 100
    host.hear_reader(sent_ms=host.now_ms)
    host.report(FeedReceived())
    host.now_ms += AGE_LIMIT_MS + 1
    lost, report, again = host.report(FAILED)
    assert isinstance(lost, NoteListLost)
    assert isinstance(report, ReportStoreLost)
    assert isinstance(again, CallAgain)
    assert again.delay_ms <= MIN_RETRY_MS


def test_a_reader_that_lost_the_store_counts_an_outage_for_its_followers() -> None:
    host = Host(WHOLE)
    host.serve()
    request = _request()
    before = host.sharing.build_update(request, list_age_ms=0)
    host.report(FAILED)
    after = host.sharing.build_update(request, list_age_ms=0)
    assert before is not None
    assert after is not None
    assert after.outages == before.outages + 1


def _request() -> FeedRequest:
    peer = ListSharing(local_reader=PEER, age_limit_ms=AGE_LIMIT_MS, random_source=random.Random(1))
    peer.on_reader_registered(RegisteredReader(LOCAL, 4), NOW_MS)
    asked = peer.build_request(NOW_MS)
    assert asked is not None
    return asked[1]


@pytest.mark.parametrize(
    ("silent_ms", "is_rare"),
    [(0, True), (READER_SILENCE_LIMIT_MS + 1, False)],
)
def test_hosts_whose_reader_answers_leave_the_frequent_calls_to_it(
    silent_ms: int, is_rare: bool
) -> None:
    host = Host(WHOLE)
    host.hear_reader()
    host.now_ms += silent_ms
    assert host.knowledge.has_answering_reader(host.now_ms) is is_rare
    again = host.report(FAILED)[-1]
    assert isinstance(again, CallAgain)
    assert (again.delay_ms >= MIN_FOLLOWER_RETRY_MS / 2) is is_rare


def test_hosts_spread_their_reads_after_the_store_lost_its_history() -> None:
    host = Host(WHOLE)
    host.sharing.on_list_read(5, NOW_MS)
    delays_ms = set()
    for _ in range(50):
        report, again = host.report(HistoryLost("gone"))
        assert report == ReportHistoryLost(5, "gone")
        assert isinstance(again, CallAgain)
        delays_ms.add(again.delay_ms)
    assert len(delays_ms) > 10
    assert max(delays_ms) <= MAX_RELOAD_JITTER_MS


def in_era(era: int) -> int:
    return make_revision(era=era, number=5)


@pytest.mark.parametrize("source", list(ListSource))
@pytest.mark.parametrize(
    ("former", "era", "begins"), [(None, 0, True), (1, 2, True), (1, 1, False), (2, 1, False)]
)
def test_a_later_era_begins_with_its_first_whole_list(
    source: ListSource, former: int | None, era: int, begins: bool
) -> None:
    host = Host()
    if former is not None:
        host.report(ListTaken(ListSource.NEIGHBOUR, in_era(former)))
    host.now_ms += 700
    event: StoreEvent = ListTaken(source, in_era(era))
    if source is ListSource.STORE:
        event = WholeListRead(NOW_MS, in_era(era))
    found = host.report(event)
    expected = [BeginEra(era, former, source, in_era(era), 0)] if begins else []
    # The grace period of missing servers begins with the read, after the era.
    read = [NoteListRead()] if source is ListSource.STORE else []
    assert found == [*expected, *read]
    began_ms = host.now_ms if begins else NOW_MS
    assert host.knowledge.era_age_ms(host.now_ms) == host.now_ms - began_ms
