"""Keys, leases and watches of the store stand-in, without I/O."""

from __future__ import annotations

import asyncio
import copy
from collections import Counter, deque
from typing import NamedTuple

MAX_VALUE_BYTES = 1_000_000
MAX_KEYS = 10_000
MAX_LEASES = 10_000
MAX_WATCHES = 1_000
MAX_QUEUED_CHANGES = 1_000
MS_PER_S = 1_000


class StoreRefusalError(Exception):
    """A call that the store refuses before it has any effect."""

    def __init__(self, *, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class Entry(NamedTuple):
    """One key; ``lease_id`` is 0 without a lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Change(NamedTuple):
    """One event; ``entry`` is None for a deletion."""

    key: str
    revision: int
    entry: Entry | None


class Lease(NamedTuple):
    """A granted lease."""

    ttl_s: int
    deadline_ms: int


class Comparison(NamedTuple):
    """One condition of a transaction; a field that is None is not compared."""

    key: str
    mod_revision: int | None = None
    value: bytes | None = None


class Put(NamedTuple):
    """One write of a transaction."""

    key: str
    value: bytes
    lease_id: int


class StoreSnapshot(NamedTuple):
    """A copy of the store's content."""

    revision: int
    entries: dict[str, Entry]
    leases: dict[int, Lease]


class Watch:
    """An open watch from ``start_revision`` on; ``changes`` holds the undelivered changes."""

    def __init__(self, *, key: str, start_revision: int) -> None:
        self.key = key
        self.start_revision = start_revision
        self.changes: asyncio.Queue[Change] = asyncio.Queue(maxsize=MAX_QUEUED_CHANGES)


class StoreState:
    """The content of the stand-in; revisions and versions follow the rules of etcd v3."""

    def __init__(self) -> None:
        self.revision = 1
        self.calls: Counter[str] = Counter()
        self._entries: dict[str, Entry] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = 1_000
        self._events: deque[Change] = deque(maxlen=MAX_QUEUED_CHANGES)
        self._watches: set[Watch] = set()

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None."""
        return self._entries.get(key)

    def transact(self, comparisons: list[Comparison], puts: list[Put]) -> bool:
        """Apply the writes in one revision if every comparison holds; return whether they do."""
        if not all(self._is_met(c) for c in comparisons):
            return False
        for put in puts:
            self._check_put(put)
        if puts:
            self.revision += 1
        for put in puts:
            self._apply_put(put)
        return True

    def grant(self, ttl_s: int, now_ms: int) -> int:
        """Return the id of a new lease."""
        if len(self._leases) >= MAX_LEASES:
            raise StoreRefusalError(status=429, problem="too many leases")
        self._next_lease_id += 1
        self._leases[self._next_lease_id] = Lease(ttl_s, now_ms + ttl_s * MS_PER_S)
        return self._next_lease_id

    def keep_alive(self, lease_id: int, now_ms: int) -> int:
        """Extend a lease and return its time to live in seconds, or 0 if it has expired."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        self._leases[lease_id] = Lease(lease.ttl_s, now_ms + lease.ttl_s * MS_PER_S)
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        if self._leases.pop(lease_id, None) is None:
            raise StoreRefusalError(status=404, problem="requested lease not found")
        keys = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            del self._entries[key]
            self._publish(Change(key, self.revision, None))

    def expire(self, now_ms: int) -> None:
        """Revoke the leases whose deadline has passed."""
        for lease_id in [i for i, lease in self._leases.items() if lease.deadline_ms <= now_ms]:
            self.revoke(lease_id)

    def expire_all(self) -> None:
        """Revoke all leases, as if their holders had been paused for too long to renew them."""
        for lease_id in list(self._leases):
            self.revoke(lease_id)

    def open_watch(self, key: str, start_revision: int) -> Watch:
        """Return a watch that first delivers the events from ``start_revision`` on."""
        if len(self._watches) >= MAX_WATCHES:
            raise StoreRefusalError(status=429, problem="too many watches")
        watch = Watch(key=key, start_revision=start_revision)
        for change in self._events:
            if change.key == key and change.revision >= start_revision:
                watch.changes.put_nowait(change)
        self._watches.add(watch)
        return watch

    def close_watch(self, watch: Watch) -> None:
        """Remove a watch."""
        self._watches.discard(watch)

    def waiting_watches(self) -> int:
        """Return the number of open watches."""
        return len(self._watches)

    def snapshot(self) -> StoreSnapshot:
        """Return a copy of the content."""
        return StoreSnapshot(self.revision, copy.copy(self._entries), copy.copy(self._leases))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore earlier content without notifying open watches."""
        self.revision = snapshot.revision
        self._entries = copy.copy(snapshot.entries)
        self._leases = copy.copy(snapshot.leases)
        self._events.clear()

    def _is_met(self, comparison: Comparison) -> bool:
        entry = self._entries.get(comparison.key)
        if comparison.mod_revision is not None:
            return comparison.mod_revision == (0 if entry is None else entry.mod_revision)
        return entry is not None and entry.value == comparison.value

    def _check_put(self, put: Put) -> None:
        if len(put.value) > MAX_VALUE_BYTES:
            raise StoreRefusalError(status=400, problem="the value is over 1 MB")
        if put.lease_id and put.lease_id not in self._leases:
            raise StoreRefusalError(status=404, problem="requested lease not found")
        if put.key not in self._entries and len(self._entries) >= MAX_KEYS:
            raise StoreRefusalError(status=429, problem="too many keys")

    def _apply_put(self, put: Put) -> None:
        old = self._entries.get(put.key)
        entry = Entry(
            value=put.value,
            create_revision=self.revision if old is None else old.create_revision,
            mod_revision=self.revision,
            version=1 if old is None else old.version + 1,
            lease_id=put.lease_id,
        )
        self._entries[put.key] = entry
        self._publish(Change(put.key, self.revision, entry))

    def _publish(self, change: Change) -> None:
        self._events.append(change)
        for watch in self._watches:
            is_due = watch.key == change.key and change.revision >= watch.start_revision
            if is_due and not watch.changes.full():
                watch.changes.put_nowait(change)
