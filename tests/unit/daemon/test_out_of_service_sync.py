"""Guards against hosts that miss a request of the operators to empty a failure domain.

Each test goes through one of the ways in which a host learns of the list of servers.
"""

import asyncio

import pytest

from redwingswitch._internal.decisions.list_sharing import store_knowledge
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import DiscardPacket, ResetFlow, Verdict
from redwingswitch._internal.models.list_readers import RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListSharingRole,
    SnapshotPart,
    SnapshotRequest,
)
from redwingswitch._internal.models.server_list import OutOfService, StoredRoutes
from redwingswitch._internal.models.store_revisions import make_revision
from redwingswitch._internal.network.list_messages import (
    decode_list_message,
    decode_snapshot,
    encode_list_message,
)
from tests.lib.cookie_flows import flow_id, opening_packet, route_table
from tests.lib.loops import run, wait_until
from tests.unit.daemon import test_server_list_sync as sync_tests
from tests.unit.daemon.test_server_list_sync import (
    LISTED_CHANGE,
    LOCAL_READER,
    PAUSE_MS,
    PEER_ADDRESS,
    PEER_READER,
    SNAPSHOT,
    RunningReader,
    SentDatagrams,
    _short_intervals,  # noqa: F401
    changes,
    following,
    requests_list,
    send_snapshot,
    settle,
    update,
    version_in_force,
    wait_for_the_reader,
)

SERVING_RECORD = RegisteredReader(LOCAL_READER, 4)
FLOW = flow_id(50_000)


def huon(revision: int) -> OutOfService:
    """Return a set of the failure domain of all servers of these tests."""
    return OutOfService(frozenset({"huon"}), revision)


def none(revision: int) -> OutOfService:
    return OutOfService(frozenset(), revision)


def offers_servers(running: RunningReader) -> bool:
    return bool(running.steering.directory.active_servers("job-board"))


def take_update(running: RunningReader, out_of_service: OutOfService, **fields: int) -> None:
    data = update(out_of_service=out_of_service, **{"revision": 9, **fields})
    running.reader.peers.on_datagram(data, PEER_ADDRESS)


def test_a_watch_takes_a_domain_out_of_service_and_back() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            await wait_until(lambda: offers_servers(running))
            for revision, found in ((9, huon(9)), (10, none(10)), (11, huon(11))):
                result = changes(revision=revision)._replace(out_of_service=found)
                running.store.results.put_nowait(result)
                await wait_until(lambda f=found: offers_servers(running) is not bool(f.domains))
                known = running.steering.directory.get("i-1")
                assert known is not None

    run(scenario())


@pytest.mark.parametrize(
    ("link_mbps", "fault", "call"),
    [
        pytest.param(10.0, None, "servers after", id="reads in parts on a narrow link"),
        pytest.param(None, StoreUnavailableError("down"), "servers after", id="after an outage"),
        pytest.param(None, StoreHistoryLostError("gone"), "all", id="after lost history"),
    ],
)
def test_each_way_of_reading_takes_a_domain_out_of_service(
    link_mbps: float | None, fault: Exception | None, call: str
) -> None:
    async def scenario() -> None:
        async with RunningReader(link_mbps=link_mbps) as running:
            await wait_until(running.waits_for_changes)
            running.store.out_of_service = huon(20)
            routes = StoredRoutes(route_table(version=2), 9)
            running.store.routes = routes
            running.store.results.put_nowait(
                fault or changes(revision=9)._replace(routes=routes.routes, routes_revision=9)
            )
            await wait_until(lambda: not offers_servers(running))
            assert any(each.startswith(call) for each in running.store.calls)

    run(scenario())


@pytest.mark.parametrize("is_down", [False, True])
def test_a_follower_acts_on_what_its_reader_tells_without_the_store(is_down: bool) -> None:
    async def scenario() -> None:
        async with following() as running:
            take_update(running, none(9))
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = is_down
            await settle()
            calls = list(running.store.calls)
            changes_before = running.list_changes
            take_update(running, huon(10), revision=10)
            assert not offers_servers(running)
            # Held packets are decided anew.
            assert running.list_changes > changes_before
            take_update(running, none(11), revision=11)
            assert offers_servers(running)
            assert running.store.calls == calls

    run(scenario())


def test_a_delayed_update_does_not_take_a_domain_back() -> None:
    async def scenario() -> None:
        async with following() as running:
            take_update(running, huon(10), revision=10)
            take_update(running, none(9), revision=9)
            assert not offers_servers(running)

    run(scenario())


def test_a_follower_whose_reader_died_before_it_told_reads_the_set_itself() -> None:
    # The reader has read the request, and its followers have not heard of it.
    async def scenario() -> None:
        async with following(age_limit_ms=60) as running:
            take_update(running, none(9))
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.out_of_service = huon(12)
            await wait_until(lambda: not offers_servers(running))
            assert any(call.startswith("servers after 9") for call in running.store.calls)

    run(scenario())


def test_a_reader_tells_its_followers_a_change_of_the_set_alone_at_once() -> None:
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=SERVING_RECORD) as running:
            await wait_until(running.waits_for_changes)
            network = SentDatagrams()
            running.reader.peers.set_sender(network)
            request = FeedRequest(0, 0, 5, 1)
            data = encode_list_message(incarnation=PEER_READER.incarnation, message=request)
            running.reader.peers.on_datagram(data, PEER_ADDRESS)
            sent = len(network.all)
            running.store.results.put_nowait(changes(revision=9)._replace(out_of_service=huon(9)))
            await wait_until(lambda: len(network.all) > sent)
            message = decode_list_message(network.all[sent][0]).message
            assert isinstance(message, FeedUpdate)
            assert message.out_of_service == huon(9)

    run(scenario())


