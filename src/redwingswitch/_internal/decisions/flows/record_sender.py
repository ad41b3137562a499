"""Sends flow records to other entry hosts in acknowledged batches."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from redwingswitch._internal.models.actions import SendToPeer
from redwingswitch._internal.models.messages import (
    RECORD_HASH_BYTES,
    BatchPurpose,
    RecordBatch,
    RecordGroup,
)

BATCH_INTERVAL_MS = 400
MAX_BATCH_RECORDS = 512
# Unacknowledged batches per peer.
WINDOW_BATCHES = 8
MIN_RETRY_MS = 100
MAX_RETRY_MS = 2_000
# A batch of copies for a replica is given up after about 5 s. Hand-overs to new owners are
# retransmitted until they are acknowledged, or until the peer or the local host has left.
MAX_REPLICA_ATTEMPTS = 6
MAX_PENDING_RECORDS_PER_PEER = 400_000


class _UnackedBatch:
    """A batch that was sent but not acknowledged."""

    def __init__(self, *, batch: RecordBatch, retry_at_ms: int) -> None:
        self.batch = batch
        self.attempts = 1
        self.retry_at_ms = retry_at_ms


class _UnsentBatch(NamedTuple):
    """A batch that was not sent yet and has no sequence number."""

    service_id: int
    purpose: BatchPurpose
    groups: tuple[RecordGroup, ...]
    complete: bool


class _PeerQueue:
    """The unsent and unacknowledged records for one peer."""

    def __init__(self) -> None:
        self.building: dict[int, dict[int, bytearray]] = {}
        self.flush_at_ms: int | None = None
        self.unsent: deque[_UnsentBatch] = deque()
        self.unacked: dict[int, _UnackedBatch] = {}
        self.pending_records = 0

    def idle(self) -> bool:
        """Return whether every record was acknowledged or given up."""
        return not (self.building or self.unsent or self.unacked)


class RecordSender:
    """Send records to peers in batches, with a send window and bounded retransmission."""

    def __init__(self, *, first_sequence: int = 0) -> None:
        self._queues: dict[str, _PeerQueue] = {}
        self._sequence = first_sequence
        self.unacked_hand_overs: set[tuple[str, int]] = set()
        self.records_sent = 0
        # Number of records by the wire id of their service.
        self.given_up: Counter[int] = Counter()
        self.retransmissions = 0

    def add(self, host: str, service_id: int, server_id: int, flow_hash: int, now_ms: int) -> None:
        """Add a record to the next replica batch for ``host``."""
        queue = self._queues.setdefault(host, _PeerQueue())
        if queue.pending_records >= MAX_PENDING_RECORDS_PER_PEER:
            self.given_up[service_id] += 1
            return
        groups = queue.building.setdefault(service_id, {})
        hashes = groups.setdefault(server_id, bytearray())
        hashes += flow_hash.to_bytes(RECORD_HASH_BYTES, "big")
        queue.pending_records += 1
        if queue.flush_at_ms is None:
            queue.flush_at_ms = now_ms + BATCH_INTERVAL_MS

    def hand_over(
        self,
        host: str,
        service_id: int,
        records: Mapping[int, Collection[int]],
        purpose: BatchPurpose,
        *,
        complete: bool = False,
    ) -> None:
        """Queue many records, as flow hashes by server id; ``send_unsent`` sends them.

        ``complete`` tells the peer that it then has all records of the service.
        """
        queue = self._queues.setdefault(host, _PeerQueue())
        for groups in _pack_batches(records):
            queue.unsent.append(_UnsentBatch(service_id, purpose, groups, False))
            queue.pending_records += _count_records(groups)
        if complete:
            # The completion is a batch without records, because it is retransmitted while the
            # receiver delays the acknowledgement.
            queue.unsent.append(_UnsentBatch(service_id, purpose, (), True))
            self.unacked_hand_overs.add((host, service_id))

    def flush(self, host: str, now_ms: int) -> list[SendToPeer]:
        """Send the batch that is being built for ``host`` at once."""
        queue = self._queues.get(host)
        if queue is None:
            return []
        self._close_batches(queue)
        return self._send_unsent(host, queue, now_ms)

    def close_batches(self, host: str) -> None:
        """Queue the batch that is being built for ``host`` ahead of later batches."""
        queue = self._queues.get(host)
        if queue is not None:
            self._close_batches(queue)

    def flush_all(self, now_ms: int) -> list[SendToPeer]:
        """Send all batches that are being built at once."""
        for queue in self._queues.values():
            self._close_batches(queue)
        return self.send_unsent(now_ms)

    def send_unsent(self, now_ms: int) -> list[SendToPeer]:
        """Send queued batches as far as the send windows allow."""
        sent: list[SendToPeer] = []
        for host, queue in self._queues.items():
            sent += self._send_unsent(host, queue, now_ms)
        return sent

    def last_sequence(self, host: str) -> int | None:
        """Return the sequence number of the latest unacknowledged batch to ``host``, or None."""
        queue = self._queues.get(host)
        if queue is None or not queue.unacked:
            return None
        return next(reversed(queue.unacked))

    def on_ack(self, host: str, sequence: int, now_ms: int) -> list[SendToPeer]:
        """Remove an acknowledged batch and send what the window then allows."""
        queue = self._queues.get(host)
        acked = None if queue is None else queue.unacked.pop(sequence, None)
        if queue is None or acked is None:
            return []
        queue.pending_records -= _count_records(acked.batch.groups)
        if acked.batch.complete:
            self.unacked_hand_overs.discard((host, acked.batch.service_id))
        return self._send_unsent(host, queue, now_ms)

    def retain_peers(self, hosts: Collection[str]) -> None:
        """Drop the queues of peers that are not in ``hosts``."""
        for host in [h for h in self._queues if h not in hosts]:
            del self._queues[host]
        self.unacked_hand_overs = {k for k in self.unacked_hand_overs if k[0] in hosts}

    def idle(self) -> bool:
        """Return whether no batch is unsent or unacknowledged."""
        return all(queue.idle() for queue in self._queues.values())

    def next_deadline_ms(self) -> int | None:
        """Return the time of the next batch or retransmission."""
        deadlines = [s.flush_at_ms for s in self._queues.values() if s.flush_at_ms is not None]
        for queue in self._queues.values():
            deadlines += [item.retry_at_ms for item in queue.unacked.values()]
        return min(deadlines, default=None)

    def on_timer(self, now_ms: int) -> list[SendToPeer]:
        """Send due batches and retransmit unacknowledged ones."""
        sent: list[SendToPeer] = []
        for host, queue in self._queues.items():
            if queue.flush_at_ms is not None and queue.flush_at_ms <= now_ms:
                self._close_batches(queue)
            sent += self._retransmit(host, queue, now_ms)
            sent += self._send_unsent(host, queue, now_ms)
        return sent

    def _close_batches(self, queue: _PeerQueue) -> None:
        for service_id, groups in queue.building.items():
            for batch in _split_batches(groups):
                queue.unsent.append(_UnsentBatch(service_id, BatchPurpose.REPLICA, batch, False))
        queue.building = {}
        queue.flush_at_ms = None

    def _send_unsent(self, host: str, queue: _PeerQueue, now_ms: int) -> list[SendToPeer]:
        sent: list[SendToPeer] = []
        while queue.unsent and len(queue.unacked) < WINDOW_BATCHES:
            sent.append(self._send(host, queue, queue.unsent.popleft(), now_ms))
        return sent

    def _send(self, host: str, queue: _PeerQueue, unsent: _UnsentBatch, now_ms: int) -> SendToPeer:
        self._sequence += 1
        batch = RecordBatch(
            service_id=unsent.service_id,
            sequence=self._sequence,
            purpose=unsent.purpose,
            groups=unsent.groups,
            complete=unsent.complete,
        )
        queue.unacked[batch.sequence] = _UnackedBatch(
            batch=batch, retry_at_ms=now_ms + MIN_RETRY_MS
        )
        self.records_sent += _count_records(batch.groups)
        return SendToPeer(host, batch)

    def _retransmit(self, host: str, queue: _PeerQueue, now_ms: int) -> list[SendToPeer]:
        sent: list[SendToPeer] = []
        for sequence, item in list(queue.unacked.items()):
            if item.retry_at_ms > now_ms:
                continue
            if item.batch.purpose is BatchPurpose.REPLICA and item.attempts >= MAX_REPLICA_ATTEMPTS:
                self._give_up(queue, sequence)
                continue
            delay_ms = min(MIN_RETRY_MS << item.attempts, MAX_RETRY_MS)
            item.attempts += 1
            item.retry_at_ms = now_ms + delay_ms
            self.retransmissions += 1
            sent.append(SendToPeer(host, item.batch))
        return sent

    def _give_up(self, queue: _PeerQueue, sequence: int) -> None:
        batch = queue.unacked.pop(sequence).batch
        records = _count_records(batch.groups)
        queue.pending_records -= records
        self.given_up[batch.service_id] += records


def unpack_hashes(hashes: bytes) -> Iterable[int]:
    """Return the flow hashes of a record group; a trailing partial hash is ignored."""
    whole = len(hashes) - len(hashes) % RECORD_HASH_BYTES
    for start in range(0, whole, RECORD_HASH_BYTES):
        yield int.from_bytes(hashes[start : start + RECORD_HASH_BYTES], "big")


def _count_records(groups: Iterable[RecordGroup]) -> int:
    return sum(len(group.hashes) for group in groups) // RECORD_HASH_BYTES


def _pack_batches(records: Mapping[int, Collection[int]]) -> Iterator[tuple[RecordGroup, ...]]:
    packed = {
        server_id: bytearray().join(h.to_bytes(RECORD_HASH_BYTES, "big") for h in hashes)
        for server_id, hashes in records.items()
    }
    return _split_batches(packed)


def _split_batches(groups: Mapping[int, bytearray]) -> Iterator[tuple[RecordGroup, ...]]:
    """Split groups into batches of at most ``MAX_BATCH_RECORDS`` records."""
    room = MAX_BATCH_RECORDS * RECORD_HASH_BYTES
    batch: list[RecordGroup] = []
    for server_id, hashes in groups.items():
        rest = bytes(hashes)
        while rest:
            batch.append(RecordGroup(server_id, rest[:room]))
            room -= len(batch[-1].hashes)
            rest = rest[len(batch[-1].hashes) :]
            if room == 0:
                yield tuple(batch)
                batch, room = [], MAX_BATCH_RECORDS * RECORD_HASH_BYTES
    if batch:
        yield tuple(batch)
