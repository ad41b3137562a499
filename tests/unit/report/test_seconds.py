"""Guards against a view by seconds that counts a host's events wrongly or in another domain."""

import json

import pytest

from redwingswitch._internal.cli.report import main
from redwingswitch._internal.report.log_lines import parse_log_line
from redwingswitch._internal.report.seconds import UNKNOWN_DOMAIN, SecondRow, build_report
from redwingswitch._internal.report.seconds_table import COUNT_COLUMNS, render_seconds_text
from redwingswitch._internal.utils.event_log import format_event

TIME = "2026-02-16T09:56:2{}.{:06d}"
FLOW = "100.68.0.10:1078>198.18.0.1:8443"


def line(second: int, text: str, *, part: str = "packets", prefix: str = "") -> str:
    return f"{prefix}{TIME.format(second, 5)} INFO    {part}: {text}\n"


def started(second: int, *, domain: str = "huon", prefix: str = "") -> str:
    text = f"started host=entry-1 failure_domain={domain}"
    return line(second, text, part="steering", prefix=prefix)


def rows(*texts: str, file: str = "entry-1", failure_domain: str = "") -> list[SecondRow]:
    parsed = [parse_log_line(text, file=file) for text in texts]
    report = build_report(each for each in parsed if each is not None)
    return report.rows(failure_domain=failure_domain)


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
    ],
)
def test_each_event_counts_in_its_column(text: str, part: str, column: str, count: int) -> None:
    _, row = rows(started(0), line(1, text, part=part))
    assert column in COUNT_COLUMNS
    assert row.failure_domain == "huon"
    assert {name: n for name, n in row.counts.items() if n} == ({column: count} if count else {})


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
