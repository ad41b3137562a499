"""The events that steering hosts log, and the fields that the report needs of them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from redwingswitch._internal.models.cookie_flows import Verdict
from redwingswitch._internal.report.line_problems import LineProblem, LineProblems
from redwingswitch._internal.report.log_lines import LogLine, integer_field

KNOWN_EVENTS: Mapping[str, frozenset[str]] = {
    "packets": frozenset(
        {*Verdict, "packet malformed", "send refused", "slow start", "suspicion"},
    ),
    "load": frozenset({"server avoided", "server evidence", "server used again"}),
    "fleet": frozenset(
        {
            "history lost",
            "list role",
            "out of service",
            "reader recorded",
            "resumed after a pause",
            "routes in force",
            "server changed",
            "store era",
            "store lost",
            "store regained",
            "watch abandoned",
        }
    ),
    "peers": frozenset(
        {
            "entry unusable",
            "list malformed",
            "list sent",
            "list taken",
            "message malformed",
            "routes malformed",
            "send refused",
        }
    ),
    "store": frozenset(
        {
            "configuration ignored",
            "entry unusable",
            "key without effect",
            "reader record ignored",
            "service unusable",
        }
    ),
    "steering": frozenset(
        {
            "readiness",
            "reload done",
            "reload refused",
            "server list synchronization failed; exiting",
            "settings unreadable",
            "started",
            "stop requested",
            "stopped",
        }
    ),
}
_PACKET_FIELDS = ("routes_version", "list_age_ms")
_SERVER_FIELDS = ("failure_domain", *_PACKET_FIELDS)
_NEEDED_FIELDS: Mapping[tuple[str, str], tuple[str, ...]] = {
    ("packets", "opened"): _SERVER_FIELDS,
    ("packets", "admitted_after_wait"): _SERVER_FIELDS,
    ("packets", "rejected_shortage"): ("priority", "wait_ms", *_PACKET_FIELDS),
    ("packets", "suspicion"): ("level",),
    ("load", "server avoided"): ("server", "fault"),
    ("fleet", "out of service"): ("failure_domains",),
    ("fleet", "server changed"): ("presence",),
    ("steering", "started"): ("failure_domain",),
}
_INTEGER_FIELDS = frozenset({"priority", "wait_ms"})


def check_lines(lines: Iterable[LogLine], problems: LineProblems) -> Iterator[LogLine]:
    """Pass all lines on; note unknown events, missing fields and events that were left out."""
    for line in lines:
        if line.event not in KNOWN_EVENTS.get(line.part, ()):
            problems.note(
                LineProblem.UNKNOWN_EVENT, place=line.place, detail=f"{line.part}: {line.event}"
            )
        missing = _missing_fields(line)
        if missing:
            detail = f"{line.part}: {line.event} without {' and '.join(missing)}"
            problems.note(LineProblem.MISSING_FIELD, place=line.place, detail=detail)
        problems.note_omitted(integer_field(line, "omitted") or 0)
        yield line


def _missing_fields(line: LogLine) -> list[str]:
    return [
        name
        for name in _NEEDED_FIELDS.get((line.part, line.event), ())
        if not line.fields.get(name)
        or (name in _INTEGER_FIELDS and integer_field(line, name) is None)
    ]
