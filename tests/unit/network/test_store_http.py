"""Guards against store faults that are reported as the wrong error.

The error tells callers whether a call certainly had no effect or may have taken effect.
"""

import asyncio
import socket

import pytest

from redwingswitch._internal.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from redwingswitch._internal.ports import GrantedLease, KeyPrecondition
from redwingswitch._internal.standins.store import CallKind, WatchHandler
from redwingswitch._internal.standins.store_state import Put
from tests.lib.store_standin import run, running_store

KEY = "redwingswitch/configuration"
LEASE = "redwingswitch/watcher/hobart"
UNAVAILABLE = StoreUnavailableError
UNKNOWN = StoreOutcomeUnknownError
SHORT_TIMEOUT_MS = 200


async def swap(store, value, version, key=KEY):
    expected = [KeyPrecondition(key, version)]
    return await store.compare_and_swap(key=key, value=value, expected=expected)


async def prepare(store):
    """Write a value and acquire a lease; return the version and the lease."""
    version = await swap(store, b"old", 0)
    lease = await store.acquire_lease(key=LEASE, holder="entry-1", ttl_ms=1_500)
    return version, lease


async def call(method, store, version, lease):
    calls = {
        "get": lambda: store.get(KEY),
        "swap": lambda: swap(store, b"new", version),
        "acquire": lambda: store.acquire_lease(key="other", holder="entry-2", ttl_ms=2_000),
        "renew": lambda: store.renew_lease(lease),
        "release": lambda: store.release_lease(lease),
    }
    return await calls[method]()


def has_effect(method, standin):
    """Return whether the call of ``method`` changed the store."""
    effects = {
        "get": lambda: False,
        "swap": lambda: standin.state.get(KEY).value == b"new",
        "acquire": lambda: standin.state.get("other") is not None,
        "renew": lambda: False,
        "release": lambda: standin.state.get(LEASE) is None,
    }
    return effects[method]()


# Method, the faulty store call, the fault, the expected error, and whether the method took effect.
FAULTS = [
    ("get", CallKind.RANGE, "lose_before", UNAVAILABLE, False),
    ("get", CallKind.RANGE, "lose_after", UNAVAILABLE, False),
    ("get", CallKind.RANGE, "fail_after", UNAVAILABLE, False),
    ("get", CallKind.RANGE, "down", UNAVAILABLE, False),
    ("get", CallKind.RANGE, "slow", UNAVAILABLE, False),
    ("swap", CallKind.TXN, "lose_before", UNKNOWN, False),
    ("swap", CallKind.TXN, "lose_after", UNKNOWN, True),
    ("swap", CallKind.TXN, "fail_after", UNKNOWN, True),
    ("swap", CallKind.TXN, "down", UNKNOWN, False),
    ("swap", CallKind.TXN, "slow", UNKNOWN, False),
    ("acquire", CallKind.RANGE, "lose_after", UNAVAILABLE, False),
    ("acquire", CallKind.GRANT, "lose_before", UNAVAILABLE, False),
    ("acquire", CallKind.GRANT, "lose_after", UNAVAILABLE, False),
    ("acquire", CallKind.TXN, "lose_before", UNAVAILABLE, False),
    ("acquire", CallKind.TXN, "lose_after", UNAVAILABLE, False),
    ("acquire", CallKind.TXN, "fail_after", UNAVAILABLE, False),
    ("acquire", CallKind.TXN, "lose_after and no revocation", UNKNOWN, True),
    ("renew", CallKind.KEEP_ALIVE, "lose_before", UNKNOWN, False),
    ("renew", CallKind.KEEP_ALIVE, "lose_after", UNKNOWN, False),
    ("renew", CallKind.KEEP_ALIVE, "slow", UNKNOWN, False),
    ("release", CallKind.REVOKE, "lose_before", UNKNOWN, False),
    ("release", CallKind.REVOKE, "lose_after", UNKNOWN, True),
]


@pytest.mark.parametrize(("method", "faulty_call", "fault", "error", "has_taken_effect"), FAULTS)
def test_a_fault_is_reported_with_its_possible_effect(
    method, faulty_call, fault, error, has_taken_effect
):
    async def scenario():
        timeout_ms = SHORT_TIMEOUT_MS if fault == "slow" else 10_000
        async with running_store(timeout_ms=timeout_ms) as (standin, store):
            version, lease = await prepare(store)
            faults = standin.faults
            if fault == "down":
                faults.down = True
            elif fault == "slow":
                faults.released.clear()
            elif fault == "lose_after and no revocation":
                faults.lose_after[faulty_call] = 1
                faults.lose_before[CallKind.REVOKE] = 1
            else:
                getattr(faults, fault)[faulty_call] = 1
            with pytest.raises(error):
                await call(method, store, version, lease)
            assert has_effect(method, standin) is has_taken_effect

    run(scenario)


