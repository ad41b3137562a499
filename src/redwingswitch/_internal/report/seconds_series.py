"""The rows of the report by seconds as series over time, for a plot."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from redwingswitch._internal.report.seconds import Rejection, SecondRow
from redwingswitch._internal.report.seconds_table import (
    COUNT_COLUMNS,
    rejection_heading,
    sort_rejections,
)

_NO_VALUE = math.nan


class Series(NamedTuple):
    """One value for each of the panel's times; NaN where nothing is known."""

    name: str
    values: list[float]


class OutOfServiceSpan(NamedTuple):
    """A failure domain that is out of service from ``start_s`` to before ``end_s``."""

    failure_domain: str
    start_s: int
    end_s: int


class Panel(NamedTuple):
    """The series of one failure domain of hosts."""

    failure_domain: str
    times_s: list[int]
    series: list[Series]
    out_of_service: list[OutOfServiceSpan]


def build_panels(rows: Sequence[SecondRow]) -> list[Panel]:
    """Return one panel for each failure domain, by name; series without a value are left out."""
    domains = sorted({row.failure_domain for row in rows})
    return [_panel(name, [row for row in rows if row.failure_domain == name]) for name in domains]


def _panel(failure_domain: str, rows: Sequence[SecondRow]) -> Panel:
    points = _with_gaps(rows)
    series = [_series("ready", points, lambda row: row.ready_hosts)]
    for name in COUNT_COLUMNS:
        if any(row.counts[name] for row in rows):
            series.append(_series(name, points, _count_value(name), gap=0))
    for kind in sort_rejections({kind for row in rows for kind in row.rejected}):
        name = f"rejected_{rejection_heading(kind)}"
        series.append(_series(name, points, _rejection_value(kind), gap=0))
    if any(row.max_list_age_ms is not None for row in rows):
        series.append(_series("age_ms", points, lambda row: row.max_list_age_ms))
    if any(row.routes_versions is not None for row in rows):
        series.append(_series("routes", points, _newest_version))
    return Panel(
        failure_domain=failure_domain,
        times_s=[time_s for time_s, _ in points],
        series=series,
        out_of_service=_spans(rows),
    )


def _series(
    name: str,
    points: Sequence[tuple[int, SecondRow | None]],
    value: Callable[[SecondRow], float | None],
    *,
    gap: float = _NO_VALUE,
) -> Series:
    values = [gap if row is None else value(row) for _, row in points]
    return Series(name, [_NO_VALUE if each is None else float(each) for each in values])


def _with_gaps(rows: Sequence[SecondRow]) -> list[tuple[int, SecondRow | None]]:
    """Return the rows by time, with a point without a row at both ends of each gap."""
    points: list[tuple[int, SecondRow | None]] = []
    for row in rows:
        if points and row.time_s > points[-1][0] + 1:
            points += [(time_s, None) for time_s in sorted({points[-1][0] + 1, row.time_s - 1})]
        points.append((row.time_s, row))
    return points


def _count_value(name: str) -> Callable[[SecondRow], float]:
    return lambda row: row.counts[name]


def _rejection_value(kind: Rejection) -> Callable[[SecondRow], float]:
    return lambda row: row.rejected[kind]


def _newest_version(row: SecondRow) -> int | None:
    return None if row.routes_versions is None else row.routes_versions[1]


def _spans(rows: Sequence[SecondRow]) -> list[OutOfServiceSpan]:
    starts: dict[str, int] = {}
    spans = []
    for row in rows:
        for name in sorted(set(starts) - set(row.out_of_service)):
            spans.append(OutOfServiceSpan(name, starts.pop(name), row.time_s))
        for name in row.out_of_service:
            starts.setdefault(name, row.time_s)
    spans += [OutOfServiceSpan(name, start, rows[-1].time_s + 1) for name, start in starts.items()]
    return sorted(spans)
