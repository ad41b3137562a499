"""Error budgets and burn rates.

Burn rate and the pairing of a long with a short window follow the published practice of alerting on
service-level objectives (The Site Reliability Workbook, chapter 5).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

from redwingswitch._internal.report.indicators import (
    Indicator,
    Measure,
    MeasuredService,
    SteeredService,
)

# Allowed ratio of intervals in which the load of a service is unbalanced: its busiest backend
# server has more than ``imbalance_peak_over_mean`` times the mean of busy slots, the requests in
# progress.
IMBALANCE_OBJECTIVE_RATIO = 0.05


class Severity(IntEnum):
    """Severity of the state of an error budget, in ascending order."""

    OK = 0
    BURNING = 1
    EXHAUSTED = 2


class BurnRateWindows(NamedTuple):
    """Window lengths, and the burn rate at which a budget counts as burning.

    It must be reached in both the short and the long window.
    """

    short_s: int = 300
    long_s: int = 3600
    budget_s: int = 30 * 24 * 3600
    burning_rate: float = 6.0


class ErrorBudgetRow(NamedTuple):
    """Error budget and burn rates of one service, failure domain and measure.

    ``budget_left_ratio`` is 1 for an untouched budget and 0 or less for an exhausted one.
    ``burn_short`` and ``burn_long`` are the burn rates in the short and the long window.
    ``exhausted_in_s`` is the time to exhaustion at the long rate, None at a rate of 0.
    """

    service: str
    failure_domain: str
    measure: Measure
    objective_ratio: float
    bad: float
    total: float
    budget_left_ratio: float
    burn_short: float
    burn_long: float
    exhausted_in_s: int | None
    severity: Severity


class _RowKey(NamedTuple):
    service: str
    failure_domain: str
    measure: Measure


def error_budget_rows(
    indicators: Iterable[Indicator],
    *,
    services: Sequence[MeasuredService],
    windows: BurnRateWindows,
    now_ms: int,
) -> list[ErrorBudgetRow]:
    """Return one row for each service, failure domain and measure with any events."""
    services_by_name = {service.name: service for service in services}
    grouped: dict[_RowKey, list[Indicator]] = {}
    for item in indicators:
        key = _RowKey(item.service, item.failure_domain, item.measure)
        grouped.setdefault(key, []).append(item)
    return [
        _error_budget_row(
            key, items, _allowed_ratio(services_by_name[key.service], key.measure), windows, now_ms
        )
        for key, items in sorted(grouped.items())
    ]


def _allowed_ratio(service: MeasuredService, measure: Measure) -> float:
    """Return the allowed ratio of bad events."""
    if measure is Measure.LATE_ANSWERS and isinstance(service, SteeredService):
        return service.steering_objectives.late_answers_ratio
    objectives = service.objectives
    return {
        Measure.BROKEN_FLOWS: objectives.broken_flows_ratio,
        Measure.FAILED_REQUESTS: objectives.failed_requests_ratio,
        Measure.SLOW_SHORT_REQUESTS: objectives.slow_short_requests_ratio,
        Measure.IMBALANCE: IMBALANCE_OBJECTIVE_RATIO,
    }[measure]


def _error_budget_row(
    key: _RowKey, items: list[Indicator], objective: float, windows: BurnRateWindows, now_ms: int
) -> ErrorBudgetRow:
    bad, total = _sum_in_window(items, windows.budget_s, now_ms)
    burn_short = _burn_rate(items, windows.short_s, objective, now_ms)
    burn_long = _burn_rate(items, windows.long_s, objective, now_ms)
    budget_left = 1.0 - (bad / total / objective if total else 0.0)
    return ErrorBudgetRow(
        service=key.service,
        failure_domain=key.failure_domain,
        measure=key.measure,
        objective_ratio=objective,
        bad=bad,
        total=total,
        budget_left_ratio=budget_left,
        burn_short=burn_short,
        burn_long=burn_long,
        exhausted_in_s=_exhausted_in_s(budget_left, burn_long, windows),
        severity=_severity(budget_left, burn_short, burn_long, windows),
    )


def _sum_in_window(items: Iterable[Indicator], window_s: int, now_ms: int) -> tuple[float, float]:
    start_ms = now_ms - window_s * 1000
    recent = [item for item in items if start_ms < item.at_ms <= now_ms]
    return sum(item.bad for item in recent), sum(item.total for item in recent)


def _burn_rate(items: Iterable[Indicator], window_s: int, objective: float, now_ms: int) -> float:
    bad, total = _sum_in_window(items, window_s, now_ms)
    return bad / total / objective if total else 0.0


def _exhausted_in_s(budget_left: float, burn_long: float, windows: BurnRateWindows) -> int | None:
    if budget_left <= 0:
        return 0
    if burn_long <= 0:
        return None
    return int(budget_left * windows.budget_s / burn_long)


def _severity(
    budget_left: float, burn_short: float, burn_long: float, windows: BurnRateWindows
) -> Severity:
    if budget_left <= 0:
        return Severity.EXHAUSTED
    if min(burn_short, burn_long) >= windows.burning_rate:
        return Severity.BURNING
    return Severity.OK