@pytest.mark.parametrize("method", ["get", "swap", "acquire", "renew", "release"])
def test_a_refused_connection_is_reported_as_without_effect(method):
    async def scenario():
        async with running_store() as (standin, store):
            version, lease = await prepare(store)
            await standin.stop()
            with pytest.raises(UNAVAILABLE):
                await call(method, store, version, lease)

    run(scenario)


def test_values_versions_and_comparisons():
    async def scenario():
        async with running_store() as (_, store):
            assert await store.get(KEY) is None
            first = await swap(store, b"a", 0)
            assert await store.get(KEY) == (b"a", first)
            assert await swap(store, b"b", 0) is None
            second = await swap(store, b"b", first)
            assert second > first
            assert await swap(store, b"c", first) is None
            # A store that was restored can give a known version to another value.
            for value in (b"a", None, b"b"):
                other = KeyPrecondition(KEY, second, value)
                written = await store.compare_and_swap(key="x", value=b"", expected=[other])
                assert (written is None) is (value == b"a")
            # Every precondition must hold, as fencing requires.
            lease = await store.acquire_lease(key=LEASE, holder="h", ttl_ms=1_000)
            valid, stale = KeyPrecondition(LEASE, lease.key_version), KeyPrecondition(LEASE, first)
            expected = KeyPrecondition(KEY, second)
            for fencing, succeeds in ((stale, False), (valid, True)):
                written = await store.compare_and_swap(
                    key=KEY, value=b"d", expected=[expected, fencing]
                )
                assert (written is not None) is succeeds

    run(scenario)


def test_a_lease_expires_excludes_others_and_never_reuses_a_version():
    async def scenario():
        async with running_store() as (standin, store):
            first = await store.acquire_lease(key=LEASE, holder="entry-1", ttl_ms=1_500)
            assert await store.acquire_lease(key=LEASE, holder="entry-2", ttl_ms=1_500) is None
            # A TTL is in whole seconds, so the lease lasts 2 s; each renewal restarts it.
            standin.clock.milliseconds = 1_999
            assert await store.renew_lease(first)
            standin.clock.milliseconds = 3_998
            assert await store.renew_lease(first)
            standin.clock.milliseconds = 5_998
            assert not await store.renew_lease(first)
            second = await store.acquire_lease(key=LEASE, holder="entry-2", ttl_ms=1_500)
            assert second.key_version > first.key_version
            await store.release_lease(first)
            await store.release_lease(GrantedLease(lease_id=1, key_version=1))
            assert standin.state.get(LEASE).value == b"entry-2"
            await store.release_lease(second)
            assert standin.state.get(LEASE) is None

    run(scenario)


def test_a_lost_race_for_a_lease_leaves_no_lease_behind():
    async def scenario():
        async with running_store() as (standin, store):
            attempts = [
                store.acquire_lease(key=LEASE, holder=f"entry-{n}", ttl_ms=1_000) for n in range(5)
            ]
            granted = [lease for lease in await asyncio.gather(*attempts) if lease is not None]
            assert len(granted) == 1
            assert standin.calls()["lease/revoke"] == standin.calls()["lease/grant"] - 1

    run(scenario)


def test_other_endpoints_are_tried_only_when_that_is_safe():
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as unused:
            refused = f"http://127.0.0.1:{unused.getsockname()[1]}"
        async with running_store(extra_endpoints=[refused]) as (_, store):
            assert await swap(store, b"a", 0) is not None
        async with running_store() as (second, _):
            endpoints = [f"http://127.0.0.1:{second.port}"]
            async with running_store(extra_endpoints=endpoints) as (standin, store):
                second.faults.down = True
                assert await store.get(KEY) is None
                assert second.calls()["kv/range"] == 1
                # The endpoint that answered is tried first from now on.
                assert await store.get(KEY) is None
                assert second.calls()["kv/range"] == 1
                standin.faults.lose_after[CallKind.TXN] = 1
                with pytest.raises(UNKNOWN):
                    await swap(store, b"a", 0)
                assert "kv/txn" not in second.calls()

    run(scenario)


class WatchedValues:
    """Collects the values that a watch delivers."""

    def __init__(self):
        self.queue = asyncio.Queue()

    def __call__(self, stored):
        self.queue.put_nowait(stored)

    async def next(self):
        return (await self.queue.get()).value


