"""Keeps the routes and the list of backend servers up to date from the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from logbook import Logger

from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.fleet_list import FleetChanges, FleetList
from redwingswitch._internal.ports import Clock, FleetStore, RandomSource

log = Logger("fleet")

MS_PER_S = 1_000
# Servers write about once a second, so each call returns soon after it is made. The pause bounds
# the calls to one a second; a change is known within the pause, of the 3 s that it may take.
PAUSE_MS = 1_000
# A connection that has gone silent is given up after this time and the call's time limit.
WAIT_MS = 2_000
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
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._steering = steering
        self._clock = clock
        self._random = random_source
        self._on_change = on_change
        self._failures = 0
        self._revision: int | None = None

    @property
    def is_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._failures == 0

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
            return
        changes = await self._store.read_changes(after_revision=self._revision, wait_ms=WAIT_MS)
        self._take_changes(changes)

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
        self._steering.directory.on_list_read(self._clock.now_ms())

    def _on_failure(self, error: StoreUnavailableError) -> int:
        self._failures += 1
        self._steering.directory.on_list_lost()
        pause_ms = backoff_ms(
            self._failures, self._random, base_ms=FIRST_RETRY_MS, limit_ms=LAST_RETRY_MS
        )
        if self._failures == 1:
            log.warning(f"store lost reason={error} retry_ms={pause_ms}")
        return pause_ms
