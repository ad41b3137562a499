"""Guards against confirming routes that lack changes, on a virtual clock."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import pytest

from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.server_list import ServerListChanges, StoredRoutes
from redwingswitch._internal.models.store_knowledge import CaughtUp
from redwingswitch._internal.models.store_revisions import make_revision
from tests.lib.cookie_flows import (
    JOB_BOARD,
    UNROUTED,
    flow_id,
    request_packet,
    route,
    route_table,
)
from tests.lib.loops import run
from tests.unit.daemon.test_server_list_sync import (
    LOCAL_READER,
    PEER_ADDRESS,
    PEER_READER,
    PEER_RECORD,
    ScriptedStore,
    update,
)

LOCAL_RECORD = RegisteredReader(LOCAL_READER, 4)
ROUTES = route_table(version=1)
NEWER_ROUTES = route_table(route(JOB_BOARD, "job-board"), route(UNROUTED, "job-board"), version=2)
# When the list was read from the store at the start, and when the case begins.
START_MS = 1_000
NOW_MS = 10_000


class VirtualClock:
    """The monotonic and the boot clock of a host; it advances only when the test moves it."""

    def __init__(self) -> None:
        self.time_ms = START_MS

    def now_ms(self) -> int:
        return self.time_ms


class TimedStore(ScriptedStore):
    """A store each of whose calls takes ``call_ms`` on the virtual clock."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self.call_ms = 0

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        self._clock.time_ms += self.call_ms
        return await super().read_routes(may_be_stale=may_be_stale)

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        result = await super().read_changes(after_revision=after_revision, wait_ms=wait_ms)
        self._clock.time_ms += self.call_ms
        return result


class SentDatagrams:
    """Collects what a host sends."""

    def __init__(self) -> None:
        self.data: list[bytes] = []

    def send(self, datagram: bytes, _address: tuple[str, int]) -> bool:
        self.data.append(datagram)
        return True

    def deliver(self, receiver: "Host", sender: ListReader) -> None:
        """Let another host receive all that was sent."""
        while self.data:
            receiver.sync.peers.on_datagram(self.data.pop(0), (sender.address, sender.port))


class Host:
    """A synchronizer that has read the list at ``START_MS``; its own tasks do not run."""

    def __init__(self, reader: RegisteredReader, *, local: ListReader = LOCAL_READER) -> None:
        self.clock = VirtualClock()
        self.store = TimedStore(self.clock)
        self.store.reader = reader
        self.store.routes = StoredRoutes(ROUTES, 3)
        self.steering = CookieSteering(failure_domain="huon", random_source=random.Random(1))
        self.decided: list[str] = []
        self.sync = ServerListSynchronizer(
            store=self.store,
            steering=self.steering,
            sharing=ListSharing(
                local_reader=local, age_limit_ms=60_000, random_source=random.Random(1)
            ),
            clock=self.clock,
            age_clock=self.clock,
            random_source=random.Random(1),
            metrics=SteeringMetrics(),
            list_age_limit_ms=3_000,
            on_change=self._on_change,
        )

    def _on_change(self) -> None:
        self.steering.routes_confirmed_ms = self.sync.routes_confirmed_ms()
        actions = self.steering.on_list_changed(self.clock.now_ms())
        self.decided += [action.verdict for action in actions]

    async def start(self) -> None:
        await self.sync._whole_list.load_newest()
        self.sync._update_role()
        self.sync._contact.report(CaughtUp())
        self.clock.time_ms = NOW_MS

    def receive_update(
        self, *, routes_version: int = 1, sent_ms: int = NOW_MS, routes_age_ms: int | None = 0
    ) -> None:
        data = update(
            revision=9,
            routes_version=routes_version,
            request_sent_ms=sent_ms,
            routes_age_ms=routes_age_ms,
        )
        self.sync.peers.on_datagram(data, PEER_ADDRESS)


def changes(routes: RouteTable | None, revision: int) -> ServerListChanges:
    routes_revision = 0 if routes is None else revision
    return ServerListChanges(
        routes=routes, servers=(), revision=revision, routes_revision=routes_revision
    )


async def hears_its_reader(host: Host) -> None:
    host.receive_update()


async def hears_of_newer_routes(host: Host) -> None:
    host.receive_update(routes_version=2)


async def gets_the_announced_routes(host: Host) -> None:
    host.receive_update(routes_version=2)
    host.sync._updates.apply_routes(StoredRoutes(NEWER_ROUTES, 9), up_to_revision=None)


async def hears_late_what_its_reader_sent(host: Host) -> None:
    host.receive_update(sent_ms=NOW_MS - 700)


