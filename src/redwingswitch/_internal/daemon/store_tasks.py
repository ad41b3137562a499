"""Performs the actions that use the platform's key-value service.

The service, etcd or one with its API, is run by the users. It holds the accepted configuration and,
per failure domain, the lease that lets one host watch it for the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, TypeVar

from logbook import Logger

from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    decode_document,
    encode_document,
)
from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.exceptions import (
    DecodeError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.actions import (
    AcquireLease,
    ReleaseLease,
    RestoreDocument,
    WatchStore,
)
from redwingswitch._internal.models.events import (
    Event,
    LeaseGranted,
    LeaseRefused,
    StoreDocumentArrived,
    StoreUnavailable,
)
from redwingswitch._internal.ports import (
    ConfigStore,
    GrantedLease,
    KeyPrecondition,
    RandomSource,
    StoredValue,
)

log = Logger("store")

T = TypeVar("T")

# A store that was restored with older content may keep a watch open without sending an event.
# Therefore the key is also read at this interval.
WATCH_RENEWAL_INTERVAL_S = 30.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 8.0
STARTED_KEY_PREFIX = "redwingswitch/started/"
STORE_CALL_TIMEOUT_S = 2.0

_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError, TimeoutError)


class StoreTasks:
    """Runs at most one task each for lease, watch and restore; submits the results as events."""

    def __init__(
        self,
        *,
        store: ConfigStore,
        random_source: RandomSource,
        metrics: Metrics,
        submit: Callable[[Event], None],
    ) -> None:
        self._store = store
        self._random = random_source
        self._metrics = metrics
        self._submit = submit
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lease: GrantedLease | None = None
        self._lease_key = ""
        self._lease_holder = ""

    async def has_started_before(self, host: str) -> bool:
        """Return False only when the store confirms that this host has never started before."""
        key = f"{STARTED_KEY_PREFIX}{host}"
        expected = [KeyPrecondition(key, 0)]
        try:
            async with asyncio.timeout(STORE_CALL_TIMEOUT_S):
                version = await self._call(
                    "compare_and_swap",
                    self._store.compare_and_swap(key=key, value=b"1", expected=expected),
                )
        except _STORE_ERRORS:
            return True
        return version is None

    def acquire(self, action: AcquireLease) -> None:
        """Acquire the lease ``action.key``, or renew it when this host holds it."""
        self._start_task("lease", self._acquire(action))

    def release(self, action: ReleaseLease) -> None:
        """Release the lease."""
        self._cancel_task("lease")
        lease, self._lease = self._lease, None
        if lease is not None and action.key == self._lease_key:
            self._start_task("lease", self._release(lease))

    def watch(self, action: WatchStore) -> None:
        """Start or stop watching the configuration key."""
        if action.watching:
            self._start_task("watch", self._watch())
        else:
            self._cancel_task("watch")

    def restore(self, action: RestoreDocument) -> None:
        """Write a newer document back to the store, unless the store or the lease has changed."""
        self._start_task("restore", self._restore(action))

    async def wait_for_lease_task(self) -> None:
        """Wait until a release in progress is complete."""
        task = self._tasks.get("lease")
        if task is not None:
            await asyncio.wait([task], timeout=STORE_CALL_TIMEOUT_S)

    def close(self) -> None:
        """Cancel every task."""
        for name in list(self._tasks):
            self._cancel_task(name)

    def _start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        if name in self._tasks:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._on_task_done(name, done))

    def _on_task_done(self, name: str, task: asyncio.Task[None]) -> None:
        if self._tasks.get(name) is task:
            del self._tasks[name]
        if not task.cancelled() and task.exception() is not None:
            log.error(f"the {name} task failed: {task.exception()!r}")
            self._metrics.count("faults_total", f"store {name}")

    def _cancel_task(self, name: str) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def _acquire(self, action: AcquireLease) -> None:
        try:
            lease = await self._acquire_or_renew(action)
        except _STORE_ERRORS:
            self._submit(StoreUnavailable())
            return
        self._lease = lease
        self._lease_key = action.key
        self._lease_holder = action.holder
        if lease is None:
            self._submit(LeaseRefused())
        else:
            self._submit(LeaseGranted(lease.lease_id, lease.key_version, action.asked_ms))

    async def _acquire_or_renew(self, action: AcquireLease) -> GrantedLease | None:
        current = self._lease
        if current is not None and self._lease_key == action.key:
            renewed = await self._call("renew_lease", self._store.renew_lease(current))
            return current if renewed else None
        return await self._call(
            "acquire_lease",
            self._store.acquire_lease(key=action.key, holder=action.holder, ttl_ms=action.ttl_ms),
        )

    async def _release(self, lease: GrantedLease) -> None:
        try:
            await self._call("release_lease", self._store.release_lease(lease))
        except _STORE_ERRORS:
            log.info("the lease was not released; it lapses by itself")

    async def _watch(self) -> None:
        retry_s = MIN_RETRY_S
        while True:
            try:
                await self._read_and_watch()
                retry_s = MIN_RETRY_S
            except _STORE_ERRORS as error:
                log.warning(f"the watch failed: {error}")
                self._submit(StoreUnavailable())
                await asyncio.sleep(retry_s * (0.5 + self._random.random() / 2))
                retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _read_and_watch(self) -> None:
        stored = await self._call("get", self._store.get(CONFIGURATION_KEY))
        if stored is None:
            self._submit(StoreDocumentArrived(None, 0))
        else:
            self._on_value(stored)
        version = 0 if stored is None else stored.version
        watch = self._store.watch(CONFIGURATION_KEY, after_version=version, on_value=self._on_value)
        try:
            async with asyncio.timeout(WATCH_RENEWAL_INTERVAL_S) as timeout:
                await self._call("watch", watch)
                await asyncio.sleep(MIN_RETRY_S)
        except TimeoutError:
            if not timeout.expired():
                raise

    def _on_value(self, stored: StoredValue) -> None:
        try:
            document = decode_document(stored.value)
        except DecodeError as error:
            log.error(f"the stored configuration is ignored: {error}")
            return
        self._submit(StoreDocumentArrived(document, stored.version))

    async def _restore(self, action: RestoreDocument) -> None:
        expected: Sequence[KeyPrecondition] = [
            KeyPrecondition(CONFIGURATION_KEY, action.expected_version),
            # A restored store may have given the version to the lease of another host.
            KeyPrecondition(self._lease_key, action.fencing_version, self._lease_holder.encode()),
        ]
        value = encode_document(action.document)
        write = self._store.compare_and_swap(key=CONFIGURATION_KEY, value=value, expected=expected)
        try:
            version = await self._call("compare_and_swap", write)
        except _STORE_ERRORS:
            self._submit(StoreUnavailable())
            return
        revision = action.document["revision"]
        if version is None:
            log.warning(f"revision {revision} was not written back: the store has changed")
        else:
            log.info(f"revision {revision} was written back")
            self._submit(StoreDocumentArrived(action.document, version))

    async def _call(self, operation: str, call: Awaitable[T]) -> T:
        try:
            result = await call
        except _STORE_ERRORS:
            self._metrics.count("store_calls_total", operation, "failed")
            raise
        self._metrics.count("store_calls_total", operation, "ok")
        return result
