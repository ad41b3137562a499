"""Guards against store faults that result in neither correct content nor one of two errors."""

import socket
from collections.abc import Awaitable, Callable

import logbook
import pytest

from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    ListReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_list import StoredRoutes
from redwingswitch._internal.models.store_revisions import era_of, number_of
from redwingswitch._internal.platform.http_connection import HttpConnection
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from redwingswitch._internal.platform.standins.store import LOOPBACK, Fault, PlatformStoreStandin
from redwingswitch._internal.platform.store import PlatformStore
from redwingswitch._internal.platform.store_items import NO_ROUTES
from tests.lib.loops import run

# For calls that the store answers; the process may stand still on a busy machine.
TIMEOUT_MS = 10_000
# For calls that it does not answer.
SHORT_TIMEOUT_MS = 300
# A host that no other fault affects must read a new configuration within 4 s after its connection
# to the store goes silent. TCP keep-alive must therefore end a silent connection within this time.
MAX_SILENCE_S = 4
READER = ListReader("entry-1", "10.0.0.1", 7720, 2**50)
READER_KEY = "redwingswitch/readers/huon"


def entry(port: int = 8080, **fields: object) -> dict[str, object]:
    address = f"10.0.0.1:{port}"
    slots = fields.pop("slots", 2)
    document = build_server_entry(service="job-board", address=address, **fields)  # type: ignore[arg-type]
    return {**document, "Slots": slots}


def routes(version: int) -> dict[str, object]:
    return build_configuration(
        version=version, routes=[StandinRoute("198.18.0.1", 443, "job-board")]
    )


class StoreFixture:
    """A running store stand-in and a client of it."""

    def __init__(self, *, page_items: int = 500) -> None:
        self.standin = PlatformStoreStandin(page_items=page_items)

    async def __aenter__(self) -> "StoreFixture":
        self.standin.start()
        self.store = PlatformStore(
            address=LOOPBACK, port=self.standin.port, timeout_ms=TIMEOUT_MS, failure_domain="huon"
        )
        return self

    def set_timeout_ms(self, timeout_ms: int) -> None:
        """Let the next calls of the client wait for so long."""
        self.store._calls._timeout_ms = timeout_ms

    async def __aexit__(self, *_error: object) -> None:
        self.store.close()
        await self.standin.close()


@pytest.mark.parametrize("page_items", [1, 2, 500])
def test_the_full_list_over_pages(page_items: int) -> None:
    async def scenario() -> None:
        async with StoreFixture(page_items=page_items) as fixture:
            fixture.standin.put("op/config", routes(3))
            for number in range(5):
                fixture.standin.put(f"servers/i-{number}", entry(8000 + number))
            revision = fixture.standin.put("servers/i-bad", b"\xff\x00")
            found = await fixture.store.read_all()
            assert found.routes is not None
            assert found.routes.version == 3
            assert found.revision == revision
            states = {change.server_id: change.server is not None for change in found.servers}
            assert states == {**{f"i-{n}": True for n in range(5)}, "i-bad": False}

    run(scenario())


def test_an_empty_store_has_no_routes() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            found = await fixture.store.read_all()
            assert found.routes is None
            assert found.servers == ()

    run(scenario())


def test_changes_are_the_last_state_of_each_entry() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            first = await fixture.store.read_all()
            fixture.standin.put("servers/i-1", entry(state="draining"))
            fixture.standin.put("servers/i-2", entry(8081))
            fixture.standin.remove("servers/i-2")
            fixture.standin.put("op/config", routes(1))
            fixture.standin.put("op/config", routes(2))
            fixture.standin.put("someone/else", b"text")
            found = await fixture.store.read_changes(after_revision=first.revision, wait_ms=50)
            assert found.routes is not None
            assert found.routes.version == 2
            by_id = {change.server_id: change for change in found.servers}
            assert by_id["i-1"].server is not None
            assert not by_id["i-2"].is_listed
            after = await fixture.store.read_changes(after_revision=found.revision, wait_ms=1)
            assert after.servers == ()
            assert after.revision == found.revision

    run(scenario())


def test_an_unreadable_configuration_leaves_the_last_one_in_force() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            first = await fixture.store.read_all()
            fixture.standin.put("op/config", routes(1))
            fixture.standin.put("op/config", b"{")
            found = await fixture.store.read_changes(after_revision=first.revision, wait_ms=1)
            assert found.routes is not None
            assert found.routes.version == 1

    run(scenario())


