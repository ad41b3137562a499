"""Render error budgets and burn rates as a text table and as JSON.

A row shows one service, failure domain and measure; see ``ErrorBudgetRow``.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from redwingswitch._internal.report.burn import ErrorBudgetRow, Severity

MAX_LINE_COLUMNS = 80
_HEADINGS = ("service", "domain", "measure", "left", "short", "long", "gone in", "state")
_LEFT_ALIGNED_INDEXES = (0, 1, 2, 7)
_NAME_COLUMN_INDEXES = (0, 1)
_MIN_NAME_COLUMNS = 8
_SECONDS_PER_MINUTE = 60
_SECONDS_PER_HOUR = 3600
_SECONDS_PER_DAY = 86400


def render_text(rows: Sequence[ErrorBudgetRow]) -> str:
    """Return an aligned table of at most 80 columns, the most severe rows first."""
    if not rows:
        return "No events were found between the scrapes; collect two of each host under traffic."
    ordered = sorted(rows, key=lambda row: (-row.severity, -row.burn_long))
    table = [_HEADINGS, *(_row_cells(row) for row in ordered)]
    widths = _column_widths(table)
    return "\n".join(_format_row(row, widths) for row in table)


def render_json(rows: Sequence[ErrorBudgetRow]) -> str:
    """Return the rows as a JSON array of objects."""
    objects = [row._asdict() | {"severity": row.severity.name.lower()} for row in rows]
    return msgspec.json.format(msgspec.json.encode(objects)).decode()


def burn_rate_lines(rows: Sequence[ErrorBudgetRow], *, seconds: int) -> list[str]:
    """Return a line for each budget with a burn rate above 1, the highest first."""
    burning = sorted((row for row in rows if row.burn_short > 1), key=lambda r: -r.burn_short)
    if not burning:
        return [f"no error budget burned faster than it may in {seconds} s"]
    return [f"burning in {seconds} s, relative to the budget's rate:"] + [
        f"  {row.service} {row.failure_domain} {row.measure.value} {row.burn_short:.1f}x"
        for row in burning
    ]


def _row_cells(row: ErrorBudgetRow) -> tuple[str, ...]:
    return (
        row.service,
        row.failure_domain,
        row.measure.value,
        f"{row.budget_left_ratio:.0%}",
        f"{row.burn_short:.1f}x",
        f"{row.burn_long:.1f}x",
        _format_duration(row.exhausted_in_s),
        row.severity.name.lower(),
    )


def _format_duration(seconds: int | None) -> str:
    if seconds is None:
        return "-"
    if seconds >= _SECONDS_PER_DAY:
        return f"{seconds // _SECONDS_PER_DAY}d"
    if seconds >= _SECONDS_PER_HOUR:
        return f"{seconds // _SECONDS_PER_HOUR}h"
    return f"{seconds // _SECONDS_PER_MINUTE}m"


def _column_widths(table: Sequence[Sequence[str]]) -> list[int]:
    """Return the column widths; names are truncated so that a line fits."""
    widths = [max(len(row[column]) for row in table) for column in range(len(_HEADINGS))]
    while sum(widths) + len(widths) - 1 > MAX_LINE_COLUMNS:
        widest = max(_NAME_COLUMN_INDEXES, key=lambda column: widths[column])
        if widths[widest] <= _MIN_NAME_COLUMNS:
            break
        widths[widest] -= 1
    return widths


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    parts = []
    for column, (text, width) in enumerate(zip(row, widths, strict=True)):
        clipped = text[:width]
        parts.append(
            clipped.ljust(width) if column in _LEFT_ALIGNED_INDEXES else clipped.rjust(width)
        )
    return " ".join(parts).rstrip()


def highest_severity(rows: Sequence[ErrorBudgetRow]) -> Severity:
    """Return the highest severity of any row."""
    return max((row.severity for row in rows), default=Severity.OK)
