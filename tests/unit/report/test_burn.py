"""Guards against budgets that are wrong after restarts or at window edges, and their rendering."""

import json

import pytest

from redwingswitch._internal.exceptions import DecodeError, InvalidInputGroup
from redwingswitch._internal.models.configuration import Service, ServiceLevelObjectives, SizeClass
from redwingswitch._internal.report.burn import BurnRateWindows, Severity, error_budget_rows
from redwingswitch._internal.report.indicators import (
    Indicator,
    Measure,
    SteeringObjectives,
    compute_indicators,
    steered_services,
)
from redwingswitch._internal.report.render import (
    MAX_LINE_COLUMNS,
    burn_rate_lines,
    highest_severity,
    render_json,
    render_text,
)
from redwingswitch._internal.report.scrapes import load_scrapes, parse_scrape, save_scrape
from redwingswitch._internal.report.settings import parse_report_settings

SERVICE = Service(
    name="job-board",
    address="10.1.0.1",
    port=443,
    listen_port=0,
    takes_streams=True,
    takes_requests=True,
    idempotent=False,
    size_class=SizeClass.SHORT,
    expected_service_ms=50,
    idle_limit_ms=900_000,
    objectives=ServiceLevelObjectives(),
    backend_servers=(),
)
WINDOWS = BurnRateWindows(short_s=300, long_s=3600, budget_s=86_400, burning_rate=6.0)


def scrape(at_s, *lines, incarnation="1"):
    identity = (
        'redwingswitch_host_info{host="entry-1",failure_domain="hobart",'
        f'incarnation="{incarnation}"}} 1'
    )
    return parse_scrape("\n".join((identity, *lines)) + "\n", scraped_at_ms=at_s * 1000)


def request_samples(answered, failed_requests):
    labels = 'service="job-board",outcome='
    return (
        f'redwingswitch_requests_total{{{labels}"answered"}} {answered}',
        f'redwingswitch_requests_total{{{labels}"outcome-unknown"}} {failed_requests}',
    )


def flow_samples(opened, broken):
    return (
        f'redwingswitch_flows_opened_total{{service="job-board"}} {opened}',
        f'redwingswitch_broken_flows_total{{service="job-board",kind="x"}} {broken}',
    )


def latency_samples(fast, all_requests, size_class="short"):
    name = f'redwingswitch_request_latency_ms_bucket{{service="job-board",size_class="{size_class}"'
    return (f'{name},le="500"}} {fast}', f'{name},le="+Inf"}} {all_requests}')


def busy_slot_samples(*busy):
    return tuple(
        f'redwingswitch_busy_slots{{service="job-board",backend_server="job-{number}"}} {value}'
        for number, value in enumerate(busy)
    )


@pytest.mark.parametrize(
    ("measure", "before", "after", "expected"),
    [
        (Measure.FAILED_REQUESTS, request_samples(100, 2), request_samples(190, 12), (10, 100)),
        (Measure.FAILED_REQUESTS, request_samples(100, 2), request_samples(100, 2), None),
        (Measure.BROKEN_FLOWS, flow_samples(1000, 0), flow_samples(3000, 3), (3, 2000)),
        (Measure.BROKEN_FLOWS, flow_samples(1000, 0), flow_samples(1000, 3), (3, 3)),
        (
            Measure.SLOW_SHORT_REQUESTS,
            latency_samples(10, 10),
            latency_samples(100, 110),
            (10, 100),
        ),
        (
            Measure.SLOW_SHORT_REQUESTS,
            latency_samples(1, 1, "long"),
            latency_samples(1, 9, "long"),
            None,
        ),
        (Measure.IMBALANCE, (), busy_slot_samples(2, 1, 1), (1, 1)),
        (Measure.IMBALANCE, (), busy_slot_samples(2, 2, 2), (0, 1)),
        (Measure.IMBALANCE, (), busy_slot_samples(1, 0, 0), None),
    ],
)
def test_counts_between_two_scrapes(measure, before, after, expected):
    found = compute_indicators([scrape(0, *before), scrape(60, *after)], [SERVICE])
    counts = [(item.bad, item.total) for item in found if item.measure == measure]
    assert counts[-1:] == ([] if expected is None else [expected])


