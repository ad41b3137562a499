"""The history of lookup tables of one service, and the buckets displaced by it."""

from __future__ import annotations

from array import array
from collections.abc import Collection, Iterable

from redwingswitch._internal.decisions.flows.lookup_table import (
    LookupTable,
    active_servers,
    merge_adjacent_duplicates,
)
from redwingswitch._internal.decisions.flows.server_index import ServerIndex
from redwingswitch._internal.decisions.hashing import (
    TABLE_SIZES,
    maglev_table,
    rendezvous_rank,
)
from redwingswitch._internal.models.configuration import BackendServer, Service
from redwingswitch._internal.models.messages import HistoricTable, TableHistory

MAX_TABLES = 8
# A table is activated this long after the first host received its revision, or earlier if all hosts
# have received it.
ACTIVATION_DELAY_MS = 3_000
# For this long after its ejection, a server still gets new flows.
EJECTION_DELAY_MS = 1_000


class ServiceTables:
    """The lookup tables of one service, oldest first; the latest ones may be pending.

    A table is pending until it is activated, that is, used for new flows. Older tables stay in the
    history as long as flows need them. A bucket is displaced when the tables disagree on its
    server, when that server is or was ejected as unhealthy, when it now belongs to another service,
    or while tables may be missing. The flows of displaced buckets need records of their servers.
    """

    def __init__(self, *, service: Service, revision: int, now_ms: int) -> None:
        self.name = service.name
        self.index = ServerIndex()
        self.history: list[LookupTable] = []
        self.server_by_bucket: list[str | None] = []
        self.size = TABLE_SIZES[0]
        self.synchronised = True
        self.uniform_size = True
        self._reassigned: frozenset[int] = frozenset()
        self._ejected_at_ms: dict[int, int] = {}
        self._displaced_until_ms: dict[int, int] = {}
        self._add_servers(service.backend_servers)
        self._append(revision, active_servers(service), now_ms, activated_at_ms=now_ms)
        self.oldest.initial = True
        self.update_server_by_bucket()

    @property
    def oldest(self) -> LookupTable:
        """The table that gives the server of a flow without a record."""
        return self.history[0]

    @property
    def newest(self) -> LookupTable:
        """The table of the latest revision, activated or pending."""
        return self.history[-1]

    def newest_activated(self) -> LookupTable:
        """Return the table that gives the server of a new flow."""
        return next(e for e in reversed(self.history) if e.activated_at_ms is not None)

    def pending(self) -> list[LookupTable]:
        """Return the tables that are not activated yet, oldest first."""
        return [table for table in self.history if table.activated_at_ms is None]

    # Changes of the history.

    def append_revision(
        self, service: Service, revision: int, now_ms: int, activate_at_ms: int
    ) -> bool:
        """Append the table of a new revision if its servers differ; return whether they do."""
        self._add_servers(service.backend_servers)
        servers = active_servers(service)
        if servers == self.newest.servers:
            return False
        self._append(revision, servers, activate_at_ms, activated_at_ms=None)
        if not self.oldest.servers:
            # No flow can have opened under a table without servers.
            del self.history[0]
            self._activate_oldest(now_ms)
        self.update_server_by_bucket()
        return True

    def activate(self, table: LookupTable, now_ms: int) -> None:
        """Activate ``table`` and all earlier ones; new flows use the newest activated table."""
        for earlier in self.history[: self.history.index(table) + 1]:
            if earlier.activated_at_ms is None:
                earlier.activated_at_ms = now_ms

    def drop_oldest(self, now_ms: int) -> LookupTable:
        """Remove the oldest table from the history and return it."""
        dropped = self.history.pop(0)
        self._activate_oldest(now_ms)
        self.update_server_by_bucket()
        return dropped

    def prune_servers(self, service: Service) -> None:
        """Renumber the current servers, to free the numbers of former ones.

        Requires that there are no live records, because these hold server numbers.
        """
        table = self.newest
        self.index.reset(service.backend_servers)
        table.choices = self._choices(table.servers)
        self._ejected_at_ms = {}
        self._displaced_until_ms = {}
        self.update_server_by_bucket()

    def _activate_oldest(self, now_ms: int) -> None:
        if self.oldest.activated_at_ms is None:
            self.oldest.activated_at_ms = now_ms

    def _append(
        self,
        revision: int,
        servers: tuple[str, ...],
        activate_at_ms: int,
        *,
        activated_at_ms: int | None,
    ) -> None:
        self.history.append(
            LookupTable(
                revision=revision,
                servers=servers,
                choices=self._choices(servers),
                activate_at_ms=activate_at_ms,
                activated_at_ms=activated_at_ms,
            )
        )

    def _choices(self, servers: tuple[str, ...]) -> array[int]:
        table = maglev_table(service=self.name, servers=servers)
        numbers = [self.index.number(name) for name in table.servers]
        return array("H", [numbers[i] or 0 for i in table.buckets])

    def _add_servers(self, servers: Iterable[BackendServer]) -> None:
        for server in servers:
            self.index.add(server)

    # History from a peer.

    def build_history(self, service_id: int, now_ms: int) -> TableHistory:
        """Return the history as a message for a peer that missed revisions."""
        tables = tuple(
            HistoricTable(
                revision=table.revision,
                activates_in_ms=table.activates_in_ms(now_ms),
                servers=table.servers,
            )
            for table in self.history
        )
        named = {name for table in self.history for name in table.servers}
        held = [self.index.names[number] for number in self.displaced_servers()]
        servers = tuple(s for s in self.index.details if s.name in named or s.name in held)
        return TableHistory(
            service_id=service_id, tables=tables, servers=servers, held_servers=tuple(held)
        )

    def merge_history(
        self, history: TableHistory, revision: int, now_ms: int, displaced_until_ms: int
    ) -> None:
        """Insert the tables of revisions that the local host missed.

        ``revision`` is the local host's revision. Later tables of the peer are ignored; they arrive
        with the configuration of their revision. The buckets of servers that the peer lists in
        ``held_servers`` stay displaced until ``displaced_until_ms``.
        """
        own = {server.name for server in self.index.details}
        self._add_servers(s for s in history.servers if s.name not in own)
        newest = self.newest
        self._revise_initial_activation(history, now_ms)
        by_revision = {table.revision: table for table in self.history}
        for table in history.tables:
            if table.revision <= revision and table.revision not in by_revision:
                by_revision[table.revision] = self._entry_from_peer(table, now_ms)
        ordered = [by_revision[number] for number in sorted(by_revision)]
        self.history = merge_adjacent_duplicates(ordered)
        if self.newest.servers != newest.servers:
            # The local revision has no table of its own, because its servers were those of the
            # table before the missed ones. It needs one after the missed tables.
            activate_at_ms = now_ms + ACTIVATION_DELAY_MS
            self._append(revision, newest.servers, activate_at_ms, activated_at_ms=None)
        self.history = self.history[-MAX_TABLES:]
        self._activate_oldest(now_ms)
        for name in history.held_servers:
            number = self.index.number(name)
            if number is not None:
                self._displaced_until_ms[number] = displaced_until_ms
        self.update_server_by_bucket()

    def _revise_initial_activation(self, history: TableHistory, now_ms: int) -> None:
        """Correct the activation time of this process's first table by a peer's history.

        A new process assumes that its first table is activated. The peer's history gives the time
        that remains until then, or 0.
        """
        initial = next((table for table in self.history if table.initial), None)
        if initial is None:
            return
        advertised = [t.activates_in_ms for t in history.tables if t.revision >= initial.revision]
        remaining_ms = advertised[0] if advertised else ACTIVATION_DELAY_MS
        initial.initial = False
        if remaining_ms:
            initial.activated_at_ms = None
            initial.activate_at_ms = now_ms + remaining_ms

    def _entry_from_peer(self, table: HistoricTable, now_ms: int) -> LookupTable:
        known = tuple(name for name in table.servers if self.index.number(name) is not None)
        return LookupTable(
            revision=table.revision,
            servers=known,
            choices=self._choices(known),
            activate_at_ms=now_ms + table.activates_in_ms,
            activated_at_ms=None if table.activates_in_ms else now_ms,
        )

    # Ejected servers and the displacement of their buckets.

    def set_ejected(self, ejected: Collection[str], now_ms: int, displaced_until_ms: int) -> bool:
        """Set the ejected servers, at most half of the active ones; return whether they changed.

        The buckets of servers that are no longer ejected stay displaced until
        ``displaced_until_ms``.
        """
        numbers = {n for n in map(self.index.number, ejected) if n is not None}
        limit = len(self.newest.servers) // 2
        # Servers that are already ejected come first, to keep the set stable at the limit.
        ordered = sorted(numbers, key=lambda n: (n not in self._ejected_at_ms, self.index.names[n]))
        accepted = set(ordered[:limit])
        if accepted == self._ejected_at_ms.keys():
            return False
        for number in self._ejected_at_ms.keys() - accepted:
            del self._ejected_at_ms[number]
            self._displaced_until_ms[number] = displaced_until_ms
        for number in accepted:
            self._ejected_at_ms.setdefault(number, now_ms)
            self._displaced_until_ms.pop(number, None)
        self.update_server_by_bucket()
        return True

    def displaced_servers(self) -> set[int]:
        """Return the numbers of servers whose buckets are displaced by an ejection, past or not."""
        return self._ejected_at_ms.keys() | self._displaced_until_ms.keys()

    def extend_displacement(self, until_ms: int) -> None:
        """Keep the buckets of formerly ejected servers displaced until ``until_ms``."""
        for number, displaced_until_ms in self._displaced_until_ms.items():
            self._displaced_until_ms[number] = max(displaced_until_ms, until_ms)

    def end_displacement(self, now_ms: int) -> bool:
        """End the displacement by past ejections that is due; return whether there was any."""
        ended = [n for n, until_ms in self._displaced_until_ms.items() if until_ms <= now_ms]
        for number in ended:
            del self._displaced_until_ms[number]
        if ended:
            self.update_server_by_bucket()
        return bool(ended)

    # Choice of servers.

    def set_reassigned(self, reassigned: frozenset[int]) -> None:
        """Set the servers that now belong to another service."""
        if reassigned != self._reassigned:
            self._reassigned = reassigned
            self.update_server_by_bucket()

    def is_reassigned(self, number: int) -> bool:
        """Return whether a server now belongs to another service."""
        return number in self._reassigned

    def takes_new_flows(self, number: int) -> bool:
        """Return whether a server takes new flows in the newest revision."""
        return self.index.names[number] in self.newest.servers

    def new_flows_end_at_ms(self, number: int) -> int | None:
        """Return when a pending table without the server is activated, or None."""
        name = self.index.names[number]
        without = (e.activate_at_ms for e in self.pending() if name not in e.servers)
        return min(without, default=None)

    def agreed_choice(self, flow_hash: int) -> int | None:
        """Return the server number on which all tables agree, or None for a displaced flow."""
        first = self.oldest.choice(flow_hash)
        if first is None or first in self.displaced_servers() or not self.synchronised:
            return None
        agreed = all(table.choice(flow_hash) == first for table in self.history[1:])
        return first if agreed else None

    def agreed_choice_after_drop(self, flow_hash: int) -> int | None:
        """Return the server number on which all tables but the oldest agree, or None."""
        first = self.history[1].choice(flow_hash)
        agreed = all(table.choice(flow_hash) == first for table in self.history[2:])
        return first if agreed and first not in self.displaced_servers() else None

    def new_flow_choice(self, flow_hash: int, now_ms: int) -> int | None:
        """Return the server number for a new flow, or None when there is no active server."""
        return self._choice_in(self.newest_activated(), flow_hash, now_ms)

    def choice_for_connection(self, flow_hash: int, now_ms: int) -> int | None:
        """Return the server number for a new connection of the TCP listener, or None.

        The newest table is used even while it is pending, because a connection stays in one process
        and the hosts need not agree on its server.
        """
        return self._choice_in(self.newest, flow_hash, now_ms)

    def _choice_in(self, table: LookupTable, flow_hash: int, now_ms: int) -> int | None:
        choice = table.choice(flow_hash)
        ejected_at_ms = None if choice is None else self._ejected_at_ms.get(choice)
        if ejected_at_ms is None or now_ms < ejected_at_ms + EJECTION_DELAY_MS:
            return choice
        return self._healthy_choice(table, flow_hash)

    def _healthy_choice(self, table: LookupTable, flow_hash: int) -> int | None:
        """Choose a healthy server by rendezvous hashing, for a flow whose server is ejected."""
        numbers = {name: self.index.number(name) for name in table.servers}
        healthy = [name for name, n in numbers.items() if n not in self._ejected_at_ms]
        if not healthy:
            return table.choice(flow_hash)
        return numbers[rendezvous_rank(flow_hash.to_bytes(8, "big"), healthy)[0]]

    def update_server_by_bucket(self) -> None:
        """Recompute the server of each bucket; it is None for displaced buckets."""
        sizes = {len(table.choices) for table in self.history}
        self.size = len(self.newest.choices) or TABLE_SIZES[0]
        # Only with tables of one size does ``server_by_bucket`` tell exactly which flows are
        # displaced.
        self.uniform_size = len(sizes) == 1
        if not self.uniform_size or sizes == {0} or not self.synchronised:
            self.server_by_bucket = [None] * self.size
            return
        names: dict[int, str | None] = dict(enumerate(self.index.names))
        for number in self.displaced_servers() | self._reassigned:
            names[number] = None
        others = [table.choices for table in self.history[1:]]
        server_by_bucket = [names[number] for number in self.oldest.choices]
        for choices in others:
            for bucket, number in enumerate(self.oldest.choices):
                if choices[bucket] != number:
                    server_by_bucket[bucket] = None
        self.server_by_bucket = server_by_bucket

    def displaced_buckets(self) -> int:
        """Return how many buckets need records."""
        return self.server_by_bucket.count(None)
