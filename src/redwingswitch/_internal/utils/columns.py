"""Aligned text tables for terminals."""

from __future__ import annotations

from collections.abc import Sequence

TERMINAL_COLUMNS = 80
COLUMN_SEPARATOR = "  "
ELLIPSIS = "..."


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return aligned lines; lines longer than 80 columns are truncated."""
    table = [header, *rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    return [truncate(_format_row(row, widths)) for row in table]


def truncate(line: str) -> str:
    """Return ``line``, shortened with an ellipsis if it is longer than 80 columns."""
    if len(line) <= TERMINAL_COLUMNS:
        return line
    return line[: TERMINAL_COLUMNS - len(ELLIPSIS)] + ELLIPSIS


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_SEPARATOR.join(cells).rstrip()
