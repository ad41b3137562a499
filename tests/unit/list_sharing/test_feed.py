"""Guards against a followed list that misses or reverts a change, or is older than the limit."""

import random
from collections.abc import Callable

import pytest

from redwingswitch._internal.decisions.list_sharing.feed import (
    MAX_CHANGES_PER_UPDATE,
    MAX_RETAINED_CHANGES,
    ListFeed,
)
from redwingswitch._internal.decisions.list_sharing.follower import FeedFollower
from redwingswitch._internal.decisions.list_sharing.sharing import (
    MIN_READER_LINK_MBPS,
    NARROW_LINK_CLAIM_DELAY_MS,
    READER_SILENCE_LIMIT_MS,
    ListSharing,
)
from redwingswitch._internal.models.list_readers import NO_READER, ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListSharingRole,
    NewestRoutes,
)
from redwingswitch._internal.models.server_list import ServerChange
from tests.lib.cookie_flows import route_table

AGE_LIMIT_MS = 2_000
READER = ListReader("entry-1", "10.0.0.1", 7720, 11)
RESTARTED = READER._replace(incarnation=12)
OTHER = ListReader("entry-2", "10.0.0.2", 7720, 21)


def change(number: int) -> ServerChange:
    return ServerChange(f"i-{number}", None, is_listed=False)


def make_feed(*revisions: int, begin: int = 10, incarnation: int = READER.incarnation) -> ListFeed:
    """Return a feed with one change per revision; each change has the number of its revision."""
    made = ListFeed(incarnation=incarnation)
    made.begin(begin)
    for revision in revisions:
        made.append([change(revision)], revision)
    return made


def make_follower(revision: int = 10, reader: ListReader = READER) -> FeedFollower:
    made = FeedFollower(age_limit_ms=AGE_LIMIT_MS)
    made.on_store_read(revision)
    made.set_reader(reader)
    return made


def answer(
    source: ListFeed,
    target: FeedFollower,
    *,
    now_ms: int = 0,
    list_age_ms: int = 0,
    routes_version: int = 0,
) -> FeedUpdate:
    """Return the answer of a reader to a follower's request of now."""
    return source.build_update(
        target.build_request(now_ms), list_age_ms=list_age_ms, routes_version=routes_version
    )


def exchange_until_complete(
    source: ListFeed, target: FeedFollower, *, now_ms: int = 0
) -> list[str]:
    """Exchange requests and updates until there is no gap; return the ids of the changes."""
    found: list[str] = []
    for _ in range(100):
        taken = target.on_update(answer(source, target, now_ms=now_ms), now_ms)
        found += [each.server_id for each in taken.changes]
        if not taken.has_gap:
            return found
    raise AssertionError("the exchange does not end")


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        pytest.param(10, ["i-11", "i-12", "i-15"], id="at the start of the feed"),
        pytest.param(12, ["i-15"], id="between two changes"),
        pytest.param(15, [], id="up to date"),
        pytest.param(99, [], id="newer than the reader"),
    ],
)
def test_a_follower_gets_exactly_what_it_lacks(known: int, expected: list[str]) -> None:
    target = make_follower(known)
    assert exchange_until_complete(make_feed(11, 12, 15), target) == expected
    assert target.is_following(0)
    assert target.revision == max(known, 15)


def test_a_feed_that_begins_later_than_the_follower_knows_is_not_followed() -> None:
    target = make_follower(9)
    assert exchange_until_complete(make_feed(11), target) == []
    assert not target.is_following(0)
    # The reader still answers with a fresh list, so the host does not claim its role.
    assert target.has_fresh_reader(0)
    target.on_store_read(11)
    assert exchange_until_complete(make_feed(11), target) == []
    assert target.is_following(0)


def test_changes_beyond_one_datagram_are_asked_for() -> None:
    revisions = range(11, 11 + 3 * MAX_CHANGES_PER_UPDATE)
    assert len(exchange_until_complete(make_feed(*revisions), make_follower())) == len(revisions)


def test_a_batch_that_was_taken_in_part_is_not_counted_as_known() -> None:
    source = ListFeed(incarnation=READER.incarnation)
    source.begin(10)
    source.append([change(n) for n in range(2 * MAX_CHANGES_PER_UPDATE)], 11)
    target = make_follower()
    taken = target.on_update(answer(source, target), 0)
    assert taken.has_gap
    assert not target.is_following(0)
    assert target.revision == 10


