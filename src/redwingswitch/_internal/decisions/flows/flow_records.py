"""Records of the backend servers of flows; idle records expire by rotation of two dicts."""

from __future__ import annotations

import sys
from collections.abc import Iterator

CLOSED_RETENTION_MS = 60_000


class RecordQuota:
    """Count the records of several ``FlowRecords`` against one bound."""

    def __init__(self, *, bound: int) -> None:
        self.bound = bound
        self.used = 0


class FlowRecords:
    """Map flow hashes to small integers, such as the numbers of backend servers.

    Live records are kept in two dicts. A rotation at each idle limit discards the older dict, and a
    lookup that hits the older dict moves the record to the recent one. A record therefore expires
    after one to two idle limits without a packet. Closed flows are kept in the same way for one to
    two times ``CLOSED_RETENTION_MS``.
    """

    def __init__(
        self, *, bound: int, idle_limit_ms: int, now_ms: int = 0, quota: RecordQuota | None = None
    ) -> None:
        self._quota = quota or RecordQuota(bound=bound)
        self._bound = bound
        self._idle_limit_ms = idle_limit_ms
        self._recent: dict[int, int] = {}
        self._older: dict[int, int] = {}
        self._closed_recent: dict[int, int] = {}
        self._closed_older: dict[int, int] = {}
        self._rotate_at_ms = now_ms + idle_limit_ms
        self._rotate_closed_at_ms = now_ms + CLOSED_RETENTION_MS

    def __len__(self) -> int:
        return (
            len(self._recent)
            + len(self._older)
            + len(self._closed_recent)
            + len(self._closed_older)
        )

    def get(self, flow_hash: int) -> int | None:
        """Return the value of a live flow, or None; a hit counts as activity."""
        value = self._recent.get(flow_hash)
        if value is not None or flow_hash not in self._older:
            return value
        value = self._older.pop(flow_hash)
        self._recent[flow_hash] = value
        return value

    def get_closed(self, flow_hash: int) -> int | None:
        """Return the value of a recently closed flow, or None; a hit extends its retention."""
        value = self._closed_recent.get(flow_hash)
        if value is not None or flow_hash not in self._closed_older:
            return value
        value = self._closed_older.pop(flow_hash)
        self._closed_recent[flow_hash] = value
        return value

    def put(self, flow_hash: int, value: int) -> bool:
        """Store a live flow; return False when the bound is reached."""
        if flow_hash in self._older:
            self._older.pop(flow_hash)
        elif flow_hash not in self._recent:
            if self.full():
                return False
            self._quota.used += 1
        self._recent[flow_hash] = value
        return True

    def full(self) -> bool:
        """Return whether the bound is reached."""
        return self._quota.used >= self._quota.bound or len(self) >= self._bound

    def close(self, flow_hash: int) -> None:
        """Mark a flow as closed.

        A flow that was reopened while its closed record is kept stays live, because the closing
        packet may be a late one of the earlier flow.
        """
        if flow_hash in self._closed_recent or flow_hash in self._closed_older:
            return
        value = self._recent.pop(flow_hash, None)
        if value is None:
            value = self._older.pop(flow_hash, None)
        if value is not None:
            self._closed_recent[flow_hash] = value

    def drop(self, flow_hash: int) -> None:
        """Remove the live and the closed record of a flow."""
        for table in (self._recent, self._older, self._closed_recent, self._closed_older):
            if table.pop(flow_hash, None) is not None:
                self._quota.used -= 1

    def clear(self) -> None:
        """Remove all records."""
        self._quota.used -= len(self)
        for table in (self._recent, self._older, self._closed_recent, self._closed_older):
            table.clear()

    def rotate(self, now_ms: int) -> None:
        """Discard the older dicts that are due, and start new recent ones."""
        if now_ms >= self._rotate_at_ms:
            self._quota.used -= len(self._older)
            self._older = self._recent
            self._recent = {}
            self._rotate_at_ms = now_ms + self._idle_limit_ms
        if now_ms >= self._rotate_closed_at_ms:
            self._quota.used -= len(self._closed_older)
            self._closed_older = self._closed_recent
            self._closed_recent = {}
            self._rotate_closed_at_ms = now_ms + CLOSED_RETENTION_MS

    def next_deadline_ms(self) -> int | None:
        """Return when ``rotate`` is due, or None if there are no records."""
        if not len(self):
            return None
        return min(self._rotate_at_ms, self._rotate_closed_at_ms)

    def items(self) -> Iterator[tuple[int, int]]:
        """Iterate over live flows as (hash, value)."""
        yield from self._recent.items()
        yield from self._older.items()

    def table_bytes(self) -> int:
        """Return the memory of the dicts in bytes, without the hash objects."""
        tables = (self._recent, self._older, self._closed_recent, self._closed_older)
        return sum(sys.getsizeof(table) for table in tables)

    def hashes_by_value(self) -> dict[int, list[int]]:
        """Return the hashes of live flows, grouped by value."""
        groups: dict[int, list[int]] = {}
        for flow_hash, value in self.items():
            groups.setdefault(value, []).append(flow_hash)
        return groups
