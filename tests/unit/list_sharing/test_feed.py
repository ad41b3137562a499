"""Guards against a followed list that misses a change, goes back, or is older than it may be."""

import random

import pytest

from redwingswitch._internal.decisions.list_sharing.feed import (
    MAX_KEPT_CHANGES,
    MAX_UPDATE_CHANGES,
    ListFeed,
)
from redwingswitch._internal.decisions.list_sharing.follower import FeedFollower
from redwingswitch._internal.decisions.list_sharing.sharing import (
    NARROW_LINK_PAUSE_MS,
    READER_LINK_MBPS,
    ListSharing,
)
from redwingswitch._internal.models.fleet_list import ServerChange
from redwingswitch._internal.models.list_readers import NO_READER, ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import FeedRequest, ListRole

AGE_LIMIT_MS = 2_000
READER = ListReader("entry-1", "10.0.0.1", 7720, 11)
RESTARTED = READER._replace(incarnation=12)
OTHER = ListReader("entry-2", "10.0.0.2", 7720, 21)


def change(number: int) -> ServerChange:
    return ServerChange(f"i-{number}", None, is_listed=False)


def feed(*revisions: int, begin: int = 10, incarnation: int = READER.incarnation) -> ListFeed:
    """Return a feed with one change at each revision, numbered like the revision."""
    made = ListFeed(incarnation=incarnation)
    made.begin(begin)
    for revision in revisions:
        made.append([change(revision)], revision)
    return made


def follower(revision: int = 10, reader: ListReader = READER) -> FeedFollower:
    made = FeedFollower(age_limit_ms=AGE_LIMIT_MS)
    made.on_read(revision)
    made.choose(reader)
    return made


def take_all(source: ListFeed, target: FeedFollower, *, now_ms: int = 0) -> list[str]:
    """Exchange requests and updates until nothing is missing; return the ids of the changes."""
    found: list[str] = []
    for _ in range(100):
        taken = target.on_update(source.update(target.request(), list_age_ms=0), now_ms)
        found += [each.server_id for each in taken.changes]
        if not taken.has_gap:
            return found
    raise AssertionError("the exchange does not end")


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        pytest.param(10, ["i-11", "i-12", "i-15"], id="as old as the feed's beginning"),
        pytest.param(12, ["i-15"], id="between two changes"),
        pytest.param(15, [], id="up to date"),
        pytest.param(99, [], id="newer than the reader"),
    ],
)
def test_a_follower_gets_exactly_what_it_lacks(known: int, expected: list[str]) -> None:
    target = follower(known)
    assert take_all(feed(11, 12, 15), target) == expected
    assert target.is_following(0)
    assert target.revision == max(known, 15)


def test_a_feed_that_begins_later_than_the_follower_knows_is_not_followed() -> None:
    target = follower(9)
    assert take_all(feed(11), target) == []
    assert not target.is_following(0)
    # The reader is heard, so nobody takes its part.
    assert target.hears_reader(0)
    target.on_read(11)
    assert take_all(feed(11), target) == []
    assert target.is_following(0)


def test_changes_beyond_one_datagram_are_asked_for() -> None:
    revisions = range(11, 11 + 3 * MAX_UPDATE_CHANGES)
    assert len(take_all(feed(*revisions), follower())) == len(revisions)


def test_a_batch_that_was_taken_in_part_is_not_counted_as_known() -> None:
    source = ListFeed(incarnation=READER.incarnation)
    source.begin(10)
    source.append([change(n) for n in range(2 * MAX_UPDATE_CHANGES)], 11)
    target = follower()
    taken = target.on_update(source.update(target.request(), list_age_ms=0), 0)
    assert taken.has_gap
    assert not target.is_following(0)
    assert target.revision == 10


def test_a_reader_that_lost_and_regained_its_part_does_not_hide_what_it_did_not_keep() -> None:
    source, target = feed(11), follower()
    take_all(source, target)
    # Another host read meanwhile, so that the change at revision 12 is not in the feed.
    source.begin(13)
    assert take_all(source, target) == []
    assert not target.is_following(0)
    target.on_read(13)
    take_all(source, target)
    assert target.is_following(0)


def test_a_lost_update_leaves_a_gap_that_the_next_one_shows() -> None:
    source, target = feed(11), follower()
    take_all(source, target)
    source.append([change(12)], 12)
    lost = source.update(target.request(), list_age_ms=0)
    source.append([change(13)], 13)
    following = FeedRequest(lost.feed, lost.first_position + len(lost.changes), lost.revision)
    pushed = source.update(following, list_age_ms=0)
    assert target.on_update(pushed, 0).has_gap
    assert not target.is_following(0)
    assert take_all(source, target) == ["i-12", "i-13"]


def test_changes_that_the_reader_no_longer_keeps_are_read_from_the_store() -> None:
    source, target = feed(11), follower()
    take_all(source, target)
    for revision in range(12, 12 + MAX_KEPT_CHANGES + 1):
        source.append([change(revision)], revision)
    assert take_all(source, target) == []
    assert not target.is_following(0)


def test_the_reader_behind_its_follower_takes_nothing_back() -> None:
    source, target = feed(11), follower(20)
    take_all(source, target)
    source.append([change(18)], 18)
    assert take_all(source, target) == []
    source.append([change(25)], 25)
    assert take_all(source, target) == ["i-25"]


@pytest.mark.parametrize(
    ("reader", "incarnation"),
    [
        pytest.param(READER, RESTARTED.incarnation, id="a restarted reader"),
        pytest.param(OTHER, READER.incarnation, id="a former reader"),
    ],
)
def test_only_the_chosen_reader_is_believed(reader: ListReader, incarnation: int) -> None:
    target = follower(reader=reader)
    assert take_all(feed(11, incarnation=incarnation), target) == []
    assert not target.hears_reader(0)