def test_a_reader_that_regained_its_role_does_not_hide_changes_it_missed() -> None:
    source, target = make_feed(11), make_follower()
    exchange_until_complete(source, target)
    # Another host was the reader in between, so the change at revision 12 is not in the feed.
    source.begin(13)
    assert exchange_until_complete(source, target) == []
    assert not target.is_following(0)
    target.on_store_read(13)
    exchange_until_complete(source, target)
    assert target.is_following(0)


def test_a_lost_update_leaves_a_gap_that_the_next_one_shows() -> None:
    source, target = make_feed(11), make_follower()
    exchange_until_complete(source, target)
    source.append([change(12)], 12)
    lost = answer(source, target)
    source.append([change(13)], 13)
    following = FeedRequest(lost.feed, lost.first_position + len(lost.changes), lost.revision, 0)
    pushed = source.build_update(following, list_age_ms=0, routes_version=0)
    assert target.on_update(pushed, 0).has_gap
    assert not target.is_following(0)
    assert exchange_until_complete(source, target) == ["i-12", "i-13"]


def test_changes_that_the_reader_no_longer_keeps_are_read_from_the_store() -> None:
    source, target = make_feed(11), make_follower()
    exchange_until_complete(source, target)
    for revision in range(12, 12 + MAX_RETAINED_CHANGES + 1):
        source.append([change(revision)], revision)
    assert exchange_until_complete(source, target) == []
    assert not target.is_following(0)


def test_a_reader_behind_its_follower_reverts_nothing() -> None:
    source, target = make_feed(11), make_follower(20)
    exchange_until_complete(source, target)
    source.append([change(18)], 18)
    assert exchange_until_complete(source, target) == []
    source.append([change(25)], 25)
    assert exchange_until_complete(source, target) == ["i-25"]


@pytest.mark.parametrize(
    ("reader", "incarnation"),
    [
        pytest.param(READER, RESTARTED.incarnation, id="a restarted reader"),
        pytest.param(OTHER, READER.incarnation, id="a former reader"),
    ],
)
def test_updates_of_other_readers_are_ignored(reader: ListReader, incarnation: int) -> None:
    target = make_follower(reader=reader)
    assert exchange_until_complete(make_feed(11, incarnation=incarnation), target) == []
    assert not target.has_fresh_reader(0)


def test_a_read_between_the_parts_of_a_batch_brings_the_whole_batch_again() -> None:
    source = ListFeed(incarnation=READER.incarnation)
    source.begin(10)
    source.append([change(n) for n in range(2 * MAX_CHANGES_PER_UPDATE)], 30)
    target = make_follower()
    assert target.on_update(answer(source, target), 0).has_gap
    # This store response may contain older states of the changes that were already applied.
    target.on_store_read(20)
    assert len(exchange_until_complete(source, target)) == 2 * MAX_CHANGES_PER_UPDATE


def test_a_part_under_way_is_not_joined_after_a_read_that_reverted_the_parts_before_it() -> None:
    # A host took a neighbour's list between the parts of a batch. The remaining parts then seemed
    # to complete it, servers that had registered again stayed missing for 30 s, and their flows
    # were reset.
    source, target = make_feed(), make_follower(10)
    numbers = range(100, 100 + 2 * MAX_CHANGES_PER_UPDATE)
    source.append([change(number) for number in numbers], 50)
    target.on_update(answer(source, target), 0)
    under_way = answer(source, target)
    target.on_store_read(20)
    taken = target.on_update(under_way, 0)
    assert (taken.changes, target.revision) == ((), 20)
    assert not target.is_following(0)
    assert exchange_until_complete(source, target) == [f"i-{number}" for number in numbers]


