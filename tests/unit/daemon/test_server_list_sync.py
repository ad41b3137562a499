"""Guards against undetected store outages, stale lists and changes lost between hosts.

In a failure domain one host, the reader, reads the list of servers from the store and sends its
changes, the feed, to the other hosts, its followers.
"""

import asyncio
import random

import pytest

from redwingswitch._internal.daemon import (
    list_reads,
    list_watch,
    reader_following,
    server_list_sync,
    whole_list,
)
from redwingswitch._internal.daemon.list_watch import MAX_WATCH_WAIT_MS
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies import server_directory
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import ListPresence
from redwingswitch._internal.decisions.list_sharing import sharing as sharing_module
from redwingswitch._internal.decisions.list_sharing import store_knowledge
from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    split_routes,
    split_snapshot,
)
from redwingswitch._internal.decisions.list_sharing.list_age import ListAge
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    ListReader,
    Neighbour,
    RegisteredReader,
)
from redwingswitch._internal.models.list_sharing import (
    FeedChange,
    FeedRequest,
    FeedUpdate,
    ListOffer,
    ListSharingRole,
    RoutesDifference,
    RoutesRequest,
    SnapshotRequest,
)
from redwingswitch._internal.models.server_list import (
    NONE_OUT_OF_SERVICE,
    OutOfService,
    ServerChange,
    ServerList,
    ServerListChanges,
    StoredRoutes,
)
from redwingswitch._internal.models.store_revisions import make_revision
from redwingswitch._internal.network.list_messages import (
    decode_list_message,
    encode_list_message,
    encode_routes_difference,
    encode_snapshot,
)
from redwingswitch._internal.utils.clocks import BootClock, MonotonicClock
from tests.lib.cookie_flows import flow_id, opening_packet, route_table, server
from tests.lib.loops import run, wait_until

LISTED_CHANGE = ServerChange("i-1", server("i-1"), is_listed=True)
LIST_AGE_LIMIT_MS = 30
# Longer than any test, so that the reader's list never becomes too old.
AGE_LIMIT_MS = 60_000
LOCAL_READER = ListReader("entry-0", "127.0.0.1", 7720, 5)
PEER_READER = ListReader("entry-1", "127.0.0.3", 7720, 6)
REMOVED_CHANGE = ServerChange("i-1", None, is_listed=False)


class ScriptedStore:
    """A store that returns queued results; a watch waits until one is queued.

    A read without a wait returns ``changes_since`` if no result is queued, and reaches ``revision``
    if that is set, which is also what probes find. ``routes`` are read alone; ``stale_routes`` is
    what a read that may be stale returns instead. ``out_of_service`` is what all reads but the one
    at the start bring, and ``stale_out_of_service`` what that one brings.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.results: asyncio.Queue[ServerListChanges | Exception] = asyncio.Queue()
        self.answers_probes = True
        self.revision = 0
        self.is_down = False
        self.reader = NO_READER
        self.changes_since: tuple[ServerChange, ...] = ()
        self.routes = StoredRoutes(route_table(), 3)
        self.stale_routes: StoredRoutes | None = None
        self.refuses_routes = False
        self.out_of_service: OutOfService | None = None
        self.stale_out_of_service = NONE_OUT_OF_SERVICE
        # Delays the answers to reads of the whole list, if set.
        self.first_list: asyncio.Event | None = None

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        self.calls.append("stale list" if may_be_stale else "all")
        if self.first_list is not None:
            await self.first_list.wait()
        if self.is_down:
            raise StoreUnavailableError("down")
        return ServerList(
            routes=self.routes.routes,
            servers=(LISTED_CHANGE,),
            revision=5,
            reader=self.reader,
            routes_revision=self.routes.revision,
            out_of_service=self._listed_domains(may_be_stale=may_be_stale),
        )

    def _listed_domains(self, *, may_be_stale: bool) -> OutOfService:
        if may_be_stale or self.out_of_service is None:
            return self.stale_out_of_service
        return self.out_of_service

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        self.calls.append("stale routes" if may_be_stale else "routes")
        if self.refuses_routes:
            raise StoreUnavailableError("refused")
        return self.stale_routes or self.routes if may_be_stale else self.routes

    async def read_reader(self) -> RegisteredReader:
        self.calls.append("reader")
        if self.is_down:
            raise StoreUnavailableError("down")
        return self.reader

    async def read_other_readers(self) -> tuple[DomainReader, ...]:
        self.calls.append("other readers")
        return (DomainReader("hobart", RegisteredReader(PEER_READER, 4)),)

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        self.calls.append(f"servers after {after_revision}")
        result = self.results.get_nowait() if self.results.qsize() else None
        if isinstance(result, Exception):
            raise result
        return result or self._changes_since(after_revision)

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        self.calls.append(f"register expected {expected}")
        if expected == self.reader.revision:
            self.reader = RegisteredReader(reader, expected + 6)
        return self.reader

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        self.calls.append(f"after {after_revision} wait {wait_ms}")
        if not wait_ms and not self.results.qsize():
            return self._changes_since(after_revision)
        result = await self.results.get()
        if isinstance(result, Exception):
            raise result
        return result

    async def probe(self, *, known_revision: int) -> int:
        assert known_revision > 0
        self.calls.append("probe")
        if not self.answers_probes:
            raise StoreUnavailableError("no answer")
        return self.revision or known_revision

    def _changes_since(self, revision: int) -> ServerListChanges:
        found = changes(*self.changes_since, revision=self.revision or revision)
        return found._replace(out_of_service=self.out_of_service)

    def close(self) -> None:
        """There is nothing to close."""


def changes(*servers: ServerChange, revision: int) -> ServerListChanges:
    return ServerListChanges(routes=None, servers=servers, revision=revision)


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    for module, name in (
        (server_list_sync, "FOLLOW_CHECK_INTERVAL_MS"),
        (list_watch, "PROBE_INTERVAL_MS"),
        (store_knowledge, "MIN_RETRY_MS"),
        (store_knowledge, "MAX_RETRY_MS"),
        (store_knowledge, "MIN_FOLLOWER_RETRY_MS"),
        (store_knowledge, "MAX_FOLLOWER_RETRY_MS"),
        (whole_list, "COLD_START_WAIT_MS"),
        (list_reads, "READER_RECOVERY_WAIT_MS"),
        (reader_following, "FOLLOW_CHECK_INTERVAL_MS"),
        (reader_following, "ROUTES_ANSWER_TIMEOUT_MS"),
    ):
        monkeypatch.setattr(module, name, 2)


def wait_for_the_reader(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a host wait for an answer of its reader for longer than any test."""
    for module in (reader_following, list_reads, whole_list):
        monkeypatch.setattr(module, "READER_ANSWER_TIMEOUT_MS", 60_000)


