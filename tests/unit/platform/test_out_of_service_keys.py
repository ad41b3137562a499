"""Guards against a set of failure domains out of service that lacks a change of the store."""

import asyncio
import random
from collections.abc import Callable

import logbook
import pytest

from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.server_list import OutOfService
from redwingswitch._internal.platform import out_of_service_keys
from redwingswitch._internal.platform.standins.store import Fault, PlatformStoreStandin
from tests.lib.loops import run, wait_until
from tests.unit.platform.test_store import StoreFixture, entry

DOMAINS = ("huon", "hobart", "bruny")
Operation = Callable[[PlatformStoreStandin], object]


async def read(fixture: StoreFixture, how: str, revision: int) -> OutOfService:
    """Return the set by one of the reads that bring it."""
    if how in ("list", "stale list"):
        fleet = await fixture.store.read_all(may_be_stale=how == "stale list")
        return fleet.out_of_service
    if how == "watch":
        changes = await fixture.store.read_changes(after_revision=revision, wait_ms=1)
    else:
        changes = await fixture.store.read_server_changes(after_revision=revision)
    assert changes.out_of_service is not None
    assert changes.out_of_service.revision >= changes.revision
    return changes.out_of_service


@pytest.mark.parametrize("how", ["list", "stale list", "watch", "parts"])
@pytest.mark.parametrize("page_items", [1, 500])
@pytest.mark.parametrize(
    ("operations", "expected"),
    [
        pytest.param([], {"huon"}, id="nothing"),
        pytest.param([lambda s: s.take_out_of_service("hobart")], {"huon", "hobart"}, id="taken"),
        pytest.param([lambda s: s.take_back("huon")], set(), id="taken back"),
        pytest.param([lambda s: s.take_out_of_service("huon")], {"huon"}, id="written again"),
        pytest.param(
            [lambda s: s.take_back("huon"), lambda s: s.take_out_of_service("huon")],
            {"huon"},
            id="taken back and out again",
        ),
        pytest.param(
            [lambda s: s.take_out_of_service("nowhere")], {"huon", "nowhere"}, id="no such domain"
        ),
        # A log line or a metric's label cannot have such a name, nor can a server's entry.
        pytest.param([lambda s: s.take_out_of_service("")], {"huon"}, id="no name"),
        pytest.param([lambda s: s.take_out_of_service("a\nb")], {"huon"}, id="two lines"),
        pytest.param(
            [lambda s: s.put("op/evacuate/hobart", b"\xff")], {"huon", "hobart"}, id="odd"
        ),
    ],
)
def test_each_read_brings_the_whole_set(
    how: str, page_items: int, operations: list[Operation], expected: set[str]
) -> None:
    async def scenario() -> None:
        async with StoreFixture(page_items=page_items) as fixture:
            fixture.standin.put("servers/i-1", entry())
            fixture.standin.take_out_of_service("huon")
            known = await fixture.store.read_all()
            for operation in operations:
                operation(fixture.standin)
            found = await read(fixture, how, known.revision)
            assert found.domains == expected
            assert found.revision >= known.out_of_service.revision

    run(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_any_order_of_reads_brings_what_the_store_has(seed: int) -> None:
    # A host reads in turn whole, in parts, by a watch, or gets the list from another host; a change
    # that came in between must not be missed.
    async def scenario() -> None:
        source = random.Random(seed)
        async with StoreFixture() as fixture:
            revision = (await fixture.store.read_all()).revision
            for _ in range(60):
                domain = source.choice(DOMAINS)
                if source.random() < 0.5:
                    fixture.standin.take_out_of_service(domain)
                else:
                    fixture.standin.take_back(domain)
                newest = fixture.standin.put("servers/i-1", entry())
                if source.random() < 0.3:
                    # The reader's feed brought the list up to here.
                    revision = newest
                if source.random() < 0.3:
                    continue
                found = await read(fixture, source.choice(["list", "watch", "parts"]), revision)
                keys = fixture.standin.list_keys("op/evacuate/")
                assert {f"op/evacuate/{name}" for name in found.domains} == set(keys)
                revision = max(revision, newest)

    run(scenario())


@pytest.mark.parametrize("loses_history", [False, True])
def test_the_set_is_read_anew_after_a_restore_and_after_lost_history(loses_history: bool) -> None:
    # The copy lacks the request, and its revisions are given out again.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            copy = fixture.standin.take_copy()
            fixture.standin.take_out_of_service("huon")
            known = await fixture.store.read_all()
            if loses_history:
                fixture.standin.take_back("huon")
                fixture.standin.discard_history()
            else:
                fixture.standin.restore(copy)
            fixture.standin.take_out_of_service("hobart")
            for how in ("watch", "parts"):
                with pytest.raises(StoreHistoryLostError):
                    await read(fixture, how, known.revision)
            found = await fixture.store.read_all()
            assert found.out_of_service.domains == {"hobart"}
            assert found.out_of_service.revision > known.out_of_service.revision
            fixture.standin.take_back("hobart")
            assert (await read(fixture, "watch", found.revision)).domains == frozenset()

    run(scenario())


@pytest.mark.parametrize("how", ["list", "watch", "parts"])
def test_a_failed_read_loses_no_change(how: str) -> None:
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            known = await fixture.store.read_all()
            fixture.standin.take_out_of_service("huon")
            fixture.standin.fault = Fault.BUSY
            with pytest.raises(StoreUnavailableError):
                await read(fixture, how, known.revision)
            fixture.standin.fault = None
            assert (await read(fixture, how, known.revision)).domains == {"huon"}

    run(scenario())


def test_servers_are_not_known_without_the_set_that_was_read_with_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With the servers alone the list would count as up to date while the set is old.
    async def scenario() -> None:
        async with StoreFixture() as fixture:
            known = await fixture.store.read_all()

            async def fail(*_arguments: object, **_options: object) -> None:
                raise StoreUnavailableError("refused")

            monkeypatch.setattr(fixture.store._calls, "read_pages", fail)
            with pytest.raises(StoreUnavailableError):
                await fixture.store.read_server_changes(after_revision=known.revision)

    run(scenario())


def test_a_full_set_takes_a_left_out_domain_when_there_is_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(out_of_service_keys, "MAX_OUT_OF_SERVICE_DOMAINS", 2)

    async def scenario() -> None:
        async with StoreFixture() as fixture:
            for domain in DOMAINS:
                fixture.standin.take_out_of_service(domain)
            known = await fixture.store.read_all()
            assert known.out_of_service.domains == {"bruny", "hobart"}
            with logbook.TestHandler() as handler:
                watch = asyncio.create_task(
                    fixture.store.read_changes(after_revision=known.revision, wait_ms=10_000)
                )
                await wait_until(lambda: "/v1/kv-watch" in fixture.standin.calls)
                fixture.standin.take_out_of_service("hobart")
                found = (await watch).out_of_service
            assert found is not None
            assert found.domains == {"bruny", "hobart"}
            # The left-out domain is logged, not the one that was written again.
            assert [record.message for record in handler.records] == [
                "key without effect key='op/evacuate/huon' reason=too many domains"
            ]
            fixture.standin.take_back("bruny")
            assert (await read(fixture, "watch", known.revision)).domains == {"huon", "hobart"}

    run(scenario())