@pytest.mark.parametrize("fault", list(Fault))
def test_a_fault_is_an_error_and_the_next_call_works(fault: Fault) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            await fixture.store.read_all()
            fixture.standin.fault = fault
            fixture.set_timeout_ms(SHORT_TIMEOUT_MS)
            with pytest.raises(StoreUnavailableError):
                await fixture.store.read_all()
            with pytest.raises(StoreUnavailableError):
                await fixture.store.read_changes(after_revision=1, wait_ms=10)
            fixture.standin.fault = None
            fixture.set_timeout_ms(TIMEOUT_MS)
            assert len((await fixture.store.read_all()).servers) == 1

    run(scenario())


def test_discarded_history_requires_the_full_list() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            fixture.standin.discard_history()
            with pytest.raises(StoreHistoryLostError):
                await fixture.store.read_changes(after_revision=1, wait_ms=10)

    run(scenario())


def test_one_connection_serves_many_calls_and_is_replaced_when_it_was_closed() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            for _ in range(3):
                await fixture.store.read_all()
            port = fixture.standin.port
            await fixture.standin.close()
            with pytest.raises(StoreUnavailableError):
                await fixture.store.read_all()
            assert port

    run(scenario())


def test_a_watch_may_wait_long_because_probes_end_silent_connections() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            connection = HttpConnection(address=LOOPBACK, port=fixture.standin.port)
            await connection.call("GET", "/", body=b"", timeout_ms=TIMEOUT_MS)
            tcp_socket = connection.stream_socket()
            assert tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            options = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
            idle_s, interval_s, probes = (
                tcp_socket.getsockopt(socket.IPPROTO_TCP, option) for option in options
            )
            assert idle_s + interval_s * probes <= MAX_SILENCE_S
            connection.close()

    run(scenario())


@pytest.mark.parametrize("may_be_stale", [True, False])
def test_the_newest_routes_are_read_alone(may_be_stale: bool) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            assert await fixture.store.read_routes(may_be_stale=may_be_stale) == NO_ROUTES
            fixture.standin.put("op/config", routes(1))
            revision = fixture.standin.put("op/config", routes(2))
            fixture.standin.put("servers/i-1", entry())
            found = await fixture.store.read_routes(may_be_stale=may_be_stale)
            assert found.routes is not None
            assert found.routes.version == 2
            assert found.revision == revision
            assert fixture.standin.queries[-1].get("Serializable") == (
                "1" if may_be_stale else None
            )

    run(scenario())


def test_unreadable_routes_have_only_a_revision() -> None:
    # Without the revision, a follower would read routes that its reader announced for ever.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            revision = fixture.standin.put("op/config", b"{")
            expected = StoredRoutes(None, revision, has_unreadable=True)
            assert await fixture.store.read_routes() == expected

    run(scenario())


def test_server_changes_do_not_transfer_the_versions_of_the_routes() -> None:
    # On a link of 5 Mbit/s, 37 versions of a large configuration took 1.8 s, and a host offered
    # flows to a server that had announced 5.2 s before that it leaves.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            start_revision = fixture.standin.put("servers/i-1", entry())
            fixture.standin.put("servers/i-1", entry(state="draining"))
            for version in range(1, 20):
                end_revision = fixture.standin.put("op/config", routes(version))
            found = await fixture.store.read_server_changes(after_revision=start_revision)
            assert [change.server_id for change in found.servers] == ["i-1"]
            assert found.revision == end_revision
            # The watch, and the failure domains out of service.
            prefixes = [query["Prefix"] for query in fixture.standin.queries]
            assert prefixes == ["servers/", "op/evacuate/"]

    run(scenario())