def test_a_watch_delivers_each_later_value_and_resumes():
    async def scenario():
        async with running_store() as (standin, store):
            first = await swap(store, b"a", 0)
            values = WatchedValues()
            watch = store.watch(KEY, after_version=first, on_value=values)
            watching = asyncio.create_task(watch)
            while not standin.state.waiting_watches():
                await asyncio.sleep(0)
            second = await swap(store, b"b", first)
            assert await values.next() == b"b"
            await swap(store, b"c", second)
            assert await values.next() == b"c"
            assert (standin.calls()["watch"], standin.calls()["waiting watches"]) == (1, 1)
            watching.cancel()
            # A new watch begins after the version that it is given, so it delivers the later value.
            watch = store.watch(KEY, after_version=second, on_value=values)
            resumed = asyncio.create_task(watch)
            assert await values.next() == b"c"
            resumed.cancel()
            assert values.queue.empty()

    run(scenario)


def test_a_cancelled_watch_is_not_reported_as_a_fault_later(caplog):
    async def scenario():
        async with running_store(watch_duration_ms=SHORT_TIMEOUT_MS) as (standin, store):
            watch = store.watch(KEY, after_version=0, on_value=WatchedValues())
            watching = asyncio.create_task(watch)
            while not standin.state.waiting_watches():
                await asyncio.sleep(0)
            watching.cancel()
            # The client closes the connection when the watch duration is over.
            while standin.state.waiting_watches():
                await asyncio.sleep(0)
            assert caplog.records == []

    run(scenario)


@pytest.mark.parametrize("fault", ["lose_after", "lose_before", "stopped"])
def test_a_watch_that_is_cut_off_fails(fault):
    async def scenario():
        async with running_store() as (standin, store):
            if fault != "stopped":
                getattr(standin.faults, fault)[CallKind.WATCH] = 1
            watch = store.watch(KEY, after_version=0, on_value=WatchedValues())
            watching = asyncio.create_task(watch)
            if fault != "lose_before":
                while not standin.state.waiting_watches():
                    await asyncio.sleep(0)
                await swap(store, b"a", 0)
            if fault == "stopped":
                await standin.stop()
            with pytest.raises(UNAVAILABLE):
                await watching

    run(scenario)


@pytest.mark.parametrize(
    ("rewritten", "expected"),
    [
        pytest.param(None, b"a", id="the older value"),
        # The store gives the known version to another value, which no host ever read.
        pytest.param(b"c", b"c", id="another value under the known version"),
    ],
)
def test_a_watch_delivers_the_value_of_a_restored_store(rewritten, expected):
    async def scenario():
        # A restored store sends nothing on open watches; the next watch finds the value.
        async with running_store(watch_duration_ms=SHORT_TIMEOUT_MS) as (standin, store):
            first = await swap(store, b"a", 0)
            snapshot = standin.state.snapshot()
            second = await swap(store, b"b", first)
            values = WatchedValues()
            watch = store.watch(KEY, after_version=second, on_value=values)
            watching = asyncio.create_task(watch)
            while not standin.state.waiting_watches():
                await asyncio.sleep(0)
            standin.state.restore(snapshot)
            if rewritten is not None:
                assert await swap(store, rewritten, first) == second
            assert await values.next() == expected
            watching.cancel()

    run(scenario)


def test_a_watch_misses_no_value_while_it_is_opened_and_skips_deletions(monkeypatch):
    original = WatchHandler._answer

    async def put_and_answer(handler, faults):
        # The value is written after the adapter's read and before its watch.
        handler.standin.state.transact([], [Put(LEASE, b"a", 0)])
        await original(handler, faults)

    async def scenario():
        # The watch outlasts the scenario, as the read before the next watch would find the value.
        async with running_store(watch_duration_ms=60_000) as (standin, store):
            monkeypatch.setattr(WatchHandler, "_answer", put_and_answer)
            values = WatchedValues()
            watching = asyncio.create_task(store.watch(LEASE, after_version=0, on_value=values))
            assert await values.next() == b"a"
            monkeypatch.setattr(WatchHandler, "_answer", original)
            # The key is deleted with its lease.
            lease = await store.acquire_lease(key="other", holder="h", ttl_ms=1_000)
            put = Put(LEASE, b"b", lease.lease_id)
            standin.state.transact([], [put])
            await store.release_lease(lease)
            await swap(store, b"c", 0, key=LEASE)
            assert [await values.next(), await values.next()] == [b"b", b"c"]
            watching.cancel()

    run(scenario)


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{}\n",
        b"not json\n",
        b'{"error": {"message": "no"}}\n',
        b'{"result": {"canceled": true}}\n',
        b"x" * 2_000_001,
    ],
)
def test_a_watch_fails_on_an_unreadable_message(line, monkeypatch):
    async def scenario():
        async with running_store(watch_duration_ms=SHORT_TIMEOUT_MS) as (_, store):

            async def answer(handler, faults):
                handler.write(line)
                await handler.flush()
                await handler._closed.wait()

            monkeypatch.setattr(WatchHandler, "_answer", answer)
            with pytest.raises(UNAVAILABLE):
                await store.watch(KEY, after_version=0, on_value=WatchedValues())

    run(scenario)
