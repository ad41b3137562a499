"""Keeps the routes and the list of backend servers in sync with the platform's store.

The platform is the environment that the users run. Its store (see ``ports.ServerListStore``) has
the routes, which operators write, and one entry per backend server, which the server renews.

To save calls to the store, the hosts of a failure domain share the list: one of them, the reader,
reads it and sends the changes, called its feed, to the others, its followers. A host claims the
role of the reader by writing its own address into the domain's reader record in the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.server_list_exchange import ServerListExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_readers import RegisteredReader
from redwingswitch._internal.models.list_sharing import ListSharingRole, ReceivedChanges
from redwingswitch._internal.models.server_list import (
    RoutesChange,
    ServerList,
    ServerListChanges,
)
from redwingswitch._internal.ports import Clock, RandomSource, ServerListStore
from redwingswitch._internal.utils.event_log import EventLog

MS_PER_S = 1_000
# A server's entry expires after three missed reports, which takes 2 s or more. A probe detects a
# store outage of that length before the entries that expired during it are taken for stopped
# servers.
PROBE_INTERVAL_MS = 1_000
# Keeps a watch that answers immediately from causing an extra probe.
MIN_PROBE_DELAY_MS = 50
# A change is read immediately after a period without changes. While changes continue, the list is
# read this many times within the time limit for noticing a leaving server.
READS_PER_AGE_LIMIT = 3
# A follower abandons a reader whose list is older than this part of that limit. This is longer than
# one read interval and a lost datagram, and leaves a third of the limit for the follower to read
# the store itself.
READER_AGE_LIMIT_RATIO = 2 / 3
# The platform allows 30 s. TCP keep-alive closes a silent connection earlier than that.
MAX_WATCH_WAIT_MS = 20_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 1_000
# After the store lost its history, every host reads the full list; a random delay up to this limit
# spreads these reads.
MAX_RELOAD_JITTER_MS = 100
# How often a host checks whether its reader is silent and whether a request is due.
FOLLOW_CHECK_INTERVAL_MS = 250


def reader_age_limit_ms(list_age_limit_ms: int) -> int:
    """Return the age of a reader's list at which its followers read the store themselves."""
    return int(list_age_limit_ms * READER_AGE_LIMIT_RATIO)


