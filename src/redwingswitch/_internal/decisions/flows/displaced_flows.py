"""Steers the packets of displaced flows, on the entry host that owns their bucket.

The lookup tables alone do not determine the backend server of a displaced flow; ``ServiceTables``
explains when this is the case. The owner of the bucket chooses the server and records it.
"""

from __future__ import annotations

from redwingswitch._internal.decisions.flows.held_packets import (
    MAX_HOLD_MS,
    QUERY_RETRY_DELAY_MS,
    HeldPacket,
    HeldPackets,
)
from redwingswitch._internal.decisions.flows.record_exchange import RecordExchange
from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.decisions.flows.steering_context import SteeringContext
from redwingswitch._internal.models.actions import (
    Action,
    Drop,
    DropReason,
    SendToBackendServer,
    SendToPeer,
)
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.identifiers import PacketKind
from redwingswitch._internal.models.messages import (
    MAX_HOPS,
    ForwardedPacket,
    RecordBatchAck,
    RecordQuery,
    RecordReply,
)

# For this long before the activation of a table, opening packets are held if that table no longer
# contains their server. Hosts activate a table up to one message delay apart; without the
# hold, the last of them would open flows on a leaving server after the activation deadline.
HOLD_BEFORE_ACTIVATION_MS = 100


class DisplacedFlowSteering:
    """Choose and record the backend servers of displaced flows, and steer their packets.

    A packet is held while its server depends on the answer of another host or on the activation of
    a table.
    """

    def __init__(self, *, context: SteeringContext, exchange: RecordExchange) -> None:
        self._context = context
        self._exchange = exchange
        self.held = HeldPackets()

    def steer_packet(
        self, service: SteeredService, event: PacketArrived, now_ms: int, *, may_hold: bool = True
    ) -> list[Action]:
        """Return the actions for a packet of a displaced flow.

        With ``may_hold`` False, the packet is steered by what the local host knows now.
        """
        self._context.counters.decided_packets += 1
        number = service.records.get(event.flow_hash)
        if number is not None:
            if event.kind in (PacketKind.CLOSE, PacketKind.RESET):
                service.records.close(event.flow_hash)
            return self.send_to_server(service, event, number)
        if event.kind is PacketKind.OPEN:
            return self._open_flow(service, event, now_ms, may_hold=may_hold)
        number = service.records.get_closed(event.flow_hash)
        if number is not None:
            return self.send_to_server(service, event, number)
        return self._handle_unrecorded(service, event, now_ms, may_hold=may_hold)

    def send_to_server(
        self, service: SteeredService, event: PacketArrived, number: int
    ) -> list[Action]:
        """Send a packet, or drop it if its server now belongs to another service."""
        name = service.tables.index.names[number]
        if service.tables.is_reassigned(number):
            self._context.counters.wrong_service_packets += 1
            return [Drop(DropReason.WRONG_SERVICE, name)]
        return [SendToBackendServer(service.name, name, event.flow, event.payload)]

    # New flows.

    def _open_flow(
        self, service: SteeredService, event: PacketArrived, now_ms: int, *, may_hold: bool
    ) -> list[Action]:
        if service.starting:
            return [Drop(DropReason.OVERLOAD, service.name)]
        tables, flow_hash = service.tables, event.flow_hash
        number = tables.new_flow_choice(flow_hash, now_ms)
        if number is None:
            return [Drop(DropReason.NO_BACKEND_SERVER, service.name)]
        activate_at_ms = tables.new_flows_end_at_ms(number)
        hold_from_ms = (activate_at_ms or 0) - HOLD_BEFORE_ACTIVATION_MS
        if activate_at_ms is not None and may_hold and now_ms >= hold_from_ms:
            return self._hold_for_activation(service, event, activate_at_ms)
        closed = service.records.get_closed(flow_hash)
        if not service.records.put(flow_hash, number):
            return self._open_without_record(service, event)
        if not service.differs_from_default(flow_hash, number) and closed in (None, number):
            return self.send_to_server(service, event, number)
        return self._share_and_send(service, event, number, now_ms, may_hold=may_hold)

    def _open_without_record(self, service: SteeredService, event: PacketArrived) -> list[Action]:
        """Use the server of the oldest table, which needs no record, or refuse the flow.

        Called when the record bound is reached.
        """
        self._context.counters.record_bound_hits += 1
        default = service.tables.oldest.choice(event.flow_hash)
        if default is None or not service.tables.takes_new_flows(default):
            return [Drop(DropReason.OVERLOAD, service.name)]
        return self.send_to_server(service, event, default)

    def _hold_for_activation(
        self, service: SteeredService, event: PacketArrived, activate_at_ms: int
    ) -> list[Action]:
        if self.held.full():
            return self._drop_at_hold_limit(service)
        self.held.hold(
            ("activation", service.wire_id),
            HeldPacket(service.name, event),
            release_at_ms=activate_at_ms,
        )
        return []

    def _drop_at_hold_limit(self, service: SteeredService) -> list[Action]:
        self._context.counters.hold_limit_hits += 1
        return [Drop(DropReason.HOLD_LIMIT, service.name)]

    def _share_and_send(
        self,
        service: SteeredService,
        event: PacketArrived,
        number: int,
        now_ms: int,
        *,
        may_hold: bool,
    ) -> list[Action]:
        """Send the record to the other hosts that need it, and the packet to its server.

        While another host may choose a server for the same flow, the packet is held until that host
        has acknowledged the record, or for ``MAX_HOLD_MS``.
        """
        actions: list[Action] = [
            *self._exchange.share_record(service, event.flow_hash, number, now_ms)
        ]
        others = self._context.concurrent_owners(service, event.flow_hash, now_ms)
        sequence = self._exchange.sender.last_sequence(others[0]) if others else None
        if sequence is None or not may_hold:
            return actions + self.send_to_server(service, event, number)
        if self.held.full():
            self._context.counters.hold_limit_hits += 1
            return actions + self.send_to_server(service, event, number)
        self.held.hold(
            ("record", others[0], sequence),
            HeldPacket(service.name, event),
            release_at_ms=now_ms + MAX_HOLD_MS,
        )
        return actions

    # Flows that opened before the change of the table or at a former owner.

    def _handle_unrecorded(
        self, service: SteeredService, event: PacketArrived, now_ms: int, *, may_hold: bool
    ) -> list[Action]:
        others = (
            self._context.concurrent_owners(service, event.flow_hash, now_ms) if may_hold else ()
        )
        if others:
            return self._query_records(service, event, others, now_ms)
        if service.starting:
            # Only peers know the older tables, so the server of the local oldest table may be the
            # wrong one and would break flows that opened under those tables.
            return [Drop(DropReason.OVERLOAD, service.name)]
        number = service.tables.oldest.choice(event.flow_hash)
        if number is None:
            return [Drop(DropReason.NO_BACKEND_SERVER, service.name)]
        self._context.counters.default_choices += 1
        if event.kind is PacketKind.DATA and not service.records.put(event.flow_hash, number):
            self._context.counters.record_bound_hits += 1
        return self.send_to_server(service, event, number)

    def _query_records(
        self, service: SteeredService, event: PacketArrived, others: tuple[str, ...], now_ms: int
    ) -> list[Action]:
        key = ("query", service.wire_id, event.flow_hash)
        if self.held.full():
            self._context.counters.hold_limit_hits += 1
            if event.hops < MAX_HOPS:
                return [build_forward_action(event, others[0], hops=MAX_HOPS)]
            return self._handle_unrecorded(service, event, now_ms, may_hold=False)
        already_queried = self.held.is_waiting(key)
        self.held.hold(
            key,
            HeldPacket(service.name, event),
            release_at_ms=now_ms + MAX_HOLD_MS,
            expected_hosts=others,
            retry_at_ms=now_ms + QUERY_RETRY_DELAY_MS,
        )
        if already_queried:
            return []
        self._context.counters.record_queries += 1
        return _query_messages(service, event, others)

    def _repeat_queries(self, packet: HeldPacket, now_ms: int) -> list[Action]:
        """Repeat the queries for a held packet once, in case a query or reply was lost."""
        service = self._context.services_by_name.get(packet.service)
        if service is None:
            return []
        others = self._context.concurrent_owners(service, packet.event.flow_hash, now_ms)
        return _query_messages(service, packet.event, others)

    # Events that release held packets.

    def on_ack(self, sender: str, ack: RecordBatchAck, now_ms: int) -> list[Action]:
        """Release the opening packets whose record was acknowledged."""
        return self._resume(self.held.on_answer(("record", sender, ack.sequence)), now_ms)

    def on_reply(
        self, sender: str, reply: RecordReply, now_ms: int, *, found: bool
    ) -> list[Action]:
        """Release the packets held for a query once it found a record or every host replied."""
        key = ("query", reply.service_id, reply.flow_hash)
        return self._resume(self.held.on_answer(key, source=sender, final=found), now_ms)

    def on_activation(self, service: SteeredService, now_ms: int) -> list[Action]:
        """Release the opening packets that were held for the activation."""
        return self._resume(self.held.on_answer(("activation", service.wire_id)), now_ms)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Release packets at their deadline, and repeat unanswered queries."""
        actions = self._resume(self.held.release_overdue(now_ms), now_ms)
        for packet in self.held.due_for_retry(now_ms):
            actions += self._repeat_queries(packet, now_ms)
        return actions

    def _resume(self, packets: list[HeldPacket], now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for packet in packets:
            service = self._context.services_by_name.get(packet.service)
            if service is None:
                actions.append(Drop(DropReason.NO_SERVICE, packet.service))
                continue
            actions += self.steer_packet(service, packet.event, now_ms, may_hold=False)
        return actions


def _query_messages(
    service: SteeredService, event: PacketArrived, hosts: tuple[str, ...]
) -> list[Action]:
    query = RecordQuery(service.wire_id, event.flow_hash)
    return [SendToPeer(host, query) for host in hosts]


def build_forward_action(event: PacketArrived, host: str, *, hops: int) -> SendToPeer:
    """Return the action that forwards a packet to another entry host."""
    return SendToPeer(
        host, ForwardedPacket(event.flow, event.flow_hash, event.kind, hops, event.payload)
    )