class PausableClock:
    """A boot clock that also counts pauses of the host."""

    def __init__(self) -> None:
        self.paused_ms = 0

    def now_ms(self) -> int:
        return BootClock().now_ms() + self.paused_ms


class RunningReader:
    """A ``ServerListSynchronizer`` that runs against a ``ScriptedStore``."""

    def __init__(
        self,
        *,
        local: ListReader | None = None,
        reader: RegisteredReader = NO_READER,
        age_limit_ms: int = AGE_LIMIT_MS,
        link_mbps: float | None = None,
        shares_load: bool = False,
    ) -> None:
        self.shares_load = shares_load
        self.link_mbps = link_mbps
        self.store = ScriptedStore()
        self.store.reader = reader
        self.local = local
        self.age_limit_ms = age_limit_ms
        self.age_clock = PausableClock()
        self.list_changes = 0

    async def __aenter__(self) -> "RunningReader":
        self.steering = CookieSteering(failure_domain="huon", random_source=random.Random(1))
        self.reader = ServerListSynchronizer(
            store=self.store,
            steering=self.steering,
            sharing=ListSharing(
                local_reader=self.local,
                age_limit_ms=self.age_limit_ms,
                random_source=random.Random(1),
                link_mbps=self.link_mbps,
            ),
            clock=MonotonicClock(),
            age_clock=self.age_clock,
            random_source=random.Random(1),
            metrics=SteeringMetrics(),
            list_age_limit_ms=LIST_AGE_LIMIT_MS,
            on_change=self._count_change,
            shares_load=self.shares_load,
        )
        self.task = asyncio.create_task(self.reader.run())
        await wait_until(lambda: len(self.store.calls) > 0)
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _count_change(self) -> None:
        self.list_changes += 1

    def watches(self) -> list[str]:
        return [call for call in self.store.calls if call.startswith("after")]

    def waits_for_changes(self) -> bool:
        watches = self.watches()
        return bool(watches) and not watches[-1].endswith(" 0")


def recorded_reader(*, link_mbps: float | None = None, shares_load: bool = False) -> RunningReader:
    """Return a host that the store records as the reader."""
    return RunningReader(
        local=LOCAL_READER,
        reader=RegisteredReader(LOCAL_READER, 4),
        link_mbps=link_mbps,
        shares_load=shares_load,
    )


def test_a_long_watch_follows_the_first_read() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            await wait_until(lambda: len(running.store.calls) > 2)
            assert running.store.calls[:3] == [
                "stale list",
                "after 5 wait 0",
                f"after 5 wait {MAX_WATCH_WAIT_MS}",
            ]
            assert running.steering.routes is not None

    run(scenario())


def test_an_outage_during_a_watch_is_detected_and_its_end_is_seen_at_once() -> None:
    # A watch that waits for changes does not fail in an outage of 5 s. Unless probes detect it,
    # entries that expire meanwhile are taken for stopped servers, and their flows are reset.
    async def scenario() -> None:
        async with RunningReader() as running:
            running.store.answers_probes = False
            await wait_until(lambda: not running.reader.is_store_reachable)
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=9))
            running.store.answers_probes = True
            await wait_until(lambda: "servers after 5" in running.store.calls)
            await wait_until(lambda: running.reader.is_store_reachable)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.presence(MonotonicClock().now_ms()) is ListPresence.LAPSED

    run(scenario())


def test_an_answer_that_was_held_up_makes_the_list_no_younger(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The path of a reader to the store was cut while the store answered. Its followers trusted a
    # list that was 1.4 s older than its age said (review/13).
    held_up_ms = 700

    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(running.waits_for_changes)
            running.age_clock.paused_ms += held_up_ms
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=9))
            await wait_until(lambda: running.reader.revision == 9)
            assert running.reader.list_age_ms() >= held_up_ms
            # The next watch follows without the usual pause, and a probe beside it.
            await wait_until(lambda: running.watches()[-1].startswith("after 9"))

    monkeypatch.setattr(list_watch, "PROBE_INTERVAL_MS", 60_000)
    run(scenario())


def test_the_full_list_is_read_after_the_store_lost_history() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            running.store.results.put_nowait(StoreHistoryLostError("gone"))
            await wait_until(lambda: running.store.calls.count("all") == 1)
            assert running.reader.is_store_reachable

    run(scenario())


def test_changes_are_followed_from_the_revision_that_they_reached() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            running.store.results.put_nowait(changes(revision=17))
            await wait_until(lambda: any("after 17" in call for call in running.watches()))

    run(scenario())


def update(
    *servers: ServerChange,
    revision: int,
    position: int = 0,
    routes_version: int = 0,
    request_sent_ms: int | None = None,
    later_changes: int = 0,
    outages: int = 0,
    out_of_service: OutOfService = NONE_OUT_OF_SERVICE,
    routes_age_ms: int | None = 0,
    routes_revision: int | None = None,
    list_age_ms: int = 0,
) -> bytes:
    """Return an encoded update from a reader; ``later_changes`` do not fit into it.

    The reader knows the routes up to ``revision`` unless ``routes_revision`` is given.
    """
    changes = tuple(FeedChange(revision, each) for each in servers)
    sent = FeedUpdate(
        feed=PEER_READER.incarnation,
        first_position=position,
        from_revision=0,
        changes=changes,
        end_position=position + len(changes) + later_changes,
        revision=revision,
        outages=outages,
        list_age_ms=list_age_ms,
        request_sent_ms=BootClock().now_ms() if request_sent_ms is None else request_sent_ms,
        routes_version=routes_version,
        out_of_service=out_of_service,
        routes_age_ms=routes_age_ms,
        routes_revision=revision if routes_revision is None else routes_revision,
    )
    return encode_list_message(incarnation=PEER_READER.incarnation, message=sent)


PEER_ADDRESS = (PEER_READER.address, PEER_READER.port)
PEER_RECORD = RegisteredReader(PEER_READER, 4)