class ServerListSynchronizer:
    """Reads the full list once and then watches for changes, until cancelled.

    While another host of the failure domain reads the list for this one (``ListRole.FOLLOWING``),
    only the routes are watched in the store; the changes of the list arrive through ``peers``.
    """

    def __init__(
        self,
        *,
        store: ServerListStore,
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
        self._event_log = EventLog(part="fleet", clock=clock)
        self._read_interval_ms = list_age_limit_ms // READS_PER_AGE_LIMIT
        self._on_change = on_change
        self._consecutive_failures = 0
        self._has_list = False
        self._routes_revision = 0
        self._role = ListSharingRole.READING
        self.peers = ServerListExchange(
            sharing=sharing,
            clock=age_clock,
            metrics=metrics,
            list_age_ms=self._store.time_since_answer_ms,
            on_changes=self._apply_feed_changes,
        )

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._consecutive_failures == 0

    @property
    def role(self) -> ListSharingRole:
        """Return how this host gets the list."""
        return self._sharing.role(self._age_clock.now_ms())

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        if self.role is ListSharingRole.FOLLOWING:
            return self._sharing.list_age_ms(self._age_clock.now_ms())
        return self._store.time_since_answer_ms()

    async def run(self) -> None:
        """Keep the list up to date; a failing store only delays this."""
        request_task = asyncio.create_task(self._send_due_requests())
        try:
            while not request_task.done():
                await asyncio.sleep(await self._read_and_get_delay_ms() / MS_PER_S)
            # The task ends only because of a bug; this raises its exception.
            request_task.result()
        finally:
            request_task.cancel()

    async def _read_and_get_delay_ms(self) -> int:
        """Read once; return the delay until the next read."""
        try:
            await self._read_once()
        except StoreHistoryLostError as error:
            self._event_log.info("history lost", revision=self._sharing.revision, reason=error)
            self._has_list = False
            return int(self._random.random() * MAX_RELOAD_JITTER_MS)
        except StoreUnavailableError as error:
            return self._on_failure(error)
        return 0 if self._update_role() else self._read_interval_ms

    async def _read_once(self) -> None:
        if not self._has_list:
            self._apply_list(await self._store.read_all())
        elif self.role is ListSharingRole.FOLLOWING:
            await self._follow_reader()
        elif self._consecutive_failures:
            # Without a wait, so that the end of an outage is noticed immediately.
            self._apply_changes(await self._read_changes(wait_ms=0))
        else:
            await self._claim_if_due()
            changes = await self._watch_changes()
            if changes is not None:
                self._apply_changes(changes)

    async def _send_due_requests(self) -> None:
        while True:
            self._store.on_tick()
            self.peers.request_if_due()
            await asyncio.sleep(FOLLOW_CHECK_INTERVAL_MS / MS_PER_S)

    async def _follow_reader(self) -> None:
        """Watch the routes until they change or the reader is lost."""
        wait_ms = 0 if self._consecutive_failures else MAX_WATCH_WAIT_MS
        watch = asyncio.create_task(self._read_routes(wait_ms=wait_ms))
        reader_lost = asyncio.create_task(self._wait_for_role(following=False))
        if watch in await _wait_for_first(watch, reader_lost):
            self._apply_routes_change(await watch)
            return
        self._sharing.on_reader_lost(self._age_clock.now_ms())
        self._update_role()
        # Reads the changes that the reader did not send, before the next watch waits.
        self._apply_routes_change(await self._read_routes(wait_ms=0))
        self._apply_changes(await self._read_changes(wait_ms=0))

    async def _wait_for_role(self, *, following: bool) -> None:
        while (self.role is ListSharingRole.FOLLOWING) is not following:
            await asyncio.sleep(FOLLOW_CHECK_INTERVAL_MS / MS_PER_S)

    async def _claim_if_due(self) -> None:
        """Try to become the reader of the failure domain if a claim is due."""
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        local = self._sharing.local_reader
        if local is None or deadline_ms is None or now_ms < deadline_ms:
            return
        self._sharing.on_claim_attempt()
        expected = self._sharing.registered_reader.revision
        registered = await self._store.register_reader(local, expected=expected)
        self._apply_reader_record(registered)

    async def _watch_changes(self) -> ServerListChanges | None:
        """Wait for changes; return None when this host starts to follow a reader.

        Raises the error of a failed probe.
        """
        watch = asyncio.create_task(self._read_changes(wait_ms=self._watch_wait_ms()))
        probe_task = asyncio.create_task(self._probe_until_failure())
        role_change = asyncio.create_task(self._wait_for_role(following=True))
        done = await _wait_for_first(watch, probe_task, role_change)
        if watch in done:
            return await watch
        if probe_task in done:
            await probe_task
        return None

    def _watch_wait_ms(self) -> int:
        """Return how long to wait for changes: at most until the next claim of the reader role."""
        now_ms = self._age_clock.now_ms()
        deadline_ms = self._sharing.claim_deadline_ms(now_ms)
        if deadline_ms is None:
            return MAX_WATCH_WAIT_MS
        return min(MAX_WATCH_WAIT_MS, max(1, deadline_ms - now_ms))

    async def _probe_until_failure(self) -> NoReturn:
        while True:
            # Without probes, the list would seem too old to the followers, which then abandon this
            # reader.
            delay_ms = max(
                MIN_PROBE_DELAY_MS, PROBE_INTERVAL_MS - self._store.time_since_answer_ms()
            )
            await asyncio.sleep(delay_ms / MS_PER_S)
            await self._store.probe()

    async def _read_changes(self, *, wait_ms: int) -> ServerListChanges:
        return await self._store.read_changes(
            after_revision=self._sharing.revision, wait_ms=wait_ms
        )

    async def _read_routes(self, *, wait_ms: int) -> RoutesChange:
        return await self._store.read_routes(after_revision=self._routes_revision, wait_ms=wait_ms)

    def _apply_list(self, fleet: ServerList) -> None:
        now_ms = self._record_list_read()
        self._has_list = True
        self._routes_revision = fleet.revision
        if self._sharing.is_outdated(fleet.revision):
            self._apply_outdated_response(fleet.routes, fleet.reader)
            return
        changed = self._steering.directory.replace(fleet.servers, now_ms)
        self._sharing.on_list_read(fleet.revision, self._age_clock.now_ms())
        self._finish_read(fleet.routes, changed)
        self._apply_reader_record(fleet.reader)

    def _apply_changes(self, fleet: ServerListChanges) -> None:
        now_ms = self._record_list_read()
        self._routes_revision = max(self._routes_revision, fleet.revision)
        if self._sharing.is_outdated(fleet.revision):
            self._apply_outdated_response(fleet.routes, fleet.reader)
            return
        changed = self._steering.directory.update(fleet.servers, now_ms)
        self._sharing.on_changes_read(fleet.servers, fleet.revision, self._age_clock.now_ms())
        self._finish_read(fleet.routes, changed)
        if fleet.reader is not None:
            self._apply_reader_record(fleet.reader)

    def _finish_read(self, routes: RouteTable | None, changed: Iterable[str]) -> None:
        self._apply_routes(routes)
        self._log_servers(changed)
        self.peers.notify_followers()
        self._on_change()

    def _apply_outdated_response(
        self, routes: RouteTable | None, reader: RegisteredReader | None
    ) -> None:
        """Apply only the routes and the reader record of a response that is older than the feed."""
        self._apply_routes(routes)
        if reader is not None:
            self._apply_reader_record(reader)
        self._on_change()

    def _apply_reader_record(self, registered: RegisteredReader) -> None:
        before = self._sharing.registered_reader.reader
        self._sharing.on_reader_registered(registered, self._age_clock.now_ms())
        reader = self._sharing.registered_reader.reader
        if reader == before or reader is None:
            return
        self._event_log.info(
            "reader recorded", host=reader.host, store_revision=registered.revision
        )
        self.peers.request_changes()

    def _apply_routes_change(self, change: RoutesChange) -> None:
        self._record_store_response()
        self._routes_revision = change.revision
        self._apply_routes(change.routes)
        self._on_change()

    def _apply_feed_changes(self, received: ReceivedChanges) -> None:
        directory = self._steering.directory
        now_ms = self._clock.now_ms()
        if received.after_outage:
            directory.on_list_lost()
        if received.is_fresh:
            directory.on_list_read(now_ms)
        if not received.changes:
            return
        self._log_servers(directory.update(received.changes, now_ms))
        self._on_change()

    def _apply_routes(self, routes: RouteTable | None) -> None:
        if routes is not None and self._steering.apply_routes(routes):
            self._event_log.info(
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
            self._event_log.info(
                "server changed",
                server=server.server_id,
                service=server.service,
                failure_domain=server.failure_domain,
                state=server.state,
                presence=known.presence(self._clock.now_ms()),
                store_revision=self._sharing.revision,
            )

    def _update_role(self) -> bool:
        """Log a change of the role; return whether it changed."""
        role = self.role
        if role is self._role:
            return False
        reader = self._sharing.registered_reader.reader
        self._event_log.info("list role", role=role, reader=reader.host if reader else "none")
        self._role = role
        return True

    def _record_store_response(self) -> None:
        if self._consecutive_failures:
            self._event_log.info("store regained", failures=self._consecutive_failures)
        self._consecutive_failures = 0

    def _record_list_read(self) -> int:
        """Record a successful read of the list from the store; return the current time."""
        self._record_store_response()
        now_ms = self._clock.now_ms()
        self._steering.directory.on_list_read(now_ms)
        return now_ms

    def _on_failure(self, error: StoreUnavailableError) -> int:
        self._consecutive_failures += 1
        if self.role is not ListSharingRole.FOLLOWING:
            self._sharing.on_store_lost()
            self._steering.directory.on_list_lost()
        retry_delay_ms = backoff_ms(
            self._consecutive_failures, self._random, base_ms=MIN_RETRY_MS, limit_ms=MAX_RETRY_MS
        )
        if self._consecutive_failures == 1:
            self._event_log.warning("store lost", reason=error, retry_ms=retry_delay_ms)
        return retry_delay_ms


async def _wait_for_first(*tasks: asyncio.Task[Any]) -> set[asyncio.Task[Any]]:
    """Wait until one of the tasks is done and cancel the others; return the tasks that are done."""
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return done
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
