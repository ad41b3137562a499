"""Guards against answers of the store that are taken for something else than they show."""

import base64
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

import pytest
from tornado.httputil import HTTPHeaders

from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import NO_READER, ListReader
from redwingswitch._internal.models.store_revisions import MAX_ERA, make_revision
from redwingswitch._internal.platform import store_calls
from redwingswitch._internal.platform.entries import OUT_OF_SERVICE_PREFIX
from redwingswitch._internal.platform.http_connection import Response
from redwingswitch._internal.platform.store import PlatformStore
from tests.lib.loops import run

TIMEOUT_MS = 700
READER = ListReader("entry-0", "127.0.0.1", 7720, 5)
READER_KEY = "redwingswitch/readers/huon"


class ScriptedConnection:
    """A connection that returns queued responses, and the last one again and again."""

    def __init__(self) -> None:
        self.responses: list[Response] = []
        self.calls: list[tuple[str, dict[str, list[str]], int]] = []

    def queue(self, body: object, *, status: int = 200, era: int = 0) -> None:
        headers = HTTPHeaders({store_calls.ERA_HEADER: str(era)})
        data = json.dumps(body).encode()
        self.responses.append(Response(status=status, headers=headers, body=data))

    async def call(self, _method: str, target: str, *, body: bytes, timeout_ms: int) -> Response:
        url = urlsplit(target)
        self.calls.append((url.path, parse_qs(url.query), timeout_ms))
        return self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]


class Client:
    """A client of a store whose answers are scripted."""

    def __init__(self) -> None:
        self.store = PlatformStore(
            address="127.0.0.1", port=1, timeout_ms=TIMEOUT_MS, failure_domain="huon"
        )
        self.connection = ScriptedConnection()
        self.probe_connection = ScriptedConnection()
        self.store._calls._connection = self.connection  # type: ignore[assignment]
        self.store._calls._probe_connection = self.probe_connection  # type: ignore[assignment]


def page(*items: dict[str, object], revision: int = 5, more: bool = False) -> dict[str, object]:
    return {"items": list(items), "StoreRevision": revision, "HasMore": more}


def events(*items: dict[str, object], revision: int = 5) -> dict[str, object]:
    return {"events": list(items), "StoreRevision": revision}


def item(key: str, revision: int, **fields: object) -> dict[str, object]:
    return {"Key": key, "Revision": revision, **fields}


def test_a_watch_from_before_a_restore_is_refused_without_a_call() -> None:
    # The store might answer it from an era in which it gave the revision out again.
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(), era=1)
        await client.store.read_all()
        with pytest.raises(StoreHistoryLostError):
            await client.store._calls.watch("", make_revision(era=0, number=5), 0)
        assert len(client.connection.calls) == 1

    run(scenario())


async def watch(client: Client, revision: int) -> None:
    await client.store._calls.watch("", revision, 0)


async def probe(client: Client, revision: int) -> None:
    await client.store.probe(known_revision=revision)


@pytest.mark.parametrize("call", [watch, probe])
def test_an_answer_of_an_earlier_era_confirms_nothing(
    call: Callable[[Client, int], Awaitable[None]],
) -> None:
    async def scenario() -> None:
        client = Client()
        for connection in (client.connection, client.probe_connection):
            connection.queue({**page(revision=50), "events": []}, era=1)
        with pytest.raises(StoreUnavailableError):
            await call(client, make_revision(era=2, number=5))

    run(scenario())


def test_an_era_that_no_revision_can_have_is_no_later_era() -> None:
    # A host would read the whole list again and again.
    async def scenario() -> None:
        client = Client()
        client.probe_connection.queue(page(), era=MAX_ERA + 1)
        with pytest.raises(StoreUnavailableError):
            await client.store.probe(known_revision=5)

    run(scenario())


@pytest.mark.parametrize("revision", [-1, 2**70])
def test_a_revision_that_cannot_be_used_is_an_error_of_the_store(revision: int) -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(revision=revision))
        with pytest.raises(StoreUnavailableError):
            await client.store.read_all()

    run(scenario())


def test_an_answer_with_another_status_is_not_used() -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(), status=503)
        with pytest.raises(StoreUnavailableError):
            await client.store.read_all()

    run(scenario())


