"""Guards against a view by seconds that counts a host's events wrongly or in another domain."""

import json
from pathlib import Path

import pytest

from redwingswitch._internal.cli.report import main
from redwingswitch._internal.report.log_lines import parse_log_line
from redwingswitch._internal.report.seconds import UNKNOWN_DOMAIN, Rejection, RejectionReason
from redwingswitch._internal.report.seconds_table import (
    COUNT_COLUMNS,
    rejection_heading,
    render_seconds_json,
    render_seconds_text,
    sort_rejections,
)
from redwingswitch._internal.utils.event_log import format_event
from tests.lib.steering_logs import FLOW, line, rows, started


@pytest.mark.parametrize(
    ("text", "source", "event", "fields"),
    [
        pytest.param(
            line(1, f"opened flow={FLOW} copy=0"),
            "entry-1",
            "opened",
            {"flow": FLOW, "copy": "0"},
            id="fields",
        ),
        pytest.param(
            line(1, 'store lost reason="the connection failed: x" retry_ms=78', part="fleet"),
            "entry-1",
            "store lost",
            {"reason": "the connection failed: x", "retry_ms": "78"},
            id="quoted value",
        ),
        pytest.param(
            line(1, "readiness=ready", part="steering"),
            "entry-1",
            "readiness",
            {"readiness": "ready"},
            id="field alone",
        ),
        pytest.param(line(1, "stopped", part="steering"), "entry-1", "stopped", {}, id="no field"),
        pytest.param(
            line(1, "stopped", part="steering", prefix="  41.12 edge-huon-1 "),
            "edge-huon-1",
            "stopped",
            {},
            id="name of the host before the time",
        ),
    ],
)
def test_a_line_is_parsed(text: str, source: str, event: str, fields: dict[str, str]) -> None:
    parsed = parse_log_line(text, file="entry-1")
    assert parsed is not None
    assert (parsed.source, parsed.event, parsed.fields) == (source, event, fields)
    assert parsed.time_s == 1_771_235_781


@pytest.mark.parametrize(
    "text", ["", "Traceback (most recent call last):", "2026-99-16T09:56:21 INFO packets: opened"]
)
def test_other_lines_are_no_events(text: str) -> None:
    assert parse_log_line(text, file="entry-1") is None


def test_a_line_of_the_event_log_is_parsed() -> None:
    text = format_event("server changed", {"server": "i-1", "reason": "a b"}, 3)
    parsed = parse_log_line(line(1, text, part="fleet"), file="entry-1")
    assert parsed is not None
    assert parsed.event == "server changed"
    assert parsed.fields == {"server": "i-1", "reason": "a b", "omitted": "3"}


@pytest.mark.parametrize(
    ("text", "part", "column", "count"),
    [
        pytest.param("opened list_age_ms=5", "packets", "opened", 1, id="opened"),
        pytest.param("opened_again omitted=9", "packets", "again", 10, id="left out lines count"),
        pytest.param("offered_elsewhere", "packets", "elsewhere", 1, id="offered again"),
        pytest.param("reset_server_silent", "packets", "silent", 1, id="reset"),
        pytest.param("held_no_server", "packets", "held", 1, id="held"),
        pytest.param("suspicion level=suspected", "packets", "suspected", 1, id="suspicion"),
        pytest.param("suspicion level=none", "packets", "suspected", 0, id="suspicion cleared"),
        pytest.param("server changed presence=lapsed", "fleet", "lapsed", 1, id="lapsed server"),
        pytest.param("server changed presence=gone", "fleet", "ended", 1, id="ended server"),
        pytest.param("waiting priority=2", "packets", "waiting", 1, id="waiting"),
        pytest.param("waiting omitted=3", "packets", "waiting", 4, id="left out waits count"),
        pytest.param(
            "admitted_after_wait failure_domain=huon wait_ms=8",
            "packets",
            "admitted_after_wait",
            1,
            id="admitted after a wait",
        ),
        pytest.param("rejected_shortage", "packets", "rejected_shortage", 1, id="rejected"),
        pytest.param("dropped_abandoned", "packets", "dropped_abandoned", 1, id="abandoned"),
        pytest.param("slow start sent=1", "packets", "slow_start", 1, id="slow start"),
        pytest.param("server avoided fault=silent", "load", "avoided_silent", 1, id="silent"),
        pytest.param("server avoided fault=overdue", "load", "avoided_overdue", 1, id="overdue"),
        pytest.param("server avoided fault=slow", "load", "avoided_slow", 1, id="slow"),
        pytest.param("server avoided fault=new", "load", "avoided_slow", 0, id="unknown fault"),
        pytest.param("server used again", "load", "avoided_slow", 0, id="used again"),
    ],
)
def test_each_event_counts_in_its_column(text: str, part: str, column: str, count: int) -> None:
    _, row = rows(started(0), line(1, text, part=part))
    assert column in COUNT_COLUMNS
    assert row.failure_domain == "huon"
    assert {name: n for name, n in row.counts.items() if n} == ({column: count} if count else {})