@pytest.mark.parametrize(
    ("second_incarnation", "second", "expected_bad"),
    [("1", (200, 30), 10), ("2", (50, 5), 5), ("2", (500, 30), 30), ("1", (0, 0), 0)],
)
def test_counter_reset_is_seen_by_the_incarnation(second_incarnation, second, expected_bad):
    found = compute_indicators(
        [
            scrape(0, *request_samples(100, 20)),
            scrape(60, *request_samples(*second), incarnation=second_incarnation),
        ],
        [SERVICE],
    )
    assert sum(item.bad for item in found) == expected_bad


def failed_requests(at_s, bad, total):
    return Indicator("job-board", "hobart", Measure.FAILED_REQUESTS, at_s * 1000, bad, total)


@pytest.mark.parametrize(
    ("items", "budget_left", "burn_short", "burn_long", "severity"),
    [
        ([failed_requests(86_400, 0, 1000)], 1.0, 0.0, 0.0, Severity.OK),
        (
            [failed_requests(10, 5, 1000), failed_requests(86_400, 0, 1000)],
            0.75,
            0.0,
            0.0,
            Severity.OK,
        ),
        # Burning requires both windows: neither a short burst nor an old one suffices.
        (
            [failed_requests(83_000, 0, 9_000), failed_requests(86_400, 60, 1000)],
            0.4,
            6.0,
            0.6,
            Severity.OK,
        ),
        (
            [failed_requests(10, 0, 20_000), failed_requests(86_400, 60, 1000)],
            0.714,
            6.0,
            6.0,
            Severity.BURNING,
        ),
        ([failed_requests(86_400, 10, 1000)], 0.0, 1.0, 1.0, Severity.EXHAUSTED),
        # Events exactly at the start of the budget window are excluded.
        (
            [failed_requests(0, 999, 1000), failed_requests(86_400, 0, 1000)],
            1.0,
            0.0,
            0.0,
            Severity.OK,
        ),
    ],
)
def test_burn_rows(items, budget_left, burn_short, burn_long, severity):
    (row,) = error_budget_rows(items, services=[SERVICE], windows=WINDOWS, now_ms=86_400_000)
    assert row.budget_left_ratio == pytest.approx(budget_left, abs=0.01)
    assert row.burn_long == pytest.approx(burn_long)
    assert row.burn_short == pytest.approx(burn_short)
    assert row.severity == severity
    assert highest_severity([row]) == severity


def test_text_fits_80_columns_and_json_parses():
    long_name = "a-service-with-a-very-long-name-indeed"
    service = SERVICE._replace(name=long_name)
    items = [
        failed_requests(86_400, 60, 1000)._replace(
            service=long_name, failure_domain="kitakyushu-north-2"
        )
    ]
    rows = error_budget_rows(items, services=[service], windows=WINDOWS, now_ms=86_400_000)
    assert max(map(len, render_text(rows).splitlines())) <= MAX_LINE_COLUMNS
    assert json.loads(render_json(rows))[0]["severity"] == "exhausted"
    assert "collect two of each host" in render_text([])


@pytest.mark.parametrize(
    ("bad", "line"),
    [
        (60, "  job-board hobart failed requests 6.0x"),
        (5, "no error budget burned faster than it may in 10 s"),
    ],
)
def test_status_names_the_budgets_that_burn(bad, line):
    rows = error_budget_rows(
        [failed_requests(86_400, bad, 1000)], services=[SERVICE], windows=WINDOWS, now_ms=86_400_000
    )
    assert burn_rate_lines(rows, seconds=10)[-1] == line