def test_a_host_without_a_reader_becomes_the_reader_and_continues_reading() -> None:
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER) as running:
            running.store.results.put_nowait(changes(revision=6))
            for revision in range(7, 200):
                running.store.results.put_nowait(changes(revision=revision))
                if running.reader.role is ListSharingRole.SERVING:
                    break
                await asyncio.sleep(0.01)
            assert "register expected 0" in running.store.calls

    run(scenario())


def following(*, age_limit_ms: int = AGE_LIMIT_MS) -> RunningReader:
    """Return a host whose reader is recorded; it follows once an update has arrived."""
    return RunningReader(local=LOCAL_READER, reader=PEER_RECORD, age_limit_ms=age_limit_ms)


def test_a_follower_makes_no_call_for_the_changes_that_its_reader_sends() -> None:
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            await settle()
            calls = list(running.store.calls)
            running.reader.peers.on_datagram(
                update(REMOVED_CHANGE, revision=10, position=1), PEER_ADDRESS
            )
            await settle()
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None
            assert running.store.calls == calls

    run(scenario())


@pytest.mark.parametrize(
    ("stale", "expected"),
    [
        pytest.param(None, ["stale routes"], id="the cheap read has them"),
        pytest.param(
            StoredRoutes(route_table(), 3), ["stale routes", "routes"], id="the cheap read is stale"
        ),
    ],
)
def test_a_follower_reads_the_routes_that_its_reader_announces(
    stale: StoredRoutes | None, expected: list[str]
) -> None:
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.routes = StoredRoutes(route_table()._replace(version=99), 12)
            running.store.stale_routes = stale
            running.reader.peers.on_datagram(
                update(revision=12, position=1, routes_version=99), PEER_ADDRESS
            )
            await wait_until(lambda: version_in_force(running) == 99)
            await settle()
            assert [call for call in running.store.calls if "routes" in call] == expected

    run(scenario())


def version_in_force(running: RunningReader) -> int | None:
    routes = running.steering.routes
    return None if routes is None else routes.version


async def settle() -> None:
    """Let all tasks run that are due; the intervals of these tests are 2 ms."""
    for _ in range(20):
        await asyncio.sleep(0.002)


@pytest.mark.parametrize(
    ("routes_version", "is_confirmed"),
    [
        pytest.param(1, True, id="the reader knows no newer routes"),
        pytest.param(99, False, id="the reader knows newer routes"),
    ],
)
def test_a_stale_list_is_used_only_after_the_reader_has_confirmed_it(
    routes_version: int, is_confirmed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After a restart, a server that has left or a route that was withdrawn must not be used again.
    async def scenario() -> None:
        async with following() as running:
            assert running.store.calls == ["stale list"]
            assert running.steering.routes is None
            running.store.routes = StoredRoutes(route_table()._replace(version=99), 12)
            running.reader.peers.on_datagram(
                update(REMOVED_CHANGE, revision=9, routes_version=routes_version), PEER_ADDRESS
            )
            assert (running.steering.routes is not None) is is_confirmed
            await wait_until(lambda: running.steering.routes is not None)
            assert version_in_force(running) == (route_table().version if is_confirmed else 99)

    wait_for_the_reader(monkeypatch)
    run(scenario())


def test_a_stale_list_is_completed_from_the_store_when_the_reader_is_silent() -> None:
    async def scenario() -> None:
        running = following()
        running.store.changes_since = (REMOVED_CHANGE,)
        async with running:
            await wait_until(lambda: running.steering.routes is not None)
            assert running.store.calls[:2] == ["stale list", "after 5 wait 0"]
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None

    run(scenario())


def test_a_host_to_which_callers_already_send_does_not_wait_for_a_reader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # After a power loss of all hosts the recorded reader is gone, too. The wait for its answer made
    # requests late.
    async def scenario() -> None:
        running = following()
        running.store.first_list = asyncio.Event()
        async with running:
            running.steering.on_packet(opening_packet(flow_id(50_000)), 0)
            running.store.first_list.set()
            await wait_until(lambda: running.steering.routes is not None)
            assert running.store.calls[:2] == ["stale list", "after 5 wait 0"]

    wait_for_the_reader(monkeypatch)
    run(scenario())


def test_a_host_that_lost_its_reader_reads_in_the_middle_of_a_storm_of_routes() -> None:
    # A follower that had just taken routes did not look at its reader for a third of the age
    # limit, and then read all versions of the routes. It offered flows to a server that had left
    # 5.2 s before.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.changes_since = (REMOVED_CHANGE,)
            await wait_until(lambda: "servers after 9" in running.store.calls)
            await wait_until(lambda: "routes" in running.store.calls)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None

    run(scenario())


def test_a_follower_of_a_silent_reader_finds_its_successor_before_the_list_is_too_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    successor = PEER_READER._replace(address="127.0.0.4", incarnation=8)

    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.reader = RegisteredReader(successor, 20)
            sent = SentDatagrams()
            running.reader.peers.set_sender(sent)
            await wait_until(lambda: any(to == (successor.address, 7720) for _, to in sent.all))
            assert not any("servers" in call for call in running.store.calls)

    monkeypatch.setattr(sharing_module, "READER_SILENCE_LIMIT_MS", 20)
    monkeypatch.setattr(reader_following, "READER_LOOKUP_INTERVAL_MS", 2)
    wait_for_the_reader(monkeypatch)
    run(scenario())


def test_a_follower_that_takes_the_role_of_its_silent_reader_catches_up_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(running.waits_for_changes)
            assert running.reader.role is ListSharingRole.SERVING
            assert "register expected 4" in running.store.calls
            watches = [call for call in running.watches() if call.startswith("after 9")]
            assert watches[:-1] == ["after 9 wait 0"]

    monkeypatch.setattr(sharing_module, "READER_SILENCE_LIMIT_MS", 20)
    monkeypatch.setattr(sharing_module, "FIRST_CLAIM_DELAY_MS", 2)
    run(scenario())


def test_a_host_that_lost_its_reader_leaves_the_feed() -> None:
    # The reader must send again all changes after the revision that the host has, since the host
    # may read some of them from the store meanwhile.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: running.reader.role is ListSharingRole.READING)
            await wait_until(lambda: not running.reader.is_store_reachable)
            asked = running.reader._sharing.build_request(running.age_clock.now_ms())
            assert asked is not None
            assert asked[1].feed == 0

    run(scenario())


def test_a_new_reader_reads_what_its_list_lacks_before_it_is_taken_as_complete() -> None:
    # The answer to its claim says nothing about its list.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER) as running:
            for revision in range(6, 1_000):
                running.store.results.put_nowait(changes(revision=revision))
                if running.reader.role is ListSharingRole.SERVING:
                    break
                await asyncio.sleep(0.01)
            claim = running.store.calls.index("register expected 0")
            await wait_until(lambda: len(running.store.calls) > claim + 1)
            assert running.store.calls[claim + 1].endswith("wait 0")

    run(scenario())


@pytest.mark.parametrize("shares_load", [False, True])
def test_a_new_reader_lists_the_readers_of_other_failure_domains_once(shares_load: bool) -> None:
    # While it followed another reader, it did not see their records change.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, shares_load=shares_load) as running:
            for revision in range(6, 1_000):
                running.store.results.put_nowait(changes(revision=revision))
                if running.reader.role is ListSharingRole.SERVING and running.watches()[-3:]:
                    break
                await asyncio.sleep(0.01)
            claim = running.store.calls.index("register expected 0")
            for revision in range(1_000, 1_004):
                running.store.results.put_nowait(changes(revision=revision))
            await wait_until(lambda: len(running.store.calls) > claim + 6)
            assert running.store.calls.count("other readers") == int(shares_load)
            expected = [PEER_READER] if shares_load else []
            assert running.reader.other_readers.readers() == expected

    run(scenario())


def test_a_response_older_than_the_feed_reverts_nothing() -> None:
    # A host that begins to follow a reader may still get an older response to its own watch. If
    # applied, it makes a live server look stopped, and the flows are reset 20 s later.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=PEER_RECORD) as running:
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=7))
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is None

    run(scenario())


