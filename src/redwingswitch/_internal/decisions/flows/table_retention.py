"""Drops lookup tables, and ends displacement by past ejections, once no host needs them."""

from __future__ import annotations

from redwingswitch._internal.decisions.flows.lookup_table import LookupTable
from redwingswitch._internal.decisions.flows.record_exchange import RecordExchange
from redwingswitch._internal.decisions.flows.record_transfers import Ownership
from redwingswitch._internal.decisions.flows.service_tables import MAX_TABLES
from redwingswitch._internal.decisions.flows.steered_service import (
    RECORD_SCAN_INTERVAL_MS,
    SteeredService,
)
from redwingswitch._internal.decisions.flows.steering_context import SteeringContext
from redwingswitch._internal.models.actions import Log
from redwingswitch._internal.models.members import MembershipView, MemberState
from redwingswitch._internal.models.messages import BatchPurpose


class TableRetention:
    """Track the tables that the members need, and drop the others from the histories."""

    def __init__(self, *, context: SteeringContext, exchange: RecordExchange) -> None:
        self._context = context
        self._exchange = exchange
        self._needed: dict[int, int] = {}
        self._records_needed: set[int] = set()

    def set_view(self, view: MembershipView) -> None:
        """Update the needs from the digests of the other members."""
        self._needed = {}
        self._records_needed = set()
        for member in view.members:
            if member.host == self._context.host or member.state is MemberState.DEAD:
                continue
            for need in member.digest.needed_revisions:
                if need.revision:
                    known = self._needed.get(need.service_id, need.revision)
                    self._needed[need.service_id] = min(known, need.revision)
                if need.records_needed:
                    self._records_needed.add(need.service_id)

    def drop_unneeded(self, service: SteeredService, now_ms: int) -> None:
        """Drop the tables, displacements and server numbers that one service no longer needs."""
        tables = service.tables
        due_ms = service.oldest_table_drop_due_ms()
        if due_ms is not None and now_ms >= due_ms and not self._still_needed(service, now_ms):
            self._drop_oldest(service, now_ms)
            self._context.counters.tables_dropped += 1
        if tables.displaced_servers():
            if service.wire_id in self._records_needed or service.has_ejection_records(now_ms):
                tables.extend_displacement(now_ms + RECORD_SCAN_INTERVAL_MS)
            if tables.end_displacement(now_ms):
                service.drop_undisplaced_records()
        settled = (
            len(tables.history) == 1
            and not tables.displaced_servers()
            and len(service.records) == 0
        )
        if settled and len(tables.index.names) > len(service.service.backend_servers):
            tables.prune_servers(service.service)

    def enforce_limit(self, service: SteeredService, now_ms: int) -> list[Log]:
        """Drop the oldest tables while the history exceeds ``MAX_TABLES``."""
        logs: list[Log] = []
        while len(service.tables.history) > MAX_TABLES:
            dropped = self._drop_oldest(service, now_ms)
            self._context.count_early_drop(service)
            text = (
                f"{service.name}: dropped the table of revision {dropped.revision}; the history "
                f"is limited to {MAX_TABLES} tables, and flows that opened under it may break"
            )
            logs.append(Log("steering", "warning", text))
        return logs

    def _still_needed(self, service: SteeredService, now_ms: int) -> bool:
        needed = self._needed.get(service.wire_id)
        if needed is not None and needed <= service.tables.oldest.revision:
            # Scan the local records as well. Otherwise the local host keeps advertising a need that
            # is only assumed, and two hosts wait for each other.
            service.is_oldest_table_needed(now_ms)
            return True
        return service.is_oldest_table_needed(now_ms)

    def _drop_oldest(self, service: SteeredService, now_ms: int) -> LookupTable:
        ranking = self._context.owners.ranking
        history = tuple(service.tables.history)
        dropped = service.tables.drop_oldest(now_ms)
        service.drop_undisplaced_records()
        before = Ownership(
            ranking=ranking, preferred_domain=lambda h: service.preferred_domain_in(history, h)
        )
        after = Ownership(ranking=ranking, preferred_domain=service.preferred_domain)
        transfers = self._exchange.queue_transfers(service, before, after, now_ms)
        for host in transfers.former_owners:
            self._context.owners.note_concurrent_owner(host, now_ms)
        self._replicate_records_of_dropped_table(service, dropped)
        service.schedule_record_scan(now_ms)
        return dropped

    def _replicate_records_of_dropped_table(
        self, service: SteeredService, dropped: LookupTable
    ) -> None:
        """Replicate the records whose server was the choice of the dropped table.

        As that table was the oldest, hosts used its choice for flows without a record, and such
        records were not replicated.
        """
        host = self._context.host
        by_replica: dict[str, dict[int, list[int]]] = {}
        for flow_hash, number in service.records.items():
            if dropped.choice(flow_hash) != number or not service.differs_from_default(
                flow_hash, number
            ):
                continue
            ranked = self._context.ranked_hosts(service, flow_hash)
            if ranked[:1] == (host,) and len(ranked) > 1:
                groups = by_replica.setdefault(ranked[1], {})
                server_id = service.tables.index.wire_ids[number]
                groups.setdefault(server_id, []).append(flow_hash)
        for replica, records in by_replica.items():
            self._exchange.sender.hand_over(replica, service.wire_id, records, BatchPurpose.REPLICA)