@pytest.mark.parametrize(
    ("items", "calls"),
    [
        pytest.param([item("servers/i-1", 4)], 3, id="always another page"),
        pytest.param([], 1, id="a page without items"),
    ],
)
def test_a_list_ends_whatever_the_store_announces(
    items: list[dict[str, object]], calls: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(*items, more=True))
        await client.store.read_all()
        assert len(client.connection.calls) == calls

    monkeypatch.setattr(store_calls, "MAX_PAGES", 3)
    run(scenario())


def test_a_probe_does_not_wait_for_a_watch() -> None:
    async def scenario() -> None:
        client = Client()
        client.probe_connection.queue(page(revision=9))
        assert await client.store.probe(known_revision=5) == 9
        assert client.connection.calls == []

    run(scenario())


def test_a_watch_may_take_its_wait_and_the_time_of_a_call() -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(events())
        await client.store._calls.watch("", 5, 2_000)
        assert client.connection.calls[-1][2] == TIMEOUT_MS + 2_000

    run(scenario())


def test_an_older_answer_does_not_take_the_known_revision_back() -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(revision=9))
        await client.store.read_all()
        client.connection.responses = []
        client.connection.queue(events(revision=7))
        found = await client.store.read_changes(after_revision=9, wait_ms=0)
        assert found.revision == 9
        client.connection.queue(page(revision=9))
        found = await client.store.read_server_changes(after_revision=9)
        assert found.revision == 9

    run(scenario())


def test_an_older_answer_does_not_change_the_domains_out_of_service() -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(revision=9))
        await client.store.read_all()
        client.connection.responses = []
        old = item(f"{OUT_OF_SERVICE_PREFIX}huon", 8)
        client.connection.queue(events(old, revision=8))
        found = await client.store.read_changes(after_revision=7, wait_ms=0)
        assert found.out_of_service is not None
        assert found.out_of_service.domains == frozenset()
        assert found.out_of_service.revision == 9

    run(scenario())


@pytest.mark.parametrize("era", [0, 3])
def test_the_first_claim_is_written_in_each_era(era: int) -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(), era=era)
        await client.store.read_all()
        client.connection.responses = []
        client.connection.queue({"Revision": 6}, era=era)
        found = await client.store.register_reader(READER, expected=0)
        assert client.connection.calls[-1][0] == "/v1/kv-txn"
        assert found.revision == make_revision(era=era, number=6)

    run(scenario())


def test_a_claim_from_before_a_restore_reads_the_newest_record() -> None:
    # A record that may be stale could be the one from before the restore.
    async def scenario() -> None:
        client = Client()
        client.connection.queue(page(), era=1)
        await client.store.read_all()
        client.connection.responses = []
        client.connection.queue({}, status=404, era=1)
        assert await client.store.register_reader(READER, expected=4) == NO_READER
        path, query, _ = client.connection.calls[-1]
        assert path == "/v1/kv-key"
        assert "Serializable" not in query

    run(scenario())


def test_the_readers_record_is_read_by_the_cheapest_call() -> None:
    # All hosts repeat this call in an outage of the store.
    async def scenario() -> None:
        client = Client()
        client.connection.queue({}, status=404)
        assert await client.store.read_reader() == NO_READER
        assert client.connection.calls[-1][1]["Serializable"] == ["1"]

    run(scenario())


def test_a_conflict_with_a_record_that_does_not_exist_names_no_reader() -> None:
    async def scenario() -> None:
        client = Client()
        client.connection.queue({"items": [item(READER_KEY, 0)]}, status=412)
        assert await client.store.register_reader(READER, expected=4) == NO_READER

    run(scenario())


def test_a_claim_that_lost_a_conflict_returns_the_record_of_the_other_host() -> None:
    async def scenario() -> None:
        client = Client()
        record = {"host": "entry-1", "address": "127.0.0.3", "port": 7720, "incarnation": 6}
        value = base64.b64encode(json.dumps(record).encode()).decode()
        conflict = {"items": [item(READER_KEY, 7, Value=value)]}
        client.connection.queue(conflict, status=412, era=1)
        found = await client.store.register_reader(READER, expected=0)
        assert found.reader is not None
        assert found.reader.host == "entry-1"
        assert found.revision == make_revision(era=1, number=7)

    run(scenario())
