"""An in-memory key-value store, for tests and experiments without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from redwingswitch._internal.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from redwingswitch._internal.ports import GrantedLease, KeyPrecondition, StoredValue


class MemoryStore:
    """Implements ``ports.ConfigStore``; leases expire only when ``expire_lease`` is called.

    While ``available`` is False, every call fails. While ``lose_answers`` is True,
    ``compare_and_swap`` takes effect but raises as if its answer had been lost.
    """

    def __init__(self) -> None:
        self.available = True
        self.lose_answers = False
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[int, str] = {}
        self._version = 0
        self._changed = asyncio.Event()

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None."""
        self._check_available()
        return self._values.get(key)

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected: Sequence[KeyPrecondition]
    ) -> int | None:
        """Write ``value`` if every precondition holds; return the new version, or None."""
        self._check_available()
        if not all(self._matches(precondition) for precondition in expected):
            return None
        version = self._write(key, value)
        if self.lose_answers:
            raise StoreOutcomeUnknownError("the answer was lost; read the key back")
        return version

    async def acquire_lease(self, *, key: str, holder: str, ttl_ms: int) -> GrantedLease | None:
        """Create ``key`` under a new lease; return None while another holder has it."""
        self._check_available()
        if key in self._values:
            return None
        version = self._write(key, holder.encode())
        self._leases[version] = key
        return GrantedLease(lease_id=version, key_version=version)

    async def renew_lease(self, lease: GrantedLease) -> bool:
        """Extend a lease; return False if it has expired."""
        self._check_available()
        return lease.lease_id in self._leases

    async def release_lease(self, lease: GrantedLease) -> None:
        """Release a lease and delete its key."""
        self._check_available()
        self.expire_lease(lease.lease_id)

    async def watch(
        self, key: str, *, after_version: int, on_value: Callable[[StoredValue], None]
    ) -> None:
        """Call ``on_value`` for each later value until cancelled or the store fails."""
        last_version = after_version
        while True:
            self._check_available()
            stored = self._values.get(key)
            if stored is not None and stored.version > last_version:
                last_version = stored.version
                on_value(stored)
            await self._changed.wait()

    def _matches(self, precondition: KeyPrecondition) -> bool:
        if self._version_of(precondition.key) != precondition.version:
            return False
        stored = self._values.get(precondition.key)
        return precondition.value is None or (stored and stored.value) == precondition.value

    def put(self, key: str, value: bytes) -> int:
        """Write without preconditions, as a restored backup would; return the version."""
        return self._write(key, value)

    def rewind(self, version: int) -> None:
        """Give out ``version`` next, as a store does that was restored from a copy."""
        self._version = version - 1

    def expire_lease(self, lease_id: int) -> None:
        """Expire a lease and delete its key."""
        key = self._leases.pop(lease_id, None)
        if key is not None:
            self._values.pop(key, None)
            self._notify()

    def set_available(self, available: bool) -> None:
        """Make the store available or unavailable; open watches fail while it is unavailable."""
        self.available = available
        self._notify()

    def _write(self, key: str, value: bytes) -> int:
        self._version += 1
        self._values[key] = StoredValue(value, self._version)
        self._notify()
        return self._version

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _version_of(self, key: str) -> int:
        stored = self._values.get(key)
        return stored.version if stored else 0

    def _check_available(self) -> None:
        if not self.available:
            raise StoreUnavailableError("the store is down; try again later")