def test_a_flow_held_for_slow_start_counts_as_held_too() -> None:
    (row,) = rows(line(1, "held_slow_start omitted=1"))
    assert (row.counts["held"], row.counts["held_slow_start"]) == (2, 2)


@pytest.mark.parametrize(
    ("text", "count"),
    [
        pytest.param("opened failure_domain=hobart", 1, id="opened elsewhere"),
        pytest.param("admitted_after_wait failure_domain=hobart", 1, id="admitted elsewhere"),
        pytest.param("opened failure_domain=huon", 0, id="own domain"),
        pytest.param("opened", 0, id="older version without the domain"),
        # The omitted flows may have gone anywhere.
        pytest.param("opened failure_domain=hobart omitted=9", 1, id="left out lines"),
        # These are further offers of flows that were counted before.
        pytest.param("offered_elsewhere failure_domain=hobart", 0, id="second offer"),
        pytest.param("opened_again failure_domain=hobart", 0, id="retransmission"),
    ],
)
def test_flows_opened_in_another_failure_domain_count(text: str, count: int) -> None:
    _, row = rows(started(0), line(1, text))
    assert row.counts["other_domain"] == count


def test_without_the_domain_of_the_host_no_flow_counts_as_opened_in_another_one() -> None:
    (row,) = rows(line(1, "opened failure_domain=hobart"))
    assert row.counts["other_domain"] == 0


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        pytest.param("priority=2 wait_ms=0", {(RejectionReason.AT_ONCE, 2): 1}, id="at once"),
        pytest.param("priority=0 wait_ms=9", {(RejectionReason.AFTER_WAIT, 0): 1}, id="waited"),
        pytest.param(
            "priority=2 wait_ms=0 omitted=5",
            {(RejectionReason.AT_ONCE, 2): 1, (RejectionReason.UNKNOWN, None): 5},
            id="left out lines have no known priority",
        ),
        pytest.param("priority=1", {(RejectionReason.UNKNOWN, 1): 1}, id="no wait"),
        pytest.param("wait_ms=0", {(RejectionReason.AT_ONCE, None): 1}, id="no priority"),
        pytest.param(
            f"priority={'9' * 5000} wait_ms=0",
            {(RejectionReason.AT_ONCE, None): 1},
            id="number of thousands of digits",
        ),
    ],
)
def test_rejections_are_split_by_reason_and_priority(fields: str, expected) -> None:
    (row,) = rows(line(1, f"rejected_shortage {fields}"))
    assert row.rejected == expected
    assert row.counts["rejected_shortage"] == sum(expected.values())


