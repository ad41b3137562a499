"""Keeps the routes and the list of backend servers up to date from the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

from redwingswitch._internal.daemon.list_peers import ListPeers
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.fleet_list import (
    FleetChanges,
    FleetList,
    RoutesChange,
)
from redwingswitch._internal.models.list_readers import RegisteredReader
from redwingswitch._internal.models.list_sharing import ListRole, ReceivedChanges
from redwingswitch._internal.ports import Clock, FleetStore, RandomSource
from redwingswitch._internal.utils.event_log import EventLog

MS_PER_S = 1_000
# Entries lapse after three reports of a server, 2 s or more. An outage of that length meets a
# probe, and is known before entries that lapsed in it are taken for servers that ended.
PROBE_INTERVAL_MS = 1_000
# A watch that answers at once needs no probe beside it.
SHORTEST_PROBE_PAUSE_MS = 50
# A change is known at once after a quiet time, and within the pause while changes follow each
# other: this part of the time in which a leaving server must be known.
PAUSES_PER_AGE_LIMIT = 3
# A reader is given up when its list was last fresh this part of that time ago: longer than a pause
# and a lost datagram, with a third of the time left for this host to read by itself.
READER_AGE_RATIO = 2 / 3
# The platform allows 30 s. Keep-alive probes end a connection that has gone silent sooner.
WAIT_MS = 20_000
FIRST_RETRY_MS = 100
LAST_RETRY_MS = 1_000
# After lost history every host reads the whole list; the pause spreads these reads.
HISTORY_LOST_SPREAD_MS = 100
# How often a host looks whether its reader has gone silent, and whether a request is due.
FOLLOW_CHECK_MS = 250


def reader_age_limit_ms(list_age_limit_ms: int) -> int:
    """Return the age of a reader's list from which its followers read by themselves."""
    return int(list_age_limit_ms * READER_AGE_RATIO)


