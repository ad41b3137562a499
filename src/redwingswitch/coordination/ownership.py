"""Ownership of keys by rendezvous hashing, and hand-over of records when owners change."""

from __future__ import annotations

from redwingswitch._internal.decisions.flows.bucket_owners import BucketOwners, OwnerRanking
from redwingswitch._internal.decisions.flows.flow_records import FlowRecords
from redwingswitch._internal.decisions.flows.record_sender import RecordSender, unpack_hashes
from redwingswitch._internal.decisions.hashing import MaglevTable, maglev_table, rendezvous_rank
from redwingswitch._internal.models.actions import Action, SendToPeer
from redwingswitch._internal.models.identifiers import FLOW_HASH_BITS, wire_id
from redwingswitch._internal.models.members import MembershipView
from redwingswitch._internal.models.messages import (
    BatchPurpose,
    PeerMessage,
    RecordBatch,
    RecordBatchAck,
)
from redwingswitch._internal.ports import RandomSource

__all__ = [
    "KEY_BITS",
    "MaglevTable",
    "OwnedRecords",
    "OwnerRanking",
    "maglev_table",
    "rendezvous_rank",
]

HOLDERS_PER_KEY = 2
NO_DOMAIN = ""
KEY_BITS = FLOW_HASH_BITS
VALUE_BITS = 32
# The first sequence number is random, so that late acks to an earlier process do not match.
FIRST_SEQUENCE_RANGE = 1 << 16


class OwnedRecords:
    """Small records, each held by the owner and the replica of its key.

    These are the first and second host in the rendezvous ranking of the key.
    A key is a 48-bit hash and a value a 32-bit integer. A record keeps its first value until
    it expires, between one and two idle limits after its last use.
    """

    def __init__(
        self,
        *,
        host: str,
        failure_domain: str,
        namespace: str,
        bound: int,
        idle_limit_ms: int,
        now_ms: int,
        random_source: RandomSource,
    ) -> None:
        self._host = host
        self._namespace_id = wire_id(namespace)
        self._owners = BucketOwners(host=host, failure_domain=failure_domain)
        self._records = FlowRecords(bound=bound, idle_limit_ms=idle_limit_ms, now_ms=now_ms)
        first_sequence = random_source.randrange(FIRST_SEQUENCE_RANGE)
        self._sender = RecordSender(first_sequence=first_sequence)
        self._stopping = False
        self.refused_records = 0

    def __len__(self) -> int:
        return len(self._records)

    def holders(self, key_hash: int) -> tuple[str, ...]:
        """Return the owner and the replica of a key, the owner first."""
        ranked = self._owners.ranking.rank(self._namespace_id, key_hash, NO_DOMAIN)
        return ranked[:HOLDERS_PER_KEY]

    def is_owner(self, key_hash: int) -> bool:
        """Return whether the local host owns a key."""
        return self.holders(key_hash)[:1] == (self._host,)

    def get(self, key_hash: int) -> int | None:
        """Return the value of a key in the local records, or None; this counts as a use."""
        return self._records.get(key_hash)

    def put(self, key_hash: int, value: int, now_ms: int) -> int | None:
        """Record a value unless the key has one; return the value in force, or None when full.

        The record is sent to the key's other holder with the next batch. Raises ``ValueError`` if
        the key does not fit in 48 bits or the value in 32 bits.
        """
        if not 0 <= key_hash < 1 << KEY_BITS:
            raise ValueError(f"{key_hash} does not fit in {KEY_BITS} bits; shorten the hash")
        if not 0 <= value < 1 << VALUE_BITS:
            raise ValueError(f"{value} does not fit in {VALUE_BITS} bits; record an index instead")
        existing = self._records.get(key_hash)
        if existing is not None:
            return existing
        if not self._records.put(key_hash, value):
            self.refused_records += 1
            return None
        for host in self.holders(key_hash):
            if host != self._host:
                self._sender.add(host, self._namespace_id, value, key_hash, now_ms)
        return value

    def set_members(self, view: MembershipView, now_ms: int) -> list[Action]:
        """Update the members; hand records over to hosts that became their holders."""
        changed = self._owners.set_view(view, now_ms)
        self._sender.retain_peers(self._owners.reachable)
        return self._hand_over_records(now_ms) if changed else []

    def begin_stop(self, now_ms: int) -> list[Action]:
        """Remove the local host from the holders, and hand its records over."""
        if self._stopping:
            return []
        self._stopping = True
        self._owners.leave(now_ms)
        return self._hand_over_records(now_ms)

    def hand_over_done(self) -> bool:
        """Return whether the stop has begun and each sent record was acknowledged or given up."""
        return self._stopping and self._sender.idle()

    def on_message(self, sender: str, message: PeerMessage, now_ms: int) -> list[Action]:
        """Handle a RecordBatch or RecordBatchAck; ignore other messages."""
        if isinstance(message, RecordBatchAck):
            return [*self._sender.on_ack(sender, message.sequence, now_ms)]
        if isinstance(message, RecordBatch) and message.service_id == self._namespace_id:
            return self._on_batch(sender, message)
        return []

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        deadlines = (self._sender.next_deadline_ms(), self._records.next_deadline_ms())
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Send due batches, resend unacknowledged ones and expire idle records."""
        self._records.rotate(now_ms)
        self._owners.expire(now_ms)
        return [*self._sender.on_timer(now_ms)]

    def _on_batch(self, sender: str, batch: RecordBatch) -> list[Action]:
        for group in batch.groups:
            for key_hash in unpack_hashes(group.hashes):
                self._store_received(sender, key_hash, group.backend_server_id)
        return [SendToPeer(sender, RecordBatchAck(batch.sequence))]

    def _store_received(self, sender: str, key_hash: int, value: int) -> None:
        """Store a received record; a known value is replaced only if the sender owns the key."""
        known = self._records.get(key_hash)
        if known is not None and self.holders(key_hash)[:1] != (sender,):
            return
        if not self._records.put(key_hash, value):
            self.refused_records += 1

    def _hand_over_records(self, now_ms: int) -> list[Action]:
        moves: dict[str, dict[int, list[int]]] = {}
        for key_hash, value in self._records.items():
            for host in self._new_holders(key_hash):
                moves.setdefault(host, {}).setdefault(value, []).append(key_hash)
        for host, records in moves.items():
            self._sender.hand_over(host, self._namespace_id, records, BatchPurpose.HAND_OVER)
        return [*self._sender.flush_all(now_ms)]

    def _new_holders(self, key_hash: int) -> tuple[str, ...]:
        """Return the new holders of a key of which the local host was a holder before."""
        former = self._owners.prior_ranking.rank(self._namespace_id, key_hash, NO_DOMAIN)[
            :HOLDERS_PER_KEY
        ]
        if self._host not in former:
            return ()
        return tuple(host for host in self.holders(key_hash) if host not in former)
