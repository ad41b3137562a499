"""What steering hosts did in each second, by failure domain, from their logs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.report.log_lines import LogLine, integer_field
from redwingswitch._internal.report.out_of_service_history import OutOfServiceHistory

UNKNOWN_DOMAIN = "?"
UNKNOWN_SERVER = "?"
_PACKET_PART = "packets"
_COUNTED_EVENTS = {
    "opened": "opened",
    "opened_again": "again",
    "offered_elsewhere": "elsewhere",
    "reset_no_route": "no_route",
    "reset_no_server": "no_server",
    "reset_server_gone": "gone",
    "reset_server_silent": "silent",
    "held_not_configured": "held",
    "held_no_server": "held",
    "held_unknown_cookie": "held",
    "held_unknown_route": "held",
    "held_outdated_list": "held",
    "held_slow_start": "held",
    "dropped_no_cookie": "dropped",
    "waiting": "waiting",
    "admitted_after_wait": "admitted_after_wait",
    "rejected_shortage": "rejected_shortage",
    "dropped_abandoned": "dropped_abandoned",
}
# The first offer of a flow to a server.
_OPENING_EVENTS = frozenset({"opened", "admitted_after_wait"})
# The columns of servers that are newly avoided, by fault.
AVOIDED_COLUMNS = {
    "silent": "avoided_silent",
    "overdue": "avoided_overdue",
    "slow": "avoided_slow",
}
_COUNTED_PRESENCES = {"listed": "listed", "lapsed": "lapsed", "gone": "ended"}


class RejectionReason(StrEnum):
    """Why a flow was rejected in a shortage; the values are in the JSON output.

    ``AT_ONCE``: the wait to expect was too long, or no place was left to wait. ``AFTER_WAIT``: its
    wait ended without room. ``UNKNOWN``: the host left the line out, or wrote it without the wait.
    """

    AT_ONCE = "at_once"
    AFTER_WAIT = "after_wait"
    UNKNOWN = "unknown"


class Rejection(NamedTuple):
    """A kind of rejection; ``priority`` is that of the route, or None if it is not known."""

    reason: RejectionReason
    priority: int | None


class AvoidedServer(NamedTuple):
    """A server that ``hosts`` hosts newly avoid for a fault."""

    server: str
    fault: str
    hosts: int


class SecondRow(NamedTuple):
    """One second of one failure domain of hosts.

    ``ready_hosts`` counts the hosts that last said that they are ready; a host that was killed says
    nothing until it starts again. ``counts`` has the events by column. ``max_list_age_ms`` is the
    greatest age of a list by which a packet was steered, and ``routes_versions`` has the lowest and
    the highest version in force then; both are None without such packets. ``rejected`` splits the
    count of ``rejected_shortage``. ``out_of_service`` has the failure domains that at least one of
    the hosts took for out of service.
    """

    time_s: int
    failure_domain: str
    ready_hosts: int
    counts: Counter[str]
    max_list_age_ms: int | None
    routes_versions: tuple[int, int] | None
    rejected: Counter[Rejection]
    avoided_servers: tuple[AvoidedServer, ...]
    out_of_service: tuple[str, ...]


class _Cell:
    __slots__ = ("avoided", "counts", "max_list_age_ms", "max_version", "min_version", "rejected")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.rejected: Counter[Rejection] = Counter()
        # The hosts that newly avoid a server for a fault.
        self.avoided: dict[tuple[str, str], set[str]] = {}
        self.max_list_age_ms: int | None = None
        self.min_version: int | None = None
        self.max_version: int | None = None


class SecondsReport:
    """Adds up log lines, in any order between the hosts and in order of time for each host."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        self._cells: dict[tuple[int, str], _Cell] = {}
        # When a source became ready or stopped to be: its failure domain, the time, and the change.
        self._changes: list[tuple[int, str, int]] = []
        self._ready: set[str] = set()
        self._out_of_service = OutOfServiceHistory()

    def add(self, line: LogLine) -> None:
        """Count one event."""
        if line.event == "started":
            self._domains[line.source] = line.fields.get("failure_domain", UNKNOWN_DOMAIN)
        self._note_readiness(line)
        self._note_out_of_service(line)
        cell = self._cell(line)
        if line.part == _PACKET_PART:
            self._add_packet(cell, line)
        elif line.event == "server changed":
            column = _COUNTED_PRESENCES.get(line.fields.get("presence", ""))
            if column is not None:
                cell.counts[column] += _count(line)
        elif line.event == "server avoided":
            _add_avoided(cell, line)

    def rows(self, *, failure_domain: str = "") -> list[SecondRow]:
        """Return the rows in order of time, those of one failure domain if it is given."""
        ready: Counter[str] = Counter()
        changes = sorted(self._changes)
        position = 0
        out_of_service = self._out_of_service.replay()
        found = []
        for (time_s, domain), cell in sorted(self._cells.items()):
            while position < len(changes) and changes[position][0] <= time_s:
                ready[changes[position][1]] += changes[position][2]
                position += 1
            if failure_domain and domain != failure_domain:
                continue
            versions = None
            if cell.min_version is not None and cell.max_version is not None:
                versions = (cell.min_version, cell.max_version)
            found.append(
                SecondRow(
                    time_s=time_s,
                    failure_domain=domain,
                    ready_hosts=ready[domain],
                    counts=cell.counts,
                    max_list_age_ms=cell.max_list_age_ms,
                    routes_versions=versions,
                    rejected=cell.rejected,
                    avoided_servers=tuple(
                        AvoidedServer(server, fault, len(hosts))
                        for (server, fault), hosts in sorted(cell.avoided.items())
                    ),
                    out_of_service=tuple(sorted(out_of_service.during(time_s, domain))),
                )
            )
        return found

    def _domain(self, line: LogLine) -> str:
        return self._domains.get(line.source, UNKNOWN_DOMAIN)

    def _cell(self, line: LogLine) -> _Cell:
        return self._cells.setdefault((line.time_s, self._domain(line)), _Cell())

    def _note_out_of_service(self, line: LogLine) -> None:
        if line.event == "out of service" and "failure_domains" in line.fields:
            names = line.fields["failure_domains"].split(",")
            domains = frozenset(name for name in names if name not in ("", "none"))
        elif line.event in ("started", "stopped"):
            domains = frozenset()
        else:
            return
        self._out_of_service.note(
            time_s=line.time_s, host=line.source, host_domain=self._domain(line), domains=domains
        )

    def _note_readiness(self, line: LogLine) -> None:
        is_ready = line.fields.get("readiness") == "ready"
        if not is_ready and line.event not in ("started", "stopped", "readiness"):
            return
        if is_ready == (line.source in self._ready):
            return
        (self._ready.add if is_ready else self._ready.discard)(line.source)
        self._changes.append((line.time_s, self._domain(line), 1 if is_ready else -1))

    def _add_packet(self, cell: _Cell, line: LogLine) -> None:
        if line.event == "suspicion":
            if line.fields.get("level") != "none":
                cell.counts["suspected"] += _count(line)
            return
        if line.event == "slow start":
            cell.counts["slow_start"] += _count(line)
            return
        column = _COUNTED_EVENTS.get(line.event)
        if column is None:
            return
        cell.counts[column] += _count(line)
        if line.event == "held_slow_start":
            cell.counts["held_slow_start"] += _count(line)
        elif line.event == "rejected_shortage":
            _add_rejected(cell, line)
        elif line.event in _OPENING_EVENTS and self._is_other_domain(line):
            # The domains of the lines that the host left out are not known.
            cell.counts["other_domain"] += 1
        age_ms = integer_field(line, "list_age_ms")
        if age_ms is not None:
            cell.max_list_age_ms = max(age_ms, cell.max_list_age_ms or 0)
        version = integer_field(line, "routes_version")
        if version is not None:
            cell.min_version = min(version, cell.min_version or version)
            cell.max_version = max(version, cell.max_version or version)

    def _is_other_domain(self, line: LogLine) -> bool:
        own = self._domain(line)
        server_domain = line.fields.get("failure_domain", own)
        return own not in (UNKNOWN_DOMAIN, server_domain)


