"""Render the seconds of steering hosts as a text table and as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec

from redwingswitch._internal.report.seconds import SecondRow

COUNT_COLUMNS = (
    "opened",
    "again",
    "elsewhere",
    "no_route",
    "no_server",
    "gone",
    "silent",
    "held",
    "dropped",
    "suspected",
    "listed",
    "lapsed",
    "ended",
)
_LEADING_COLUMNS = ("time", "domain", "ready")
_TRAILING_COLUMNS = ("age_ms", "routes")
_LEFT_ALIGNED_INDEXES = (0, 1)


def render_seconds_text(rows: Sequence[SecondRow]) -> str:
    """Return an aligned table with one line for each second and failure domain."""
    if not rows:
        return "No events of steering hosts were found in these files."
    table = [(*_LEADING_COLUMNS, *COUNT_COLUMNS, *_TRAILING_COLUMNS), *map(_cells, rows)]
    widths = [max(len(row[index]) for row in table) for index in range(len(table[0]))]
    return "\n".join(_format_row(row, widths) for row in table)


def render_seconds_json(rows: Sequence[SecondRow]) -> str:
    """Return the rows as a JSON array of objects; ``time_s`` is in seconds since the epoch."""
    objects = [
        row._asdict() | {"counts": {name: row.counts[name] for name in COUNT_COLUMNS}}
        for row in rows
    ]
    return msgspec.json.format(msgspec.json.encode(objects)).decode()


def _cells(row: SecondRow) -> tuple[str, ...]:
    versions = "-"
    if row.routes_versions is not None:
        low, high = row.routes_versions
        versions = str(low) if low == high else f"{low}-{high}"
    return (
        f"{datetime.fromtimestamp(row.time_s, UTC):%H:%M:%S}",
        row.failure_domain,
        str(row.ready_hosts),
        *(str(row.counts[name] or "-") for name in COUNT_COLUMNS),
        "-" if row.max_list_age_ms is None else str(row.max_list_age_ms),
        versions,
    )


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [
        cell.ljust(width) if index in _LEFT_ALIGNED_INDEXES else cell.rjust(width)
        for index, (cell, width) in enumerate(zip(row, widths, strict=True))
    ]
    return "  ".join(cells).rstrip()