def test_saved_scrapes_come_back_in_order(tmp_path):
    for at_s in (60, 0):
        text = 'redwingswitch_host_info{host="a",failure_domain="d",incarnation="1"} 1\n'
        save_scrape(tmp_path, text, parse_scrape(text, scraped_at_ms=at_s * 1000))
    assert [item.scraped_at_ms for item in load_scrapes(tmp_path)] == [0, 60_000]


@pytest.mark.parametrize("text", ["", "other_metric 1\n", "redwingswitch_host_info{host= 1\n"])
def test_foreign_or_malformed_metrics_are_refused(text):
    with pytest.raises(DecodeError):
        parse_scrape(text, scraped_at_ms=0)


@pytest.mark.parametrize(
    ("text", "line", "key_path"),
    [
        ('hosts = ["127.0.0.1"]', 1, "hosts"),
        ("\nhost = []", 2, "host"),
        ("[windows]\nshort_s = 7200\nlong_s = 3600", 1, "windows"),
        ("[windows]\nshort_s = 1", 2, "windows.short_s"),
        ("[windows]\nburning_rate = 0.5", 2, "windows.burning_rate"),
    ],
)
def test_settings_findings_name_their_place(text, line, key_path):
    with pytest.raises(InvalidInputGroup) as caught:
        parse_report_settings(text=text, file="report.toml")
    findings = [error.finding for error in caught.value.exceptions]
    assert (line, key_path) in [(finding.line, finding.key_path) for finding in findings]


def steering_scrape(at_s, *, opened, silent, late, ok, incarnation="1"):
    name = "redwingswitch_steering"
    lines = (
        f'{name}_host_info{{host="entry-1",failure_domain="huon",incarnation="{incarnation}"}} 1',
        f'{name}_packets_total{{verdict="opened",service="job-board"}} {opened}',
        f'{name}_packets_total{{verdict="reset_server_silent",service="job-board"}} {silent}',
        f'{name}_packets_total{{verdict="reset_no_route",service=""}} 99',
        f'{name}_answers_total{{service="job-board",result="late"}} {late}',
        f'{name}_answers_total{{service="job-board",result="ok"}} {ok}',
    )
    return parse_scrape("\n".join(lines) + "\n", scraped_at_ms=at_s * 1000)


@pytest.mark.parametrize(
    ("incarnation", "late", "broken"),
    [
        pytest.param("1", (10, 100), (2, 100), id="the same process"),
        pytest.param("2", (15, 200), (3, 200), id="a restarted process counts from zero"),
    ],
)
def test_hosts_that_steer_by_cookies_need_no_operators_file(incarnation, late, broken):
    scrapes = [
        steering_scrape(0, opened=100, silent=1, late=5, ok=95),
        steering_scrape(60, opened=200, silent=3, late=15, ok=185, incarnation=incarnation),
    ]
    objectives = SteeringObjectives(broken_flows_ratio=0.01, late_answers_ratio=0.2)
    services = steered_services(scrapes, objectives)
    rows = error_budget_rows(
        compute_indicators(scrapes, services), services=services, windows=WINDOWS, now_ms=60_000
    )
    found = {row.measure: row for row in rows}
    assert set(found) == {Measure.BROKEN_FLOWS, Measure.LATE_ANSWERS}
    assert (found[Measure.LATE_ANSWERS].bad, found[Measure.LATE_ANSWERS].total) == late
    assert (found[Measure.BROKEN_FLOWS].bad, found[Measure.BROKEN_FLOWS].total) == broken
    assert found[Measure.LATE_ANSWERS].objective_ratio == 0.2
    assert found[Measure.BROKEN_FLOWS].objective_ratio == 0.01


@pytest.mark.parametrize("value", ["0", "2", '"x"'])
def test_objectives_without_a_budget_are_refused(value):
    with pytest.raises(InvalidInputGroup):
        parse_report_settings(
            text=f"[objectives]\nlate_answers_ratio = {value}\n", file="report.toml"
        )
