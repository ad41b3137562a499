"""Transfer of an encoded list, or of encoded routes, in parts that fit a datagram."""

from __future__ import annotations

from collections.abc import Iterator

from redwingswitch._internal.models.list_sharing import RoutesPart, SnapshotPart

# With its other fields, a part fits into a datagram of 1,200 bytes, which is not fragmented.
MAX_PART_BYTES = 1_100
# 264 KB compressed, eight times the list of 3,500 servers and 670 routes with regular names.
MAX_PARTS = 240


def split_snapshot(encoded: bytes, *, transfer: int) -> Iterator[SnapshotPart]:
    """Return the parts of an encoded list; none when it exceeds ``MAX_PARTS``."""
    for part, part_count, data in _split(encoded):
        yield SnapshotPart(transfer, part, part_count, data)


def split_routes(encoded: bytes, *, transfer: int) -> Iterator[RoutesPart]:
    """Return the parts of encoded routes; none when they exceed ``MAX_PARTS``."""
    for part, part_count, data in _split(encoded):
        yield RoutesPart(transfer, part, part_count, data)


def _split(encoded: bytes) -> Iterator[tuple[int, int, bytes]]:
    part_count = -(-len(encoded) // MAX_PART_BYTES)
    if part_count > MAX_PARTS:
        return
    for part in range(part_count):
        begin = part * MAX_PART_BYTES
        yield part, part_count, encoded[begin : begin + MAX_PART_BYTES]


class PartCollector:
    """Collects the parts of one transfer at a time; those of another one replace it.

    Lost parts are not requested again: the receiver requests another transfer.
    """

    def __init__(self) -> None:
        self._key: tuple[int, int, int] | None = None
        self._data_by_part: dict[int, bytes] = {}

    def add(self, part: SnapshotPart | RoutesPart, *, incarnation: int) -> bytes | None:
        """Add a part from the host of ``incarnation``; return the encoded whole when complete."""
        is_possible = 0 <= part.part < part.part_count <= MAX_PARTS
        if not is_possible or len(part.data) > MAX_PART_BYTES:
            return None
        key = (incarnation, part.transfer, part.part_count)
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