@pytest.mark.parametrize(
    ("link_mbps", "reads_parts"),
    [
        pytest.param(10.0, True, id="narrow link"),
        pytest.param(200.0, False, id="wide link"),
        pytest.param(None, False, id="unknown link"),
    ],
)
def test_a_reader_with_a_narrow_link_reads_no_version_of_the_routes_but_the_newest(
    link_mbps: float | None, reads_parts: bool
) -> None:
    # In a storm of configurations, each read took seconds for all versions, and the reader opened
    # flows to servers that had announced more than 5 s before that they leave.
    async def scenario() -> None:
        record = RegisteredReader(LOCAL_READER, 4)
        async with RunningReader(local=LOCAL_READER, reader=record, link_mbps=link_mbps) as running:
            await wait_until(lambda: running.reader.role is ListSharingRole.SERVING)
            await wait_until(lambda: len(running.watches()) > 1)
            before = len(running.store.calls)
            routes = route_table(version=2)
            running.store.routes = StoredRoutes(route_table(version=5), 13)
            running.store.changes_since = (REMOVED_CHANGE,)
            running.store.results.put_nowait(
                ServerListChanges(routes=routes, servers=(), revision=9, routes_revision=9)
            )
            if not reads_parts:
                await wait_until(lambda: version_in_force(running) == 2)
                await wait_until(lambda: len(running.store.calls) > before)
                assert "routes" not in running.store.calls
                return
            await wait_until(lambda: version_in_force(running) == 5)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None
            # After a read without other routes, it waits for changes again.
            await wait_until(lambda: running.store.calls[-1].startswith("after"))
            assert running.reader.role is ListSharingRole.SERVING
            calls = [call for call in running.store.calls[before:] if call != "probe"]
            parts = ["servers after 9", "routes", "reader"]
            assert calls[: 2 * len(parts)] == 2 * parts

    run(scenario())


@pytest.mark.parametrize("link_mbps", [None, 10.0, 200.0])
@pytest.mark.parametrize("record", [NO_READER, RegisteredReader(LOCAL_READER, 4)])
def test_a_watch_that_does_not_deliver_what_a_probe_found_is_abandoned(
    record: RegisteredReader, link_mbps: float | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Probes were answered while the watch's response was in transfer, or its connection silent. The
    # list counted as fresh, and a failure domain opened flows to servers that had left 9 s before.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=record, link_mbps=link_mbps) as running:
            await wait_until(running.waits_for_changes)
            before = len(running.store.calls)
            # A pause before the next read would make the changes late.
            running.reader._read_interval_ms = 60_000
            running.store.changes_since = (REMOVED_CHANGE,)
            running.store.routes = StoredRoutes(route_table(version=5), 13)
            running.store.revision = 14
            await wait_until(lambda: running.reader.revision == 14)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None
            await wait_until(lambda: version_in_force(running) == 5)
            # The changes of servers come before the routes, which take long on a narrow link.
            reads = [call for call in running.store.calls[before:] if call.startswith("servers")]
            assert reads[0] == "servers after 5"
            assert (running.reader.role is ListSharingRole.SERVING) is (record != NO_READER)
            assert running.reader.is_store_reachable

    # Without a reader's record, the host would claim the role meanwhile.
    monkeypatch.setattr(sharing_module, "FIRST_CLAIM_DELAY_MS", 60_000)
    monkeypatch.setattr(list_watch, "WATCH_LAG_LIMIT_MS", 2)
    run(scenario())


@pytest.mark.parametrize("link_mbps", [None, 10.0, 200.0])
def test_a_reader_whose_read_failed_reads_no_version_of_the_routes_but_the_newest(
    link_mbps: float | None,
) -> None:
    # Versions of large routes exceeded the limit of a response. The reader asked for all of them
    # again and again, and opened flows to servers that had left 11 s before.
    async def scenario() -> None:
        async with recorded_reader(link_mbps=link_mbps) as running:
            await wait_until(running.waits_for_changes)
            before = len(running.store.calls)
            running.store.routes = StoredRoutes(route_table(version=5), 13)
            running.store.changes_since = (REMOVED_CHANGE,)
            running.store.results.put_nowait(StoreUnavailableError("too large"))
            await wait_until(lambda: version_in_force(running) == 5)
            reads = [call for call in running.store.calls[before:] if call != "probe"]
            assert reads[:2] == ["servers after 5", "routes"]
            assert running.reader.role is ListSharingRole.SERVING
            assert running.reader.is_store_reachable

    run(scenario())


@pytest.mark.parametrize(
    ("record", "role"),
    [
        pytest.param(RegisteredReader(PEER_READER, 20), ListSharingRole.READING, id="a successor"),
        # The answer may be from before this host's own claim.
        pytest.param(NO_READER, ListSharingRole.SERVING, id="no record"),
    ],
)
def test_a_reader_that_reads_in_parts_learns_of_other_readers(
    record: RegisteredReader, role: ListSharingRole
) -> None:
    # It does not watch all keys meanwhile.
    async def scenario() -> None:
        async with recorded_reader(shares_load=True) as running:
            await wait_until(running.waits_for_changes)
            assert running.store.calls.count("other readers") == 1
            running.store.reader = record
            before = len(running.store.calls)
            running.store.results.put_nowait(StoreUnavailableError("too large"))
            await wait_until(lambda: "reader" in running.store.calls[before:])
            await settle()
            assert running.reader.role is role
            if role is ListSharingRole.SERVING:
                await wait_until(lambda: running.store.calls.count("other readers") == 2)

    run(scenario())


def test_routes_that_the_store_does_not_have_are_no_longer_waited_for() -> None:
    # A restore may lose the version that a reader announced before it was lost.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.store.refuses_routes = True
            running.reader.peers.on_datagram(update(revision=9, routes_version=99), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            await wait_until(lambda: running.reader.role is ListSharingRole.READING)
            assert running.reader.routes_confirmed_ms() is None
            running.store.refuses_routes = False
            await wait_until(lambda: running.reader.routes_confirmed_ms() is not None)

    run(scenario())


def test_the_store_is_watched_again_after_an_abandoned_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(running.waits_for_changes)
            running.store.revision = 14
            await wait_until(lambda: "after 14" in running.watches()[-1])
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=15))
            running.store.revision = 15
            await wait_until(lambda: "after 15" in running.watches()[-1])
            assert len([call for call in running.store.calls if call.startswith("servers")]) == 1

    monkeypatch.setattr(list_watch, "WATCH_LAG_LIMIT_MS", 2)
    run(scenario())