async def hears_a_reader_that_handled_an_answer_late(host: Host) -> None:
    # The store made the answer before the reader stood still for less than a detected pause.
    host.receive_update(routes_age_ms=900)


async def hears_a_reader_that_sends_no_age_of_its_routes(host: Host) -> None:
    host.receive_update(routes_age_ms=None)


async def handles_an_answer_late(host: Host) -> None:
    host.store.call_ms = 900
    host.store.results.put_nowait(changes(None, 9))
    await host.sync._watch.watch_changes()


async def probes_in_vain(host: Host) -> None:
    host.store.answers_probes = False
    with pytest.raises(StoreUnavailableError):
        await host.sync._watch.watch_changes()


async def reads_routes_that_it_cannot_decode(host: Host) -> None:
    host.store.results.put_nowait(changes(ROUTES, 9)._replace(has_unreadable_routes=True))
    await host.sync._watch.watch_changes()


async def reads_a_restored_store(host: Host) -> None:
    revision = make_revision(era=1, number=9)
    host.store.results.put_nowait(changes(None, revision))
    await host.sync._watch.watch_changes()


async def reads_a_restored_store_and_newer_routes(host: Host) -> None:
    await reads_a_restored_store(host)
    revision = make_revision(era=1, number=10)
    host.store.results.put_nowait(changes(NEWER_ROUTES, revision))
    await host.sync._watch.watch_changes()


async def reads_in_parts(host: Host) -> None:
    host.store.call_ms = 300
    await host.sync._reads.read_parts()


async def reads_servers_but_no_routes(host: Host) -> None:
    host.store.refuses_routes = True
    with pytest.raises(StoreUnavailableError):
        await host.sync._reads.read_parts()


async def reads_servers_but_no_routes_and_then_changes(host: Host) -> None:
    await reads_servers_but_no_routes(host)
    await host.sync._reads.read_changes(wait_ms=0)


async def reads_in_parts_at_the_second_try(host: Host) -> None:
    await reads_servers_but_no_routes(host)
    host.store.refuses_routes = False
    await host.sync._reads.catch_up()


@pytest.mark.parametrize(
    ("reader", "event", "expected_ms"),
    [
        pytest.param(PEER_RECORD, hears_its_reader, NOW_MS, id="answer of the reader"),
        pytest.param(PEER_RECORD, hears_of_newer_routes, None, id="newer routes announced"),
        pytest.param(PEER_RECORD, gets_the_announced_routes, NOW_MS, id="and received"),
        pytest.param(
            PEER_RECORD, hears_late_what_its_reader_sent, NOW_MS - 700, id="delayed answer"
        ),
        pytest.param(
            PEER_RECORD,
            hears_a_reader_that_handled_an_answer_late,
            NOW_MS - 900,
            id="reader that handled the store's answer late",
        ),
        pytest.param(
            PEER_RECORD,
            hears_a_reader_that_sends_no_age_of_its_routes,
            START_MS,
            id="reader that does not know when",
        ),
        pytest.param(LOCAL_RECORD, handles_an_answer_late, NOW_MS, id="answer handled late"),
        pytest.param(LOCAL_RECORD, probes_in_vain, START_MS, id="store out of reach"),
        pytest.param(
            LOCAL_RECORD, reads_routes_that_it_cannot_decode, None, id="routes cannot be decoded"
        ),
        pytest.param(LOCAL_RECORD, reads_a_restored_store, None, id="restored store"),
        pytest.param(
            LOCAL_RECORD,
            reads_a_restored_store_and_newer_routes,
            NOW_MS,
            id="routes written after the restore",
        ),
        pytest.param(LOCAL_RECORD, reads_in_parts, NOW_MS, id="servers and routes read apart"),
        pytest.param(LOCAL_RECORD, reads_servers_but_no_routes, START_MS, id="servers only"),
        pytest.param(
            LOCAL_RECORD,
            reads_servers_but_no_routes_and_then_changes,
            START_MS,
            id="later changes without the missing routes",
        ),
        pytest.param(
            LOCAL_RECORD, reads_in_parts_at_the_second_try, NOW_MS, id="missing routes read"
        ),
    ],
)
def test_routes_are_confirmed_as_of_the_latest_state_that_they_certainly_have(
    reader: RegisteredReader,
    event: Callable[[Host], Coroutine[None, None, None]],
    expected_ms: int | None,
) -> None:
    async def scenario() -> None:
        host = Host(reader)
        await host.start()
        await event(host)
        assert host.sync.routes_confirmed_ms() == expected_ms

    run(scenario())


