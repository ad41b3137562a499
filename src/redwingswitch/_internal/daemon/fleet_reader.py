"""Keeps the routes and the list of backend servers up to date from the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NoReturn

from logbook import Logger

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.fleet_list import FleetChanges, FleetList
from redwingswitch._internal.ports import Clock, FleetStore, RandomSource

log = Logger("fleet")

MS_PER_S = 1_000
# Entries lapse after three reports of a server, 2 s or more. An outage of that length meets a
# probe, and is known before entries that lapsed in it are taken for servers that ended.
PROBE_INTERVAL_MS = 1_000
# A change is known at once after a quiet time, and within the pause, of the 3 s that it may take,
# while changes follow each other. The pause bounds the calls of a busy time to one a second.
PAUSE_MS = 1_000
# The platform allows 30 s. Keep-alive probes end a connection that has gone silent sooner.
WAIT_MS = 20_000
FIRST_RETRY_MS = 100
LAST_RETRY_MS = 1_000
# After lost history every host reads the whole list; the pause spreads these reads.
HISTORY_LOST_SPREAD_MS = 100


class FleetReader:
    """Reads the list once, then follows its changes, until cancelled."""

    def __init__(
        self,
        *,
        store: FleetStore,
        steering: CookieSteering,
        clock: Clock,
        random_source: RandomSource,
        metrics: SteeringMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._steering = steering
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._answered_ms = clock.now_ms()
        self._on_change = on_change
        self._failures = 0
        self._revision: int | None = None

    @property
    def is_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._failures == 0

    def list_age_ms(self) -> int:
        """Return milliseconds since the store last answered, or since the start."""
        return self._clock.now_ms() - self._answered_ms

    async def run(self) -> None:
        """Follow the list; failures of the store only delay it."""
        while True:
            try:
                await self._read_once()
                pause_ms = PAUSE_MS
            except StoreHistoryLostError as error:
                log.info(f"history lost revision={self._revision} reason={error}")
                self._revision = None
                pause_ms = int(self._random.random() * HISTORY_LOST_SPREAD_MS)
            except StoreUnavailableError as error:
                pause_ms = self._on_failure(error)
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def _read_once(self) -> None:
        if self._revision is None:
            self._take_list(await self._store.read_all())
            self._metrics.count("store_calls_total", "list", "ok")
        elif self._failures:
            # No waiting: the end of an outage must be seen at once.
            self._take_changes(await self._changes(self._revision, wait_ms=0))
        else:
            self._take_changes(await self._watch(self._revision))

    async def _watch(self, revision: int) -> FleetChanges:
        """Wait for changes, as long as the store answers probes."""
        watch = asyncio.create_task(self._changes(revision, wait_ms=WAIT_MS))
        probes = asyncio.create_task(self._probe_until_failure())
        tasks: set[asyncio.Task[FleetChanges]] = {watch, probes}
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return await (watch if watch in done else probes)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _probe_until_failure(self) -> NoReturn:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
            await self._store.probe()
            self._answered_ms = self._clock.now_ms()
            self._metrics.count("store_calls_total", "probe", "ok")

    async def _changes(self, revision: int, *, wait_ms: int) -> FleetChanges:
        changes = await self._store.read_changes(after_revision=revision, wait_ms=wait_ms)
        self._metrics.count("store_calls_total", "changes", "ok")
        return changes

    def _take_list(self, fleet: FleetList) -> None:
        self._note_success()
        now_ms = self._clock.now_ms()
        changed = self._steering.directory.replace(fleet.servers, now_ms)
        self._take(fleet.routes, changed, fleet.revision)

    def _take_changes(self, changes: FleetChanges) -> None:
        self._note_success()
        now_ms = self._clock.now_ms()
        changed = self._steering.directory.update(changes.servers, now_ms)
        self._take(changes.routes, changed, changes.revision)

    def _take(self, routes: RouteTable | None, changed: list[str], revision: int) -> None:
        self._revision = revision
        if routes is not None and self._steering.apply_routes(routes):
            log.info(
                f"routes in force version={routes.version} routes={len(routes.routes)} "
                f"store_revision={revision}"
            )
        for server_id in changed:
            self._log_server(server_id, revision)
        self._on_change()

    def _log_server(self, server_id: str, revision: int) -> None:
        known = self._steering.directory.get(server_id)
        if known is None:
            return
        server = known.server
        log.info(
            f"server changed server={server_id} service={server.service} "
            f"failure_domain={server.failure_domain} state={server.state} "
            f"presence={known.presence(self._clock.now_ms())} store_revision={revision}"
        )

    def _note_success(self) -> None:
        if self._failures:
            log.info(f"store regained failures={self._failures}")
        self._failures = 0
        self._answered_ms = self._clock.now_ms()
        self._steering.directory.on_list_read(self._answered_ms)

    def _on_failure(self, error: StoreUnavailableError) -> int:
        self._failures += 1
        self._metrics.count("store_calls_total", "any", "failed")
        self._steering.directory.on_list_lost()
        pause_ms = backoff_ms(
            self._failures, self._random, base_ms=FIRST_RETRY_MS, limit_ms=LAST_RETRY_MS
        )
        if self._failures == 1:
            log.warning(f"store lost reason={error} retry_ms={pause_ms}")
        return pause_ms
