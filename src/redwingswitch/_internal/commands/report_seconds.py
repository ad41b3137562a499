"""``redwingswitch-report seconds``: show what steering hosts did in each second."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol, cast

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import Finding, InvalidInputGroup
from redwingswitch._internal.report.known_events import check_lines
from redwingswitch._internal.report.line_problems import LineProblems
from redwingswitch._internal.report.log_files import read_log_files
from redwingswitch._internal.report.plot_file import check_plot_path, write_plot
from redwingswitch._internal.report.seconds import SecondRow, build_report
from redwingswitch._internal.report.seconds_table import render_seconds_json, render_seconds_text

_PLOT_MODULE = "redwingswitch._internal.report.seconds_plot"


class _PlotModule(Protocol):
    def render_seconds_svg(self, rows: Sequence[SecondRow], /) -> bytes: ...


def run(
    *, files: Sequence[str], failure_domain: str, as_json: bool, plot: str | None = None
) -> int:
    """Print one row for each second and failure domain of the hosts whose logs are in ``files``.

    With ``plot``, also write the rows as an SVG file.
    """
    paths = [Path(file) for file in files]
    findings = [*_check_files(paths), *([] if plot is None else _check_plot(plot, paths))]
    if findings:
        raise InvalidInputGroup.from_options(findings)
    # Before the logs are read, which may take minutes.
    plot_module = None if plot is None else _load_plot_module()
    problems = LineProblems()
    lines = check_lines(read_log_files(paths, problems), problems)
    rows = build_report(lines).rows(failure_domain=failure_domain)
    for message in problems.messages():
        print(message, file=sys.stderr)
    if plot is not None and plot_module is not None:
        write_plot(Path(plot), plot_module.render_seconds_svg(rows))
    print(render_seconds_json(rows) if as_json else render_seconds_text(rows))
    return status_codes.SUCCESS


def _check_files(paths: Sequence[Path]) -> list[Finding]:
    """Return a finding for each file that cannot be read."""
    if not paths:
        return [Finding.on_option("FILES", "no file is given", "name the hosts' logs")]
    return [
        Finding.on_option(str(path), "is no file", "name the hosts' log files")
        for path in paths
        if not path.is_file()
    ]


def _check_plot(plot: str, logs: Sequence[Path]) -> list[Finding]:
    if not plot:
        return [Finding.on_option("--plot", "names no file", "use --plot=FILE")]
    return check_plot_path(Path(plot), logs=logs)


def _load_plot_module() -> _PlotModule:
    """Import the plot; matplotlib is an optional dependency and takes long to import."""
    try:
        return cast(_PlotModule, importlib.import_module(_PLOT_MODULE))
    except ImportError as error:
        finding = Finding.on_option(
            "--plot",
            f"needs matplotlib, which cannot be imported ({error})",
            "install the extra 'plot': pip install 'redwingswitch[plot]'",
        )
        raise InvalidInputGroup.from_options([finding]) from error
