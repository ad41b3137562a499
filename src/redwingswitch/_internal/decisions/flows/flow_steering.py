"""Steers the packets of stream flows to backend servers (design, section 3)."""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatchmethod

from redwingswitch._internal.decisions.flows.activation_deadlines import ActivationDeadlines
from redwingswitch._internal.decisions.flows.displaced_flows import (
    DisplacedFlowSteering,
    build_forward_action,
)
from redwingswitch._internal.decisions.flows.record_exchange import RecordExchange
from redwingswitch._internal.decisions.flows.record_transfers import Ownership
from redwingswitch._internal.decisions.flows.steered_service import SteeredService
from redwingswitch._internal.decisions.flows.steering_context import (
    BrokenFlowCount,
    SteeringContext,
    SteeringStatistics,
)
from redwingswitch._internal.decisions.flows.table_history_exchange import TableHistoryExchange
from redwingswitch._internal.decisions.flows.table_retention import TableRetention
from redwingswitch._internal.models.actions import (
    Action,
    Drop,
    DropReason,
    SendToBackendServer,
)
from redwingswitch._internal.models.configuration import (
    Configuration,
    ServerState,
    Service,
)
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.members import MembershipView, NeededRevision
from redwingswitch._internal.models.messages import (
    MAX_HOPS,
    ForwardedPacket,
    PeerMessage,
    RecordBatch,
    RecordBatchAck,
    RecordQuery,
    RecordReply,
    TableHistory,
    TableHistoryRequest,
)
from redwingswitch._internal.models.status import ServiceStatus
from redwingswitch._internal.ports import RandomSource

SWEEP_INTERVAL_MS = 1_000
# A random first sequence keeps late acknowledgements for an earlier process of this host from
# matching batches of this one.
FIRST_SEQUENCE_RANGE = 1 << 16
NO_SERVICE = Drop(DropReason.NO_SERVICE)


