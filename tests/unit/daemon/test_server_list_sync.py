"""Guards against undetected store outages, stale lists and changes lost between hosts.

In a failure domain one host, the reader, reads the list of servers from the store and sends its
changes, the feed, to the other hosts, its followers.
"""

import asyncio
import random

import pytest

from redwingswitch._internal.daemon import server_list_sync
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.server_directory import ListPresence
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import NO_READER, ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedChange,
    FeedRequest,
    FeedUpdate,
    ListSharingRole,
)
from redwingswitch._internal.models.server_list import (
    RoutesChange,
    ServerChange,
    ServerList,
    ServerListChanges,
)
from redwingswitch._internal.network.list_messages import (
    decode_list_message,
    encode_list_message,
)
from redwingswitch._internal.utils.clocks import BootClock, MonotonicClock
from tests.lib.cookie_flows import route_table, server
from tests.lib.loops import run, wait_until

LISTED_CHANGE = ServerChange("i-1", server("i-1"), is_listed=True)
LIST_AGE_LIMIT_MS = 30
# Longer than any test, so that the reader's list never becomes too old.
AGE_LIMIT_MS = 60_000
LOCAL_READER = ListReader("entry-0", "127.0.0.1", 7720, 5)
PEER_READER = ListReader("entry-1", "127.0.0.3", 7720, 6)
REMOVED_CHANGE = ServerChange("i-1", None, is_listed=False)


class ScriptedStore:
    """A store that returns queued results; a watch waits until one is queued."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.results: asyncio.Queue[ServerListChanges | Exception] = asyncio.Queue()
        self.answers_probes = True
        self.reader = NO_READER

    async def read_all(self) -> ServerList:
        self.calls.append("all")
        return ServerList(
            routes=route_table(), servers=(LISTED_CHANGE,), revision=5, reader=self.reader
        )

    async def read_routes(self, *, after_revision: int, wait_ms: int) -> RoutesChange:
        self.calls.append(f"routes after {after_revision} wait {wait_ms}")
        if wait_ms:
            await asyncio.Event().wait()
        return RoutesChange(routes=None, revision=after_revision)

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        self.calls.append(f"register expected {expected}")
        if expected == self.reader.revision:
            self.reader = RegisteredReader(reader, expected + 6)
        return self.reader

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        self.calls.append(f"after {after_revision} wait {wait_ms}")
        result = await self.results.get()
        if isinstance(result, Exception):
            raise result
        return result

    async def probe(self) -> None:
        self.calls.append("probe")
        if not self.answers_probes:
            raise StoreUnavailableError("no answer")

    def close(self) -> None:
        """There is nothing to close."""


def changes(*servers: ServerChange, revision: int) -> ServerListChanges:
    return ServerListChanges(routes=None, servers=servers, revision=revision)


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FOLLOW_CHECK_INTERVAL_MS", "PROBE_INTERVAL_MS", "MIN_RETRY_MS", "MAX_RETRY_MS"):
        monkeypatch.setattr(server_list_sync, name, 2)


class RunningReader:
    """A ``ServerListSynchronizer`` that runs against a ``ScriptedStore``."""

    def __init__(
        self,
        *,
        local: ListReader | None = None,
        reader: RegisteredReader = NO_READER,
        age_limit_ms: int = AGE_LIMIT_MS,
    ) -> None:
        self.store = ScriptedStore()
        self.store.reader = reader
        self.local = local
        self.age_limit_ms = age_limit_ms

    async def __aenter__(self) -> "RunningReader":
        self.steering = CookieSteering(failure_domain="huon", random_source=random.Random(1))
        self.reader = ServerListSynchronizer(
            store=self.store,
            steering=self.steering,
            sharing=ListSharing(
                local_reader=self.local,
                age_limit_ms=self.age_limit_ms,
                random_source=random.Random(1),
            ),
            clock=MonotonicClock(),
            age_clock=BootClock(),
            random_source=random.Random(1),
            metrics=SteeringMetrics(),
            list_age_limit_ms=LIST_AGE_LIMIT_MS,
            on_change=lambda: None,
        )
        self.task = asyncio.create_task(self.reader.run())
        await wait_until(lambda: len(self.store.calls) > 1)
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def watches(self) -> list[str]:
        return [call for call in self.store.calls if call.startswith("after")]


def test_a_long_watch_follows_the_first_read() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            assert running.store.calls[:2] == [
                "all",
                f"after 5 wait {server_list_sync.MAX_WATCH_WAIT_MS}",
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
            await wait_until(lambda: running.watches()[-1] == "after 5 wait 0")
            running.store.answers_probes = True
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=9))
            await wait_until(lambda: running.reader.is_store_reachable)
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.presence(MonotonicClock().now_ms()) is ListPresence.LAPSED

    run(scenario())


def test_the_full_list_is_read_after_the_store_lost_history() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            running.store.results.put_nowait(StoreHistoryLostError("gone"))
            await wait_until(lambda: running.store.calls.count("all") == 2)
            assert running.reader.is_store_reachable

    run(scenario())


def test_changes_are_followed_from_the_revision_that_they_reached() -> None:
    async def scenario() -> None:
        async with RunningReader() as running:
            running.store.results.put_nowait(changes(revision=17))
            await wait_until(lambda: any("after 17" in call for call in running.watches()))

    run(scenario())


def update(*servers: ServerChange, revision: int, position: int = 0) -> bytes:
    """Return an encoded update from a reader."""
    changes = tuple(FeedChange(revision, each) for each in servers)
    sent = FeedUpdate(
        feed=PEER_READER.incarnation,
        first_position=position,
        from_revision=0,
        changes=changes,
        end_position=position + len(changes),
        revision=revision,
        outages=0,
        list_age_ms=0,
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


def test_a_follower_watches_only_the_routes_and_takes_changes_from_its_reader() -> None:
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=PEER_RECORD) as running:
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: any(c.startswith("routes") for c in running.store.calls))
            running.reader.peers.on_datagram(
                update(REMOVED_CHANGE, revision=10, position=1), PEER_ADDRESS
            )
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is not None

    run(scenario())


def test_a_response_older_than_the_feed_reverts_nothing() -> None:
    # A host that begins to follow a reader may still get an older response to its own watch. If
    # applied, it makes a live server look stopped, and the flows are reset 20 s later.
    async def scenario() -> None:
        async with RunningReader(local=LOCAL_READER, reader=PEER_RECORD) as running:
            running.store.results.put_nowait(changes(REMOVED_CHANGE, revision=7))
            running.reader.peers.on_datagram(update(LISTED_CHANGE, revision=9), PEER_ADDRESS)
            await wait_until(lambda: any(c.startswith("routes") for c in running.store.calls))
            known = running.steering.directory.get("i-1")
            assert known is not None
            assert known.absent_since_ms is None

    run(scenario())


def test_a_follower_of_a_silent_reader_reads_the_missed_changes_at_once() -> None:
    async def scenario() -> None:
        async with RunningReader(
            local=LOCAL_READER, reader=PEER_RECORD, age_limit_ms=200
        ) as running:
            running.reader.peers.on_datagram(update(revision=9), PEER_ADDRESS)
            await wait_until(lambda: running.store.calls[-1] == "after 9 wait 0")
            assert running.store.calls[-2] == "routes after 5 wait 0"

    run(scenario())


class SentDatagrams:
    """A datagram sender that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append(data)
        return True


