"""``redwingswitch-report seconds``: show what steering hosts did in each second."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import Finding, InvalidInputGroup
from redwingswitch._internal.report.log_lines import LogLine, parse_log_line
from redwingswitch._internal.report.seconds import build_report
from redwingswitch._internal.report.seconds_table import render_seconds_json, render_seconds_text


def run(*, files: Sequence[str], failure_domain: str, as_json: bool) -> int:
    """Print one row for each second and failure domain of the hosts whose logs are in ``files``."""
    paths = _check_files(files)
    rows = build_report(_read_lines(paths)).rows(failure_domain=failure_domain)
    print(render_seconds_json(rows) if as_json else render_seconds_text(rows))
    return status_codes.SUCCESS


def _check_files(files: Sequence[str]) -> list[Path]:
    """Return the paths; raise InvalidInputGroup with all files that cannot be read."""
    paths = [Path(file) for file in files]
    findings = [
        Finding("(command line)", None, str(path), "is no file", "name the hosts' log files")
        for path in paths
        if not path.is_file()
    ]
    if not paths:
        findings = [
            Finding("(command line)", None, "FILES", "no file is given", "name the hosts' logs")
        ]
    if findings:
        raise InvalidInputGroup.from_findings(subject="the command line", findings=findings)
    return paths


def _read_lines(paths: Sequence[Path]) -> Iterator[LogLine]:
    others = 0
    for path in paths:
        with path.open(errors="replace") as lines:
            for line in lines:
                parsed = parse_log_line(line, file=path.stem)
                if parsed is None:
                    others += 1
                else:
                    yield parsed
    if others:
        print(f"{others} lines are no events and were left out", file=sys.stderr)