def test_a_watch_ends_when_the_host_begins_to_follow_a_reader() -> None:
    # Until its end, up to 20 s later, the host would not get routes that the reader announces.
    async def scenario() -> None:
        async with following() as running:
            await wait_until(running.waits_for_changes)
            running.reader.peers.on_datagram(update(revision=9, routes_version=99), PEER_ADDRESS)
            await wait_until(lambda: "stale routes" in running.store.calls)
            assert running.reader.role is ListSharingRole.FOLLOWING

    run(scenario())


@pytest.mark.parametrize(
    ("claim_in_ms", "expected_ms"),
    [
        pytest.param(None, MAX_WATCH_WAIT_MS, id="no claim"),
        pytest.param(300, 300, id="a claim within the wait"),
        pytest.param(60_000, MAX_WATCH_WAIT_MS, id="a claim after the wait"),
        # A watch without a wait would be repeated in a busy loop.
        pytest.param(0, 1, id="a claim that is due"),
        pytest.param(-5, 1, id="a claim that is overdue"),
    ],
)
def test_a_watch_waits_no_longer_than_until_the_next_claim(
    claim_in_ms: int | None, expected_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def claim_deadline_ms(now_ms: int) -> int | None:
        return None if claim_in_ms is None else now_ms + claim_in_ms

    async def scenario() -> None:
        running = RunningReader(local=LOCAL_READER)
        running.store.first_list = asyncio.Event()
        async with running:
            sharing = running.reader._sharing
            monkeypatch.setattr(sharing, "claim_deadline_ms", claim_deadline_ms)
            assert running.reader._watch._watch_wait_ms() == expected_ms

    run(scenario())


def test_a_watch_is_kept_if_the_feed_brings_what_a_probe_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            await wait_until(running.waits_for_changes)
            running.store.revision = 14
            await wait_until(lambda: "probe" in running.store.calls)
            # The answer is too old to follow the reader by it.
            sent_ms = running.age_clock.now_ms() - 1_000
            running.reader.peers.on_datagram(
                update(revision=14, request_sent_ms=sent_ms), PEER_ADDRESS
            )
            assert running.reader.revision == 14
            assert running.reader.role is ListSharingRole.READING
            probes = running.store.calls.count("probe")
            await wait_until(lambda: running.store.calls.count("probe") > probes)
            assert not any(call.startswith("servers") for call in running.store.calls)

    monkeypatch.setattr(sharing_module, "FIRST_CLAIM_DELAY_MS", 60_000)
    monkeypatch.setattr(list_watch, "WATCH_LAG_LIMIT_MS", 300)
    run(scenario())


def test_a_watch_that_delivers_soon_after_a_probe_is_kept() -> None:
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(running.waits_for_changes)
            before = len(running.store.calls)
            running.store.revision = 9
            await wait_until(lambda: "probe" in running.store.calls[before:])
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=9))
            await wait_until(lambda: "after 9" in running.watches()[-1])
            assert not [call for call in running.store.calls if call.startswith("servers")]

    run(scenario())


def test_a_late_watch_that_lacks_what_a_probe_found_does_not_make_the_list_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The response to the watch was under way while the store acknowledged the change that the probe
    # then found. The list counted as up to date without that change until the next watch.
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(running.waits_for_changes)
            running.reader._read_interval_ms = 60_000
            running.store.revision = 14
            before = len(running.store.calls)
            await wait_until(lambda: "probe" in running.store.calls[before:])
            probed_ms = running.age_clock.now_ms()
            running.age_clock.paused_ms += 500
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=9))
            await wait_until(lambda: running.reader.revision == 9)
            confirmed_ms = running.age_clock.now_ms() - running.reader.list_age_ms()
            assert confirmed_ms <= probed_ms

    monkeypatch.setattr(list_watch, "WATCH_LAG_LIMIT_MS", 60_000)
    run(scenario())