def test_a_server_that_several_hosts_avoid_counts_once_a_second_and_failure_domain() -> None:
    avoided = "server avoided server=i-1 fault=silent"
    found = rows(
        started(0, prefix="entry-1 "),
        started(0, prefix="entry-2 "),
        started(0, prefix="entry-3 ", domain="hobart"),
        line(1, avoided, part="load", prefix="entry-1 "),
        line(1, avoided, part="load", prefix="entry-2 "),
        line(1, avoided, part="load", prefix="entry-3 "),
        line(1, "server avoided server=i-2 fault=slow", part="load", prefix="entry-1 "),
    )
    hobart, huon = found[2:]
    assert huon.avoided_servers == (("i-1", "silent", 2), ("i-2", "slow", 1))
    assert hobart.avoided_servers == (("i-1", "silent", 1),)
    assert (huon.counts["avoided_silent"], huon.counts["avoided_slow"]) == (1, 1)


def test_failure_domains_are_out_of_service_from_the_line_that_names_them_to_the_next() -> None:
    def out(second: int, domains: str, host: str) -> str:
        text = f"out of service failure_domains={domains} store_revision=9"
        return line(second, text, part="fleet", prefix=f"{host} ")

    def other(second: int) -> str:
        return line(second, "opened", prefix="entry-1 ")

    found = rows(
        started(0, prefix="entry-1 "),
        started(0, prefix="entry-2 "),
        out(1, "hobart", "entry-1"),
        other(2),
        out(3, "bruny,hobart", "entry-2"),
        out(4, "none", "entry-1"),
        # The second host still takes both for out of service.
        other(5),
        # A host that starts again knows of none until it hears of them.
        started(6, prefix="entry-2 "),
        other(7),
    )
    assert [row.out_of_service for row in found] == [
        (),
        ("hobart",),
        ("hobart",),
        ("bruny", "hobart"),
        ("bruny", "hobart"),
        ("bruny", "hobart"),
        ("bruny", "hobart"),
        (),
    ]


def test_json_has_all_columns_under_fixed_names() -> None:
    found = rows(
        started(0),
        line(1, "rejected_shortage priority=2 wait_ms=0 omitted=4"),
        line(1, "server avoided server=i-1 fault=overdue", part="load"),
        line(1, "out of service failure_domains=bruny", part="fleet"),
    )
    _, row = json.loads(render_seconds_json(found))
    assert set(row) == {
        "time_s",
        "failure_domain",
        "ready_hosts",
        "counts",
        "max_list_age_ms",
        "routes_versions",
        "rejected",
        "avoided_servers",
        "out_of_service",
    }
    assert set(row["counts"]) == {
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
    }
    assert row["rejected"] == [
        {"reason": "at_once", "priority": 2, "flows": 1},
        {"reason": "unknown", "priority": None, "flows": 4},
    ]
    assert row["avoided_servers"] == [{"server": "i-1", "fault": "overdue", "hosts": 1}]
    assert row["out_of_service"] == ["bruny"]


def test_each_count_is_on_the_operations_page() -> None:
    page = (Path(__file__).parents[3] / "docs" / "OPERATIONS.md").read_text()
    section = page.partition("## The seconds")[2].partition("\n## ")[0]
    assert [name for name in COUNT_COLUMNS if f"`{name}`" not in section] == []


def test_rejections_of_unknown_priority_come_last() -> None:
    kinds = {
        Rejection(RejectionReason.UNKNOWN, None),
        Rejection(RejectionReason.AT_ONCE, 10),
        Rejection(RejectionReason.AT_ONCE, 2),
        Rejection(RejectionReason.AFTER_WAIT, 2),
    }
    headings = [rejection_heading(kind) for kind in sort_rejections(kinds)]
    assert headings == ["p2_after_wait", "p2_at_once", "p10_at_once", "p?_unknown"]


def test_ages_and_versions_are_those_of_the_packets_of_the_second() -> None:
    found = rows(
        line(1, "opened routes_version=3 list_age_ms=70"),
        line(1, "opened routes_version=2 list_age_ms=900"),
        line(1, "held_not_configured routes_version=none list_age_ms=20"),
        line(2, "opened routes_version=3 list_age_ms=60"),
    )
    assert [row.failure_domain for row in found] == [UNKNOWN_DOMAIN] * 2
    assert [row.max_list_age_ms for row in found] == [900, 60]
    assert [row.routes_versions for row in found] == [(2, 3), (3, 3)]


