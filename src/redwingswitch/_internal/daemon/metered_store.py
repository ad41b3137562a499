"""Counts the calls to the store of the routes and backend servers, and reports its answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import (
    DomainReader,
    ListReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_list import ServerList, ServerListChanges, StoredRoutes
from redwingswitch._internal.models.store_knowledge import (
    ChangesRead,
    ProbeAnswered,
    RoutesRead,
    ServersRead,
    StaleListRead,
    StoreEvent,
    WholeListRead,
)
from redwingswitch._internal.ports import Clock, ServerListStore

Result = TypeVar("Result")


class MeteredStore:
    """Wraps a ``ServerListStore`` (see ``ports``) to count its calls by operation and result.

    ``report`` takes what answers show about the list, before they are applied. Whether other
    answers show that the store is back depends on the call, so those are not reported here.
    """

    def __init__(
        self,
        *,
        store: ServerListStore,
        metrics: SteeringMetrics,
        age_clock: Clock,
        report: Callable[[StoreEvent], object],
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._clock = age_clock
        self._report = report

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        """Return the full list; one that may be stale does not make the list younger."""
        call = self._store.read_all(may_be_stale=may_be_stale)
        operation = "stale_list" if may_be_stale else "list"
        began_ms = self._clock.now_ms()
        fleet = await self._call(operation, call)
        self._report(StaleListRead() if may_be_stale else WholeListRead(began_ms, fleet.revision))
        return fleet

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        """Return the changes after a revision."""
        call = self._store.read_changes(after_revision=after_revision, wait_ms=wait_ms)
        began_ms = self._clock.now_ms()
        changes = await self._call("changes", call)
        self._report(ChangesRead(began_ms, changes.revision))
        return changes

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        """Return the changes of backend servers after a revision; the routes must be read next."""
        call = self._store.read_server_changes(after_revision=after_revision)
        began_ms = self._clock.now_ms()
        changes = await self._call("changes", call)
        self._report(ServersRead(began_ms, changes.revision))
        return changes

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        """Return the newest routes."""
        operation = "stale_routes" if may_be_stale else "routes"
        routes = await self._call(operation, self._store.read_routes(may_be_stale=may_be_stale))
        if not may_be_stale:
            self._report(RoutesRead(routes.revision))
        return routes

    async def read_reader(self) -> RegisteredReader:
        """Return the reader's record, which may be stale."""
        return await self._call("reader", self._store.read_reader())

    async def read_other_readers(self) -> Sequence[DomainReader]:
        """Return the records of the readers of other failure domains."""
        return await self._call("other_readers", self._store.read_other_readers())

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        """Record ``reader`` as the host that reads the list for its failure domain.

        Does nothing if the record changed since revision ``expected``; returns the current record.
        """
        call = self._store.register_reader(reader, expected=expected)
        return await self._call("register_reader", call)

    async def probe(self, *, known_revision: int) -> int:
        """Return the store's revision while a watch waits for changes after ``known_revision``."""
        began_ms = self._clock.now_ms()
        revision = await self._call("probe", self._store.probe(known_revision=known_revision))
        self._report(ProbeAnswered(began_ms, revision, known_revision))
        return revision

    def close(self) -> None:
        """Close all connections."""
        self._store.close()

    async def _call(self, operation: str, call: Awaitable[Result]) -> Result:
        try:
            result = await call
        except StoreHistoryLostError:
            self._metrics.count("store_calls_total", operation, "history_lost")
            raise
        except StoreUnavailableError:
            self._metrics.count("store_calls_total", operation, "failed")
            raise
        self._metrics.count("store_calls_total", operation, "ok")
        return result
