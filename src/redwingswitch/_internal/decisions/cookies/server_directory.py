"""Known backend servers, retained through outages of the list in which they register.

The list is kept in the store, and each server writes its own entry.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.decisions.cookies.out_of_service_domains import OutOfServiceDomains
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import ListedServer, RouteAddress
from redwingswitch._internal.models.server_list import ServerChange

# Servers write entries that lapsed during an outage again within 2 s of its end; the remaining time
# allows this host to read them.
LAPSED_ENTRY_GRACE_MS = 2_500
# Flows live up to 60 s, and each flow of a gone server must still be reset. The cookie of an
# evicted server is unknown, and packets with an unknown cookie are held instead of reset.
GONE_SERVER_RETENTION_MS = 75_000
MAX_GONE_SERVERS = 4_096
MAX_COOKIE_TABLES = 4_096
# A server's first entry may be from before its slow start, and the next one comes within this time.
FIRST_ENTRY_MS = 1_200
MIN_WRITTEN_REPORTS = 2


class ListPresence(StrEnum):
    """Whether the list contains a server's entry.

    ``LAPSED`` means that the entry is missing, but the server may be running and write it again.
    ``GONE`` means that the entry is missing and the server is taken to have stopped.
    """

    LISTED = "listed"
    LAPSED = "lapsed"
    GONE = "gone"


class KnownServer(NamedTuple):
    """A server, and the deadlines that apply while it is absent from the list.

    ``absent_since_ms`` is None while the server is listed. An absent server is offered no flow from
    ``offer_deadline_ms`` on, and counts as gone from ``end_deadline_ms`` on. The server's slow
    start ends at ``slow_start_deadline_ms``. This start of the server is known since
    ``known_since_ms``, by its report number ``first_report_number``.
    """

    server: ListedServer
    slow_start_deadline_ms: int = 0
    absent_since_ms: int | None = None
    offer_deadline_ms: int = 0
    end_deadline_ms: int = 0
    known_since_ms: int = 0
    first_report_number: int = 0

    def presence(self, now_ms: int) -> ListPresence:
        """Return the presence of the server at ``now_ms``."""
        if self.absent_since_ms is None:
            return ListPresence.LISTED
        return ListPresence.LAPSED if now_ms < self.end_deadline_ms else ListPresence.GONE

    def is_in_slow_start(self, now_ms: int) -> bool:
        """Return whether the server is, or may be, in its slow start."""
        number = self.server.report_number
        is_reported = number >= MIN_WRITTEN_REPORTS or number > self.first_report_number
        is_new = now_ms - self.known_since_ms < FIRST_ENTRY_MS
        return now_ms < self.slow_start_deadline_ms or (is_new and not is_reported)

    def may_be_offered(self, now_ms: int) -> bool:
        """Return whether the server may get new flows, judged by its presence alone."""
        return self.absent_since_ms is None or now_ms < self.offer_deadline_ms


class ServerDirectory:
    """Backend servers by id and by cookie.

    A draining server whose entry disappears while the list is reachable is gone at once. An active
    server may only have renewed its entry late: it gets no new flows, but keeps its open flows for
    the time that it needs to register again. Servers that are missing during an outage, or just
    after it, get new flows too. A failure domain that is out of service has no active servers, but
    their cookies still name them.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownServer] = {}
        self._by_service: dict[str, tuple[KnownServer, ...]] = {}
        self._by_cookie: dict[RouteAddress, dict[int, str]] = {}
        self._list_reachable = False
        self._grace_deadline_ms = 0
        self._out_of_service = OutOfServiceDomains()

    def set_out_of_service(self, domains: frozenset[str], now_ms: int) -> bool:
        """Take exactly these failure domains out of service; return whether that is a change.

        The servers of a failure domain that comes back count as in slow start for a while.
        """
        if domains == self._out_of_service.domains:
            return False
        self._out_of_service.replace(domains, now_ms)
        for server_id, known in self._known.items():
            deadline_ms = self._slow_start_deadline_ms(known.server, known.slow_start_deadline_ms)
            self._known[server_id] = known._replace(slow_start_deadline_ms=deadline_ms)
        self._by_service.clear()
        return True

    def are_all_domains_out_of_service(self) -> bool:
        """Return whether each known server's failure domain is out of service."""
        return bool(self._known) and all(
            known.server.failure_domain in self._out_of_service.domains
            for known in self._known.values()
        )

    def _slow_start_deadline_ms(self, server: ListedServer, deadline_ms: int) -> int:
        """Return the end of a server's slow start, given the one by its entry."""
        domain_deadline_ms = self._out_of_service.slow_start_deadline_ms(server.failure_domain)
        return max(deadline_ms, domain_deadline_ms)

    def on_list_lost(self) -> None:
        """Record that the list cannot be read."""
        self._list_reachable = False

    def on_list_read(self, now_ms: int) -> None:
        """Record that the list was read.

        The first read after an outage, or after the start, begins the grace period of lapsed
        entries.
        """
        if not self._list_reachable:
            self._list_reachable = True
            self._grace_deadline_ms = now_ms + LAPSED_ENTRY_GRACE_MS

    @property
    def is_list_reachable(self) -> bool:
        """Return whether the last attempt to read the list succeeded."""
        return self._list_reachable

    def may_be_incomplete(self, now_ms: int) -> bool:
        """Return whether live servers may be missing from the list."""
        return not self._list_reachable or now_ms < self._grace_deadline_ms

    def replace(self, entries: Iterable[ServerChange], now_ms: int) -> list[str]:
        """Replace the whole list; return the ids of the servers whose state changed."""
        listed = {entry.server_id: entry for entry in entries}
        removals = [
            ServerChange(server_id=server_id, server=None, is_listed=False)
            for server_id, known in self._known.items()
            if known.absent_since_ms is None and server_id not in listed
        ]
        return self.update([*removals, *listed.values()], now_ms)

    def update(self, changes: Iterable[ServerChange], now_ms: int) -> list[str]:
        """Apply changed entries; return the ids of the servers whose state changed."""
        return [change.server_id for change in changes if self._apply_change(change, now_ms)]

    def _apply_change(self, change: ServerChange, now_ms: int) -> bool:
        if change.server is not None:
            return self.put(change.server, now_ms)
        if change.is_listed:
            return self.mark_unusable(change.server_id)
        return self.remove(change.server_id, now_ms)

    def put(self, server: ListedServer, now_ms: int) -> bool:
        """Store an entry; return whether more than the remaining slow start has changed.

        An earlier report than the latest known one of the same start, as a restored store has it,
        is ignored: a server that has announced that it leaves does not come back.
        """
        known = self._known.get(server.server_id)
        if known is not None and _is_earlier_report(server, known.server):
            return False
        entry = server._replace(slow_start_left_ms=0)
        if (
            known is not None
            and known.absent_since_ms is None
            and known.server._replace(report_number=entry.report_number) == entry
        ):
            deadline_ms = known.slow_start_deadline_ms
            if server.slow_start_left_ms:
                reported_ms = now_ms + server.slow_start_left_ms
                deadline_ms = self._slow_start_deadline_ms(entry, reported_ms)
            self._known[server.server_id] = known._replace(
                server=entry, slow_start_deadline_ms=deadline_ms
            )
            self._by_service.clear()
            return False
        if known is None:
            self._by_cookie.clear()
        is_same_start = known is not None and known.server.instance == entry.instance
        self._known[server.server_id] = KnownServer(
            entry,
            self._slow_start_deadline_ms(entry, now_ms + server.slow_start_left_ms),
            known_since_ms=known.known_since_ms if known and is_same_start else now_ms,
            first_report_number=(
                known.first_report_number if known and is_same_start else entry.report_number
            ),
        )
        self._by_service.clear()
        return True

    def remove(self, server_id: str, now_ms: int) -> bool:
        """Record that an entry was removed; return whether it was listed until now."""
        known = self._known.get(server_id)
        if known is None or known.absent_since_ms is not None:
            return False
        end_deadline_ms = self._grace_deadline_ms
        if known.server.state is ServerState.ACTIVE:
            end_deadline_ms = max(end_deadline_ms, now_ms + LAPSED_ENTRY_GRACE_MS)
        self._known[server_id] = known._replace(
            absent_since_ms=now_ms,
            offer_deadline_ms=self._grace_deadline_ms,
            end_deadline_ms=end_deadline_ms,
        )
        self._by_service.clear()
        self._evict_gone_servers(now_ms)
        return True

    def mark_unusable(self, server_id: str) -> bool:
        """Stop offering flows to a server whose entry is unreadable; return whether it got any."""
        known = self._known.get(server_id)
        if known is None or known.server.state is not ServerState.ACTIVE:
            return False
        draining = known.server._replace(state=ServerState.DRAINING)
        self._known[server_id] = known._replace(server=draining)
        self._by_service.clear()
        return True

    def get(self, server_id: str) -> KnownServer | None:
        """Return a server by its id."""
        return self._known.get(server_id)

    def by_cookie(self, cookie: int, destination: RouteAddress) -> KnownServer | None:
        """Return the server that a cookie identifies in flows to ``destination``."""
        table = self._by_cookie.get(destination)
        if table is None:
            table = self._build_cookie_table(destination)
        return self._known.get(table.get(cookie, ""))

    def active_servers(self, service: str) -> tuple[KnownServer, ...]:
        """Return the active servers of a service, absent ones included.

        Those of failure domains that are out of service are left out.
        """
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                known
                for known in self._known.values()
                if known.server.service == service
                and known.server.state is ServerState.ACTIVE
                and known.server.failure_domain not in self._out_of_service.domains
            )
            self._by_service[service] = found
        return found

    def listed_entries(self, now_ms: int) -> tuple[ServerChange, ...]:
        """Return the entries of the servers that are listed now."""
        return tuple(
            ServerChange(name, _with_slow_start(known, now_ms), is_listed=True)
            for name, known in self._known.items()
            if known.absent_since_ms is None
        )

    def listed_count(self) -> int:
        """Return the number of servers that are listed now."""
        return sum(known.absent_since_ms is None for known in self._known.values())

    def known_servers(self) -> Mapping[str, KnownServer]:
        """Return all known servers by id, including those that are gone but not yet evicted."""
        return self._known

    def _build_cookie_table(self, destination: RouteAddress) -> dict[int, str]:
        # In reverse order, so that the smallest id wins on every host when two cookies collide.
        ids = sorted(self._known, reverse=True)
        table = {flow_cookie(server_id=name, destination=destination): name for name in ids}
        if len(self._by_cookie) >= MAX_COOKIE_TABLES:
            self._by_cookie.clear()
        self._by_cookie[destination] = table
        return table

    def _evict_gone_servers(self, now_ms: int) -> None:
        gone = [
            (known.absent_since_ms, name)
            for name, known in self._known.items()
            if known.absent_since_ms is not None
        ]
        old = {name for since_ms, name in gone if now_ms - since_ms > GONE_SERVER_RETENTION_MS}
        surplus = len(gone) - len(old) - MAX_GONE_SERVERS
        if surplus > 0:
            old.update(name for _, name in sorted(gone)[:surplus])
        for name in old:
            del self._known[name]
        if old:
            self._by_cookie.clear()


def _is_earlier_report(server: ListedServer, known: ListedServer) -> bool:
    return server.instance == known.instance and server.report_number < known.report_number


def _with_slow_start(known: KnownServer, now_ms: int) -> ListedServer:
    left_ms = max(0, known.slow_start_deadline_ms - now_ms)
    return known.server._replace(slow_start_left_ms=left_ms)