@pytest.mark.parametrize(
    ("revisions", "expected"),
    [
        pytest.param([40, 30, 35], 30, id="a stale page after the first one"),
        pytest.param([30, 40, 35], 30, id="newer pages after the first one"),
    ],
)
def test_a_list_of_several_pages_is_known_up_to_the_oldest_page(
    revisions: list[int], expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with StoreFixture(page_items=1) as fixture:
            for number in range(len(revisions)):
                fixture.standin.put(f"servers/i-{number}", entry(8000 + number))
            remaining = iter(revisions)
            read_page = fixture.store._calls.read_page

            async def read_page_of_another_revision(*arguments: object) -> object:
                page = await read_page(*arguments)
                page.store_revision = next(remaining)
                return page

            monkeypatch.setattr(fixture.store._calls, "read_page", read_page_of_another_revision)
            assert (await fixture.store.read_all(may_be_stale=True)).revision == expected

    run(scenario())


def test_a_reader_is_recorded_once_and_seen_in_the_list_and_in_changes() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            first = await fixture.store.read_all()
            assert first.reader == NO_READER
            assert await fixture.store.read_reader() == NO_READER
            recorded = await fixture.store.register_reader(READER, expected=0)
            assert recorded.reader == READER
            successor = READER._replace(incarnation=2)
            # The record has a newer revision than 0, so the write is refused.
            assert await fixture.store.register_reader(successor, expected=0) == recorded
            assert (await fixture.store.read_all()).reader == recorded
            changes = await fixture.store.read_changes(after_revision=first.revision, wait_ms=1)
            assert changes.reader == recorded
            assert await fixture.store.read_reader() == recorded
            replaced = await fixture.store.register_reader(successor, expected=recorded.revision)
            assert replaced.reader == successor
            assert replaced.revision > recorded.revision

    run(scenario())


def test_readers_of_other_failure_domains_are_seen_in_the_list_and_in_changes() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            first = await fixture.store.read_all()
            await fixture.store.register_reader(READER, expected=0)
            fixture.standin.put("redwingswitch/readers/hobart", READER._asdict())
            broken = fixture.standin.put("redwingswitch/readers/bruny", b"")
            unreadable, other = await fixture.store.read_other_readers()
            assert (other.failure_domain, other.registered.reader) == ("hobart", READER)
            assert unreadable.registered == RegisteredReader(None, broken)
            assert (await fixture.store.read_all()).other_readers == (unreadable, other)
            changes = await fixture.store.read_changes(after_revision=first.revision, wait_ms=1)
            assert changes.other_readers == (other, unreadable)
            fixture.standin.remove("redwingswitch/readers/hobart")
            last = await fixture.store.read_changes(after_revision=broken, wait_ms=1)
            assert last.other_readers == (DomainReader("hobart", NO_READER),)

    run(scenario())


async def read_changes(store: PlatformStore, revision: int) -> object:
    return await store.read_changes(after_revision=revision, wait_ms=1)


async def read_server_changes(store: PlatformStore, revision: int) -> object:
    return await store.read_server_changes(after_revision=revision)


async def probe(store: PlatformStore, revision: int) -> object:
    return await store.probe(known_revision=revision)


@pytest.mark.parametrize("call", [read_changes, read_server_changes, probe])
@pytest.mark.parametrize("lost_writes", [1, 3])
@pytest.mark.parametrize("writes_after", [0, 1, 3, 5])
@pytest.mark.parametrize("is_noticed", [False, True])
def test_a_restore_is_noticed_by_each_call_that_continues_a_list(
    call: Callable[[PlatformStore, int], Awaitable[object]],
    lost_writes: int,
    writes_after: int,
    is_noticed: bool,
) -> None:
    # A restored store gives out revisions again; what came before them was then never read.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            copy = fixture.standin.take_copy()
            for number in range(lost_writes):
                fixture.standin.put(f"servers/i-2{number}", entry())
            known = (await fixture.store.read_all()).revision
            await call(fixture.store, known)
            fixture.standin.restore(copy)
            for number in range(writes_after):
                fixture.standin.put(f"servers/i-3{number}", entry())
            if is_noticed:
                await fixture.store.read_reader()
            with pytest.raises(StoreHistoryLostError):
                await call(fixture.store, known)
            found = await fixture.store.read_all()
            assert found.revision > known
            assert era_of(found.revision) == era_of(known) + 1
            assert len(found.servers) == 1 + writes_after
            await call(fixture.store, found.revision)

    run(scenario())


def test_a_probe_returns_the_newest_revision_of_the_store() -> None:
    # A read that may be stale does not show that the list is up to date.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            known = fixture.standin.put("servers/i-1", entry())
            assert await fixture.store.probe(known_revision=known) == known
            newest = fixture.standin.put("op/config", routes(1))
            assert await fixture.store.probe(known_revision=known) == newest
            assert "Serializable" not in fixture.standin.queries[-1]

    run(scenario())


def test_a_claim_by_a_revision_from_before_a_restore_replaces_no_other_record() -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            copy = fixture.standin.take_copy()
            known = await fixture.store.register_reader(READER, expected=0)
            fixture.standin.restore(copy)
            other = READER._replace(host="entry-2")
            value = {"host": "entry-2", **other._asdict()}
            assert fixture.standin.put(READER_KEY, value) == number_of(known.revision)
            await fixture.store.read_all()
            found = await fixture.store.register_reader(READER, expected=known.revision)
            assert found.reader == other
            assert (await fixture.store.read_reader()).reader == other
            replaced = await fixture.store.register_reader(READER, expected=found.revision)
            assert replaced.reader == READER

    run(scenario())


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "32768", "9" * 5_000])
def test_a_response_with_an_unusable_era_is_an_error(era: str) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            fixture.standin.era = era  # type: ignore[assignment]
            with pytest.raises(StoreUnavailableError):
                await fixture.store.read_all()
            fixture.standin.era = 32_767
            assert era_of((await fixture.store.read_all()).revision) == 32_767

    run(scenario())


