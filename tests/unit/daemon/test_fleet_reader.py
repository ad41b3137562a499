"""Guards against outages that go unnoticed, and calls that wait while an outage ends."""

import asyncio
import random

import pytest

from redwingswitch._internal.daemon import fleet_reader
from redwingswitch._internal.daemon.fleet_reader import FleetReader
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.directory import Presence
from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.fleet_list import FleetChanges, FleetList, ServerChange
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.cookie_flows import route_table, server
from tests.lib.loops import run, turns

LISTED = ServerChange("i-1", server("i-1"), is_listed=True)
REMOVED = ServerChange("i-1", None, is_listed=False)


class ScriptedStore:
    """A store whose next results are queued; a watch waits for the queue."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.results: asyncio.Queue[FleetChanges | Exception] = asyncio.Queue()
        self.answers_probes = True

    async def read_all(self) -> FleetList:
        self.calls.append("all")
        return FleetList(routes=route_table(), servers=(LISTED,), revision=5)

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> FleetChanges:
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


def changes(*servers: ServerChange, revision: int) -> FleetChanges:
    return FleetChanges(routes=None, servers=servers, revision=revision)


@pytest.fixture(autouse=True)
def _fast(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("PAUSE_MS", "PROBE_INTERVAL_MS", "FIRST_RETRY_MS", "LAST_RETRY_MS"):
        monkeypatch.setattr(fleet_reader, name, 2)


class Reading:
    """A reader that runs against a scripted store."""

    async def __aenter__(self) -> "Reading":
        self.store = ScriptedStore()
        self.steering = CookieSteering(failure_domain="huon", random_source=random.Random(1))
        self.reader = FleetReader(
            store=self.store,
            steering=self.steering,
            clock=MonotonicClock(),
            random_source=random.Random(1),
            metrics=SteeringMetrics(),
            on_change=lambda: None,
        )
        self.task = asyncio.create_task(self.reader.run())
        await turns(lambda: len(self.store.calls) > 1)
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def watches(self) -> list[str]:
        return [call for call in self.store.calls if call.startswith("after")]


def test_a_long_watch_follows_the_first_read() -> None:
    async def scenario() -> None:
        async with Reading() as reading:
            assert reading.store.calls[:2] == ["all", f"after 5 wait {fleet_reader.WAIT_MS}"]
            assert reading.steering.routes is not None

    run(scenario())


def test_an_outage_under_a_waiting_watch_is_noticed_and_its_end_is_not_waited_for() -> None:
    # Found on a played day: entries that lapsed in an outage of 5 s, which the waiting watch did
    # not notice, were taken for servers that had ended, and their flows were reset.
    async def scenario() -> None:
        async with Reading() as reading:
            reading.store.answers_probes = False
            await turns(lambda: not reading.reader.is_reachable)
            await turns(lambda: reading.watches()[-1] == "after 5 wait 0")
            reading.store.answers_probes = True
            reading.store.results.put_nowait(changes(REMOVED, revision=9))
            await turns(lambda: reading.reader.is_reachable)
            known = reading.steering.directory.get("i-1")
            assert known is not None
            assert known.presence(MonotonicClock().now_ms()) is Presence.LAPSED

    run(scenario())


def test_lost_history_is_followed_by_a_whole_read() -> None:
    async def scenario() -> None:
        async with Reading() as reading:
            reading.store.results.put_nowait(StoreHistoryLostError("gone"))
            await turns(lambda: reading.store.calls.count("all") == 2)
            assert reading.reader.is_reachable

    run(scenario())


def test_changes_are_followed_from_the_revision_that_they_reached() -> None:
    async def scenario() -> None:
        async with Reading() as reading:
            reading.store.results.put_nowait(changes(revision=17))
            await turns(lambda: any("after 17" in call for call in reading.watches()))

    run(scenario())
