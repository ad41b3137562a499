"""The state that flow steering keeps for one service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from redwingswitch._internal.decisions.flows.flow_records import FlowRecords, RecordQuota
from redwingswitch._internal.decisions.flows.lookup_table import LookupTable
from redwingswitch._internal.decisions.flows.service_tables import ServiceTables
from redwingswitch._internal.models.configuration import Service
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import NeededRevision, PendingTable
from redwingswitch._internal.models.messages import TableHistory

# Hosts activate tables, and detect that their records still need one, at slightly different times.
# The oldest table is dropped only this long after the idle limit of its flows, so that the last
# report of a need for it can arrive.
TABLE_DROP_GRACE_MS = 30_000
RECORD_SCAN_INTERVAL_MS = 60_000
# A host that gets no history from a peer within this time does without one.
HISTORY_WAIT_MS = 3_000
# An activation is advertised for this long, because any two members exchange heartbeats directly
# only from time to time.
ADVERTISE_ACTIVATION_MS = 10_000


class SteeredService:
    """The lookup tables, flow records and deadlines of one service.

    The owner of a displaced flow is the entry host that chooses and records its server; the terms
    are explained in ``ServiceTables``. The default server of a flow is the choice of the oldest
    table. Hosts use it for an open flow without a record.
    """

    def __init__(self, *, service: Service, revision: int, quota: RecordQuota, now_ms: int) -> None:
        self.service = service
        self.name = service.name
        self.wire_id = wire_id(service.name)
        self.tables = ServiceTables(service=service, revision=revision, now_ms=now_ms)
        self.records = FlowRecords(
            bound=quota.bound, idle_limit_ms=service.idle_limit_ms, now_ms=now_ms, quota=quota
        )
        self.owner_changed_at_ms = now_ms
        self.starting = False
        self.history_wait_until_ms: int | None = None
        self._oldest_table_needed = True
        self._has_ejection_records = True
        self._scan_at_ms = now_ms

    # History of revisions that the local host missed.

    def await_history(self, now_ms: int, *, starting: bool) -> None:
        """Treat every bucket as displaced until a peer's history has arrived or the wait ends.

        A ``starting`` host leaves the choice of servers to its peers until it knows the history and
        all peers.
        """
        self.starting = self.starting or starting
        self.history_wait_until_ms = now_ms + HISTORY_WAIT_MS
        self.tables.synchronised = False
        self.tables.update_server_by_bucket()

    def merge_history(self, history: TableHistory, revision: int, now_ms: int) -> None:
        """Merge a peer's history into the local one."""
        self.tables.synchronised = True
        self.tables.merge_history(history, revision, now_ms, now_ms + self.service.idle_limit_ms)
        self.schedule_record_scan(now_ms)

    def end_history_wait(self) -> None:
        """Stop waiting for a peer's history; use the local tables as they are."""
        self.starting = False
        self.history_wait_until_ms = None
        if not self.tables.synchronised:
            self.tables.synchronised = True
            self.tables.update_server_by_bucket()

    # Servers that moved to another service.

    def update_reassigned(
        self,
        service_by_server: Mapping[str, str],
        service_by_endpoint: Mapping[tuple[str, int], str],
    ) -> None:
        """Mark the former servers whose name or endpoint now belongs to another service."""
        current = {server.name for server in self.service.backend_servers}
        reassigned = set()
        for number, server in enumerate(self.tables.index.details):
            if server.name in current:
                continue
            endpoint = (server.address, server.tunnel_port)
            services = {service_by_server.get(server.name), service_by_endpoint.get(endpoint)}
            if services - {None, self.name}:
                reassigned.add(number)
        self.tables.set_reassigned(frozenset(reassigned))

    # Ownership.

    def preferred_domain(self, flow_hash: int) -> str:
        """Return the failure domain in which the owner of a flow is preferred."""
        return self.preferred_domain_in(self.tables.history, flow_hash)

    def preferred_domain_in(self, history: Sequence[LookupTable], flow_hash: int) -> str:
        """Return the preferred failure domain of a flow's owner, for the tables of ``history``.

        This is the domain of the flow's server in the oldest table. If the first table that differs
        does not contain that server at all, it is the domain of the flow's server in that table.
        Otherwise the hosts in the domain of a drained server would own all of its buckets and
        handle the records of all new flows. A table that is appended later does not change the
        domain of a displaced bucket.
        """
        oldest = history[0].choice(flow_hash)
        if oldest is None:
            return ""
        details = self.tables.index.details
        for table in history[1:]:
            choice = table.choice(flow_hash)
            if choice is None or choice == oldest:
                continue
            stays = details[oldest].name in table.servers
            return details[oldest if stays else choice].failure_domain
        return details[oldest].failure_domain

    # Tables that are still needed.

    def needed_revision(self, now_ms: int) -> NeededRevision | None:
        """Return what the local host advertises about its tables, or None if nothing."""
        tables = self.tables
        several = len(tables.history) > 1
        if not several and not tables.displaced_servers():
            return None
        return NeededRevision(
            service_id=self.wire_id,
            revision=tables.oldest.revision if several and self._oldest_table_needed else 0,
            oldest_held_revision=tables.oldest.revision,
            pending=tuple(
                PendingTable(table.revision, table.activates_in_ms(now_ms))
                for table in tables.history[1:]
                if (table.activated_at_ms or now_ms) > now_ms - ADVERTISE_ACTIVATION_MS
            ),
            records_needed=self._has_ejection_records and len(self.records) > 0,
        )

    def next_activation_ms(self) -> int | None:
        """Return the earliest activation deadline of a pending table, or None."""
        return min((table.activate_at_ms for table in self.tables.pending()), default=None)

    def schedule_record_scan(self, now_ms: int) -> None:
        """Make a scan due; until then, assume that records need the oldest table."""
        self._oldest_table_needed = True
        self._has_ejection_records = True
        self._scan_at_ms = now_ms

    def oldest_table_drop_due_ms(self) -> int | None:
        """Return the earliest time at which the oldest table may be dropped, or None."""
        history = self.tables.history
        if len(history) == 1 or history[1].activated_at_ms is None:
            return None
        since_ms = max(history[1].activated_at_ms, self.owner_changed_at_ms)
        return since_ms + self.service.idle_limit_ms + TABLE_DROP_GRACE_MS

    def is_oldest_table_needed(self, now_ms: int) -> bool:
        """Return whether a live record's flow would change servers without the oldest table."""
        if now_ms >= self._scan_at_ms:
            self._scan_records(now_ms)
        return self._oldest_table_needed

    def has_ejection_records(self, now_ms: int) -> bool:
        """Return whether a record in a bucket displaced by ejection differs from the default."""
        if now_ms >= self._scan_at_ms:
            self._scan_records(now_ms)
        return self._has_ejection_records

    def _scan_records(self, now_ms: int) -> None:
        self._scan_at_ms = now_ms + RECORD_SCAN_INTERVAL_MS
        tables, records = self.tables, self.records
        several = len(tables.history) > 1
        self._oldest_table_needed = several and any(
            tables.agreed_choice_after_drop(flow_hash) not in (None, value)
            for flow_hash, value in records.items()
        )
        self._has_ejection_records = bool(tables.displaced_servers()) and any(
            self.differs_from_default(flow_hash, value)
            and tables.oldest.choice(flow_hash) in tables.displaced_servers()
            for flow_hash, value in records.items()
        )

    # Records.

    def differs_from_default(self, flow_hash: int, number: int) -> bool:
        """Return whether a record's server ``number`` is not the default server of its flow."""
        return self.tables.oldest.choice(flow_hash) != number

    def drop_undisplaced_records(self) -> int:
        """Remove the records of flows that are not displaced; return how many."""
        agreed = self.tables.agreed_choice
        undisplaced = [h for h, _ in self.records.items() if agreed(h) is not None]
        for flow_hash in undisplaced:
            self.records.drop(flow_hash)
        return len(undisplaced)