def test_ready_hosts_are_counted_until_they_stop_or_start_again() -> None:
    first, second = "a entry-1 ", "a entry-2 "
    ready = "readiness=ready"
    found = rows(
        started(0, prefix=first),
        line(1, ready, part="steering", prefix=first),
        started(1, prefix=second),
        line(2, ready, part="steering", prefix=second),
        # The first host was killed without a word.
        started(4, prefix=first),
        line(5, "readiness=stopping", part="steering", prefix=second),
        line(6, ready, part="steering", prefix=first),
    )
    assert [row.ready_hosts for row in found] == [0, 1, 2, 1, 0, 1]


def test_domains_are_told_apart_and_one_can_be_chosen() -> None:
    texts = [
        started(0, prefix="entry-1 "),
        started(0, prefix="entry-2 ", domain="hobart"),
        line(1, "opened", prefix="entry-1 "),
        line(1, "opened", prefix="entry-2 "),
    ]
    assert [row.failure_domain for row in rows(*texts)] == ["hobart", "huon"] * 2
    assert [row.counts["opened"] for row in rows(*texts, failure_domain="huon")] == [0, 1]


def test_the_table_has_one_aligned_line_for_each_row() -> None:
    text = render_seconds_text(rows(started(0), line(1, "opened routes_version=3 list_age_ms=70")))
    heading, _, second = text.splitlines()
    assert heading.split()[:4] == ["time", "domain", "ready", "opened"]
    assert second.split()[:4] == ["09:56:21", "huon", "0", "1"]
    assert second.split()[-2:] == ["70", "3"]
    assert "No events" in render_seconds_text([])


@pytest.mark.parametrize(
    ("text", "part", "headings", "cells"),
    [
        pytest.param("opened", "packets", ["opened"], ["1"], id="others left out"),
        pytest.param(
            "rejected_shortage priority=2 wait_ms=0 omitted=3",
            "packets",
            ["rejected", "p2_at_once", "p?_unknown"],
            ["4", "1", "3"],
            id="rejections by reason and priority",
        ),
        pytest.param(
            "server avoided server=i-1 fault=slow", "load", ["av_slow"], ["1"], id="avoided"
        ),
        pytest.param(
            "out of service failure_domains=bruny,hobart",
            "fleet",
            ["out"],
            ["bruny,hobart"],
            id="out of service",
        ),
        pytest.param("readiness=ready", "steering", [], [], id="no counts at all"),
    ],
)
def test_the_table_leaves_out_columns_that_are_empty_in_all_rows(
    text: str, part: str, headings: list[str], cells: list[str]
) -> None:
    heading, *_, last = render_seconds_text(rows(started(0), line(1, text, part=part))).splitlines()
    assert heading.split() == ["time", "domain", "ready", *headings, "age_ms", "routes"]
    assert last.split()[3:-2] == cells


def test_the_command_reads_files_and_names_those_that_it_cannot_read(
    tmp_path, capsys, monkeypatch
) -> None:
    log = tmp_path / "entry-1.log"
    log.write_text(started(0) + line(1, "opened") + "no event\n")

    def run(*arguments: str) -> int:
        monkeypatch.setattr("sys.argv", ["redwingswitch-report", "seconds", *arguments])
        with pytest.raises(SystemExit) as ended:
            main()
        return int(ended.value.code or 0)

    assert run(str(log), "--json") == 0
    output = capsys.readouterr()
    assert [row["counts"]["opened"] for row in json.loads(output.out)] == [0, 1]
    assert "1 lines are no events" in output.err
    assert run(str(log), str(tmp_path / "absent"), str(tmp_path)) == 2
    errors = capsys.readouterr().err
    assert "absent" in errors
    assert str(tmp_path) in errors