class FleetReader:
    """Reads the list once, then follows its changes, until cancelled.

    While another host of the failure domain reads the list for this one, only the routes are
    watched.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        steering: CookieSteering,
        sharing: ListSharing,
        clock: Clock,
        age_clock: Clock,
        random_source: RandomSource,
        metrics: SteeringMetrics,
        list_age_limit_ms: int,
        on_change: Callable[[], None],
    ) -> None:
        self._store = MeteredStore(store=store, metrics=metrics, age_clock=age_clock)
        self._steering = steering
        self._sharing = sharing
        self._clock = clock
        self._age_clock = age_clock
        self._random = random_source
        self._events = EventLog(part="fleet", clock=clock)
        self._pause_ms = list_age_limit_ms // PAUSES_PER_AGE_LIMIT
        self._on_change = on_change
        self._failures = 0
        self._has_list = False
        self._routes_revision = 0
        self._role = ListRole.READING
        self.peers = ListPeers(
            sharing=sharing,
            clock=age_clock,
            metrics=metrics,
            list_age_ms=self._store.age_ms,
            on_changes=self._take_followed,
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._failures == 0

    @property
    def role(self) -> ListRole:
        """Return where this host has the list from."""
        return self._sharing.role(self._age_clock.now_ms())

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        if self.role is ListRole.FOLLOWING:
            return self._sharing.list_age_ms(self._age_clock.now_ms())
        return self._store.age_ms()

    async def run(self) -> None:
        """Follow the list; failures of the store only delay it."""
        asking = asyncio.create_task(self._ask_peers())
        try:
            while not asking.done():
                await asyncio.sleep(await self._step() / MS_PER_S)
            # It ends only by a fault of the program.
            asking.result()
        finally:
            asking.cancel()

    async def _step(self) -> int:
        """Read once; return the pause until the next reading in milliseconds."""
        try:
            await self._read_once()
        except StoreHistoryLostError as error:
            self._events.info("history lost", revision=self._sharing.revision, reason=error)
            self._has_list = False
            return int(self._random.random() * HISTORY_LOST_SPREAD_MS)
        except StoreUnavailableError as error:
            return self._on_failure(error)
        return 0 if self._note_role() else self._pause_ms

    async def _read_once(self) -> None:
        if not self._has_list:
            self._take_list(await self._store.read_all())
        elif self.role is ListRole.FOLLOWING:
            await self._follow()
        elif self._failures:
            # No waiting: the end of an outage must be seen at once.
            self._take_changes(await self._changes(wait_ms=0))
        else:
            await self._claim_when_due()
            changes = await self._watch()
            if changes is not None:
                self._take_changes(changes)

    async def _ask_peers(self) -> None:
        while True:
            self._store.on_tick()
            self.peers.ask_when_due()
            await asyncio.sleep(FOLLOW_CHECK_MS / MS_PER_S)

    async def _follow(self) -> None:
        """Watch the routes as long as another host reads the list for this one."""
        wait_ms = 0 if self._failures else WAIT_MS
        watch = asyncio.create_task(self._routes(wait_ms=wait_ms))
        lost = asyncio.create_task(self._until_role_is(following=False))
        if watch in await _first_done(watch, lost):
            self._take_routes(await watch)
            return
        self._sharing.on_reader_lost(self._age_clock.now_ms())
        self._note_role()
        # What the feed has not brought must be known before the next watch waits.
        self._take_routes(await self._routes(wait_ms=0))
        self._take_changes(await self._changes(wait_ms=0))

    async def _until_role_is(self, *, following: bool) -> None:
        while (self.role is ListRole.FOLLOWING) is not following:
            await asyncio.sleep(FOLLOW_CHECK_MS / MS_PER_S)

    async def _claim_when_due(self) -> None:
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        local = self._sharing.local
        if local is None or deadline_ms is None or now_ms < deadline_ms:
            return
        self._sharing.on_claim_attempt()
        expected = self._sharing.registered.revision
        found = await self._store.register_reader(local, expected=expected)
        self._take_reader(found)

    async def _watch(self) -> FleetChanges | None:
        """Wait for changes, as long as the store answers probes and no reader is followed."""
        watch = asyncio.create_task(self._changes(wait_ms=self._watch_wait_ms()))
        probes = asyncio.create_task(self._probe_until_failure())
        following = asyncio.create_task(self._until_role_is(following=True))
        done = await _first_done(watch, probes, following)
        if watch in done:
            return await watch
        if probes in done:
            await probes
        return None

    def _watch_wait_ms(self) -> int:
        """Return the time to wait for changes: not beyond a planned claim of the reader's part."""
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        if deadline_ms is None:
            return WAIT_MS
        return min(WAIT_MS, max(1, deadline_ms - now_ms))

    async def _probe_until_failure(self) -> NoReturn:
        while True:
            # Followers give a reader up whose list gets too old.
            due_ms = max(SHORTEST_PROBE_PAUSE_MS, PROBE_INTERVAL_MS - self._store.age_ms())
            await asyncio.sleep(due_ms / MS_PER_S)
            await self._store.probe()

    async def _changes(self, *, wait_ms: int) -> FleetChanges:
        return await self._store.read_changes(
            after_revision=self._sharing.revision, wait_ms=wait_ms
        )

    async def _routes(self, *, wait_ms: int) -> RoutesChange:
        return await self._store.read_routes(after_revision=self._routes_revision, wait_ms=wait_ms)

    def _take_list(self, fleet: FleetList) -> None:
        now_ms = self._note_success()
        self._has_list = True
        self._routes_revision = fleet.revision
        if self._sharing.is_outdated(fleet.revision):
            self._take_beside_feed(fleet.routes, fleet.reader)
            return
        changed = self._steering.directory.replace(fleet.servers, now_ms)
        self._sharing.on_list_read(fleet.revision, self._age_clock.now_ms())
        self._finish_read(fleet.routes, changed)
        self._take_reader(fleet.reader)

    def _take_changes(self, fleet: FleetChanges) -> None:
        now_ms = self._note_success()
        self._routes_revision = max(self._routes_revision, fleet.revision)
        if self._sharing.is_outdated(fleet.revision):
            self._take_beside_feed(fleet.routes, fleet.reader)
            return
        changed = self._steering.directory.update(fleet.servers, now_ms)
        self._sharing.on_changes_read(fleet.servers, fleet.revision, self._age_clock.now_ms())
        self._finish_read(fleet.routes, changed)
        if fleet.reader is not None:
            self._take_reader(fleet.reader)

    def _finish_read(self, routes: RouteTable | None, changed: Iterable[str]) -> None:
        self._apply_routes(routes)
        self._log_servers(changed)
        self.peers.tell_followers()
        self._on_change()

    def _take_beside_feed(self, routes: RouteTable | None, reader: RegisteredReader | None) -> None:
        """Take what the feed does not bring from a response that it has overtaken."""
        self._apply_routes(routes)
        if reader is not None:
            self._take_reader(reader)
        self._on_change()

    def _take_reader(self, registered: RegisteredReader) -> None:
        before = self._sharing.registered.reader
        self._sharing.on_registered(registered, self._age_clock.now_ms())
        reader = self._sharing.registered.reader
        if reader == before or reader is None:
            return
        self._events.info("reader recorded", host=reader.host, store_revision=registered.revision)
        self.peers.ask()

    def _take_routes(self, change: RoutesChange) -> None:
        self._note_answer()
        self._routes_revision = change.revision
        self._apply_routes(change.routes)
        self._on_change()

    def _take_followed(self, taken: ReceivedChanges) -> None:
        directory = self._steering.directory
        now_ms = self._clock.now_ms()
        if taken.after_outage:
            directory.on_list_lost()
        if taken.is_fresh:
            directory.on_list_read(now_ms)
        if not taken.changes:
            return
        self._log_servers(directory.update(taken.changes, now_ms))
        self._on_change()

    def _apply_routes(self, routes: RouteTable | None) -> None:
        if routes is not None and self._steering.apply_routes(routes):
            self._events.info(
                "routes in force",
                version=routes.version,
                routes=len(routes.routes),
                store_revision=self._routes_revision,
            )

    def _log_servers(self, server_ids: Iterable[str]) -> None:
        for server_id in server_ids:
            known = self._steering.directory.get(server_id)
            if known is None:
                continue
            server = known.server
            self._events.info(
                "server changed",
                server=server.server_id,
                service=server.service,
                failure_domain=server.failure_domain,
                state=server.state,
                presence=known.presence(self._clock.now_ms()),
                store_revision=self._sharing.revision,
            )

    def _note_role(self) -> bool:
        """Return whether the role has changed."""
        role = self.role
        if role is self._role:
            return False
        reader = self._sharing.registered.reader
        self._events.info("list role", role=role, reader=reader.host if reader else "none")
        self._role = role
        return True

    def _note_answer(self) -> None:
        if self._failures:
            self._events.info("store regained", failures=self._failures)
        self._failures = 0

    def _note_success(self) -> int:
        """Note that the list was read from the store; return the time."""
        self._note_answer()
        now_ms = self._clock.now_ms()
        self._steering.directory.on_list_read(now_ms)
        return now_ms

    def _on_failure(self, error: StoreUnavailableError) -> int:
        self._failures += 1
        if self.role is not ListRole.FOLLOWING:
            self._sharing.on_store_lost()
            self._steering.directory.on_list_lost()
        pause_ms = backoff_ms(
            self._failures, self._random, base_ms=FIRST_RETRY_MS, limit_ms=LAST_RETRY_MS
        )
        if self._failures == 1:
            self._events.warning("store lost", reason=error, retry_ms=pause_ms)
        return pause_ms


async def _first_done(*tasks: asyncio.Task[Any]) -> set[asyncio.Task[Any]]:
    """Wait for the first of the tasks to end; cancel the others."""
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return done
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