class ReaderWithRoutes:
    """A datagram sender that stands for a reader; it answers requests for routes."""

    def __init__(self, *, running: RunningReader, version: int, lost_requests: int = 0) -> None:
        self._running = running
        self._lost_requests = lost_requests
        self._difference = RoutesDifference(
            base_version=route_table().version,
            version=version,
            revision=12,
            idle_limit_ms=0,
            changed=(),
            removed=tuple(route_table().routes)[1:],
        )

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        if isinstance(decode_list_message(data).message, RoutesRequest):
            if self._lost_requests:
                self._lost_requests -= 1
                return True
            for part in split_routes(encode_routes_difference(self._difference), transfer=1):
                answer = encode_list_message(incarnation=PEER_READER.incarnation, message=part)
                loop = asyncio.get_running_loop()
                loop.call_soon(self._running.reader.peers.on_datagram, answer, PEER_ADDRESS)
        return True


@pytest.mark.parametrize(
    ("lost_requests", "expected_calls"),
    [
        pytest.param(0, [], id="the reader answers"),
        pytest.param(1, [], id="the first request is lost"),
        pytest.param(99, ["stale routes"], id="the reader is silent"),
    ],
)
def test_a_changed_configuration_costs_a_follower_no_call(
    lost_requests: int, expected_calls: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # 190 followers made two calls each for a changed configuration.
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: version_in_force(running) is not None)
            running.reader.peers.set_sender(
                ReaderWithRoutes(running=running, version=99, lost_requests=lost_requests)
            )
            running.store.routes = StoredRoutes(route_table()._replace(version=99), 12)
            running.reader.peers.on_datagram(
                update(revision=12, position=1, routes_version=99), PEER_ADDRESS
            )
            await wait_until(lambda: version_in_force(running) == 99)
            routes = running.steering.routes
            assert routes is not None
            if not expected_calls:
                assert list(routes.routes) == list(route_table().routes)[:1]
            await settle()
            assert [call for call in running.store.calls if "routes" in call] == expected_calls

    monkeypatch.setattr(reader_following, "ROUTES_ANSWER_TIMEOUT_MS", 20)
    run(scenario())


@pytest.mark.parametrize(
    ("has_caller", "calls"),
    [
        pytest.param(False, [], id="a reader is found"),
        pytest.param(True, ["after 5 wait 0"], id="a caller's packet comes"),
    ],
)
def test_hosts_that_start_together_wait_for_one_of_them_to_read(
    has_caller: bool, calls: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # A cold start of 195 hosts made 195 reads of full price.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER) as running:
            await wait_until(lambda: "reader" in running.store.calls)
            assert not running.watches()
            running.store.reader = PEER_RECORD
            if has_caller:
                running.steering.on_packet(opening_packet(flow_id(50_000)), 0)
            else:
                await wait_until(lambda: running.store.calls.count("reader") > 1)
                running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.steering.routes is not None)
            assert running.watches()[:1] == calls

    monkeypatch.setattr(whole_list, "COLD_START_WAIT_MS", 60_000)
    # A claim of its own would end the wait, too.
    monkeypatch.setattr(sharing_module, "FIRST_CLAIM_DELAY_MS", 60_000)
    monkeypatch.setattr(reader_following, "READER_LOOKUP_INTERVAL_MS", 2)
    run(scenario())


def test_a_host_that_shares_no_list_waits_for_no_reader(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            await wait_until(lambda: running.steering.routes is not None)
            assert running.store.calls[:2] == ["stale list", "after 5 wait 0"]

    monkeypatch.setattr(whole_list, "COLD_START_WAIT_MS", 60_000)
    run(scenario())


def test_a_reader_whose_record_a_restore_lost_claims_the_role_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Its followers still know it; another reader would make them read the whole list.
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(running.waits_for_changes)
            running.store.reader = NO_READER
            running.store.results.put_nowait(StoreHistoryLostError("restored"))
            await wait_until(lambda: "register expected 0" in running.store.calls)
            assert running.reader.role is ListSharingRole.SERVING

    monkeypatch.setattr(sharing_module, "FIRST_CLAIM_DELAY_MS", 60_000)
    run(scenario())


@pytest.mark.parametrize(
    ("reader_recovers", "calls"),
    [
        pytest.param(True, [], id="the reader recovers first"),
        pytest.param(False, ["servers after 9"], id="the reader stays without the store"),
    ],
)
def test_the_end_of_an_outage_costs_a_follower_no_read_if_its_reader_recovers(
    reader_recovers: bool, calls: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # 85 hosts read servers and routes each when the store was back.
    age_limit_ms = 200

    async def scenario() -> None:
        async with following(age_limit_ms=age_limit_ms) as running:
            peers = running.reader.peers
            peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: running.reader.role is ListSharingRole.READING)
            await wait_until(lambda: not running.reader.is_store_reachable)
            running.store.is_down = False
            answered = running.store.calls.count("reader")
            await wait_until(lambda: running.store.calls.count("reader") > answered)
            if reader_recovers:
                peers.on_datagram(update(revision=9), PEER_ADDRESS)
                await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
                await wait_until(lambda: running.reader.is_store_reachable)
                await settle()
            else:
                await wait_until(lambda: "servers after 9" in running.store.calls)
            assert [call for call in running.store.calls if "servers" in call] == calls

    monkeypatch.setattr(list_reads, "READER_RECOVERY_WAIT_MS", 60_000 if reader_recovers else 50)
    run(scenario())


def test_a_follower_of_a_reader_that_loses_the_store_after_an_outage_reads_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It waited for the reader to reach the store again, as at the end of the outage (review/12).
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            peers = running.reader.peers
            peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: not running.reader.is_store_reachable)

            def is_regained_by_the_feed() -> bool:
                peers.on_datagram(update(revision=9), PEER_ADDRESS)
                return running.reader.is_store_reachable

            await wait_until(is_regained_by_the_feed)
            assert running.reader.role is ListSharingRole.FOLLOWING
            running.store.is_down = False
            # The reader answers, but its list has become too old.
            await wait_until(lambda: running.reader.role is ListSharingRole.READING)
            peers.on_datagram(update(revision=9, list_age_ms=300), PEER_ADDRESS)
            await wait_until(lambda: "servers after 9" in running.store.calls)

    monkeypatch.setattr(list_reads, "READER_RECOVERY_WAIT_MS", 60_000)
    run(scenario())


def test_routes_of_a_restored_store_complete_no_read_of_before() -> None:
    # The store was restored between the two calls of a read in parts. The host took routes of the
    # copy for the newest ones at a revision from before. Found by the state machine of the list.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            restored = make_revision(era=1, number=3)
            running.store.routes = StoredRoutes(route_table(version=7), restored)
            await wait_until(lambda: "routes" in running.store.calls)
            assert version_in_force(running) != 7
            await wait_until(lambda: "all" in running.store.calls)

    run(scenario())


