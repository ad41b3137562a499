"""Guards against misdirected packets, lost addresses, and errors that end the entry daemon."""

import asyncio

import pytest

from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    decode_document,
    encode_document,
    make_document,
)
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.daemon.directory import REMOVED_PEER_RETENTION_MS, AddressDirectory
from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.pipeline import Pipeline
from redwingswitch._internal.daemon.store_tasks import StoreTasks
from redwingswitch._internal.models import actions, events
from redwingswitch._internal.models.identifiers import FlowKey
from redwingswitch._internal.settings import PeerKey, SeedSettings
from redwingswitch._internal.standins import demo_checks
from redwingswitch._internal.standins.memory_store import MemoryStore
from redwingswitch._internal.standins.stream_caller import FlowResult
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import Recorder, run
from tests.lib.operator_files import VALID_FILE

FLOW = FlowKey(6, b"\x0a\x00\x00\x01", 40000, b"\x0a\x01\x00\x01", 443)
LEASE_KEY = "redwingswitch/watcher/hobart"


def configuration(text=VALID_FILE, revision=1):
    return parse_configuration(text=text, file="f", revision=revision, digest="d")


def without_server(name):
    head, _, rest = VALID_FILE.partition(f'[[backend_servers]]\nname = "{name}"')
    _, separator, tail = rest.partition("[[backend_servers]]")
    return configuration((head + separator + tail).replace('"draining"', '"active"'), 2)


def directory(*revisions, **arguments):
    made = AddressDirectory(**arguments)
    for revision in revisions:
        made.update(revision, 0)
    return made


@pytest.mark.parametrize(
    ("service", "flow", "serves"),
    [
        ("job-board", FLOW, True),
        ("photos", FLOW, False),
        ("job-board", FLOW._replace(service_address=b"\x0a\x01\x00\x02"), False),
        ("job-board", FLOW._replace(service_port=80), False),
    ],
)
def test_a_packet_is_sent_only_to_a_server_of_its_service(service, flow, serves):
    known = directory(configuration())
    assert (
        known.serves_flow(server=known.find_server("job-1"), service=service, flow=flow) is serves
    )


def test_a_removed_server_is_still_found_for_its_established_flows():
    known = directory(configuration(), without_server("job-1"))
    assert known.find_server("job-1").tunnel_port == 8101
    assert known.find_server("never-named") is None


def test_a_removed_host_stays_a_peer_until_the_retention_ends():
    one_host = configuration()._replace(entry_hosts=configuration().entry_hosts[:1])
    known = directory(configuration(), one_host, pinned_keys=(PeerKey("entry-2", "k" * 40),))
    assert {p.host: p.public_key for p in known.peers()} == {"entry-1": "", "entry-2": "k" * 40}
    assert not known.remove_expired(REMOVED_PEER_RETENTION_MS - 1)
    assert known.remove_expired(REMOVED_PEER_RETENTION_MS)
    assert [peer.host for peer in known.peers()] == ["entry-1"]


@pytest.mark.parametrize(
    ("seed", "keys_before", "keys_after"),
    [
        pytest.param(
            SeedSettings("entry-9", "hobart", "127.0.0.9", 7101, "w" * 40),
            {"entry-9": "w" * 40},
            {"entry-1": "", "entry-2": ""},
            id="the host has left",
        ),
        pytest.param(
            SeedSettings("entry-1", "hobart", "127.0.0.1", 7101, "w" * 40),
            {"entry-1": "w" * 40},
            {"entry-1": "", "entry-2": ""},
            id="the host has another key",
        ),
    ],
)
def test_the_key_of_a_seed_is_not_used_once_a_configuration_is_known(seed, keys_before, keys_after):
    # The settings of a host that restarts may still name a host that has left, with its key.
    known = directory()
    known.set_seeds((seed,))
    assert {p.host: p.public_key for p in known.peers()} == keys_before
    known.update(configuration(), 0)
    assert {p.host: p.public_key for p in known.peers()} == keys_after


class FaultyHost:
    """An entry host that raises an error for the first event."""

    def __init__(self):
        self.handled = 0

    def handle(self, event, now_ms):
        self.handled += 1
        if self.handled == 1:
            raise ValueError("a fault in a decision part")
        return []

    def next_deadline_ms(self):
        return None


