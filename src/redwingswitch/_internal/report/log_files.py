"""Reads log files of steering hosts; what is no whole event is noted and left out."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

from redwingswitch._internal.report.line_problems import LineProblem, LineProblems
from redwingswitch._internal.report.log_lines import (
    LogLine,
    is_cut,
    parse_log_line,
    split_joined_lines,
)

# A file without line breaks must not be read into memory as a whole.
MAX_LINE_CHARS = 65_536


def read_log_files(paths: Sequence[Path], problems: LineProblems) -> Iterator[LogLine]:
    """Return the events of all files; note the lines and files that are left out."""
    for path in paths:
        yield from _read_file(path, problems)


def _read_file(path: Path, problems: LineProblems) -> Iterator[LogLine]:
    # Kept until the end: a file that is not text is named as a whole.
    first_other = ""
    other_count = 0
    is_text = True
    has_events = False
    for number, text in enumerate(_read_texts(path), start=1):
        place = f"{path}:{number}"
        *cut, last = split_joined_lines(text)
        for _ in cut:
            problems.note(LineProblem.CUT, place=place)
        line = parse_log_line(last, file=path.stem, place=place)
        if line is None:
            other_count += 1
            first_other = first_other or place
            is_text = is_text and "\0" not in text and "\N{REPLACEMENT CHARACTER}" not in text
            continue
        has_events = True
        if not last.endswith("\n") or is_cut(last):
            problems.note(LineProblem.CUT, place=place)
            continue
        yield line
    if not is_text and not has_events:
        problems.note_file(str(path))
    elif other_count:
        problems.note(LineProblem.NO_EVENT, place=first_other, count=other_count)


def _read_texts(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from iter(lambda: file.readline(MAX_LINE_CHARS), "")