def test_a_watch_confirms_the_routes_only_together_with_its_changes() -> None:
    # A follower that asked in between would hear of a list that is up to date, and of old routes.
    async def scenario() -> None:
        host = Host(LOCAL_RECORD)
        await host.start()
        watch = asyncio.create_task(host.sync._watch.watch_changes())
        host.store.results.put_nowait(changes(NEWER_ROUTES, 9))
        while host.sync.routes_confirmed_ms() == START_MS:
            await asyncio.sleep(0)
        assert host.steering.routes == NEWER_ROUTES
        await watch

    run(scenario())


@pytest.mark.parametrize(
    ("newer", "expected"),
    [
        pytest.param(NEWER_ROUTES, ["steered"], id="route is newer than the host's routes"),
        pytest.param(None, ["reset_no_route"], id="route is gone"),
    ],
)
@pytest.mark.parametrize("reader", [PEER_RECORD, LOCAL_RECORD])
def test_the_next_confirmation_decides_a_packet_of_an_open_flow(
    newer: RouteTable | None, expected: list[str], reader: RegisteredReader
) -> None:
    async def scenario() -> None:
        host = Host(reader)
        await host.start()
        held = request_packet(flow_id(1, UNROUTED), "i-1")
        assert host.steering.on_packet(held, NOW_MS).verdict == "held_unknown_route"
        host.clock.time_ms += 900
        if reader.reader == PEER_READER:
            host.receive_update(routes_version=newer.version if newer else 1, sent_ms=NOW_MS + 900)
            assert host.decided == ([] if newer else expected)
            if newer:
                host.sync._updates.apply_routes(StoredRoutes(newer, 9), up_to_revision=None)
        elif newer:
            host.store.results.put_nowait(changes(newer, 9))
            await host.sync._watch.watch_changes()
        else:
            # A probe finds no change, and the watch goes on.
            watch = asyncio.create_task(host.sync._watch.watch_changes())
            host.sync._watch.request_probe()
            while not host.decided:
                await asyncio.sleep(0)
            watch.cancel()
        assert host.decided == expected

    run(scenario())


def test_an_answer_that_a_stalled_reader_handles_late_resets_no_flow_at_its_followers() -> None:
    # Guards against review/3: hosts that are busy for less than a detected pause, in a storm.
    async def scenario() -> None:
        reader, follower = Host(PEER_RECORD, local=PEER_READER), Host(PEER_RECORD)
        to_reader, to_follower = SentDatagrams(), SentDatagrams()
        follower.sync.peers.set_sender(to_reader)
        reader.sync.peers.set_sender(to_follower)
        await reader.start()
        await follower.start()
        to_reader.data.clear()
        # The reader's call begins, and the store answers it with the old routes. Then the routes
        # change, and a flow on a new one opens through a host that reads for itself.
        follower.clock.time_ms = NOW_MS + 100
        held = request_packet(flow_id(1, UNROUTED), "i-1")
        assert follower.steering.on_packet(held, NOW_MS + 100).verdict == "held_unknown_route"
        follower.clock.time_ms = NOW_MS + 700
        follower.sync.peers.request_changes()
        # The reader handles the store's answer and the follower's request.
        reader.store.call_ms = 900
        reader.store.results.put_nowait(changes(None, 9))
        await reader.sync._watch.watch_changes()
        to_reader.deliver(reader, LOCAL_READER)
        follower.clock.time_ms = NOW_MS + 901
        to_follower.deliver(follower, PEER_READER)
        assert follower.decided == []
        # Its next call brings the change.
        reader.store.call_ms = 0
        reader.store.results.put_nowait(changes(NEWER_ROUTES, 10))
        await reader.sync._watch.watch_changes()
        to_follower.deliver(follower, PEER_READER)
        follower.sync.peers.request_routes()
        to_reader.deliver(reader, LOCAL_READER)
        to_follower.deliver(follower, PEER_READER)
        assert follower.decided == ["steered"]

    run(scenario())


def test_a_follower_that_takes_the_role_gets_the_routes_that_its_reader_announced() -> None:
    # Guards against review/6: the claim succeeds late, when the former reader has announced them.
    async def scenario() -> None:
        host = Host(PEER_RECORD)
        await host.start()
        host.receive_update(routes_version=2)
        host.store.routes = StoredRoutes(NEWER_ROUTES, 8)
        host.sync._updates.apply_reader(RegisteredReader(LOCAL_READER, 10), is_newest=True)
        await host.sync._read_once()
        assert host.sync.role == "serving"
        assert host.steering.routes == NEWER_ROUTES

    run(scenario())
