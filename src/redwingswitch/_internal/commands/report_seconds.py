"""``redwingswitch-report seconds``: show what steering hosts did in each second."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import Finding, InvalidInputGroup
from redwingswitch._internal.report.known_events import check_lines
from redwingswitch._internal.report.line_problems import LineProblems
from redwingswitch._internal.report.log_files import read_log_files
from redwingswitch._internal.report.seconds import build_report
from redwingswitch._internal.report.seconds_table import render_seconds_json, render_seconds_text

_COMMAND_LINE = "(command line)"
_SUBJECT = "the command line"


def run(*, files: Sequence[str], failure_domain: str, as_json: bool) -> int:
    """Print one row for each second and failure domain of the hosts whose logs are in ``files``."""
    paths = [Path(file) for file in files]
    findings = _check_files(paths)
    if findings:
        raise InvalidInputGroup.from_findings(subject=_SUBJECT, findings=findings)
    problems = LineProblems()
    lines = check_lines(read_log_files(paths, problems), problems)
    rows = build_report(lines).rows(failure_domain=failure_domain)
    for message in problems.messages():
        print(message, file=sys.stderr)
    print(render_seconds_json(rows) if as_json else render_seconds_text(rows))
    return status_codes.SUCCESS


def _check_files(paths: Sequence[Path]) -> list[Finding]:
    """Return a finding for each file that cannot be read."""
    if not paths:
        return [Finding(_COMMAND_LINE, None, "FILES", "no file is given", "name the hosts' logs")]
    return [
        Finding(_COMMAND_LINE, None, str(path), "is no file", "name the hosts' log files")
        for path in paths
        if not path.is_file()
    ]