@pytest.mark.parametrize("is_told_by_reader", [True, False])
@pytest.mark.parametrize("was_out_of_service", [True, False])
def test_a_start_from_a_stale_list_uses_the_confirmed_set(
    is_told_by_reader: bool, was_out_of_service: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The list at the start may be seconds old; the request came, or ended, in between.
    async def scenario() -> None:
        running = following()
        running.store.stale_out_of_service = huon(3) if was_out_of_service else none(3)
        newest = none(9) if was_out_of_service else huon(9)
        running.store.out_of_service = newest
        async with running:
            if is_told_by_reader:
                assert running.steering.routes is None
                take_update(running, newest)
                assert version_in_force(running) is not None
            await wait_until(lambda: running.steering.routes is not None)
            assert offers_servers(running) is was_out_of_service

    if is_told_by_reader:
        wait_for_the_reader(monkeypatch)
    run(scenario())


def test_the_routes_of_a_stale_list_are_never_used_before_the_set() -> None:
    # The update that confirms the list brings the set; the order of both in this host matters.
    async def scenario() -> None:
        async with following() as running:
            running.steering.on_packet(opening_packet(FLOW), 0)
            actions = []
            running.reader._updates._on_change = lambda: actions.extend(
                running.steering.on_list_changed(1)
            )
            take_update(running, huon(9))
            await wait_until(lambda: bool(actions))
            assert [action.verdict for action in actions] == [Verdict.RESET_NO_SERVER]

    run(scenario())


@pytest.mark.parametrize("is_out_of_service", [True, False])
def test_a_host_that_was_paused_meanwhile_opens_flows_by_the_confirmed_set(
    is_out_of_service: bool,
) -> None:
    async def scenario() -> None:
        async with following() as running:
            take_update(running, none(9) if is_out_of_service else huon(9))
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.age_clock.paused_ms = PAUSE_MS
            running.steering.is_list_outdated = running.reader.is_outdated_by_pause()
            packet = opening_packet(FLOW)
            held = running.steering.on_packet(packet, 0)
            assert isinstance(held, DiscardPacket)
            assert held.verdict is Verdict.HELD_OUTDATED_LIST
            newest = huon(10) if is_out_of_service else none(10)
            now_ms = running.age_clock.now_ms()
            take_update(running, newest, revision=10, request_sent_ms=now_ms)
            running.steering.is_list_outdated = running.reader.is_outdated_by_pause()
            (action,) = running.steering.on_list_changed(1)
            assert isinstance(action, ResetFlow) is is_out_of_service

    run(scenario())


def test_a_host_without_store_and_reader_takes_the_set_of_a_neighbour(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        running = RunningReader(local=LOCAL_READER)
        running.store.first_list = asyncio.Event()
        async with running:
            await wait_until(lambda: requests_list(running))
            monkeypatch.setattr(sync_tests, "SNAPSHOT", SNAPSHOT._replace(out_of_service=huon(8)))
            send_snapshot(running)
            assert version_in_force(running) == SNAPSHOT.routes.version
            assert not offers_servers(running)

    monkeypatch.setattr(store_knowledge, "SNAPSHOT_DELAY_MS", 0)
    run(scenario())


def test_a_host_passes_the_set_on_to_a_neighbour_that_starts() -> None:
    async def scenario() -> None:
        async with following() as running:
            take_update(running, huon(9))
            network = SentDatagrams()
            running.reader.peers.set_sender(network)
            request = encode_list_message(incarnation=6, message=SnapshotRequest(9))
            running.reader.peers.on_datagram(request, PEER_ADDRESS)
            messages = [decode_list_message(data).message for data, _ in network.all]
            parts = [each.data for each in messages if isinstance(each, SnapshotPart)]
            assert decode_snapshot(b"".join(parts)).out_of_service == huon(9)

    run(scenario())


def test_a_host_that_gets_no_newer_list_keeps_to_the_set_of_its_stale_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        running = following()
        running.store.stale_out_of_service = huon(3)
        async with running:
            await wait_until(lambda: running.reader.revision == 5)
            assert running.steering.directory.get("i-1") is not None
            assert not offers_servers(running)

    wait_for_the_reader(monkeypatch)
    run(scenario())


def test_a_host_that_heard_of_the_request_keeps_to_it_while_it_is_cut_off() -> None:
    async def scenario() -> None:
        async with following(age_limit_ms=60) as running:
            take_update(running, huon(9))
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            running.store.answers_probes = False
            await wait_until(lambda: not running.reader.is_store_reachable)
            assert not offers_servers(running)

    run(scenario())


def test_the_set_of_a_restored_store_replaces_the_one_of_higher_numbers() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            await wait_until(running.waits_for_changes)
            running.store.results.put_nowait(
                changes(LISTED_CHANGE, revision=900)._replace(out_of_service=huon(900))
            )
            await wait_until(lambda: not offers_servers(running))
            running.store.out_of_service = none(make_revision(era=1, number=6))
            running.store.results.put_nowait(StoreHistoryLostError("restored"))
            await wait_until(lambda: offers_servers(running))

    run(scenario())