def test_hosts_that_lost_reader_and_store_repeat_only_the_cheapest_call() -> None:
    # In an outage of the store, 227 hosts repeated a call of full price 6 to 7 times each.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            begin = len(running.store.calls)
            await wait_until(lambda: len(running.store.calls) > begin + 5)
            assert set(running.store.calls[begin:]) == {"reader"}
            running.store.is_down = False
            await wait_until(lambda: "servers after 9" in running.store.calls)

    run(scenario())


def test_a_follower_that_gets_routes_from_nobody_repeats_its_calls_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A call that the store refuses costs as much as one that it answers.
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.refuses_routes = True
            running.reader.peers.on_datagram(
                update(revision=12, position=1, routes_version=99), PEER_ADDRESS
            )
            await wait_until(lambda: not running.reader.is_store_reachable)
            await settle()
            assert running.store.calls.count("stale routes") == 1
            assert running.reader.role is ListSharingRole.FOLLOWING

    for name in ("MIN_FOLLOWER_RETRY_MS", "MIN_RETRY_MS"):
        monkeypatch.setattr(store_knowledge, name, 60_000)
    for name in ("MAX_FOLLOWER_RETRY_MS", "MAX_RETRY_MS"):
        monkeypatch.setattr(store_knowledge, name, 60_000)
    run(scenario())


def test_a_host_between_two_parts_of_a_batch_takes_no_neighbours_list() -> None:
    # The neighbour's list reverted the first part, and the second one seemed to complete the batch.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            peers = running.reader.peers
            peers.on_datagram(update(LISTED_CHANGE, revision=5), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: not running.reader.is_store_reachable)
            assert requests_list(running)
            peers.on_datagram(
                update(REMOVED_CHANGE, revision=30, position=1, later_changes=20), PEER_ADDRESS
            )
            assert running.reader.role is ListSharingRole.READING
            assert not requests_list(running)

    run(scenario())


def test_a_host_that_lost_its_reader_reports_the_age_of_the_feed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Logs and metrics showed 24 s, the age of the host's own last read, for a list of 4 s.
    own_read_age_ms = 60_000

    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: running.reader.role is ListSharingRole.READING)
            monkeypatch.setattr(ListAge, "age_ms", lambda *_: own_read_age_ms)
            assert 200 < running.reader.list_age_ms() < own_read_age_ms

    run(scenario())