def test_an_error_in_a_decision_is_counted_and_the_next_event_is_handled():
    async def body():
        metrics, host, performed = (
            Metrics(host="entry-1", failure_domain="hobart", incarnation=1),
            FaultyHost(),
            Recorder(),
        )
        performer = type("Performer", (), {"perform": staticmethod(performed)})()
        pipeline = Pipeline(
            entry_host=host, performer=performer, clock=MonotonicClock(), metrics=metrics
        )
        pipeline.submit(events.LeaseRefused())
        pipeline.submit(events.LeaseRefused())
        assert metrics.counts["faults_total"]["LeaseRefused",] == 1
        assert await performed.next() == []

    run(body())


def document(revision):
    return make_document(
        text=VALID_FILE, revision=revision, apply_id="a", operator="o", previous=None
    )


def store_tasks(store):
    submitted = Recorder()
    random_source = type("Source", (), {"random": staticmethod(lambda: 0.0)})()
    tasks = StoreTasks(
        store=store,
        random_source=random_source,
        metrics=Metrics(host="entry-1", failure_domain="hobart", incarnation=1),
        submit=submitted,
    )
    return tasks, submitted


async def lease(tasks, submitted):
    tasks.acquire(actions.AcquireLease(LEASE_KEY, "entry-1", 5_000, 77))
    return await submitted.next()


@pytest.mark.parametrize(
    ("expired", "restored"),
    [
        pytest.param(False, False, id="lease held"),
        pytest.param(True, False, id="lease expired while paused"),
        pytest.param(True, True, id="lease lost by a restored store, its version given out again"),
    ],
)
def test_an_older_document_is_replaced_only_while_the_lease_is_held(expired, restored):
    async def body():
        store = MemoryStore()
        version = store.put(CONFIGURATION_KEY, encode_document(document(1)))
        tasks, submitted = store_tasks(store)
        granted = await lease(tasks, submitted)
        assert granted.asked_ms == 77
        if expired:
            store.expire_lease(granted.lease_id)
            if restored:
                store.rewind(granted.fencing_version)
            assert await store.acquire_lease(key=LEASE_KEY, holder="entry-2", ttl_ms=5_000)
        tasks.restore(actions.RestoreDocument(document(3), version, granted.fencing_version))
        while "restore" in tasks._tasks:
            await asyncio.sleep(0)
        stored = decode_document((await store.get(CONFIGURATION_KEY)).value)
        assert stored["revision"] == (1 if expired else 3)
        tasks.close()

    run(body())


def test_a_watch_delivers_each_document_and_survives_an_outage():
    async def body():
        store = MemoryStore()
        tasks, submitted = store_tasks(store)
        tasks.watch(actions.WatchStore(True))
        assert await submitted.next() == events.StoreDocumentArrived(None, 0)
        version = store.put(CONFIGURATION_KEY, encode_document(document(1)))
        assert await submitted.next() == events.StoreDocumentArrived(document(1), version)
        store.put(CONFIGURATION_KEY, b"damaged")
        store.set_available(False)
        assert await submitted.next() == events.StoreUnavailable()
        store.set_available(True)
        version = store.put(CONFIGURATION_KEY, encode_document(document(2)))
        while (event := await submitted.next()) == events.StoreUnavailable():
            pass
        assert event == events.StoreDocumentArrived(document(2), version)
        tasks.close()

    run(body())


@pytest.mark.parametrize(
    ("available", "earlier_start", "expected"),
    [(True, False, False), (True, True, True), (False, False, True)],
)
def test_a_host_skips_the_abstention_only_on_its_first_known_start(
    available, earlier_start, expected
):
    async def body():
        store = MemoryStore()
        tasks, _ = store_tasks(store)
        if earlier_start:
            await tasks.has_started_before("entry-1")
        store.set_available(available)
        assert await tasks.has_started_before("entry-1") is expected

    run(body())


@pytest.mark.parametrize(
    ("verdicts", "passes"),
    [
        ([FlowResult(True, False)] * 10, True),
        ([FlowResult(True, False)] * 10 + [FlowResult(True, True)], False),
        ([FlowResult(False, False)] * 10, False),
    ],
)
def test_the_demo_fails_on_broken_flows_and_when_no_flow_opened(verdicts, passes):
    assert demo_checks.all_passed(demo_checks.flow_checks(verdicts)) is passes
