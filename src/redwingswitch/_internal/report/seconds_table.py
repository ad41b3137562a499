"""Render the seconds of steering hosts as a text table and as JSON."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from typing import NamedTuple

import msgspec

from redwingswitch._internal.report.line_problems import to_printable
from redwingswitch._internal.report.seconds import Rejection, SecondRow

COUNT_COLUMNS = (
    "opened",
    "other_domain",
    "again",
    "elsewhere",
    "waiting",
    "admitted_after_wait",
    "rejected_shortage",
    "dropped_abandoned",
    "no_route",
    "no_server",
    "gone",
    "silent",
    "held",
    "held_slow_start",
    "slow_start",
    "dropped",
    "suspected",
    "avoided_silent",
    "avoided_overdue",
    "avoided_slow",
    "listed",
    "lapsed",
    "ended",
)
# Shorter names, so that a row fits a terminal; JSON has the full ones.
_HEADINGS = {
    "other_domain": "other",
    "admitted_after_wait": "admitted",
    "rejected_shortage": "rejected",
    "dropped_abandoned": "abandoned",
    "held_slow_start": "held_slow",
    "avoided_silent": "av_silent",
    "avoided_overdue": "av_overdue",
    "avoided_slow": "av_slow",
}
_EMPTY = "-"


class _Column(NamedTuple):
    heading: str
    cell: Callable[[SecondRow], str]
    is_left_aligned: bool = False
    is_optional: bool = False


def render_seconds_text(rows: Sequence[SecondRow]) -> str:
    """Return an aligned table with one line for each second and failure domain.

    Counts that are zero in all rows have no column.
    """
    if not rows:
        return "No events of steering hosts were found in these files."
    shown = []
    for column in _columns(rows):
        cells = [column.cell(row) for row in rows]
        if column.is_optional and all(cell == _EMPTY for cell in cells):
            continue
        width = max(len(column.heading), *map(len, cells))
        align = str.ljust if column.is_left_aligned else str.rjust
        shown.append([align(cell, width) for cell in (column.heading, *cells)])
    return "\n".join("  ".join(line).rstrip() for line in zip(*shown, strict=True))


def render_seconds_json(rows: Sequence[SecondRow]) -> str:
    """Return the rows as a JSON array of objects; ``time_s`` is in seconds since the epoch."""
    objects = [
        row._asdict()
        | {
            "counts": {name: row.counts[name] for name in COUNT_COLUMNS},
            "rejected": [
                {"reason": kind.reason, "priority": kind.priority, "flows": row.rejected[kind]}
                for kind in sort_rejections(row.rejected)
            ],
            "avoided_servers": [server._asdict() for server in row.avoided_servers],
        }
        for row in rows
    ]
    return msgspec.json.format(msgspec.json.encode(objects)).decode()


def sort_rejections(kinds: Iterable[Rejection]) -> list[Rejection]:
    """Return kinds of rejections by priority, the unknown one last."""
    return sorted(kinds, key=lambda kind: (kind.priority is None, kind.priority or 0, kind.reason))


def rejection_heading(kind: Rejection) -> str:
    """Return the name of a kind of rejections in the table and in the plot."""
    return f"p{'?' if kind.priority is None else kind.priority}_{kind.reason}"


def _columns(rows: Sequence[SecondRow]) -> list[_Column]:
    columns = [
        _Column("time", lambda row: f"{datetime.fromtimestamp(row.time_s, UTC):%H:%M:%S}", True),
        _Column("domain", lambda row: to_printable(row.failure_domain), True),
        _Column("ready", lambda row: str(row.ready_hosts)),
    ]
    for name in COUNT_COLUMNS:
        columns.append(_Column(_HEADINGS.get(name, name), _count_cell(name), is_optional=True))
        if name == "rejected_shortage":
            columns += _rejection_columns(rows)
    return [
        *columns,
        _Column("out", _out_of_service_cell, is_optional=True),
        _Column("age_ms", _age_cell),
        _Column("routes", _routes_cell),
    ]


def _rejection_columns(rows: Sequence[SecondRow]) -> list[_Column]:
    kinds = sort_rejections({kind for row in rows for kind in row.rejected})
    return [_Column(rejection_heading(kind), _rejection_cell(kind)) for kind in kinds]


def _count_cell(name: str) -> Callable[[SecondRow], str]:
    return lambda row: str(row.counts[name] or _EMPTY)


def _rejection_cell(kind: Rejection) -> Callable[[SecondRow], str]:
    return lambda row: str(row.rejected[kind] or _EMPTY)


def _out_of_service_cell(row: SecondRow) -> str:
    return to_printable(",".join(row.out_of_service)) or _EMPTY


def _age_cell(row: SecondRow) -> str:
    return _EMPTY if row.max_list_age_ms is None else str(row.max_list_age_ms)


def _routes_cell(row: SecondRow) -> str:
    if row.routes_versions is None:
        return _EMPTY
    low, high = row.routes_versions
    return str(low) if low == high else f"{low}-{high}"