@pytest.mark.parametrize(
    ("revision", "expected"),
    [
        pytest.param(49, False, id="may lack the changes before the update"),
        pytest.param(50, True, id="has the changes before the update"),
    ],
)
def test_an_update_in_the_middle_of_a_feed_is_joined_only_with_all_changes_before_it(
    revision: int, expected: bool
) -> None:
    source = make_feed()
    source.append([change(number) for number in range(2 * MAX_CHANGES_PER_UPDATE)], 50)
    request = FeedRequest(READER.incarnation, source_position := 7, revision=10, sent_ms=0)
    update = source.build_update(request, list_age_ms=0, routes_version=0)
    assert update.first_position == source_position
    target = make_follower(revision)
    target.on_update(update, 0)
    assert target.is_following(0) is expected


def test_an_outage_of_the_store_is_reported_once() -> None:
    source, target = make_feed(11), make_follower()
    exchange_until_complete(source, target)
    source.note_outage()
    source.append([change(12)], 12)
    first = target.on_update(answer(source, target), 0)
    assert first.after_outage
    assert first.changes
    assert not target.on_update(answer(source, target), 0).after_outage


@pytest.mark.parametrize(
    ("list_age_ms", "silent_ms", "expected"),
    [
        pytest.param(0, AGE_LIMIT_MS, True, id="silent up to the limit"),
        pytest.param(0, AGE_LIMIT_MS + 1, False, id="silent for too long"),
        pytest.param(AGE_LIMIT_MS, 1, False, id="the reader's own list is old"),
        pytest.param(AGE_LIMIT_MS // 2, AGE_LIMIT_MS // 2, True, id="half of the limit each"),
        pytest.param(AGE_LIMIT_MS // 2, AGE_LIMIT_MS, False, id="sum above the limit"),
    ],
)
def test_a_list_is_followed_while_it_is_fresh(
    list_age_ms: int, silent_ms: int, expected: bool
) -> None:
    source, target = make_feed(11), make_follower()
    target.on_update(answer(source, target, list_age_ms=list_age_ms), 0)
    assert target.is_following(silent_ms) is expected


@pytest.mark.parametrize(
    ("delay_ms", "expected"),
    [
        pytest.param(AGE_LIMIT_MS, True, id="delayed up to the limit"),
        pytest.param(AGE_LIMIT_MS + 1, False, id="delayed for too long"),
    ],
)
def test_an_update_that_was_delayed_on_the_way_is_as_old_as_its_request(
    delay_ms: int, expected: bool
) -> None:
    # A host that was paused finds updates in its socket that the reader sent before the pause.
    source, target = make_feed(11), make_follower()
    update = answer(source, target)
    target.on_update(update, delay_ms)
    assert target.is_following(delay_ms) is expected


def test_an_update_cannot_be_newer_than_now() -> None:
    source, target = make_feed(11), make_follower()
    target.on_update(answer(source, target)._replace(request_sent_ms=10**9), 0)
    assert not target.is_following(AGE_LIMIT_MS + 1)


def test_an_update_with_a_gap_does_not_make_the_list_younger() -> None:
    source, target = make_feed(11), make_follower()
    exchange_until_complete(source, target)
    delayed = answer(source, target)
    source.begin(13)
    assert not target.on_update(answer(source, target, now_ms=1_500), 1_500).is_fresh
    # The older update ends where this host stands, but the feed has continued.
    target.on_update(delayed, 1_500)
    assert not target.is_following(AGE_LIMIT_MS + 1)


def make_sharing(local: ListReader | None = OTHER) -> ListSharing:
    return ListSharing(
        local_reader=local, age_limit_ms=AGE_LIMIT_MS, random_source=random.Random(1)
    )


@pytest.mark.parametrize(
    ("local", "registered", "expected"),
    [
        pytest.param(OTHER, NO_READER, True, id="no reader"),
        pytest.param(OTHER, RegisteredReader(READER, 5), True, id="the reader is silent"),
        pytest.param(OTHER, RegisteredReader(None, 5), True, id="the record is unreadable"),
        pytest.param(OTHER, RegisteredReader(OTHER, 5), False, id="this host is the reader"),
        pytest.param(None, NO_READER, False, id="this host does not share the list"),
    ],
)
def test_the_reader_role_is_claimed_without_a_fresh_reader(
    local: ListReader | None, registered: RegisteredReader, expected: bool
) -> None:
    host = make_sharing(local)
    host.on_reader_registered(registered, 0)
    host.on_changes_read([], 10, 0)
    assert (host.claim_deadline_ms(0) is not None) is expected


def test_a_host_with_a_fresh_reader_does_not_claim() -> None:
    host = make_sharing()
    host.on_changes_read([], 10, 0)
    host.on_reader_registered(RegisteredReader(READER, 5), 0)
    assert host.claim_deadline_ms(0) is not None
    asked = host.build_request(0)
    assert asked is not None
    host.on_update(make_feed(11).build_update(asked[1], list_age_ms=0, routes_version=0), 0)
    assert host.claim_deadline_ms(0) is None
    assert host.role(0) is ListSharingRole.FOLLOWING


@pytest.mark.parametrize(
    ("link_mbps", "expected"),
    [
        pytest.param(None, False, id="unknown"),
        pytest.param(MIN_READER_LINK_MBPS, False, id="wide"),
        pytest.param(MIN_READER_LINK_MBPS - 1, True, id="narrow"),
    ],
)
def test_hosts_with_narrow_links_delay_their_claim(link_mbps: float | None, expected: bool) -> None:
    # With 300 hosts the reader was measured to send 728 KB/s, more than a link of 5 Mbit/s carries.
    host = ListSharing(
        local_reader=OTHER,
        age_limit_ms=AGE_LIMIT_MS,
        random_source=random.Random(1),
        link_mbps=link_mbps,
    )
    host.on_changes_read([], 10, 0)
    deadline_ms = host.claim_deadline_ms(0)
    assert deadline_ms is not None
    assert (deadline_ms > NARROW_LINK_CLAIM_DELAY_MS) is expected


def followed_sharing(now_ms: int = 0) -> ListSharing:
    """Return a host that follows a reader."""
    host = make_sharing()
    host.on_changes_read([], 10, now_ms)
    host.on_reader_registered(RegisteredReader(READER, 5), now_ms)
    update_from(make_feed(), host, now_ms)
    assert host.role(now_ms) is ListSharingRole.FOLLOWING
    return host


def update_from(source: ListFeed, host: ListSharing, now_ms: int, routes_version: int = 0) -> None:
    asked = host.build_request(now_ms)
    assert asked is not None
    update = source.build_update(asked[1], list_age_ms=0, routes_version=routes_version)
    host.on_update(update, now_ms)


@pytest.mark.parametrize(
    ("silent_ms", "expected"),
    [
        pytest.param(READER_SILENCE_LIMIT_MS, False, id="one lost answer"),
        pytest.param(READER_SILENCE_LIMIT_MS + 1, True, id="several lost answers"),
    ],
)
def test_the_role_of_a_silent_reader_is_claimed_before_its_list_is_too_old(
    silent_ms: int, expected: bool
) -> None:
    # Otherwise all hosts of the failure domain read the store for themselves when the list is too
    # old.
    host = followed_sharing()
    assert host.is_reader_silent(silent_ms) is expected
    host.on_reader_silent(silent_ms)
    assert host.role(silent_ms) is ListSharingRole.FOLLOWING
    assert (host.claim_deadline_ms(silent_ms) is not None) is expected


def test_announced_routes_are_needed_until_they_have_been_read() -> None:
    host = followed_sharing()
    host.on_routes_read(route_table(version=10), up_to_revision=None)
    update_from(make_feed(), host, 0, routes_version=12)
    assert host.needs_routes
    host.on_routes_read(route_table(version=11), up_to_revision=None)
    assert host.needs_routes
    host.on_routes_read(None, up_to_revision=None)
    assert host.needs_routes
    host.on_routes_read(route_table(version=12), up_to_revision=None)
    assert not host.needs_routes


@pytest.mark.parametrize(
    ("up_to_revision", "expected"),
    [
        pytest.param(20, False, id="the store does not have them"),
        pytest.param(19, True, id="announced while the read was under way"),
        pytest.param(None, True, id="read that may be stale"),
    ],
)
def test_announced_routes_are_waited_for_until_a_later_read_does_not_find_them(
    up_to_revision: int | None, expected: bool
) -> None:
    host = followed_sharing()
    announced = NewestRoutes(version=10**9, revision=20, as_of_ms=None)
    asked = host.build_request(0)
    assert asked is not None
    update = make_feed().build_update(asked[1], list_age_ms=0, routes_version=announced.version)
    host.on_update(update._replace(routes_revision=announced.revision), 0)
    host.on_routes_read(route_table(version=11), up_to_revision=up_to_revision)
    assert host.needs_routes is expected


@pytest.mark.parametrize(
    ("step", "expected"),
    [
        pytest.param(lambda host: None, 10, id="announced routes are missing"),
        pytest.param(
            lambda host: host.on_routes_read(route_table(version=12), up_to_revision=None),
            20,
            id="announced routes are received",
        ),
        pytest.param(
            lambda host: host.on_servers_read([], 30, 0), 10, id="servers read without routes"
        ),
        pytest.param(
            lambda host: host.on_changes_read([], 30, 0, routes=route_table(version=12)),
            30,
            id="all changes read",
        ),
    ],
)
def test_the_revision_of_the_list_is_that_of_its_oldest_part(
    step: Callable[[ListSharing], None], expected: int
) -> None:
    # Guards against review/6: a host that follows, takes the role and reads what comes after.
    host = followed_sharing()
    asked = host.build_request(0)
    assert asked is not None
    feed = make_feed()
    feed.append([], 20)
    update = feed.build_update(asked[1], list_age_ms=0, routes_version=12, routes_revision=20)
    host.on_update(update, 0)
    assert (host.servers_revision, host.needs_routes) == (20, True)
    step(host)
    assert host.revision == expected
    host.on_reader_registered(RegisteredReader(host.local_reader, 21), 0, is_newest=True)
    assert (host.is_reader, host.revision) == (True, expected)


def test_a_new_reader_serves_hosts_that_read_the_list_at_the_same_time() -> None:
    # Otherwise, each of them reads the store once more when all hosts start together.
    reader, other = make_sharing(READER), make_sharing()
    for host, revision in ((reader, 10), (other, 11)):
        host.on_list_read(revision, 0)
    reader.on_changes_read([change(12)], 14, 0)
    for host in (reader, other):
        host.on_reader_registered(RegisteredReader(READER, 13), 0)
    asked = other.build_request(0)
    assert asked is not None
    update = reader.build_update(asked[1], list_age_ms=0)
    assert update is not None
    assert [each.server_id for each in other.on_update(update, 0).changes] == ["i-12"]
    assert other.role(0) is ListSharingRole.FOLLOWING


def test_a_follower_that_becomes_the_reader_does_not_hide_changes_it_received() -> None:
    reader, other = followed_sharing(), make_sharing(READER)
    # The feed of the former reader had a change that is not in this host's own feed.
    update_from(make_feed(11, 12), reader, 0)
    reader.on_reader_registered(RegisteredReader(OTHER, 13), 0)
    other.on_list_read(10, 0)
    other.on_reader_registered(RegisteredReader(OTHER, 13), 0)
    asked = other.build_request(0)
    assert asked is not None
    update = reader.build_update(asked[1], list_age_ms=0)
    assert update is not None
    other.on_update(update, 0)
    assert other.role(0) is ListSharingRole.READING


def test_repeated_claims_back_off() -> None:
    host = make_sharing()
    now_ms = 0
    pauses_ms = []
    for revision in range(10, 18):
        host.on_changes_read([], revision, now_ms)
        deadline_ms = host.claim_deadline_ms(now_ms)
        assert deadline_ms is not None
        pauses_ms.append(deadline_ms - now_ms)
        now_ms = deadline_ms
        host.on_claim_attempt()
    assert pauses_ms[-1] > 8 * pauses_ms[0]


def test_an_older_record_does_not_replace_a_newer_one() -> None:
    host = make_sharing()
    host.on_reader_registered(RegisteredReader(OTHER, 9), 0)
    host.on_reader_registered(RegisteredReader(READER, 8), 0)
    assert host.role(0) is ListSharingRole.SERVING


def test_a_replaced_reader_no_longer_answers() -> None:
    host = make_sharing()
    host.on_reader_registered(RegisteredReader(OTHER, 9), 0)
    request = FeedRequest(0, 0, 0, 0)
    assert host.build_update(request, list_age_ms=0) is not None
    host.on_reader_registered(RegisteredReader(READER, 10), 0)
    assert host.build_update(request, list_age_ms=0) is None