def test_a_read_between_the_parts_of_a_batch_brings_the_whole_batch_again() -> None:
    source = ListFeed(incarnation=READER.incarnation)
    source.begin(10)
    source.append([change(n) for n in range(2 * MAX_UPDATE_CHANGES)], 30)
    target = follower()
    assert target.on_update(source.update(target.request(), list_age_ms=0), 0).has_gap
    # This response of the store may hold older states of the changes that were taken.
    target.on_read(20)
    assert len(take_all(source, target)) == 2 * MAX_UPDATE_CHANGES


def test_an_outage_of_the_store_is_told_once() -> None:
    source, target = feed(11), follower()
    take_all(source, target)
    source.note_outage()
    source.append([change(12)], 12)
    first = target.on_update(source.update(target.request(), list_age_ms=0), 0)
    assert first.after_outage
    assert first.changes
    assert not target.on_update(source.update(target.request(), list_age_ms=0), 0).after_outage


@pytest.mark.parametrize(
    ("list_age_ms", "silent_ms", "expected"),
    [
        pytest.param(0, AGE_LIMIT_MS, True, id="silent up to the limit"),
        pytest.param(0, AGE_LIMIT_MS + 1, False, id="silent for too long"),
        pytest.param(AGE_LIMIT_MS, 1, False, id="the reader's own list is old"),
        pytest.param(AGE_LIMIT_MS // 2, AGE_LIMIT_MS // 2, True, id="both together"),
        pytest.param(AGE_LIMIT_MS // 2, AGE_LIMIT_MS, False, id="both together, too old"),
    ],
)
def test_a_list_is_followed_while_it_is_fresh(
    list_age_ms: int, silent_ms: int, expected: bool
) -> None:
    source, target = feed(11), follower()
    target.on_update(source.update(target.request(), list_age_ms=list_age_ms), 0)
    assert target.is_following(silent_ms) is expected


def sharing(local: ListReader | None = OTHER) -> ListSharing:
    return ListSharing(local=local, age_limit_ms=AGE_LIMIT_MS, random_source=random.Random(1))


@pytest.mark.parametrize(
    ("local", "registered", "expected"),
    [
        pytest.param(OTHER, NO_READER, True, id="nobody reads"),
        pytest.param(OTHER, RegisteredReader(READER, 5), True, id="the reader is silent"),
        pytest.param(OTHER, RegisteredReader(None, 5), True, id="the record is unreadable"),
        pytest.param(OTHER, RegisteredReader(OTHER, 5), False, id="this host reads"),
        pytest.param(None, NO_READER, False, id="this host shares nothing"),
    ],
)
def test_the_part_is_claimed_where_no_reader_is_heard(
    local: ListReader | None, registered: RegisteredReader, expected: bool
) -> None:
    host = sharing(local)
    host.on_registered(registered, 0)
    host.on_read([], 10, 0)
    assert (host.claim_deadline_ms(0) is not None) is expected


def test_a_host_that_hears_the_reader_claims_nothing() -> None:
    host = sharing()
    host.on_read([], 10, 0)
    host.on_registered(RegisteredReader(READER, 5), 0)
    assert host.claim_deadline_ms(0) is not None
    asked = host.request()
    assert asked is not None
    host.on_update(feed(11).update(asked[1], list_age_ms=0), 0)
    assert host.claim_deadline_ms(0) is None
    assert host.role(0) is ListRole.FOLLOWING


@pytest.mark.parametrize(
    ("link_mbps", "expected"),
    [
        pytest.param(None, False, id="unknown"),
        pytest.param(READER_LINK_MBPS, False, id="wide"),
        pytest.param(READER_LINK_MBPS - 1, True, id="narrow"),
    ],
)
def test_hosts_with_narrow_links_leave_the_part_to_others(
    link_mbps: float | None, expected: bool
) -> None:
    # Found by the sweep: at 300 hosts the reader sent 728 KB/s, more than a link of 5 Mbit/s takes.
    host = ListSharing(
        local=OTHER,
        age_limit_ms=AGE_LIMIT_MS,
        random_source=random.Random(1),
        link_mbps=link_mbps,
    )
    host.on_read([], 10, 0)
    deadline_ms = host.claim_deadline_ms(0)
    assert deadline_ms is not None
    assert (deadline_ms > NARROW_LINK_PAUSE_MS) is expected


def test_claims_of_a_host_that_hears_nobody_become_rare() -> None:
    host = sharing()
    now_ms = 0
    pauses_ms = []
    for revision in range(10, 18):
        host.on_read([], revision, now_ms)
        deadline_ms = host.claim_deadline_ms(now_ms)
        assert deadline_ms is not None
        pauses_ms.append(deadline_ms - now_ms)
        now_ms = deadline_ms
        host.on_claim()
    assert pauses_ms[-1] > 8 * pauses_ms[0]


def test_an_older_record_does_not_replace_a_newer_one() -> None:
    host = sharing()
    host.on_registered(RegisteredReader(OTHER, 9), 0)
    host.on_registered(RegisteredReader(READER, 8), 0)
    assert host.role(0) is ListRole.SERVING


def test_a_displaced_reader_answers_no_more() -> None:
    host = sharing()
    host.on_registered(RegisteredReader(OTHER, 9), 0)
    request = FeedRequest(0, 0, 0)
    assert host.answer(request, list_age_ms=0) is not None
    host.on_registered(RegisteredReader(READER, 10), 0)
    assert host.answer(request, list_age_ms=0) is None
