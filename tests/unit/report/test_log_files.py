"""Guards against damaged logs that end the report, go unnoticed or are counted wrongly."""

import gzip
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from redwingswitch._internal.report import log_files
from redwingswitch._internal.report.known_events import check_lines
from redwingswitch._internal.report.line_problems import LineProblem, LineProblems
from redwingswitch._internal.report.log_files import read_log_files
from redwingswitch._internal.report.log_lines import LogLine, split_joined_lines
from redwingswitch._internal.report.seconds import build_report
from redwingswitch._internal.report.seconds_table import render_seconds_json, render_seconds_text
from tests.lib.steering_logs import FLOW, line, started

PACKET = f"flow={FLOW} copy=0 routes_version=3 list_age_ms=70"
OPENED = line(1, f"opened {PACKET} failure_domain=huon")


def read(*paths: Path) -> tuple[list[LogLine], list[str]]:
    problems = LineProblems()
    lines = list(check_lines(read_log_files(paths, problems), problems))
    return lines, problems.messages()


@pytest.mark.parametrize(
    ("text", "event_count", "message"),
    [
        pytest.param(OPENED, 1, None, id="whole"),
        pytest.param(OPENED[20:], 0, "1 lines are no events and were left out", id="front cut"),
        pytest.param("\n", 0, "1 lines are no events", id="empty"),
        pytest.param(
            OPENED.replace("flow=", "fl=").replace(" copy=0", " co"),
            0,
            "1 lines are cut",
            id="word",
        ),
        pytest.param(OPENED[:-1], 0, "1 lines are cut or damaged", id="end of the file cut"),
        pytest.param(line(1, ""), 0, "1 lines are cut", id="cut before the event"),
        pytest.param(
            line(1, 'store lost reason="the conn', part="fleet"),
            0,
            "1 lines are cut",
            id="cut in a quoted value",
        ),
        pytest.param(
            OPENED[:60] + OPENED, 1, "1 lines are cut", id="cut line and the next one in one line"
        ),
        pytest.param(OPENED.replace("copy=0", "copy=\0"), 0, "1 lines are cut", id="null byte"),
        pytest.param(
            line(1, f"teleported {PACKET}"),
            1,
            "1 lines have events that this version does not know; the first is "
            "{path}:1: packets: teleported (1)",
            id="unknown event",
        ),
        pytest.param(
            line(1, "started", part="teleport"),
            1,
            "{path}:1: teleport: started (1)",
            id="unknown part",
        ),
        pytest.param(
            line(1, f"rejected_shortage {PACKET}"),
            1,
            "1 lines lack a field that this version writes; the first is "
            "{path}:1: packets: rejected_shortage without priority and wait_ms (1)",
            id="older version without fields",
        ),
        pytest.param(
            line(1, f"rejected_shortage priority=low wait_ms=0 {PACKET}"),
            1,
            "rejected_shortage without priority (1)",
            id="field without a number",
        ),
        pytest.param(
            line(1, "server avoided server=i-1", part="load"),
            1,
            "server avoided without fault (1)",
            id="avoided without a fault",
        ),
        pytest.param(
            line(1, f"waiting {PACKET} omitted=7"),
            1,
            "7 events were left out by their hosts",
            id="left out by the host",
        ),
        pytest.param(
            line(1, f"waiting {PACKET} omitted={'9' * 5000}"), 1, None, id="thousands of digits"
        ),
        pytest.param(
            line(1, "settings unreadable reason=the file is empty", part="steering"),
            1,
            None,
            id="unquoted reason of another part",
        ),
    ],
)
def test_damaged_lines_are_counted_and_named(
    tmp_path: Path, text: str, event_count: int, message: str | None
) -> None:
    path = tmp_path / "entry-1.log"
    path.write_text(text)
    lines, messages = read(path)
    assert len(lines) == event_count
    if message is None:
        assert messages == []
    else:
        assert len(messages) == 1
        assert message.format(path=path) in messages[0]


def test_the_second_of_two_joined_lines_keeps_the_name_of_the_host() -> None:
    first, second = split_joined_lines("41.12 entry-1 " + OPENED[:60] + OPENED)
    assert first.startswith("41.12 entry-1 2026-")
    assert second == "41.12 entry-1 " + OPENED


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(bytes(range(256)) * 400, id="binary"),
        pytest.param(gzip.compress(OPENED.encode() * 50), id="compressed log"),
        pytest.param("\N{SNOWMAN}".encode("utf-16"), id="another encoding"),
    ],
)
def test_a_file_that_is_not_text_is_named_and_the_others_are_read(
    tmp_path: Path, data: bytes
) -> None:
    binary, log = tmp_path / "binary", tmp_path / "entry-1.log"
    binary.write_bytes(data)
    log.write_text(OPENED)
    lines, messages = read(binary, log)
    assert [each.event for each in lines] == ["opened"]
    assert messages == [f"{binary} is not text and was left out"]


def test_a_log_with_a_damaged_block_is_still_read(tmp_path: Path) -> None:
    log = tmp_path / "entry-1.log"
    log.write_bytes(OPENED.encode() + bytes(4096) + b"\xff\n" + OPENED.encode())
    lines, messages = read(log)
    assert len(lines) == 2
    assert messages == [f"1 lines are no events and were left out; the first is {log}:2"]


def test_a_file_without_line_breaks_is_read_in_pieces(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_files, "MAX_LINE_CHARS", 100)
    log = tmp_path / "entry-1.log"
    log.write_text("x" * 1000)
    lines, messages = read(log)
    assert lines == []
    assert "10 lines are no events" in messages[0]


def test_messages_are_bounded_and_have_no_control_characters() -> None:
    problems = LineProblems()
    for number in range(1000):
        problems.note(LineProblem.UNKNOWN_EVENT, place="a\x1b[2J:1", detail=f"x: \x1b{number:04}")
    (message,) = problems.messages()
    assert message.startswith("1000 lines have events that this version does not know")
    assert "others (900)" in message
    assert "and 96 more" in message
    assert message.isprintable()


WHOLE_LINES = [
    OPENED,
    started(0),
    line(1, f"rejected_shortage {PACKET} priority=2 wait_ms=0 omitted=9"),
    line(2, "server avoided server=i-1 fault=silent silent_hosts=2", part="load"),
    line(3, "out of service failure_domains=huon store_revision=1:7", part="fleet"),
]


@settings(derandomize=True, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    pieces=st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.builds(
                lambda text, start, end: text.encode()[start:end],
                st.sampled_from(WHOLE_LINES),
                st.integers(0, 60),
                st.integers(0, 200),
            ),
        ),
        max_size=20,
    )
)
def test_no_log_ends_the_report(tmp_path: Path, pieces: list[bytes]) -> None:
    log = tmp_path / "entry-1.log"
    log.write_bytes(b"".join(pieces))
    lines, _ = read(log)
    found = build_report(lines).rows()
    render_seconds_text(found)
    render_seconds_json(found)
