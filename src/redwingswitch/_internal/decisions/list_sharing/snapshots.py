"""Transfer of an encoded list in several datagrams."""

from __future__ import annotations

from collections.abc import Iterator

from redwingswitch._internal.models.list_sharing import SnapshotPart

# With its other fields, a part fits into a datagram of 1,200 bytes, which is not fragmented.
MAX_PART_BYTES = 1_100
# 264 KB compressed, eight times the list of 3,500 servers and 670 routes with regular names.
MAX_PARTS = 240


def split_snapshot(encoded: bytes, *, snapshot: int) -> Iterator[SnapshotPart]:
    """Return the parts of an encoded list; none when it exceeds ``MAX_PARTS``."""
    part_count = -(-len(encoded) // MAX_PART_BYTES)
    if part_count > MAX_PARTS:
        return
    for part in range(part_count):
        begin = part * MAX_PART_BYTES
        yield SnapshotPart(snapshot, part, part_count, encoded[begin : begin + MAX_PART_BYTES])


class SnapshotCollector:
    """Collects the parts of one snapshot at a time; those of another one replace it.

    Lost parts are not requested again: the receiver requests another snapshot.
    """

    def __init__(self) -> None:
        self._key: tuple[int, int, int] | None = None
        self._data_by_part: dict[int, bytes] = {}

    def add(self, part: SnapshotPart, *, incarnation: int) -> bytes | None:
        """Add a part that the host of ``incarnation`` sent; return the encoded list if complete."""
        is_possible = 0 <= part.part < part.part_count <= MAX_PARTS
        if not is_possible or len(part.data) > MAX_PART_BYTES:
            return None
        key = (incarnation, part.snapshot, part.part_count)
        if key != self._key:
            self._key = key
            self._data_by_part = {}
        self._data_by_part[part.part] = part.data
        if len(self._data_by_part) < part.part_count:
            return None
        encoded = b"".join(data for _, data in sorted(self._data_by_part.items()))
        self._key = None
        self._data_by_part = {}
        return encoded
