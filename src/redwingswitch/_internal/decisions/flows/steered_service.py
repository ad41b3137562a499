"""Everything that flow steering holds for one service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from redwingswitch._internal.decisions.flows.flow_records import FlowRecords, RecordUsage
from redwingswitch._internal.decisions.flows.lookup_table import LookupTable
from redwingswitch._internal.decisions.flows.service_tables import ServiceTables
from redwingswitch._internal.models.configuration import Service
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import NeededRevision, PendingTable
from redwingswitch._internal.models.messages import TableHistory

# Hosts activate and learn of needs at slightly different times; the last report must arrive first.
TABLE_DROP_GRACE_MS = 30_000
RECORD_SCAN_INTERVAL_MS = 60_000
HISTORY_WAIT_MS = 3_000
# Members hear from each other directly only now and then.
ADVERTISE_ACTIVATION_MS = 10_000


class SteeredService:
    """The tables, the records and the deadlines of one service."""

    def __init__(self, *, service: Service, revision: int, usage: RecordUsage, now_ms: int) -> None:
        self.service = service
        self.name = service.name
        self.wire_id = wire_id(service.name)
        self.tables = ServiceTables(service=service, revision=revision, now_ms=now_ms)
        self.records = FlowRecords(
            bound=usage.bound, idle_limit_ms=service.idle_limit_ms, now_ms=now_ms, usage=usage
        )
        self.owner_changed_at_ms = now_ms
        self.starting = False
        self.history_wait_until_ms: int | None = None
        self._oldest_needed = True
        self._has_ejection_records = True
        self._scan_at_ms = now_ms

    # History that this host did not learn in time.

    def await_history(self, now_ms: int, *, starting: bool) -> None:
        """Treat every bucket as displaced until a peer's history arrived or none exists.

        A ``starting`` host leaves decisions to others until it knows the history and its peers.
        """
        self.starting = self.starting or starting
        self.history_wait_until_ms = now_ms + HISTORY_WAIT_MS
        self.tables.synchronised = False
        self.tables.rebuild()

    def merge_history(self, history: TableHistory, revision: int, now_ms: int) -> None:
        """Take over a peer's history."""
        self.tables.synchronised = True
        self.tables.merge(history, revision, now_ms, now_ms + self.service.idle_limit_ms)
        self.tables_changed(now_ms)

    def end_history_wait(self) -> None:
        """Return to normal operation."""
        self.starting = False
        self.history_wait_until_ms = None
        if not self.tables.synchronised:
            self.tables.synchronised = True
            self.tables.rebuild()

    # Servers of other services.

    def update_reassigned(
        self,
        service_by_server: Mapping[str, str],
        service_by_endpoint: Mapping[tuple[str, int], str],
    ) -> None:
        """Find former servers of this service whose name or endpoint another service has now."""
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

    def near_domain(self, flow_hash: int) -> str:
        """Return the failure domain that the owner of a flow should be in."""
        return self.near_domain_in(self.tables.history, flow_hash)

    def near_domain_in(self, history: Sequence[LookupTable], flow_hash: int) -> str:
        """Return the failure domain that a history of tables gives the owner of a flow.

        It is that of the server that the oldest table names. When the next table that differs has
        no such server, it is that of the server which the latter names instead. Otherwise the
        hosts near a drained server would own all of its buckets, and send the records of all new
        flows there. A table that is appended later changes nothing for a displaced bucket.
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

    # Needs.

    def needed_revision(self, now_ms: int) -> NeededRevision | None:
        """Return what this host states about its tables; None when there is nothing to state."""
        tables = self.tables
        several = len(tables.history) > 1
        if not several and not tables.displaced_servers():
            return None
        return NeededRevision(
            service_id=self.wire_id,
            revision=tables.oldest.revision if several and self._oldest_needed else 0,
            oldest_held_revision=tables.oldest.revision,
            pending=tuple(
                PendingTable(table.revision, table.activates_in_ms(now_ms))
                for table in tables.history[1:]
                if (table.activated_at_ms or now_ms) > now_ms - ADVERTISE_ACTIVATION_MS
            ),
            records_needed=self._has_ejection_records and len(self.records) > 0,
        )

    def next_activation_ms(self) -> int | None:
        """Return the earliest deadline of a table in preparation."""
        return min((table.activate_at_ms for table in self.tables.pending()), default=None)

    def tables_changed(self, now_ms: int) -> None:
        """Start over with the assumption that records need the oldest table."""
        self._oldest_needed = True
        self._has_ejection_records = True
        self._scan_at_ms = now_ms

    def drop_due_ms(self) -> int | None:
        """Return the earliest time at which the oldest table may be dropped."""
        history = self.tables.history
        if len(history) == 1 or history[1].activated_at_ms is None:
            return None
        since_ms = max(history[1].activated_at_ms, self.owner_changed_at_ms)
        return since_ms + self.service.idle_limit_ms + TABLE_DROP_GRACE_MS

    def oldest_needed(self, now_ms: int) -> bool:
        """Return whether a live record would lose its server with the oldest table."""
        if now_ms >= self._scan_at_ms:
            self._scan(now_ms)
        return self._oldest_needed

    def has_ejection_records(self, now_ms: int) -> bool:
        """Return whether a live record is in a bucket that only an ejection displaces."""
        if now_ms >= self._scan_at_ms:
            self._scan(now_ms)
        return self._has_ejection_records

    def _scan(self, now_ms: int) -> None:
        self._scan_at_ms = now_ms + RECORD_SCAN_INTERVAL_MS
        tables, records = self.tables, self.records
        several = len(tables.history) > 1
        self._oldest_needed = several and any(
            tables.agreed_after_drop(flow_hash) not in (None, value)
            for flow_hash, value in records.items()
        )
        self._has_ejection_records = bool(tables.displaced_servers()) and any(
            self.differs_from_default(flow_hash, value)
            and tables.oldest.choice(flow_hash) in tables.displaced_servers()
            for flow_hash, value in records.items()
        )

    # Records.

    def differs_from_default(self, flow_hash: int, number: int) -> bool:
        """Return whether a record differs from the default that hosts use without one."""
        return self.tables.oldest.choice(flow_hash) != number

    def drop_undisplaced_records(self) -> int:
        """Remove the records of undisplaced flows; return how many."""
        agreed = self.tables.agreed_choice
        undisplaced = [h for h, _ in self.records.items() if agreed(h) is not None]
        for flow_hash in undisplaced:
            self.records.drop(flow_hash)
        return len(undisplaced)