def test_a_reader_forwards_a_server_that_was_removed_and_relisted_between_its_reads() -> None:
    # A server that was removed and listed again between two reads of the reader looks unchanged to
    # it. The reader must forward the server anyway: a follower that read the store in between knows
    # it as removed, and would not learn that it is listed again. Before the reader did so, a
    # follower that missed such a change opened a flow 5.4 s after the server began to drain.
    async def scenario() -> None:
        async with RunningReader(
            local=LOCAL_READER, reader=RegisteredReader(LOCAL_READER, 4)
        ) as running:
            network = SentDatagrams()
            running.reader.peers.set_sender(network)
            # A follower read at revision 7 that the server was removed; this host, the reader,
            # reads at revision 9 that it is listed again.
            running.store.results.put_nowait(changes(LISTED_CHANGE, revision=9))
            await wait_until(lambda: any("after 9" in call for call in running.watches()))
            request = encode_list_message(incarnation=6, message=FeedRequest(0, 0, 7))
            running.reader.peers.on_datagram(request, PEER_ADDRESS)
            answer = decode_list_message(network.sent[-1]).message
            assert isinstance(answer, FeedUpdate)
            assert [each.change for each in answer.changes] == [LISTED_CHANGE]

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

            monkeypatch.setattr(running.reader.peers, "request_if_due", fail)
            for revision in range(6, 1_000):
                running.store.results.put_nowait(changes(revision=revision))
            with pytest.raises(ValueError, match="a fault"):
                await running.task

    run(scenario())