def test_one_response_of_a_later_era_does_not_stop_the_host_for_ever() -> None:
    # Each read of the list would be followed by another one.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("op/config", routes(1))
            fixture.standin.era = 9
            await fixture.store.read_routes()
            fixture.standin.era = 1
            found = await fixture.store.read_all()
            await fixture.store.read_changes(after_revision=found.revision, wait_ms=1)

    run(scenario())


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff", id="not UTF-8"),
        pytest.param(b"{}", id="no fields"),
        pytest.param(b'{"host":"h","address":"h","port":1,"incarnation":1}', id="a host name"),
        pytest.param(b'{"host":"h","address":"10.0.0.1","port":0,"incarnation":1}', id="port 0"),
    ],
)
def test_an_unreadable_reader_record_can_be_replaced(value: bytes) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            revision = fixture.standin.put(READER_KEY, value)
            found = (await fixture.store.read_all()).reader
            assert found == RegisteredReader(None, revision)
            replaced = await fixture.store.register_reader(READER, expected=found.revision)
            assert replaced.reader == READER

    run(scenario())


@pytest.mark.parametrize("fault", list(Fault))
def test_a_refused_registration_is_an_error(fault: Fault) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.fault = fault
            fixture.set_timeout_ms(SHORT_TIMEOUT_MS)
            with pytest.raises(StoreUnavailableError):
                await fixture.store.register_reader(READER, expected=0)

    run(scenario())


ODD_VALUES = [
    pytest.param("i-2", b"[" * 100_000 + b"]" * 100_000, id="nested deeply"),
    pytest.param("i-2", b'{"x":' * 100_000 + b"1" + b"}" * 100_000, id="nested new fields"),
    pytest.param("i-2", entry(slots=10**30), id="a number too large"),
    pytest.param("i-2", entry(99_999), id="port out of range"),
    pytest.param("i-2", b"\xff\x00", id="no text"),
    pytest.param("i\n2", entry(), id="id of two lines"),
]


@pytest.mark.parametrize(("server_id", "value"), ODD_VALUES)
def test_an_odd_entry_costs_that_entry_and_a_log_line(server_id: str, value: object) -> None:
    # Hosts that read the list ended again and again, or stopped following it.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            fixture.standin.put("servers/i-1", entry())
            revision = (await fixture.store.read_all()).revision
            fixture.standin.put(f"servers/{server_id}", value)
            fixture.standin.put("servers/i-3", entry(8082))
            fixture.standin.put("op/config", routes(4))
            whole = await fixture.store.read_all()
            changed = await fixture.store.read_changes(after_revision=revision, wait_ms=1)
            for found, expected in ((whole, {"i-1", "i-3"}), (changed, {"i-3"})):
                usable = {each.server_id for each in found.servers if each.server is not None}
                assert usable == expected
                assert found.routes is not None
                assert found.routes.version == 4

    with logbook.TestHandler() as handler:
        run(scenario())
    messages = [record.message for record in handler.records if "unusable" in record.message]
    assert len(messages) == 2
    for message in messages:
        assert server_id.replace("\n", "\\n") in message
        assert message.isprintable()
        assert len(message) < 500
