"""Exchanges flow records with other entry hosts."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.decisions.flows.record_sender import RecordSender, unpack_hashes
from redwingswitch._internal.decisions.flows.record_transfers import (
    Ownership,
    RecordTransfers,
    plan_record_transfers,
)
from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.decisions.flows.steering_context import SteeringContext
from redwingswitch._internal.models.actions import SendToPeer
from redwingswitch._internal.models.messages import (
    BatchPurpose,
    RecordBatch,
    RecordBatchAck,
    RecordQuery,
    RecordReply,
)


class _ReceivedGroup(NamedTuple):
    """The common properties of received records with the same backend server.

    ``in_order`` is False if a later batch of the sender arrived before.
    """

    sender: str
    service: SteeredService
    number: int
    purpose: BatchPurpose
    in_order: bool


class RecordExchange:
    """Keep the records of each displaced flow on its owner and its replica.

    The owner is the entry host that chooses the server of the flow, and the replica keeps a copy of
    the record. The default server of a flow is the choice of the oldest lookup table.
    """

    def __init__(self, *, context: SteeringContext, first_sequence: int) -> None:
        self._context = context
        self._latest_sequence: dict[str, int] = {}
        self._relay_targets: set[str] = set()
        self.sender = RecordSender(first_sequence=first_sequence)

    def share_record(
        self, service: SteeredService, flow_hash: int, number: int, now_ms: int
    ) -> list[SendToPeer]:
        """Send a record to the other holders of the flow.

        The record is sent at once if another host may choose a server for the same flow, otherwise
        with the next batch.
        """
        context = self._context
        others = context.concurrent_owners(service, flow_hash, now_ms)
        targets = dict.fromkeys((*context.ranked_hosts(service, flow_hash)[:2], *others))
        targets.pop(context.host, None)
        server_id = service.tables.index.wire_ids[number]
        for target in targets:
            self.sender.add(target, service.wire_id, server_id, flow_hash, now_ms)
        if not others:
            return []
        return [action for target in targets for action in self.sender.flush(target, now_ms)]

    def on_batch(self, sender: str, batch: RecordBatch, now_ms: int) -> list[SendToPeer]:
        """Store the records of a peer's batch and acknowledge it.

        A batch of an unknown service is not acknowledged, so that the peer retransmits it until the
        local host has received the configuration.
        """
        service = self._context.services_by_wire_id.get(batch.service_id)
        if service is None:
            return []
        latest = self._latest_sequence.get(sender, 0)
        in_order = batch.sequence > latest
        self._latest_sequence[sender] = max(latest, batch.sequence)
        for group in batch.groups:
            number = service.tables.index.by_wire_id(group.backend_server_id)
            if number is None:
                self._context.count_unknown_server(service)
                continue
            received = _ReceivedGroup(sender, service, number, batch.purpose, in_order)
            for flow_hash in unpack_hashes(group.hashes):
                self._store(received, flow_hash, now_ms)
        if batch.complete:
            self._context.owners.note_hand_over_complete(service.wire_id, sender, now_ms)
            if service.starting:
                # Not acknowledged, so that the former owner keeps choosing servers until the local
                # host knows the older tables.
                return []
        actions = [SendToPeer(sender, RecordBatchAck(batch.sequence))]
        for owner in self._relay_targets:
            actions += self.sender.flush(owner, now_ms)
        self._relay_targets.clear()
        return actions

    def _store(self, received: _ReceivedGroup, flow_hash: int, now_ms: int) -> None:
        """Store one record unless the local record takes precedence.

        A local record of the default server never takes precedence, because the local host may have
        used that server for want of a record.
        """
        context, service = self._context, received.service
        context.counters.records_received += 1
        owner = context.ranked_hosts(service, flow_hash)[:1] == (context.host,)
        replica = received.purpose is BatchPurpose.REPLICA
        if replica and owner:
            context.owners.note_concurrent_owner(received.sender, now_ms)
        own = service.records.get(flow_hash)
        known = own is not None and service.differs_from_default(flow_hash, own)
        if known and not (replica and received.in_order and not owner):
            return
        if not replica and service.records.get_closed(flow_hash) is not None:
            return
        if not service.records.put(flow_hash, received.number):
            context.counters.record_bound_hits += 1
        elif own != received.number:
            self._relay_to_owner(received, flow_hash, now_ms)

    def _relay_to_owner(self, received: _ReceivedGroup, flow_hash: int, now_ms: int) -> None:
        """Forward a new record to the flow's owner, unless the owner sent it.

        A sender with another view of the membership may not have sent it to the owner.
        """
        service = received.service
        owner = next(iter(self._context.ranked_hosts(service, flow_hash)), None)
        if owner not in (None, self._context.host, received.sender):
            server_id = service.tables.index.wire_ids[received.number]
            self.sender.add(owner, service.wire_id, server_id, flow_hash, now_ms)
            self._relay_targets.add(owner)

    def on_query(self, sender: str, query: RecordQuery) -> list[SendToPeer]:
        """Reply with the server in the record of a flow, or 0 if there is no record."""
        service = self._context.services_by_wire_id.get(query.service_id)
        number = None if service is None else service.records.get(query.flow_hash)
        server_id = 0
        if service is not None and number is not None:
            server_id = service.tables.index.wire_ids[number]
        return [SendToPeer(sender, RecordReply(query.service_id, query.flow_hash, server_id))]

    def on_reply(self, sender: str, reply: RecordReply, now_ms: int) -> bool:
        """Store the record in a reply; return whether the reply names a known server."""
        service = self._context.services_by_wire_id.get(reply.service_id)
        if service is None or not reply.backend_server_id:
            return False
        number = service.tables.index.by_wire_id(reply.backend_server_id)
        if number is None:
            self._context.count_unknown_server(service)
            return False
        received = _ReceivedGroup(sender, service, number, BatchPurpose.HAND_OVER, in_order=False)
        self._store(received, reply.flow_hash, now_ms)
        return True

    def queue_transfers(
        self, service: SteeredService, before: Ownership, after: Ownership, now_ms: int
    ) -> RecordTransfers:
        """Queue the records that the local host has to send after a change of owners."""
        context = self._context
        transfers = plan_record_transfers(
            service=service, host=context.host, before=before, after=after
        )
        for target, records in transfers.to_replica.items():
            self.sender.hand_over(target, service.wire_id, records, BatchPurpose.REPLICA)
        for target in transfers.to_owner.keys() | transfers.new_owners:
            records = transfers.to_owner.get(target, {})
            complete = target in transfers.new_owners
            self.sender.close_batches(target)
            self.sender.hand_over(
                target, service.wire_id, records, BatchPurpose.HAND_OVER, complete=complete
            )
        if transfers.any_owner_changed:
            service.owner_changed_at_ms = now_ms
        return transfers

    def hand_over_pending(self, service: SteeredService, host: str) -> bool:
        """Return whether a hand-over of the service to ``host`` is not acknowledged yet."""
        return (host, service.wire_id) in self.sender.unacked_hand_overs

    def retain_peers(self, hosts: frozenset[str]) -> None:
        """Forget the peers that are not in ``hosts``."""
        self.sender.retain_peers(hosts)
        for host in [h for h in self._latest_sequence if h not in hosts]:
            del self._latest_sequence[host]