def build_report(lines: Iterable[LogLine]) -> SecondsReport:
    """Return the report on some lines."""
    report = SecondsReport()
    for line in lines:
        report.add(line)
    return report


def _add_rejected(cell: _Cell, line: LogLine) -> None:
    wait_ms = integer_field(line, "wait_ms")
    reason = RejectionReason.UNKNOWN
    if wait_ms is not None:
        reason = RejectionReason.AFTER_WAIT if wait_ms else RejectionReason.AT_ONCE
    cell.rejected[Rejection(reason, integer_field(line, "priority"))] += 1
    omitted = integer_field(line, "omitted") or 0
    if omitted:
        cell.rejected[Rejection(RejectionReason.UNKNOWN, None)] += omitted


def _add_avoided(cell: _Cell, line: LogLine) -> None:
    """Count a server once in a second, however many hosts avoid it."""
    fault = line.fields.get("fault", "")
    key = (line.fields.get("server", UNKNOWN_SERVER), fault)
    if key not in cell.avoided and fault in AVOIDED_COLUMNS:
        cell.counts[AVOIDED_COLUMNS[fault]] += 1
    cell.avoided.setdefault(key, set()).add(line.source)


def _count(line: LogLine) -> int:
    """Return the number of events that a line stands for, with those left out before it."""
    return 1 + (integer_field(line, "omitted") or 0)
