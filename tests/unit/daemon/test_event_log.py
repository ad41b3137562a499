"""Guards against log lines that block the process, are not rate-limited or lose their fields."""

import os

import pytest

from redwingswitch._internal.utils.event_log import (
    BURST_LINES,
    LINES_PER_S,
    EventLog,
    NonBlockingStream,
    format_event,
)


class ManualClock:
    """A clock that moves only when a test sets it."""

    def __init__(self) -> None:
        self.at_ms = 0

    def now_ms(self) -> int:
        return self.at_ms


class RecordedLines(list[str]):
    """A logger that records its lines."""

    info = list.append
    warning = list.append


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def lines() -> RecordedLines:
    return RecordedLines()


@pytest.fixture
def events(clock: ManualClock, lines: RecordedLines) -> EventLog:
    log = EventLog(part="packets", clock=clock)
    log._logger = lines  # type: ignore[assignment]
    return log


def test_each_kind_of_event_has_its_own_rate_limit(events: EventLog, lines: RecordedLines) -> None:
    for _ in range(BURST_LINES * 3):
        events.info("opened", flow="a")
    events.info("reset", flow="b")
    assert len(lines) == BURST_LINES + 1
    assert lines[-1] == "reset flow=b"


def test_a_line_states_how_many_were_suppressed_before_it(
    events: EventLog, lines: RecordedLines, clock: ManualClock
) -> None:
    for _ in range(BURST_LINES + 7):
        events.info("opened")
    clock.at_ms += 1_000
    for _ in range(LINES_PER_S + 5):
        events.info("opened")
    assert lines[BURST_LINES] == "opened omitted=7"
    assert len(lines) == BURST_LINES + LINES_PER_S


@pytest.mark.parametrize(
    ("fields", "omitted", "expected"),
    [
        ({}, 0, "opened"),
        ({"server": "i-1", "busy": 0}, 0, "opened server=i-1 busy=0"),
        ({"reason": "no answer"}, 2, 'opened reason="no answer" omitted=2'),
    ],
)
def test_format(fields: dict[str, object], omitted: int, expected: str) -> None:
    assert format_event("opened", fields, omitted) == expected


def test_a_stalled_reader_loses_lines_without_blocking_the_writer() -> None:
    reading, writing = os.pipe()
    stream = NonBlockingStream(writing)
    for _ in range(5_000):
        stream.write("x" * 99 + "\n")
    assert stream.lost_lines > 0
    os.close(reading)
    before = stream.lost_lines
    stream.write("after the reader has gone\n")
    assert stream.lost_lines == before + 1
    os.close(writing)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        pytest.param("a\nreset flow=b", 'failed service="a\\nreset flow=b"', id="second line"),
        pytest.param("a\x1b[2J", "failed service=a\\x1b[2J", id="control character"),
        pytest.param("\u6ce8\u6587", "failed service=\u6ce8\u6587", id="other letters"),
    ],
)
def test_a_value_stays_on_its_line(value: str, expected: str) -> None:
    # A configuration may name a service with any text, which forged a second line.
    assert format_event("failed", {"service": value}, 0) == expected