@pytest.mark.parametrize("outages", [0, 1])
def test_servers_that_lapsed_in_an_outage_get_flows_before_a_batch_is_complete(
    outages: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After an outage the entries of all servers may be missing for 2 s. Their removals come in
    # dozens of updates, and callers waited until the last of them.
    async def scenario() -> None:
        async with following(age_limit_ms=200) as running:
            peers = running.reader.peers
            peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            running.store.is_down = True
            await wait_until(lambda: not running.reader.is_store_reachable)
            monkeypatch.setattr(server_directory, "LAPSED_ENTRY_GRACE_MS", 60_000)
            peers.on_datagram(
                update(REMOVED_CHANGE, revision=30, position=1, later_changes=20, outages=outages),
                PEER_ADDRESS,
            )
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None
            assert known.may_be_offered(MonotonicClock().now_ms())

    # The period after the start is over when the outage begins.
    monkeypatch.setattr(server_directory, "LAPSED_ENTRY_GRACE_MS", 0)
    run(scenario())


PAUSE_MS = 2_500


@pytest.mark.parametrize(
    ("sent_before_resume_ms", "routes_version", "is_outdated"),
    [
        pytest.param(0, 0, False, id="answers a request sent after the pause"),
        pytest.param(PAUSE_MS, 0, True, id="answers a request sent before the pause"),
        pytest.param(0, 99, True, id="announces newer routes"),
    ],
)
def test_a_paused_follower_acts_on_its_list_only_when_its_reader_has_answered_since(
    sent_before_resume_ms: int,
    routes_version: int,
    is_outdated: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It opened flows to servers that had left during the pause, and reset flows whose route or
    # server had been added.
    async def scenario() -> None:
        async with following() as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            assert not running.reader.is_outdated_by_pause()
            running.age_clock.paused_ms = PAUSE_MS
            # Before any timer of the resumed host has run.
            assert running.reader.is_outdated_by_pause()
            sent_ms = running.age_clock.now_ms() - sent_before_resume_ms
            answer = update(revision=9, routes_version=routes_version, request_sent_ms=sent_ms)
            running.reader.peers.on_datagram(answer, PEER_ADDRESS)
            assert running.reader.is_outdated_by_pause() is is_outdated

    monkeypatch.setattr(store_knowledge, "PAUSE_CONFIRMATION_LIMIT_MS", 60_000)
    run(scenario())


def test_a_paused_reader_asks_the_store_before_it_acts_on_its_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(lambda: running.watches()[-1].endswith(str(MAX_WATCH_WAIT_MS)))
            known_changes = running.list_changes
            running.age_clock.paused_ms = PAUSE_MS
            assert running.reader.is_outdated_by_pause()
            await wait_until(lambda: "probe" in running.store.calls)
            await wait_until(lambda: not running.reader.is_outdated_by_pause())
            # The held packets are decided.
            await wait_until(lambda: running.list_changes > known_changes)

    monkeypatch.setattr(list_watch, "PROBE_INTERVAL_MS", 60_000)
    monkeypatch.setattr(store_knowledge, "PAUSE_CONFIRMATION_LIMIT_MS", 60_000)
    run(scenario())


def test_a_paused_host_that_reaches_nobody_serves_by_its_old_list_after_a_while() -> None:
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER) as running:
            await wait_until(lambda: running.steering.routes is not None)
            running.store.answers_probes = False
            running.age_clock.paused_ms = PAUSE_MS
            assert running.reader.is_outdated_by_pause()
            limit_ms = store_knowledge.PAUSE_CONFIRMATION_LIMIT_MS + 1
            running.age_clock.paused_ms += limit_ms
            assert not running.reader.is_outdated_by_pause()

    run(scenario())


SNAPSHOT = ServerList(
    routes=route_table(version=7),
    servers=(ServerChange("i-2", server("i-2"), is_listed=True),),
    revision=8,
    routes_revision=6,
)
OFFER = encode_list_message(incarnation=6, message=ListOffer(8))


def send_snapshot(running: RunningReader) -> None:
    for part in split_snapshot(encode_snapshot(SNAPSHOT), transfer=1):
        data = encode_list_message(incarnation=6, message=part)
        running.reader.peers.on_datagram(data, PEER_ADDRESS)


def requests_list(running: RunningReader) -> bool:
    """Return whether the host asks a neighbour that offers its list."""
    sent = SentDatagrams()
    running.reader.peers.set_sender(sent)
    running.reader.peers.on_datagram(OFFER, PEER_ADDRESS)
    messages = [decode_list_message(data).message for data, _ in sent.all]
    return any(isinstance(message, SnapshotRequest) for message in messages)


@pytest.mark.parametrize(
    ("stale_revision", "expected_servers"),
    [
        pytest.param(5, {"i-2"}, id="an older list"),
        pytest.param(None, {"i-2"}, id="no list"),
    ],
)
def test_a_start_without_the_store_takes_the_list_of_a_neighbour_and_keeps_it(
    stale_revision: int | None, expected_servers: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The late answer of the store to the first read must not bring older servers back.
    async def scenario() -> None:
        running = RunningReader(local=LOCAL_READER)
        running.store.first_list = asyncio.Event()
        async with running:
            await wait_until(lambda: requests_list(running))
            send_snapshot(running)
            assert version_in_force(running) == 7
            if stale_revision is None:
                running.store.is_down = True
            running.store.first_list.set()
            await wait_until(lambda: "reader" in running.store.calls)
            running.store.is_down = False
            await wait_until(lambda: "servers after 8" in running.store.calls)
            known = running.steering.directory.known_servers()
            assert set(known) == expected_servers
            assert version_in_force(running) == 7

    monkeypatch.setattr(store_knowledge, "SNAPSHOT_DELAY_MS", 0)
    run(scenario())


@pytest.mark.parametrize(
    ("has_reader", "is_down", "known_revision", "is_requested"),
    [
        pytest.param(True, True, 5, False, id="follows a reader"),
        pytest.param(False, False, 5, False, id="reads the store"),
        pytest.param(False, True, 5, True, id="knows less than the neighbour"),
        pytest.param(False, True, 9, False, id="knows more than the neighbour"),
    ],
)
def test_a_host_takes_a_neighbours_list_only_if_it_has_no_other_source(
    has_reader: bool, is_down: bool, known_revision: int, is_requested: bool
) -> None:
    async def scenario() -> None:
        async with following() as running:
            await wait_until(lambda: running.steering.routes is not None)
            running.store.results.put_nowait(changes(revision=known_revision))
            await wait_until(lambda: any(f"after {known_revision}" in c for c in running.watches()))
            if has_reader:
                running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
                await wait_until(lambda: running.reader.role is ListSharingRole.FOLLOWING)
            if is_down:
                running.store.is_down = True
                running.store.answers_probes = False
                running.store.results.put_nowait(StoreUnavailableError("down"))
            if is_down and not has_reader:
                await wait_until(lambda: not running.reader.is_store_reachable)
            assert requests_list(running) is is_requested

    run(scenario())


class SentDatagrams:
    """A datagram sender that records what is sent, and to which address."""

    def __init__(self) -> None:
        self.all: list[tuple[bytes, tuple[str, int]]] = []

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        self.all.append((data, address))
        return True


def test_a_reader_forwards_a_server_that_was_removed_and_relisted_between_its_reads() -> None:
    # A server that was removed and listed again between two reads of the reader looks unchanged to
    # it. The reader must forward the server anyway: a follower that read the store in between knows
    # it as removed, and would not learn that it is listed again. Before the reader did so, a
    # follower that missed such a change opened a flow 5.4 s after the server began to drain.
    async def scenario() -> None:
        async with recorded_reader() as running:
            network = SentDatagrams()
            running.reader.peers.set_sender(network)
            # A follower read at revision 7 that the server was removed; this host, the reader,
            # reads at revision 9 that it is listed again.
            running.store.results.put_nowait(changes(LISTED_CHANGE, revision=9))
            await wait_until(lambda: any("after 9" in call for call in running.watches()))
            request = encode_list_message(incarnation=6, message=FeedRequest(0, 0, 7, 1))
            running.reader.peers.on_datagram(request, PEER_ADDRESS)
            answer = decode_list_message(network.all[-1][0]).message
            assert isinstance(answer, FeedUpdate)
            assert [each.change for each in answer.changes] == [LISTED_CHANGE]

    run(scenario())


def test_a_reader_names_its_followers_to_each_other_in_answers_only() -> None:
    # A change goes to all followers at once; choosing a neighbour for each of them took a time that
    # grew as the square of their number.
    async def scenario() -> None:
        async with recorded_reader() as running:
            await wait_until(lambda: running.steering.routes is not None)
            network = SentDatagrams()
            running.reader.peers.set_sender(network)
            request = encode_list_message(incarnation=6, message=FeedRequest(0, 0, 5, 1))
            for address in ("10.0.0.1", "10.0.0.2"):
                running.reader.peers.on_datagram(request, (address, 7720))
            running.reader.peers.notify_followers()
            updates = [decode_list_message(data).message for data, _ in network.all]
            named = [each.neighbour for each in updates if isinstance(each, FeedUpdate)]
            assert named == [None, Neighbour("10.0.0.1", 7720), None, None]

    run(scenario())


@pytest.mark.parametrize(
    "datagram",
    [pytest.param(b"", id="empty"), pytest.param(b"\xff" * 40, id="no message")],
)
def test_a_malformed_datagram_changes_nothing(datagram: bytes) -> None:
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=PEER_RECORD) as running:
            running.reader.peers.on_datagram(datagram, PEER_ADDRESS)
            assert running.reader.role is ListSharingRole.READING

    run(scenario())


def test_a_fault_while_asking_the_reader_is_not_hidden(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with RunningReader() as running:

            def fail() -> None:
                raise ValueError("a fault")

            monkeypatch.setattr(running.reader.peers, "send_due_messages", fail)
            for revision in range(6, 1_000):
                running.store.results.put_nowait(changes(revision=revision))
            with pytest.raises(ValueError, match="a fault"):
                await running.task

    run(scenario())
