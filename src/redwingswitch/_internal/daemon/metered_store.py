"""Counts the calls to the store of the routes and backend servers, and times its last answer."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.list_age import ListAge
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.server_list import RoutesChange, ServerList, ServerListChanges
from redwingswitch._internal.ports import Clock, ServerListStore

Result = TypeVar("Result")


class MeteredStore:
    """Wraps a ``ServerListStore`` (see ``ports``) to count its calls by operation and result."""

    def __init__(
        self, *, store: ServerListStore, metrics: SteeringMetrics, age_clock: Clock
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._clock = age_clock
        self._list_age = ListAge(now_ms=age_clock.now_ms())

    def time_since_answer_ms(self) -> int:
        """Return milliseconds since the store last answered."""
        return self._list_age.age_ms(self._clock.now_ms())

    def on_tick(self) -> None:
        """Record that the host is running; must be called several times a second."""
        self._list_age.on_tick(self._clock.now_ms())

    async def read_all(self) -> ServerList:
        """Return the full list."""
        return await self._call("list", self._store.read_all())

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        """Return the changes after a revision."""
        call = self._store.read_changes(after_revision=after_revision, wait_ms=wait_ms)
        return await self._call("changes", call)

    async def read_routes(self, *, after_revision: int, wait_ms: int) -> RoutesChange:
        """Return the routes when they change after a revision."""
        call = self._store.read_routes(after_revision=after_revision, wait_ms=wait_ms)
        return await self._call("routes", call)

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        """Record ``reader`` as the host that reads the list for its failure domain.

        Does nothing if the record changed since revision ``expected``; returns the current record.
        """
        call = self._store.register_reader(reader, expected=expected)
        return await self._call("register_reader", call)

    async def probe(self) -> None:
        """Wait until the store answers."""
        await self._call("probe", self._store.probe())

    def close(self) -> None:
        """Close all connections."""
        self._store.close()

    async def _call(self, operation: str, call: Awaitable[Result]) -> Result:
        began_ms = self._clock.now_ms()
        try:
            result = await call
        except StoreHistoryLostError:
            self._metrics.count("store_calls_total", operation, "history_lost")
            raise
        except StoreUnavailableError:
            self._metrics.count("store_calls_total", operation, "failed")
            raise
        self._metrics.count("store_calls_total", operation, "ok")
        self._list_age.on_response(began_ms, self._clock.now_ms())
        return result