class FlowSteering:
    """Choose the backend server, or the next entry host, of each packet.

    Packets in displaced buckets (see ``ServiceTables``) go to the owner of the bucket, the entry
    host that records the servers of their flows.

    Records are kept per flow key. A late packet of an older flow with the same key reaches the
    older flow's server until the newer flow opens. If the flow is not displaced, it does so
    afterwards as well, because both flows then have the same server. Once a newer flow has opened
    on another server, packets of the two flows cannot be told apart, and late packets reach the
    newer flow's server.
    """

    def __init__(self, *, host: str, failure_domain: str, random_source: RandomSource) -> None:
        self._context = SteeringContext(host=host, failure_domain=failure_domain)
        self._exchange = RecordExchange(
            context=self._context, first_sequence=random_source.randrange(FIRST_SEQUENCE_RANGE)
        )
        self._displaced_flows = DisplacedFlowSteering(
            context=self._context, exchange=self._exchange
        )
        self._retention = TableRetention(context=self._context, exchange=self._exchange)
        self._activation = ActivationDeadlines()
        self._history = TableHistoryExchange(host=host)
        self._pending: dict[str, SteeredService] = {}
        self._ejected: frozenset[str] = frozenset()
        self._revision = 0
        self._stopping = False
        self._now_ms = 0
        self._sweep_at_ms: int | None = None

    # Packets.

    def on_packet(self, event: PacketArrived, now_ms: int) -> list[Action]:
        """Return where a packet goes: a backend server, another entry host, or nowhere."""
        service = self._context.services_by_address.get(event.flow[3:])
        if service is None:
            return [NO_SERVICE]
        tables = service.tables
        server = tables.server_by_bucket[event.flow_hash % tables.size]
        if server is not None:
            return [SendToBackendServer(service.name, server, event.flow, event.payload)]
        return self._steer_displaced(service, event, now_ms)

    def _steer_displaced(
        self, service: SteeredService, event: PacketArrived, now_ms: int
    ) -> list[Action]:
        if not service.tables.uniform_size:
            agreed = service.tables.agreed_choice(event.flow_hash)
            if agreed is not None:
                return self._displaced_flows.send_to_server(service, event, agreed)
        owner = self._deciding_host(service, event)
        if owner is not None and owner != self._context.host:
            self._context.counters.forwarded_packets += 1
            return [build_forward_action(event, owner, hops=event.hops + 1)]
        return self._displaced_flows.steer_packet(service, event, now_ms)

    def _deciding_host(self, service: SteeredService, event: PacketArrived) -> str | None:
        """Return the host that chooses the server for a packet, or None for the local host."""
        if event.hops >= MAX_HOPS:
            return None
        context = self._context
        usable = context.usable_hosts(service, event.flow_hash)
        if not usable:
            return None
        if service.starting and usable[0] == context.host:
            # The local host lacks the older tables, so the next host in the ranking decides.
            return usable[1] if len(usable) > 1 else None
        if usable[1:2] == (context.host,) and self._exchange.hand_over_pending(service, usable[0]):
            # The new owner may not have received all records yet, so the local host still decides.
            return None
        return usable[0]

    def choose_for_connection(self, service: str, flow_hash: int, now_ms: int) -> str | None:
        """Return the server for a new connection of the TCP listener, or None.

        A connection stays in one process, so no other host has to agree on its server, and the
        newest table applies before its activation.
        """
        steered = self._context.services_by_name.get(service)
        if steered is None:
            return None
        tables = steered.tables
        number = tables.choice_for_connection(flow_hash, now_ms)
        return None if number is None else tables.index.names[number]

    # Configuration.

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Prepare the tables of a newer revision; ignore an older or equal one."""
        self._now_ms = now_ms
        if configuration.revision <= self._revision:
            return []
        starting = self._revision == 0
        skipped = configuration.revision > self._revision + 1
        self._revision = configuration.revision
        services = [service for service in configuration.services if service.takes_streams]
        self._remove_services(services)
        active = (e for e in configuration.entry_hosts if e.state is ServerState.ACTIVE)
        self._history.set_configured_hosts(entry.name for entry in active)
        self._activation.set_configured_hosts(self._history.configured_hosts)
        actions: list[Action] = []
        for service in services:
            actions += self._apply_service(service, now_ms, starting=starting, skipped=skipped)
        self._context.index_services(configuration)
        self._sweep_at_ms = self._sweep_at_ms or now_ms + SWEEP_INTERVAL_MS
        actions += self._history.request_missing(self._revision, now_ms)
        return actions + self._activate_due(now_ms) + self._exchange.sender.send_unsent(now_ms)

    def _apply_service(
        self, service: Service, now_ms: int, *, starting: bool, skipped: bool
    ) -> list[Action]:
        known = self._context.services_by_name.get(service.name)
        if known is None:
            known = SteeredService(
                service=service,
                revision=self._revision,
                quota=self._context.quota,
                now_ms=now_ms,
            )
            self._context.services_by_name[service.name] = known
            self._context.services_by_wire_id[known.wire_id] = known
        else:
            self._append_revision(known, service, now_ms)
        if starting or skipped:
            self._history.await_history(known, now_ms, starting=starting)
        return [*self._retention.enforce_limit(known, now_ms)]

    def _append_revision(self, known: SteeredService, service: Service, now_ms: int) -> None:
        known.service = service
        deadline_ms = self._activation.deadline_ms(known.wire_id, self._revision, now_ms)
        if not known.tables.append_revision(service, self._revision, now_ms, deadline_ms):
            return
        known.schedule_record_scan(now_ms)
        if known.tables.pending():
            self._pending[known.name] = known

    def _remove_services(self, services: Iterable[Service]) -> None:
        kept = {service.name for service in services}
        for name in [n for n in self._context.services_by_name if n not in kept]:
            removed = self._context.services_by_name.pop(name)
            del self._context.services_by_wire_id[removed.wire_id]
            removed.records.clear()
            self._pending.pop(name, None)
            self._history.forget(name)

    # Membership and ejected servers.

    def set_members(self, view: MembershipView, now_ms: int) -> list[Action]:
        """Apply a membership view; hand over records whose owner changed."""
        self._now_ms = now_ms
        owners = self._context.owners
        changed = owners.set_view(view, now_ms)
        self._exchange.retain_peers(owners.reachable)
        self._retention.set_view(view)
        self._history.set_view(view)
        self._activation.set_view(view, self._context.host, now_ms)
        for service in self._pending.values():
            self._activation.shorten_deadlines(service)
        actions: list[Action] = [*self._history.request_missing(self._revision, now_ms)]
        actions += self._activate_due(now_ms)
        if changed:
            self._transfer_records(now_ms)
        return actions + self._exchange.sender.send_unsent(now_ms)

    def _transfer_records(self, now_ms: int) -> None:
        owners = self._context.owners
        for service in self._context.services_by_name.values():
            if None in service.tables.server_by_bucket:
                before = Ownership(
                    ranking=owners.prior_ranking, preferred_domain=service.preferred_domain
                )
                after = Ownership(ranking=owners.ranking, preferred_domain=service.preferred_domain)
                self._exchange.queue_transfers(service, before, after, now_ms)

    def set_ejected(self, servers: frozenset[str], now_ms: int) -> list[Action]:
        """Set the unhealthy backend servers that get no new flows."""
        self._now_ms = now_ms
        if servers == self._ejected:
            return []
        self._ejected = servers
        for service in self._context.services_by_name.values():
            displaced_until_ms = now_ms + service.service.idle_limit_ms
            if service.tables.set_ejected(servers, now_ms, displaced_until_ms):
                service.schedule_record_scan(now_ms)
        return []

    def needed_revisions(self) -> tuple[NeededRevision, ...]:
        """Return what the next heartbeat advertises about the tables of the local host."""
        needs = (
            service.needed_revision(self._now_ms)
            for service in self._context.services_by_name.values()
        )
        return tuple(need for need in needs if need is not None)

    # Messages.

    def on_message(self, sender: str, message: PeerMessage, now_ms: int) -> list[Action]:
        """Handle a message about records, tables or a forwarded packet."""
        self._now_ms = now_ms
        return self._handle(message, sender, now_ms)

    @singledispatchmethod
    def _handle(self, message: PeerMessage, sender: str, now_ms: int) -> list[Action]:
        return []

    @_handle.register
    def _(self, message: ForwardedPacket, sender: str, now_ms: int) -> list[Action]:
        event = PacketArrived(
            message.flow, message.flow_hash, message.kind, message.payload, message.hops
        )
        return self.on_packet(event, now_ms)

    @_handle.register
    def _(self, message: RecordBatch, sender: str, now_ms: int) -> list[Action]:
        return [*self._exchange.on_batch(sender, message, now_ms)]

    @_handle.register
    def _(self, message: RecordBatchAck, sender: str, now_ms: int) -> list[Action]:
        sent = self._exchange.sender.on_ack(sender, message.sequence, now_ms)
        return [*sent, *self._displaced_flows.on_ack(sender, message, now_ms)]

    @_handle.register
    def _(self, message: RecordQuery, sender: str, now_ms: int) -> list[Action]:
        return [*self._exchange.on_query(sender, message)]

    @_handle.register
    def _(self, message: RecordReply, sender: str, now_ms: int) -> list[Action]:
        found = self._exchange.on_reply(sender, message, now_ms)
        return self._displaced_flows.on_reply(sender, message, now_ms, found=found)

    @_handle.register
    def _(self, message: TableHistoryRequest, sender: str, now_ms: int) -> list[Action]:
        return [*self._history.answer(self._context.services_by_wire_id, sender, message, now_ms)]

    @_handle.register
    def _(self, message: TableHistory, sender: str, now_ms: int) -> list[Action]:
        service = self._context.services_by_wire_id.get(message.service_id)
        if service is None or service.history_wait_until_ms is None:
            return []
        service.merge_history(message, self._revision, now_ms)
        if service.tables.pending():
            self._pending[service.name] = service
        return [*self._history.request_missing(self._revision, now_ms)]

    # Time.

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is due next, or None."""
        deadlines = [
            self._sweep_at_ms,
            self._exchange.sender.next_deadline_ms(),
            self._displaced_flows.held.next_deadline_ms(),
            *(service.next_activation_ms() for service in self._pending.values()),
        ]
        return min((at_ms for at_ms in deadlines if at_ms is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Activate due tables, release held packets, send due batches and drop expired state."""
        self._now_ms = now_ms
        actions = self._activate_due(now_ms)
        actions += self._displaced_flows.on_timer(now_ms)
        if self._sweep_at_ms is not None and now_ms >= self._sweep_at_ms:
            self._sweep_at_ms = now_ms + SWEEP_INTERVAL_MS
            actions += self._history.request_missing(self._revision, now_ms)
            self._drop_expired(now_ms)
        return actions + self._exchange.sender.on_timer(now_ms)

    def _activate_due(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for service in list(self._pending.values()):
            due = [e for e in service.tables.pending() if self._activation.is_due(e, now_ms)]
            if due:
                service.tables.activate(due[-1], now_ms)
                actions += self._displaced_flows.on_activation(service, now_ms)
            if not service.tables.pending():
                del self._pending[service.name]
        return actions

    def _drop_expired(self, now_ms: int) -> None:
        self._context.owners.expire(now_ms)
        for service in self._context.services_by_name.values():
            service.records.rotate(now_ms)
            self._retention.drop_unneeded(service, now_ms)

    # Planned stop.

    def begin_stop(self, now_ms: int) -> list[Action]:
        """Give up all buckets and hand over their records; packets are forwarded from now on."""
        self._now_ms = now_ms
        if self._stopping:
            return []
        self._stopping = True
        self._context.owners.leave(now_ms)
        self._transfer_records(now_ms)
        return [*self._exchange.sender.flush_all(now_ms)]

    def hand_over_done(self) -> bool:
        """Return whether the new holders have acknowledged every record."""
        return self._stopping and self._exchange.sender.idle()

    def service_statuses(self) -> list[ServiceStatus]:
        """Return the number of displaced buckets and records of each service."""
        return [
            ServiceStatus(
                name=service.name,
                displaced_buckets=service.tables.displaced_buckets(),
                records=len(service.records),
            )
            for service in self._context.services_by_name.values()
        ]

    def records_by_server(self) -> dict[str, int]:
        """Return how many records name each backend server."""
        counts: dict[str, int] = {}
        for service in self._context.services_by_name.values():
            names = service.tables.index.names
            for number, hashes in service.records.hashes_by_value().items():
                counts[names[number]] = counts.get(names[number], 0) + len(hashes)
        return counts

    def statistics(self) -> SteeringStatistics:
        """Return counters and gauges."""
        context, sender = self._context, self._exchange.sender
        services = context.services_by_name.values()
        return SteeringStatistics(
            services=len(context.services_by_name),
            records=context.quota.used,
            displaced_buckets=sum(s.tables.displaced_buckets() for s in services),
            held_packets=len(self._displaced_flows.held),
            records_sent=sender.records_sent,
            records_given_up=sender.given_up.total(),
            retransmissions=sender.retransmissions,
            broken_flows=self._broken_flows(),
            **vars(context.counters),
        )

    def _broken_flows(self) -> tuple[BrokenFlowCount, ...]:
        context = self._context
        counts = context.broken_flows.copy()
        for wire_id, records in self._exchange.sender.given_up.items():
            service = context.services_by_wire_id.get(wire_id)
            if service is not None:
                counts[service.service.name, "records_given_up"] += records
        return tuple(BrokenFlowCount(*key, count) for key, count in sorted(counts.items()))
